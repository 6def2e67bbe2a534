#pragma once

#include <string_view>
#include <system_error>

namespace heathermoor {

/// @brief Error conditions reported by heathermoor; the numeric values are sent between hosts.
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

/// @brief Error category of `errc`.
/// @return Singleton instance; it lives until the process exits.
[[nodiscard]] const std::error_category &category() noexcept;

/// @brief Converts an `errc` to `std::error_code`; `std::error_code` finds it by argument-dependent lookup.
/// @param code Error condition.
/// @return Error code in `category()`.
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

/// @brief Stable name of an error, as sent to clients in the `code` member.
/// @param code Error condition.
/// @return Name in snake_case; points to static storage.
[[nodiscard]] std::string_view code_name(errc code) noexcept;

/// @brief HTTP status code with which an error is returned.
/// @param code Error condition.
/// @return HTTP status; 200 for `errc::ok`.
[[nodiscard]] int http_status(errc code) noexcept;

/// @brief Converts the numeric error value of a received message.
/// @param value Numeric value; may be out of range.
/// @return The matching error, or `malformed_request` if `value` is above `errc::last`.
[[nodiscard]] errc to_errc(unsigned value) noexcept;

} // namespace heathermoor

template <>
struct std::is_error_code_enum<heathermoor::errc> : std::true_type {};
