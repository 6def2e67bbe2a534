#pragma once

#include <string_view>
#include <system_error>

namespace heathermoor {

/// @brief Every failure that the product reports.
enum class errc : int {
    ok = 0,
    malformed_request,
    unknown_field,
    body_too_large,
    too_many_tasks,
    no_tasks,
    invalid_submission_id,
    unauthorized,
    unknown_customer,
    unknown_service,
    request_not_allowed,
    submission_conflict,
    submission_expired,
    owner_unavailable,
    outcome_lost,
    record_unavailable,
    overloaded,
    deadline_unreachable,
    deadline_exceeded,
    no_target,
    task_failed,
    task_outcome_unknown,
    cancelled,
    draining,
    not_ready,
    not_found,
    table_full,
    still_running,
    target_refused,
    target_unreachable,
    log_unavailable,
    append_unknown,
    config_invalid,
    config_conflict,
    config_unsupported_schema,
    config_duplicate_change,
    invalid_setting,
    peer_unreachable,
    stale_message,
    route_not_found,
    not_configured,
    not_supported,
    header_too_large,
    client_closed,
    no_leader,
    leader_lost,
    attempts_exhausted,
    store_unavailable,
    history_lost,
    last = history_lost,
};

/// @brief Category of the product's errors.
/// @return The one instance.
[[nodiscard]] const std::error_category &category() noexcept;

/// @brief Makes an error code; found by argument-dependent lookup.
/// @param code Failure.
/// @return Error code in the product's category.
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

/// @brief Stable name of a failure, as callers see it in `code`.
/// @param code Failure.
/// @return Name in snake case.
[[nodiscard]] std::string_view code_name(errc code) noexcept;

/// @brief HTTP status that carries a failure.
/// @param code Failure.
/// @return Status code.
[[nodiscard]] int http_status(errc code) noexcept;

/// @brief Failure with a given number, as it arrives in a message.
/// @param value Number.
/// @return The failure, or `malformed_request` if there is none of that number.
[[nodiscard]] errc to_errc(unsigned value) noexcept;

} // namespace heathermoor

template <>
struct std::is_error_code_enum<heathermoor::errc> : std::true_type {};
