#pragma once

#include "heathermoor/config/policy.hpp"
#include "heathermoor/submission/owner_table.hpp"
#include <optional>
#include <string>
#include <string_view>

namespace heathermoor::adapter {

/// @brief Limits of a request from a caller.
struct request_limits {
    std::size_t max_body_bytes{4U << 20U};
    std::size_t max_tasks{120};
    std::size_t max_depth{32};
};

/// @brief Job as read from a caller's request.
struct parsed_job {
    submission::job_spec spec;
    /// First error found; the job must not run unless it is `ok`.
    errc error{errc::ok};
    /// Field or value that the error is about.
    std::string detail;
    /// Whether customer and id could be read, so that the owner can close the id.
    bool has_identity{};
};

/// @brief Reads a job.
/// @param text Body of the request.
/// @param limits Limits.
/// @return Job, or the error that was found.
[[nodiscard]] parsed_job parse_job(const std::string &text, const request_limits &limits);

/// @brief Checks a job against the configuration and fills in its deadline.
/// @param job Job; its error is set if the configuration does not allow it.
/// @param current Configuration.
void check_job(parsed_job &job, const config::policy &current);

/// @brief Whether a token belongs to a customer of a service.
/// @param current Configuration.
/// @param customer Customer.
/// @param service Service; any if empty.
/// @param token Token as the caller sent it.
/// @return `ok`, `unauthorized`, `unknown_customer` or `unknown_service`.
[[nodiscard]] errc check_credential(const config::policy &current, const customer_id &customer, const service_id &service,
                                    std::string_view token);

/// @brief Depth of the brackets in a JSON text.
/// @param text JSON text.
/// @return Deepest level.
[[nodiscard]] std::size_t nesting_depth(std::string_view text) noexcept;

/// @brief Answer to a caller whose job is complete.
/// @param id Submission id.
/// @param result Outcome of kind `complete`.
/// @return JSON text.
[[nodiscard]] std::string complete_body(const submission_id &id, const submission::outcome &result);

/// @brief Answer to a caller whose job is not complete, as RFC 7807 describes.
/// @param id Submission id; empty if it could not be read.
/// @param result Outcome.
/// @param detail Field or value that the error is about.
/// @return JSON text.
[[nodiscard]] std::string problem_body(const submission_id &id, const submission::outcome &result, std::string_view detail);

} // namespace heathermoor::adapter
