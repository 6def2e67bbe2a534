#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/interface.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/job/job.hpp"
#include "heathermoor/lease/target_ledger.hpp"
#include <optional>
#include <string>

namespace heathermoor::pool {

/// @brief Where an order goes and by whose right.
struct order_address {
    target_id target;
    /// Address of the target's interface, as host and port.
    std::string address;
    fencing_token token{};
};

/// @brief Tells a target to start a task.
struct start_order {
    order_address to;
    job::task_ref task;
    run_number run{};
    /// Opaque text of the job.
    std::string payload;
    /// Lease of everything on the target, on its clock.
    lease::target_time until{};
};

/// @brief Tells a target to stop a run.
struct stop_order {
    order_address to;
    job::task_ref task;
    run_number run{};
};

/// @brief Why a target is asked for its account.
enum class report_purpose : std::uint8_t {
    /// Takes the target over from whoever holds it.
    claim,
    /// Waits for the next end of a run.
    follow,
    /// Renews the lease while another call waits.
    renew,
    /// Only finds out whether the target can be reached; carries no token.
    probe,
};

/// @brief Asks a target for its account of its runs, and renews their lease.
struct report_order {
    order_address to;
    report_purpose purpose{report_purpose::claim};
    /// Lease to ask for; none if nothing needs one.
    std::optional<lease::target_time> until;
    /// Last end that was taken over; the target forgets the ends up to it.
    end_number last_end{};
    /// How long the target may wait for an end before it answers.
    milliseconds wait{};
};

/// @brief Answer to a start or a stop.
struct order_answer {
    target_id target;
    fencing_token token{};
    job::task_ref task;
    run_number run{};
    lease::order_outcome outcome{lease::order_outcome::unanswered};
    /// Lease that a start carried.
    lease::target_time until{};
    std::optional<lease::target_time> clock;
};

/// @brief Answer to a request for a report.
struct report_answer {
    target_id target;
    fencing_token token{};
    report_purpose purpose{report_purpose::claim};
    lease::order_outcome outcome{lease::order_outcome::unanswered};
    /// Set if the outcome is `done`.
    lease::target_report report;
    std::optional<lease::target_time> until;
    /// When the call was sent.
    time_point asked;
};

/// @brief Sends orders to targets; exactly one answer to each comes back as an event.
class order_port : public interface {
  public:
    /// @brief Sends a start.
    /// @param order Order.
    virtual void start(const start_order &order) = 0;

    /// @brief Sends a stop.
    /// @param order Order.
    virtual void stop(const stop_order &order) = 0;

    /// @brief Asks for a report.
    /// @param order Order.
    virtual void report(const report_order &order) = 0;

    /// @brief Closes the connections to a target that is no longer used.
    /// @param target Target.
    virtual void release(const target_id &target) = 0;
};

/// @brief Tells entry hosts how their jobs ended.
class answer_port : public interface {
  public:
    /// @brief Sends the final answer to a job.
    /// @param to Entry host that handed the job in.
    /// @param job Job.
    /// @param answer Answer.
    virtual void answer(const host_id &to, const job_id &job, const job::answer &answer) = 0;
};

} // namespace heathermoor::pool
