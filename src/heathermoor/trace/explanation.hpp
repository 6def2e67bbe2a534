#pragma once

#include "heathermoor/trace/record.hpp"
#include <string>
#include <string_view>
#include <vector>

namespace heathermoor::trace {

/// @brief Log lines of all hosts about one request or job, and the cause of its outcome.
struct explanation {
    /// Lines that mention the request or job, and host state changes between the first and last of them, by time.
    std::vector<record> lines;
    /// Index in `lines` of the line that decided the outcome; `lines.size()` if there is none.
    std::size_t deciding{};
    /// Cause of the outcome as text for an operator; never empty.
    std::string cause;

    /// @brief Whether the logs show how the request or job ended.
    /// @return True if `deciding` is the index of a line.
    [[nodiscard]] bool decided() const noexcept { return deciding < lines.size(); }
};

/// @brief Collects the lines about a request or job from the logs of all hosts and derives the cause of its outcome.
/// @param records Log lines of all hosts, in any order between hosts.
/// @param id Identifier of the request or of its job.
/// @return Explanation; without lines if no record mentions the identifier.
[[nodiscard]] explanation explain(const std::vector<record> &records, std::string_view id);

/// @brief Formats a line for display.
/// @param line Parsed log line.
/// @return Time, host, part and event, then the other members except the log level as `name=value`.
[[nodiscard]] std::string to_string(const record &line);

} // namespace heathermoor::trace
