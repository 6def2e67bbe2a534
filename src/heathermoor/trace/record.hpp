#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathermoor::trace {

/// @brief Named value of a log line, as text.
struct field {
    std::string name;
    std::string value;
};

/// @brief One line of a host's structured log.
struct record {
    /// Time of day on the host's clock, as the line shows it.
    std::string time;
    std::string host;
    std::string part;
    std::string event;
    /// All other members, in the order of the line.
    std::vector<field> fields;

    /// @brief Value of a member.
    /// @param name Name.
    /// @return Text; empty if the line has no such member.
    [[nodiscard]] std::string_view value(std::string_view name) const noexcept;

    /// @brief Value of a member that is a number.
    /// @param name Name.
    /// @return Number; zero if the line has no such member.
    [[nodiscard]] double number(std::string_view name) const noexcept;
};

/// @brief Reads a line; anything before its first brace is ignored.
/// @param line Line.
/// @return Record; nothing if the line is no event.
[[nodiscard]] std::optional<record> read_record(std::string_view line);

/// @brief Reads a log and appends its events.
/// @param in Log.
/// @param out Events so far.
/// @return Lines that are no events.
std::size_t read_log(std::istream &in, std::vector<record> &out);

} // namespace heathermoor::trace
