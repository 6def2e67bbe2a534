#pragma once

#include <fmt/format.h>
#include <string_view>

namespace heathermoor {

/// @brief Severity of a log line.
enum class log_level { debug, info, warning, error };

/// @brief Sets the least severity that is written.
/// @param level Lines below it are dropped.
void set_log_level(log_level level) noexcept;

/// @brief Whether lines of a severity are written.
/// @param level Severity.
/// @return True if such a line is written.
[[nodiscard]] bool log_enabled(log_level level) noexcept;

/// @brief Writes one line to standard error.
/// @param level Severity.
/// @param part Part of the program that speaks.
/// @param text Sentence followed by key=value pairs.
void write_log(log_level level, std::string_view part, std::string_view text);

/// @brief Formats and writes one line to standard error.
/// @param level Severity.
/// @param part Part of the program that speaks; the fixed prefix of the line.
/// @param format Format of a short sentence followed by key=value pairs.
/// @param args Arguments of the format.
template <typename... Args>
void log(log_level level, std::string_view part, fmt::format_string<Args...> format, Args &&...args) {
    if(log_enabled(level)) {
        write_log(level, part, fmt::format(format, std::forward<Args>(args)...));
    }
}

} // namespace heathermoor
