#pragma once

#include "heathermoor/config/policy.hpp"
#include "heathermoor/submission/owner_table.hpp"
#include <optional>
#include <string>
#include <string_view>

namespace heathermoor::adapter {

/// @brief Limits on a client's request.
struct request_limits {
    std::size_t max_body_bytes{4U << 20U};
    std::size_t max_tasks{120};
    std::size_t max_depth{32};
};

/// @brief Job parsed from a client's request.
struct parsed_job {
    submission::job_spec spec;
    /// First error found; the job may run only if this is `ok`.
    errc error{errc::ok};
    /// Name of the invalid field, or the invalid value.
    std::string detail;
    /// Whether customer and submission id were read, so that the owner can record the refusal under the id.
    bool has_identity{};
};

/// @brief Parses a job.
/// @param text Body of the request, JSON.
/// @param limits Limits on size, tasks and nesting.
/// @return Job as far as it could be read; `error` holds the first error.
[[nodiscard]] parsed_job parse_job(const std::string &text, const request_limits &limits);

/// @brief Checks a job against the configuration and sets its deadline, limited to the service's maximum.
/// @param job Parsed job; its error is set if the configuration does not allow it and it has no error yet.
/// @param current Configuration in force.
void check_job(parsed_job &job, const config::policy &current);

/// @brief Checks a bearer token against the configured credentials of a customer.
/// @param current Configuration in force.
/// @param customer Customer that the client claims to be.
/// @param service Service that the client uses; empty accepts the customer's token of any service.
/// @param token Token as the client sent it.
/// @return `ok`, `unauthorized`, `unknown_customer` or `unknown_service`.
[[nodiscard]] errc check_credential(const config::policy &current, const customer_id &customer, const service_id &service,
                                    std::string_view token);

/// @brief Nesting depth of a JSON text, computed without parsing it.
/// @param text JSON text; brackets inside strings are not counted.
/// @return Largest number of open brackets and braces; zero for a scalar.
[[nodiscard]] std::size_t nesting_depth(std::string_view text) noexcept;

/// @brief Response body for a completed job.
/// @param id Submission id of the job.
/// @param result Outcome of kind `complete`; its results are JSON texts and are copied unchanged.
/// @return JSON text.
[[nodiscard]] std::string complete_body(const submission_id &id, const submission::outcome &result);

/// @brief Response body for a job that was not completed, as problem details (RFC 7807).
/// @param id Submission id; left out if empty.
/// @param result Outcome of another kind than `complete`.
/// @param detail Invalid field or value; left out if empty.
/// @return JSON text.
[[nodiscard]] std::string problem_body(const submission_id &id, const submission::outcome &result, std::string_view detail);

} // namespace heathermoor::adapter
