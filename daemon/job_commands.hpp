#pragma once

#include "arguments.hpp"

namespace heathermoor::ctl {

/// @brief Prints the status and the active configuration of hosts.
/// @param in Addresses of the hosts, and the output format.
/// @return Exit code.
[[nodiscard]] int status(const arguments &in);

/// @brief Submits a job and waits for its response.
/// @param in Host, token and the job's file; `-` is the standard input.
/// @return Exit code.
[[nodiscard]] int submit(const arguments &in);

/// @brief Cancels a job.
/// @param in Host, token, customer and submission id.
/// @return Exit code.
[[nodiscard]] int cancel(const arguments &in);

/// @brief Waits for the outcome of a job.
/// @param in Host, token, customer, submission id and longest wait.
/// @return Exit code.
[[nodiscard]] int job(const arguments &in);

/// @brief Requests submission ids from a host.
/// @param in Host and number of ids.
/// @return Exit code.
[[nodiscard]] int mint(const arguments &in);

} // namespace heathermoor::ctl
