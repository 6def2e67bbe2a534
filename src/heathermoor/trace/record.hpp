#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathermoor::trace {

/// @brief Member of a log line: its name, and its value as text.
struct field {
    std::string name;
    std::string value;
};

/// @brief Parsed line of a host's JSON log.
struct record {
    /// Time by the host's clock, as written in the line; compared as text.
    std::string time;
    std::string host;
    std::string part;
    std::string event;
    /// All other members, in the order of the line.
    std::vector<field> fields;

    /// @brief Looks up a member of `fields`.
    /// @param name Key in the JSON line.
    /// @return Value as text; empty if the line has no such member.
    [[nodiscard]] std::string_view value(std::string_view name) const noexcept;

    /// @brief Looks up a numeric member of `fields`.
    /// @param name Key in the JSON line.
    /// @return Number; zero if the line has no such member or it is not a number.
    [[nodiscard]] double number(std::string_view name) const noexcept;
};

/// @brief Parses a log line. Text before the first opening brace, such as a prefix of a log collector, is ignored.
/// @param line Line without its line break.
/// @return Record; empty unless the line holds a JSON object with `time` and `event`.
[[nodiscard]] std::optional<record> read_record(std::string_view line);

/// @brief Parses a log and appends its events.
/// @param in Log, read to its end.
/// @param out Receives the events.
/// @return Number of lines that are not events, empty lines included.
std::size_t read_log(std::istream &in, std::vector<record> &out);

} // namespace heathermoor::trace
