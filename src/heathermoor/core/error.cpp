#include "heathermoor/core/error.hpp"

#include <array>
#include <string>

namespace heathermoor {

namespace internal {

struct error_entry {
    errc code;
    std::string_view name;
    int status;
    std::string_view message;
};

constexpr std::array entries{
    error_entry{errc::ok, "ok", 200, "success"},
    error_entry{errc::malformed_request, "malformed_request", 400, "the request is not well-formed"},
    error_entry{errc::unknown_field, "unknown_field", 400, "the request has a field that the interface does not define"},
    error_entry{errc::body_too_large, "body_too_large", 413, "the request body exceeds the size limit"},
    error_entry{errc::too_many_tasks, "too_many_tasks", 400, "the job has more tasks than a job may have"},
    error_entry{errc::no_tasks, "no_tasks", 400, "the job has no task"},
    error_entry{errc::invalid_submission_id, "invalid_submission_id", 400, "the submission id is not of a known kind"},
    error_entry{errc::unauthorized, "unauthorized", 401, "the credential does not match the customer"},
    error_entry{errc::unknown_customer, "unknown_customer", 404, "the service has no such customer"},
    error_entry{errc::unknown_service, "unknown_service", 404, "there is no such service"},
    error_entry{errc::request_not_allowed, "request_not_allowed", 403, "the customer may not send this request"},
    error_entry{errc::submission_conflict, "submission_conflict", 409, "the submission id was used with another body"},
    error_entry{errc::submission_expired, "submission_expired", 410, "the submission id is older than the retention"},
    error_entry{errc::owner_unavailable, "owner_unavailable", 503, "the owner of the submission id did not answer"},
    error_entry{errc::outcome_lost, "outcome_lost", 503, "the job may have run; its outcome was lost with its owner"},
    error_entry{errc::record_unavailable, "record_unavailable", 503, "the admission could not be recorded"},
    error_entry{errc::overloaded, "overloaded", 503, "the queues are full"},
    error_entry{errc::deadline_unreachable, "deadline_unreachable", 503, "the predicted wait exceeds the deadline"},
    error_entry{errc::deadline_exceeded, "deadline_exceeded", 504, "the deadline passed before the job was complete"},
    error_entry{errc::no_target, "no_target", 422, "no target can run this request"},
    error_entry{errc::task_failed, "task_failed", 502, "a task failed at its target"},
    error_entry{errc::task_outcome_unknown, "task_outcome_unknown", 502, "a task was started and its outcome is unknown"},
    error_entry{errc::cancelled, "cancelled", 409, "the job was cancelled"},
    error_entry{errc::draining, "draining", 503, "the host is shutting down"},
    error_entry{errc::not_ready, "not_ready", 503, "the host has no configuration yet"},
    error_entry{errc::not_found, "not_found", 404, "the submission is not known"},
    error_entry{errc::table_full, "table_full", 503, "the submission table is full"},
    error_entry{errc::still_running, "still_running", 202, "the job is still running"},
    error_entry{errc::target_refused, "target_refused", 503, "the target refused the task before starting it"},
    error_entry{errc::target_unreachable, "target_unreachable", 503, "the target refused the connection"},
    error_entry{errc::log_unavailable, "log_unavailable", 503, "the platform's log did not answer"},
    error_entry{errc::append_unknown, "append_unknown", 504, "the answer to an append was lost; it may have taken effect"},
    error_entry{errc::config_invalid, "config_invalid", 422, "the declarations are not valid"},
    error_entry{errc::config_conflict, "config_conflict", 409, "an item changed since the version this change is based on"},
    error_entry{errc::config_unsupported_schema, "config_unsupported_schema", 422, "the schema is newer than this program"},
    error_entry{errc::config_duplicate_change, "config_duplicate_change", 409, "the change id was used before"},
    error_entry{errc::invalid_setting, "invalid_setting", 400, "a setting is not valid"},
    error_entry{errc::peer_unreachable, "peer_unreachable", 503, "a peer host did not answer"},
    error_entry{errc::stale_message, "stale_message", 503, "a message arrived after its validity"},
    error_entry{errc::route_not_found, "route_not_found", 404, "no queue matches the host and path"},
    error_entry{errc::not_configured, "not_configured", 503, "the host has no configuration yet"},
    error_entry{errc::not_supported, "not_supported", 503, "the job asks for a feature that is not offered; it has not run"},
    error_entry{errc::header_too_large, "header_too_large", 431, "the request header exceeds the size limit"},
    error_entry{errc::client_closed, "client_closed", 499, "the caller closed its connection"},
    error_entry{errc::no_leader, "no_leader", 503, "no host schedules the pool at the moment; the job has not run"},
    error_entry{errc::leader_lost, "leader_lost", 504, "the host that scheduled the job was lost; the job may have run"},
    error_entry{errc::attempts_exhausted, "attempts_exhausted", 502, "a task failed as often as its queue allows"},
    error_entry{errc::store_unavailable, "store_unavailable", 503, "the platform's store did not answer"},
    error_entry{errc::history_lost, "history_lost", 410, "the records asked for are no longer kept"},
};

static_assert(entries.size() == static_cast<std::size_t>(errc::last) + 1);

class error_category final : public std::error_category {
  public:
    [[nodiscard]] const char *name() const noexcept override { return "heathermoor"; }

    [[nodiscard]] std::string message(int value) const override {
        return std::string{entries.at(static_cast<std::size_t>(to_errc(static_cast<unsigned>(value)))).message};
    }
};

} // namespace internal

const std::error_category &category() noexcept {
    static const internal::error_category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), category()};
}

std::string_view code_name(errc code) noexcept {
    return internal::entries[static_cast<std::size_t>(to_errc(static_cast<unsigned>(code)))].name;
}

int http_status(errc code) noexcept {
    return internal::entries[static_cast<std::size_t>(to_errc(static_cast<unsigned>(code)))].status;
}

errc to_errc(unsigned value) noexcept {
    return value <= static_cast<unsigned>(errc::last) ? static_cast<errc>(value) : errc::malformed_request;
}

} // namespace heathermoor
