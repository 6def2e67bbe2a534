#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/resources.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/job/job.hpp"
#include "heathermoor/lease/clock_bounds.hpp"
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace heathermoor::lease {

/// @brief Result of an order sent to a target: a start, a stop or a call for a report.
enum class order_outcome : std::uint8_t {
    done,
    /// Rejected: the target has seen a higher fencing token.
    fenced,
    /// Rejected: the run number is not above that of a run of the task that was stopped or has ended there.
    stale_run,
    /// Rejected: the requested lease had expired before the order arrived.
    too_late,
    /// Rejected: the target has too few free resources.
    no_capacity,
    /// Rejected as malformed.
    invalid,
    /// Not carried out: the target is temporarily unable to serve.
    unavailable,
    /// Another instance answers at the address.
    wrong_instance,
    /// No part of the order was sent.
    not_sent,
    /// No usable answer: the order may have been carried out, or may still be.
    unanswered,
};

/// @brief How a run ended.
enum class run_end : std::uint8_t {
    done,
    failed,
    stopped,
    lease_expired,
    /// The run was never started.
    not_started,
    /// The target restarted, no longer lists the run, or runs a higher run of the task.
    lost,
};

/// @brief Name of an end in logs and on the wire.
/// @param how Way in which the run ended.
/// @return Name in snake case; static storage.
[[nodiscard]] std::string_view name_of(run_end how) noexcept;

/// @brief Active run in a target's report.
struct reported_run {
    job::task_ref task;
    run_number run{};
    /// Progress in percent, as reported.
    std::int64_t percent{};
};

/// @brief Ended run in a target's report.
struct reported_end {
    end_number number{};
    job::task_ref task;
    run_number run{};
    run_end how{run_end::done};
};

/// @brief Report of a target on its runs.
struct target_report {
    target_boot boot{};
    target_time clock{};
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
    /// Minimum time until the target shuts down; set only while it drains.
    std::optional<milliseconds> remaining;
};

/// @brief State of a run as known to this scheduler.
///
/// A run is `unconfirmed` if its start was not answered, or if the target restarted while the start was in flight.
enum class run_state : std::uint8_t { ordered, unconfirmed, running, stopping };

/// @brief Run that occupies resources of a target.
struct run_entry {
    run_number run{};
    resources need;
    run_state state{run_state::ordered};
    time_point ordered_at;
    /// When the target first confirmed the run; the epoch if it has not.
    time_point confirmed_at;
    /// When the latest stop was sent; the epoch if none was.
    time_point stop_sent_at;
    /// When the target acknowledged a stop, if it did.
    std::optional<time_point> stop_answered_at;
    /// Time from which the target rejects the start if it arrives late: a stop was
    /// acknowledged or the fence was raised.
    std::optional<time_point> cannot_start_since;
    /// Ordered before the target restarted. The requested lease does not bound
    /// the run then, because the new boot has a new clock.
    bool before_restart{};
    /// Last reported progress in percent and when it last changed.
    std::int64_t percent{};
    time_point progress_at;
    /// False for a run that this scheduler learned of from a report.
    bool ordered_here{true};
    /// False while the job of the run, and so its need, is unknown to this scheduler.
    bool job_known{true};
};

/// @brief End of a run as concluded by the ledger.
struct ended_run {
    job::task_ref task;
    run_number run{};
    run_end how{run_end::lost};
    /// Time from the order to the conclusion; zero if the ledger had no entry of the run.
    duration elapsed{};
    /// Whether this scheduler ordered the run.
    bool ordered_here{true};
};

/// @brief Run in a report that the ledger had no entry for.
struct found_run {
    job::task_ref task;
    run_number run{};
};

/// @brief Changes that result from a report.
struct ledger_changes {
    std::vector<ended_run> ended;
    std::vector<found_run> found;
    /// The target has restarted since the previous report.
    bool restarted{};
};

/// @brief Tracks every run that a target may be executing and the resources it occupies.
///
/// A start with an unknown outcome occupies its resources until it is certain
/// that the run is not active: from a report, from an acknowledged stop or a
/// raised fence followed by a report, or because its lease has expired.
class target_ledger {
  public:
    /// @brief Creates a ledger without runs.
    /// @param capacity Total resources of the target.
    explicit target_ledger(resources capacity) noexcept : m_capacity{capacity} {}

    /// @brief Sets the total resources of the target; existing runs are not affected.
    /// @param capacity New total.
    void set_capacity(resources capacity) noexcept { m_capacity = capacity; }

    /// @brief Total resources of the target.
    /// @return Total, whether in use or not.
    [[nodiscard]] const resources &capacity() const noexcept { return m_capacity; }

    /// @brief Resources that no run can be using.
    /// @return Free resources; zero while a run of unknown need may be active.
    [[nodiscard]] resources free() const noexcept;

    /// @brief Whether any run may be active.
    /// @return True if the ledger has an entry.
    [[nodiscard]] bool busy() const noexcept { return !m_runs.empty(); }

    /// @brief Whether a run may be active whose job is unknown to this scheduler.
    ///
    /// The lease must not be renewed meanwhile: the scheduler that ordered such a run relies on its expiry.
    /// @return True while at least one such run has an entry.
    [[nodiscard]] bool has_foreign_run() const noexcept { return m_runs_without_need > 0; }

    /// @brief Latest time at which the current runs end if no lease is renewed.
    /// @param now Time on this host's steady clock.
    /// @return Upper bound on this host's steady clock.
    [[nodiscard]] time_point latest_expiry(time_point now) const noexcept;

    /// @brief All runs that may be active.
    /// @return Entries, keyed by task.
    [[nodiscard]] const std::unordered_map<job::task_ref, run_entry> &runs() const noexcept { return m_runs; }

    /// @brief Finds the run of a task.
    /// @param task Task to look up.
    /// @return Entry, valid until the ledger changes; null if there is none.
    [[nodiscard]] const run_entry *find(const job::task_ref &task) const noexcept;

    /// @brief Records a start that is about to be sent.
    /// @param task Task without an entry.
    /// @param run Number of the new run.
    /// @param need Resources that the run occupies.
    /// @param until Requested end of the lease, on the target's clock.
    /// @param now Time of sending.
    void order_start(const job::task_ref &task, run_number run, const resources &need, target_time until, time_point now);

    /// @brief Records the answer to a start.
    /// @param task Task that was started.
    /// @param run Run in the order; an answer for any other run than the current one is ignored.
    /// @param result Outcome of the order.
    /// @param now Time of arrival.
    /// @return End of the run if the target rejected it or it was not sent; its entry is removed then.
    std::optional<ended_run> start_answered(const job::task_ref &task, run_number run, order_outcome result, time_point now);

    /// @brief Records a stop that is about to be sent.
    /// @param task Task to stop; ignored if it has no entry.
    /// @param now Time of sending.
    void order_stop(const job::task_ref &task, time_point now) noexcept;

    /// @brief Records the acknowledgement of a stop.
    /// @param task Task that was stopped.
    /// @param run Run in the order; an answer for any other run than the current one is ignored.
    /// @param now Time of arrival.
    void stop_answered(const job::task_ref &task, run_number run, time_point now) noexcept;

    /// @brief Records a lease request that is about to be sent; it covers all runs of the target.
    /// @param until Requested end of the lease, on the target's clock.
    void order_lease(target_time until) noexcept;

    /// @brief Sets the need of a run whose job was unknown; any other run is left as it is.
    /// @param task Task of the run.
    /// @param need Resources that the run occupies.
    void set_need(const job::task_ref &task, const resources &need) noexcept;

    /// @brief Records that the target accepted a higher token, so that it rejects all orders sent before.
    /// @param call_sent_at When the call with that token was sent.
    void fence_raised(time_point call_sent_at) noexcept;

    /// @brief Updates the ledger from a report of the target.
    ///
    /// A report with an older clock than the previous one from the same boot is ignored.
    /// @param report Report as decoded.
    /// @param call_sent_at When the call for the report was sent.
    /// @param now Time of arrival.
    /// @return Runs that ended or were found, and whether the target restarted.
    ledger_changes apply_report(const target_report &report, time_point call_sent_at, time_point now);

    /// @brief Removes the runs whose lease has certainly expired.
    ///
    /// Runs ordered before a restart of the target stay: no lease bounds them.
    /// @param now Time on this host's steady clock.
    /// @return Removed runs; empty before the first report.
    std::vector<ended_run> expire_leases(time_point now);

    /// @brief End of a lease to request now.
    /// @param length Duration of the lease.
    /// @param now Time on this host's steady clock.
    /// @return Time on the target's clock.
    [[nodiscard]] target_time lease_until(milliseconds length, time_point now) const noexcept { return m_clock.earliest(now) + length; }

    /// @brief Time until the latest confirmed lease expires.
    /// @param now Time on this host's steady clock.
    /// @return Upper bound, since the target's clock may be ahead of its lower bound; negative once the lease has expired.
    [[nodiscard]] milliseconds lease_left(time_point now) const noexcept;

    /// @brief Records that the target granted a lease.
    /// @param until End of the lease, on the target's clock.
    void lease_confirmed(target_time until) noexcept;

    /// @brief Records the target's clock from any of its answers.
    /// @param reading Time that the target reported.
    /// @param now Time of arrival.
    void observe_clock(target_time reading, time_point now) noexcept { m_clock.observe(reading, now); }

    /// @brief Whether a time that the target gives shows that it has restarted: its clock starts anew with each boot.
    /// @param reading Time that the target reported beside the answer to an order.
    /// @return True if the reading is far behind the latest report of the known boot.
    [[nodiscard]] bool shows_restart(target_time reading) const noexcept;

    /// @brief Number of the last reported end that was applied.
    /// @return Number; zero before the first end of the target's current boot.
    [[nodiscard]] end_number last_end() const noexcept { return m_last_end; }

    /// @brief Boot of the target that sent the latest report.
    /// @return Identifier of the boot; empty before the first report.
    [[nodiscard]] std::optional<target_boot> boot() const noexcept { return m_boot; }

  private:
    void remember_end(const job::task_ref &task, run_number run);
    [[nodiscard]] bool has_ended(const job::task_ref &task, run_number run) const;
    void restart(const target_report &report, time_point call_sent_at, time_point now, ledger_changes &changes);
    void apply_ends(const target_report &report, time_point now, ledger_changes &changes);
    void apply_running(const target_report &report, time_point now, ledger_changes &changes);
    void remove_unlisted(const target_report &report, time_point call_sent_at, time_point now, ledger_changes &changes);

    resources m_capacity;
    clock_bounds m_clock;
    std::unordered_map<job::task_ref, run_entry> m_runs;
    /// Latest end of a lease in any order, answered or not.
    target_time m_latest_until{};
    target_time m_confirmed_until{};
    end_number m_last_end{};
    std::optional<target_boot> m_boot;
    target_time m_latest_report{};
    /// Latest ended runs, so that a report that arrives out of order does not add them again.
    std::deque<std::pair<job::task_ref, run_number>> m_recent_ends;
    /// Entries with an unknown job, and so an unknown need.
    std::uint32_t m_runs_without_need{};
};

} // namespace heathermoor::lease
