#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/interface.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/job/job.hpp"
#include "heathermoor/lease/target_ledger.hpp"
#include <optional>
#include <string>

namespace heathermoor::pool {

/// @brief Destination of an order and the fencing token that authorizes it.
struct order_address {
    target_id target;
    /// Address of the target's interface, in the form `host:port`.
    std::string address;
    fencing_token token{};
};

/// @brief Order to start a task.
struct start_order {
    order_address to;
    job::task_ref task;
    run_number run{};
    /// Job payload, passed on unchanged.
    std::string payload;
    /// End of the lease for all runs on the target, on the target's clock.
    lease::target_time until{};
};

/// @brief Order to stop a run.
struct stop_order {
    order_address to;
    job::task_ref task;
    run_number run{};
};

/// @brief Why a target is asked for a report of its runs.
enum class report_purpose : std::uint8_t {
    /// Takes the target over from its present holder by a higher token.
    claim,
    /// Long poll: the target answers at the next end of a run, or after `wait`.
    follow,
    /// Renews the lease at once, beside a pending long poll.
    renew,
    /// Only checks whether the target can be reached; carries no token.
    probe,
};

/// @brief Request for a report of a target's runs, which may also renew their lease.
struct report_order {
    order_address to;
    report_purpose purpose{report_purpose::claim};
    /// End of the lease to ask for, on the target's clock; none to leave the lease as it is.
    std::optional<lease::target_time> until;
    /// Number of the last end already processed; the target drops the ends up to it. Zero for none.
    end_number last_end{};
    /// How long the target may delay its answer for an end of a run; zero for an answer at once.
    milliseconds wait{};
};

/// @brief Answer to a start or stop order.
struct order_answer {
    target_id target;
    fencing_token token{};
    job::task_ref task;
    run_number run{};
    lease::order_outcome outcome{lease::order_outcome::unanswered};
    /// End of the lease that the start order carried; zero for a stop.
    lease::target_time until{};
    /// Target's clock, if the answer shows it.
    std::optional<lease::target_time> clock;
};

/// @brief Answer to a request for a report.
struct report_answer {
    target_id target;
    fencing_token token{};
    report_purpose purpose{report_purpose::claim};
    lease::order_outcome outcome{lease::order_outcome::unanswered};
    /// Valid only if the outcome is `done`.
    lease::target_report report;
    /// End of the lease that the request asked for; none if it asked for none.
    std::optional<lease::target_time> until;
    /// Monotonic time at which the request was sent.
    time_point asked;
};

/// @brief Sends orders to targets; each start, stop and report leads to exactly one answer event.
class order_port : public interface {
  public:
    /// @brief Sends a start order.
    /// @param order Task, run number, lease and destination.
    virtual void start(const start_order &order) = 0;

    /// @brief Sends a stop order.
    /// @param order Run to stop and destination.
    virtual void stop(const stop_order &order) = 0;

    /// @brief Sends a request for a report.
    /// @param order Purpose, lease, wait and destination.
    virtual void report(const report_order &order) = 0;

    /// @brief Closes the connections to a target that is no longer used.
    /// @param target Target that gets no further orders from this holder for now.
    virtual void release(const target_id &target) = 0;
};

/// @brief Gateway in one of its sessions with a leader.
///
/// A gateway that comes back to a leader starts a new session, in which it submits the jobs that its callers still wait for. Jobs of
/// earlier sessions may have ended meanwhile, so nothing of the new session keeps them alive.
struct gateway_ref {
    process_ref process;
    gateway_session session{};

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the defaulted comparison
    friend auto operator<=>(const gateway_ref &, const gateway_ref &) = default;
};

/// @brief Sends answers to gateways.
class answer_port : public interface {
  public:
    /// @brief Sends the answer to a job.
    /// @param to Gateway that submitted the job; no other process of its host gets the answer.
    /// @param job Id of the job.
    /// @param answer Outcome, reason and, for a refusal, the retry-after time.
    virtual void answer(const gateway_ref &to, const job_id &job, const job::answer &answer) = 0;
};

} // namespace heathermoor::pool
