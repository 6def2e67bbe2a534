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

/// @brief How a target answered an order.
enum class order_outcome : std::uint8_t {
    done,
    /// A holder with a higher token has taken the target.
    fenced,
    /// The run is not higher than one that was stopped or has ended there.
    stale_run,
    /// The lease asked for had already passed.
    too_late,
    /// The target has no room for it.
    no_capacity,
    /// The order is not well-formed for the target.
    invalid,
    /// The target has done nothing because it is not well.
    unavailable,
    /// Another boot of the target answers at the address.
    wrong_instance,
    /// The order has not left this host.
    not_sent,
    /// No answer: the order may be carried out, now or later.
    unanswered,
};

/// @brief How a run ended.
enum class run_end : std::uint8_t {
    done,
    failed,
    stopped,
    lease_expired,
    /// The run never began.
    not_started,
    /// The target has restarted or has lost the run.
    lost,
};

/// @brief Name of an end, as logs show it.
/// @param how End.
/// @return Name in snake case.
[[nodiscard]] std::string_view name_of(run_end how) noexcept;

/// @brief Run that a target reports as at work.
struct reported_run {
    job::task_ref task;
    run_number run{};
    /// Share of the work that is done, as the target says.
    std::int64_t percent{};
};

/// @brief Run that a target reports as ended.
struct reported_end {
    end_number number{};
    job::task_ref task;
    run_number run{};
    run_end how{run_end::done};
};

/// @brief A target's own account of its runs.
struct target_report {
    target_boot boot{};
    target_time clock{};
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
    /// Least time until the target leaves, if it is draining.
    std::optional<milliseconds> remaining;
};

/// @brief State of a run as far as it is known here.
enum class run_state : std::uint8_t { ordered, unconfirmed, running, stopping };

/// @brief Run that occupies room of a target.
struct run_entry {
    run_number run{};
    resources need;
    run_state state{run_state::ordered};
    time_point ordered_at;
    /// Since when the target is known to have begun it.
    time_point confirmed_at;
    /// When the latest stop was sent.
    time_point stop_sent_at;
    /// When a stop was acknowledged, if one was.
    std::optional<time_point> stop_answered_at;
    /// Since when the run cannot begin any more, if it has not begun: by an
    /// acknowledged stop or by a raised fence.
    std::optional<time_point> cannot_start_since;
    /// Ordered before a restart of the target: the lease asked for says nothing
    /// about the new boot.
    bool before_restart{};
    /// Last reported progress and when it last changed.
    std::int64_t percent{};
    time_point progress_at;
    /// Whether this scheduler ordered the run; false for one found in a report.
    bool ordered_here{true};
    /// Whether the run belongs to a job that is known here.
    bool job_known{true};
};

/// @brief End of a run, found by the ledger.
struct ended_run {
    job::task_ref task;
    run_number run{};
    run_end how{run_end::lost};
    /// Time from the order until the end was known.
    duration elapsed{};
    bool ordered_here{true};
};

/// @brief Run found in a report that this scheduler has not ordered.
struct found_run {
    job::task_ref task;
    run_number run{};
};

/// @brief Changes that a report or an answer brought.
struct ledger_changes {
    std::vector<ended_run> ended;
    std::vector<found_run> found;
    /// The target has restarted since the last report.
    bool restarted{};
};

/// @brief Exact account of what one target may be running.
///
/// An order whose outcome is not known occupies its room until the target's
/// own account, an acknowledged stop or the end of its lease rules it out.
class target_ledger {
  public:
    /// @brief Ledger of a target.
    /// @param capacity Everything that the target offers.
    explicit target_ledger(resources capacity) noexcept : m_capacity{capacity} {}

    /// @brief Changes what the target offers.
    /// @param capacity Everything that the target offers.
    void set_capacity(resources capacity) noexcept { m_capacity = capacity; }

    /// @brief Everything that the target offers.
    /// @return Capacity.
    [[nodiscard]] const resources &capacity() const noexcept { return m_capacity; }

    /// @brief Room that no run can be using.
    /// @return Free room; nothing while a run of unknown size may be at work.
    [[nodiscard]] resources free() const noexcept;

    /// @brief Whether any run may be at work.
    /// @return True if there is an entry.
    [[nodiscard]] bool busy() const noexcept { return !m_runs.empty(); }

    /// @brief Whether a run is at work that belongs to no job known here.
    ///
    /// The lease of such a run must not be renewed: whoever ordered it counts on its end.
    /// @return True while there is one.
    [[nodiscard]] bool has_foreign_run() const noexcept { return m_unknown_needs > 0; }

    /// @brief Time by which everything at work now has ended, if nobody renews its lease.
    /// @param now Current time.
    /// @return Time on this host's clock.
    [[nodiscard]] time_point latest_expiry(time_point now) const noexcept;

