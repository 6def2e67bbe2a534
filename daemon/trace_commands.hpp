#pragma once

#include <string>
#include <vector>

namespace heathermoor::ctl {

/// @brief Prints the log lines of a request and the cause of its outcome.
/// @param id Request ID or job ID.
/// @param files Log files of all hosts; `-` reads standard input.
/// @return Exit status: 0 if found, 1 if no log line mentions the ID, 2 if a file cannot be read.
[[nodiscard]] int explain_request(const std::string &id, const std::vector<std::string> &files);

/// @brief Prints the job outcomes of each queue, counted from the logs.
/// @param files Log files of all hosts; `-` reads standard input.
/// @return Exit status: 0 if a job was found, 1 if there is none, 2 if a file cannot be read.
[[nodiscard]] int print_breakdown(const std::vector<std::string> &files);

} // namespace heathermoor::ctl
