#pragma once

#include <fmt/format.h>
#include <string_view>

namespace heathermoor {

/// @brief Severity of a log line, in ascending order.
enum class log_level { debug, info, warning, error };

/// @brief Sets the process-wide minimum log level; `info` by default.
/// @param level Lines below it are dropped.
void set_log_level(log_level level) noexcept;

/// @brief Whether a log level is enabled.
/// @param level Severity to check.
/// @return True if `level` is at or above the minimum log level.
[[nodiscard]] bool log_enabled(log_level level) noexcept;

/// @brief Writes one line to standard error, with a UTC timestamp; does not check the minimum log level.
/// @param level Severity written in the line.
/// @param part Component that logs, written in brackets.
/// @param text Sentence followed by key=value pairs.
void write_log(log_level level, std::string_view part, std::string_view text);

/// @brief Formats one line and writes it to standard error if its level is enabled.
/// @param level Severity; the arguments are formatted only if it is enabled.
/// @param part Component that logs, written in brackets.
/// @param format `fmt` format string: a short sentence followed by key=value pairs.
/// @param args Format arguments.
template <typename... Args>
void log(log_level level, std::string_view part, fmt::format_string<Args...> format, Args &&...args) {
    if(log_enabled(level)) {
        write_log(level, part, fmt::format(format, std::forward<Args>(args)...));
    }
}

} // namespace heathermoor
