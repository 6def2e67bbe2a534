#pragma once

#include <string>
#include <vector>

namespace heathermoor::ctl {

/// @brief Prints what became of a request, from the hosts' logs.
/// @param id Identifier of the request or of its job.
/// @param files Logs of all hosts; - for standard input.
/// @return Exit status: 1 if no line names it, 2 if a file cannot be read.
[[nodiscard]] int explain_request(const std::string &id, const std::vector<std::string> &files);

/// @brief Prints how the jobs of each queue ended, from the hosts' logs.
/// @param files Logs of all hosts; - for standard input.
/// @return Exit status: 1 if no job is in them, 2 if a file cannot be read.
[[nodiscard]] int print_breakdown(const std::vector<std::string> &files);

} // namespace heathermoor::ctl
