#pragma once

#include "heathermoor/catalog/target_catalog.hpp"
#include "heathermoor/lease/target_ledger.hpp"
#include "heathermoor/pool/ports.hpp"
#include <map>
#include <optional>
#include <vector>

namespace heathermoor::model {

/// @brief Model of a target in virtual time: fencing, leases on its own clock, reboots and numbered ends.
///
/// It accepts starts beyond its capacity, so that its user can detect overcommitment.
class target {
  public:
    /// @brief Active run.
    struct run {
        run_number number{};
        resources need;
        time_point started;
        time_point ends;
        bool fails{};
        bool stopped{};
    };

    /// @brief Creates a target without runs.
    /// @param entry Entry in the platform's catalog.
    /// @param speed Speed factor; at 2 a run takes half its time.
    /// @param booted Time of its boot, at which its clock is zero.
    target(catalog::target_entry entry, double speed, time_point booted = {}) : m_entry{std::move(entry)}, m_speed{speed} {
        reboot(booted);
    }

    /// @brief Entry in the platform's catalog.
    /// @return Entry as given at construction or at the last restart as another kind, with the present boot.
    [[nodiscard]] const catalog::target_entry &entry() const noexcept { return m_entry; }

    /// @brief Reads the target's clock, which runs slow.
    /// @param now Virtual time.
    /// @return Time since its boot on that clock.
    [[nodiscard]] lease::target_time clock(time_point now) const;

    /// @brief Handles a start.
    /// @param order Start as received.
    /// @param need Resources that the run occupies.
    /// @param work Run time at speed 1.
    /// @param fails Whether the run ends as failed.
    /// @param now Virtual time.
    /// @return `done`, also for a repeated start, or `fenced`, `stale_run` or `too_late`.
    [[nodiscard]] lease::order_outcome start(const pool::start_order &order, const resources &need, duration work, bool fails,
                                             time_point now);

    /// @brief Handles a stop; the run ends soon afterwards and no run up to its number can start again.
    /// @param order Stop as received.
    /// @param now Virtual time.
    /// @return `done` or `fenced`.
    [[nodiscard]] lease::order_outcome stop(const pool::stop_order &order, time_point now);

    /// @brief Handles a call for a report: raises the fence, extends the lease and drops the acknowledged ends.
    /// @param order Call as received.
    /// @param now Virtual time.
    /// @return `done` or `fenced`.
    [[nodiscard]] lease::order_outcome hold(const pool::report_order &order, time_point now);

    /// @brief Creates a report.
    /// @param now Virtual time.
    /// @return All active runs and all ends that were not acknowledged.
    [[nodiscard]] lease::target_report report(time_point now) const;

    /// @brief Time of the last boot.
    /// @return Virtual time.
    [[nodiscard]] time_point boot() const noexcept { return m_booted; }

    /// @brief Whether there are ends that were not acknowledged.
    /// @return True if there are any.
    [[nodiscard]] bool has_ends() const noexcept { return !m_ended.empty(); }

    /// @brief Active runs.
    /// @return Runs, keyed by task.
    [[nodiscard]] const std::map<job::task_ref, run> &runs() const noexcept { return m_runs; }

    /// @brief Resources in use by the active runs.
    /// @return Sum; may exceed the capacity.
    [[nodiscard]] resources used() const;

    /// @brief Ends the runs that have finished or whose lease has expired.
    /// @param now Virtual time.
    void advance(time_point now);

    /// @brief Restarts the target: its runs, ends and highest token are lost.
    /// @param now Virtual time, at which its clock is zero again.
    void reboot(time_point now);

    /// @brief Restarts the target as one of another kind.
    /// @param capacity Its resources from now on.
    /// @param labels Its labels from now on.
    /// @param now Virtual time, at which its clock is zero again.
    void reboot_as(const resources &capacity, std::vector<std::string> labels, time_point now);

  private:
    void end(const job::task_ref &task, lease::run_end how);
    void extend(std::optional<lease::target_time> until, time_point now);

    catalog::target_entry m_entry;
    double m_speed;
    time_point m_booted{};
    fencing_token m_fence{};
    lease::target_time m_lease_until{};
    std::map<job::task_ref, run> m_runs;
    /// Highest run number of each task that must not start any more, because it ended or was stopped.
    std::map<job::task_ref, run_number> m_highest_closed_run;
    std::vector<lease::reported_end> m_ended;
    std::uint64_t m_next_end{1};
};

} // namespace heathermoor::model
