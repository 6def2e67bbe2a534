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

/// @brief Key-value pair of a structured log event; does not own its name or text.
class event_field {
  public:
    /// @brief Types that a field can hold.
    using value_type = std::variant<std::int64_t, double, bool, std::string_view>;

    /// @brief Creates a string field.
    /// @param name Key; not copied.
    /// @param value Text; not copied, must outlive the field.
    event_field(std::string_view name, std::string_view value) : m_name{name}, m_value{value} {}

    /// @brief Creates a string field.
    /// @param name Key; not copied.
    /// @param value Text; not copied, must outlive the field.
    event_field(std::string_view name, const char *value) : m_name{name}, m_value{std::string_view{value}} {}

    /// @brief Creates a string field from an identifier.
    /// @param name Key; not copied.
    /// @param value Identifier; not copied, must outlive the field.
    template <typename Tag>
    event_field(std::string_view name, const basic_id<Tag> &value) : m_name{name}, m_value{std::string_view{value.str()}} {}

    /// @brief Creates a boolean field; the constraint keeps pointers from converting to bool.
    /// @param name Key; not copied.
    /// @param value Written as `true` or `false`.
    template <std::same_as<bool> Bool>
    event_field(std::string_view name, Bool value) : m_name{name}, m_value{value} {}

    /// @brief Creates an integer field.
    /// @param name Key, with the unit as a suffix if there is one; not copied.
    /// @param value Converted to a signed 64-bit integer.
    template <std::integral Number>
    requires(!std::same_as<Number, bool>) event_field(std::string_view name, Number value)
        : m_name{name}, m_value{static_cast<std::int64_t>(value)} {}

    /// @brief Creates an integer field from an enumeration.
    /// @param name Key; not copied.
    /// @param value Written as its underlying number.
    template <typename Enum>
    requires std::is_enum_v<Enum> event_field(std::string_view name, Enum value)
        : m_name{name}, m_value{static_cast<std::int64_t>(value)} {}

    /// @brief Creates a floating-point field.
    /// @param name Key, with the unit as a suffix if there is one; not copied.
    /// @param value Written with one decimal; `null` if it is not finite.
    event_field(std::string_view name, double value) : m_name{name}, m_value{value} {}

    /// @brief Creates a floating-point field from a duration.
    /// @param name Key; must end in `_ms`; not copied.
    /// @param value Written in milliseconds with one decimal.
    event_field(std::string_view name, duration value) : m_name{name}, m_value{to_ms(value)} {}

    /// @brief Key of the field.
    /// @return View of the caller's string.
    [[nodiscard]] std::string_view name() const noexcept { return m_name; }

    /// @brief Value of the field.
    /// @return Value; a text is a view of the caller's string.
    [[nodiscard]] const value_type &value() const noexcept { return m_value; }

  private:
    std::string_view m_name;
    value_type m_value;
};

/// @brief Destination of structured log events. Without a sink, events are written to standard error.
class event_sink : public interface {
  public:
    /// @brief Writes one event. Called in the thread that logs; must not block.
    /// @param level Severity of the event.
    /// @param json Members of a JSON object, without braces and timestamp; valid only during the call.
    virtual void write(log_level level, std::string_view json) = 0;
};

/// @brief Replaces the process-wide event sink.
/// @param sink Not owned; must stay valid while events are logged. Null writes to standard error.
void set_event_sink(event_sink *sink) noexcept;

/// @brief Logs a structured event that records a decision, its inputs and its outcome.
/// @param level Severity; events below the minimum level are dropped.
/// @param part Component that logs; written as the `part` member.
/// @param name Event name in snake_case; written as the `event` member.
/// @param fields Inputs and outcome, written in this order.
void log_event(log_level level, std::string_view part, std::string_view name, std::initializer_list<event_field> fields);

} // namespace heathermoor
