#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/interface.hpp"
#include "heathermoor/core/log.hpp"
#include "heathermoor/core/time.hpp"
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace heathermoor {

/// @brief Named value of an event.
class event_field {
  public:
    /// @brief Value of a field.
    using value_type = std::variant<std::int64_t, double, bool, std::string_view>;

    /// @brief Field with a text.
    /// @param name Name.
    /// @param value Text; has to outlive the event.
    event_field(std::string_view name, std::string_view value) : m_name{name}, m_value{value} {}

    /// @brief Field with a text.
    /// @param name Name.
    /// @param value Text; has to outlive the event.
    event_field(std::string_view name, const char *value) : m_name{name}, m_value{std::string_view{value}} {}

    /// @brief Field with a name of an entity.
    /// @param name Name.
    /// @param value Identifier; has to outlive the event.
    template <typename Tag>
    event_field(std::string_view name, const basic_id<Tag> &value) : m_name{name}, m_value{std::string_view{value.str()}} {}

    /// @brief Field with a truth value.
    /// @param name Name.
    /// @param value Truth value.
    template <std::same_as<bool> Bool>
    event_field(std::string_view name, Bool value) : m_name{name}, m_value{value} {}

    /// @brief Field with a number.
    /// @param name Name, which ends in the unit if there is one.
    /// @param value Number.
    template <std::integral Number>
    requires(!std::same_as<Number, bool>) event_field(std::string_view name, Number value)
        : m_name{name}, m_value{static_cast<std::int64_t>(value)} {}

    /// @brief Field with a strong number.
    /// @param name Name.
    /// @param value Number.
    template <typename Enum>
    requires std::is_enum_v<Enum> event_field(std::string_view name, Enum value)
        : m_name{name}, m_value{static_cast<std::int64_t>(value)} {}

    /// @brief Field with a number that has a fraction.
    /// @param name Name, which ends in the unit if there is one.
    /// @param value Number.
    event_field(std::string_view name, double value) : m_name{name}, m_value{value} {}

    /// @brief Field with a duration, in milliseconds.
    /// @param name Name, which ends in `_ms`.
    /// @param value Duration.
    event_field(std::string_view name, duration value) : m_name{name}, m_value{to_ms(value)} {}

    /// @brief Name of the field.
    /// @return Name.
    [[nodiscard]] std::string_view name() const noexcept { return m_name; }

    /// @brief Value of the field.
    /// @return Value.
    [[nodiscard]] const value_type &value() const noexcept { return m_value; }

  private:
    std::string_view m_name;
    value_type m_value;
};

/// @brief Receives events; the default one writes lines to standard error.
class event_sink : public interface {
  public:
    /// @brief Takes an event as one JSON object without the time. Must not block.
    /// @param level Severity.
    /// @param json Members of the object, without braces.
    virtual void write(log_level level, std::string_view json) = 0;
};

/// @brief Sets the receiver of events.
/// @param sink Receiver, which has to outlive all events; null for the default.
void set_event_sink(event_sink *sink) noexcept;

/// @brief Writes an event: a decision, its inputs and its outcome.
/// @param level Severity.
/// @param part Part of the program that speaks.
/// @param name Name of the event, in snake case.
/// @param fields Inputs and outcome.
void log_event(log_level level, std::string_view part, std::string_view name, std::initializer_list<event_field> fields);

} // namespace heathermoor
