#pragma once

#include "heathermoor/trace/record.hpp"
#include <string>
#include <string_view>
#include <vector>

namespace heathermoor::trace {

/// @brief What the logs of all hosts say of one request or job.
struct story {
    /// Lines that name it, or a change of belief that touched it, in time order.
    std::vector<record> lines;
    /// Index of the line that decided its outcome; the number of lines if none did.
    std::size_t deciding{};
    /// Cause in a sentence.
    std::string cause;

    /// @brief Whether a line decided the outcome.
    /// @return True if `deciding` names a line.
    [[nodiscard]] bool decided() const noexcept { return deciding < lines.size(); }
};

/// @brief Joins the lines of all hosts that tell what became of a request.
/// @param records Lines of all hosts.
/// @param id Identifier of the request or of its job.
/// @return Story; without lines if nobody mentions it.
[[nodiscard]] story explain(const std::vector<record> &records, std::string_view id);

/// @brief One line of a story, for reading.
/// @param line Line.
/// @return Text.
[[nodiscard]] std::string to_string(const record &line);

} // namespace heathermoor::trace
