#pragma once

#include "heathermoor/catalog/target_catalog.hpp"
#include "heathermoor/lease/target_ledger.hpp"
#include "heathermoor/pool/ports.hpp"
#include <map>
#include <optional>
#include <vector>

namespace heathermoor::model {

/// @brief Target as a model in virtual time: fence, leases on its own clock, boots, numbered ends.
///
/// It starts whatever it is told to, also beyond its capacity; whoever drives it checks.
class target {
  public:
    /// @brief Run at work.
    struct run {
        run_number number{};
        resources need;
        time_point started;
        time_point ends;
        bool fails{};
    };

    /// @brief Target that has just booted and runs nothing.
    /// @param entry What it says of itself on the list.
    /// @param speed Speed; two for half the run time.
    /// @param booted When it booted.
    target(catalog::target_entry entry, double speed, time_point booted = {})
        : m_entry{std::move(entry)}, m_speed{speed}, m_booted{booted} {}

    /// @brief What it says of itself on the list.
    /// @return Entry.
    [[nodiscard]] const catalog::target_entry &entry() const noexcept { return m_entry; }

    /// @brief Its own clock, which is slow.
    /// @param now Current time.
    /// @return Time since its boot on that clock.
    [[nodiscard]] lease::target_time clock(time_point now) const;

    /// @brief Carries out a start.
    /// @param order Order.
    /// @param need Need of the task.
    /// @param work Run time at speed one.
    /// @param fails The run ends as failed.
    /// @param now Current time.
    /// @return Outcome.
    [[nodiscard]] lease::order_outcome start(const pool::start_order &order, const resources &need, duration work, bool fails,
                                             time_point now);

    /// @brief Carries out a stop.
    /// @param order Order.
    /// @param now Current time.
    /// @return Outcome.
    [[nodiscard]] lease::order_outcome stop(const pool::stop_order &order, time_point now);

    /// @brief Carries out a call that asks for a report: fence, lease, ends that were seen.
    /// @param order Order.
    /// @param now Current time.
    /// @return Outcome.
    [[nodiscard]] lease::order_outcome hold(const pool::report_order &order, time_point now);

    /// @brief Its account of its runs.
    /// @param now Current time.
    /// @return Report.
    [[nodiscard]] lease::target_report report(time_point now) const;

    /// @brief When it booted.
    /// @return Time.
    [[nodiscard]] time_point boot() const noexcept { return m_booted; }

    /// @brief Whether ends wait to be seen.
    /// @return True if there are any.
    [[nodiscard]] bool has_ends() const noexcept { return !m_ended.empty(); }

    /// @brief Runs at work.
    /// @return Runs by task.
    [[nodiscard]] const std::map<job::task_ref, run> &runs() const noexcept { return m_runs; }

    /// @brief Sum of the needs of the runs at work.
    /// @return Amount in use.
    [[nodiscard]] resources used() const;

    /// @brief Ends the runs that are over or whose lease has passed.
    /// @param now Current time.
    void advance(time_point now);

    /// @brief Restarts: it runs nothing and has seen no token.
    /// @param now Current time.
    void reboot(time_point now);

  private:
    void end(const job::task_ref &task, lease::run_end how);
    void extend(std::optional<lease::target_time> until, time_point now);

    catalog::target_entry m_entry;
    double m_speed;
    time_point m_booted;
    fencing_token m_fence{};
    lease::target_time m_until{};
    std::map<job::task_ref, run> m_runs;
    std::map<job::task_ref, run_number> m_barred;
    std::vector<lease::reported_end> m_ended;
    std::uint64_t m_next_end{1};
};

} // namespace heathermoor::model