    /// @brief All runs that may be at work.
    /// @return Entries by task.
    [[nodiscard]] const std::unordered_map<job::task_ref, run_entry> &runs() const noexcept { return m_runs; }

    /// @brief Entry of a task.
    /// @param task Task.
    /// @return Entry, or null.
    [[nodiscard]] const run_entry *find(const job::task_ref &task) const noexcept;

    /// @brief Notes that a start is about to be sent.
    /// @param task Task without an entry.
    /// @param run Number of the run.
    /// @param need Need of the task.
    /// @param until Lease that the start carries.
    /// @param now Current time.
    void order_start(const job::task_ref &task, run_number run, const resources &need, target_time until, time_point now);

    /// @brief Notes the answer to a start.
    /// @param task Task.
    /// @param run Run that the answer is for.
    /// @param result Answer.
    /// @param now Current time.
    /// @return The end of the run, if it is certain that it has not begun.
    std::optional<ended_run> start_answered(const job::task_ref &task, run_number run, order_outcome result, time_point now);

    /// @brief Notes that a stop is about to be sent.
    /// @param task Task.
    /// @param now Current time.
    void order_stop(const job::task_ref &task, time_point now) noexcept;

    /// @brief Notes that a stop was acknowledged.
    /// @param task Task.
    /// @param run Run that the answer is for.
    /// @param now Current time.
    void stop_answered(const job::task_ref &task, run_number run, time_point now) noexcept;

    /// @brief Notes that a renewal of the lease of all runs is about to be sent.
    /// @param until Lease that it asks for.
    void order_lease(target_time until) noexcept;

    /// @brief Sets the need of a run that was found in a report.
    /// @param task Task.
    /// @param need Need of the task.
    void set_need(const job::task_ref &task, const resources &need) noexcept;

    /// @brief Notes that the target has accepted a higher token: no earlier order is carried out any more.
    /// @param asked When the claim was sent.
    void fence_raised(time_point asked) noexcept;

    /// @brief Takes over the target's own account.
    /// @param report Account.
    /// @param asked When the call for it was sent.
    /// @param now Current time.
    /// @return What changed.
    ledger_changes apply_report(const target_report &report, time_point asked, time_point now);

    /// @brief Drops the runs whose lease has certainly passed.
    /// @param now Current time.
    /// @return Runs that have ended.
    std::vector<ended_run> expire_leases(time_point now);

    /// @brief Lease to ask for now.
    /// @param length Length of the lease.
    /// @param now Current time.
    /// @return Time on the target's clock.
    [[nodiscard]] target_time lease_until(milliseconds length, time_point now) const noexcept { return m_clock.earliest(now) + length; }

    /// @brief Lease that is left by the latest answered renewal.
    /// @param now Current time.
    /// @return Least time left; negative if it may have passed.
    [[nodiscard]] milliseconds lease_left(time_point now) const noexcept;

    /// @brief Notes that the target has confirmed a lease.
    /// @param until Lease.
    void lease_confirmed(target_time until) noexcept;

    /// @brief Time read from any answer of the target.
    /// @param shown Target's clock.
    /// @param now Current time.
    void observe_clock(target_time shown, time_point now) noexcept { m_clock.observe(shown, now); }

    /// @brief Number of the last end that was taken over.
    /// @return Number; zero if there is none.
    [[nodiscard]] end_number last_end() const noexcept { return m_last_end; }

    /// @brief Boot that gave the last report.
    /// @return Boot, if there was a report.
    [[nodiscard]] std::optional<target_boot> boot() const noexcept { return m_boot; }

  private:
    void remember_end(const job::task_ref &task, run_number run);
    [[nodiscard]] bool has_ended(const job::task_ref &task, run_number run) const;
    void restart(const target_report &report, time_point asked, time_point now, ledger_changes &changes);
    void take_ends(const target_report &report, time_point now, ledger_changes &changes);
    void take_running(const target_report &report, time_point now, ledger_changes &changes);
    void drop_absent(const target_report &report, time_point asked, time_point now, ledger_changes &changes);

    resources m_capacity;
    clock_bounds m_clock;
    std::unordered_map<job::task_ref, run_entry> m_runs;
    /// Latest lease that any order asked for, answered or not.
    target_time m_latest_until{};
    target_time m_confirmed_until{};
    end_number m_last_end{};
    std::optional<target_boot> m_boot;
    target_time m_latest_report{};
    /// Last runs that have ended, so that a report that was overtaken does not revive them.
    std::deque<std::pair<job::task_ref, run_number>> m_recent_ends;
    std::uint32_t m_unknown_needs{};
};

} // namespace heathermoor::lease
