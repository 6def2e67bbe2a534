#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/resources.hpp"
#include "heathermoor/core/time.hpp"
#include <cstdint>
#include <optional>
#include <vector>

namespace heathermoor::reservation {

/// @brief Position of a target in a profile.
enum class target_row : std::uint32_t {};

/// @brief Room that a run gives back when it ends.
struct release {
    time_point at;
    resources room;
};

/// @brief What a waiting job needs: a number of equal tasks.
struct request {
    job_id job;
    /// Resources of one task.
    resources need;
    std::uint32_t tasks{};
    /// Maximum number of its tasks on one target; zero for no limit.
    std::uint32_t max_per_target{};
    /// Predicted time until the last of the tasks ends if all start at once.
    duration run{};
    /// Latest start with which the job meets its latency objective.
    time_point latest;
    /// A task of the job has been started.
    bool begun{};
    /// Targets that its tasks may use.
    std::vector<target_row> rows;
};

/// @brief Time at which all tasks of a job can start together, and where.
struct joint_start {
    time_point at;
    /// One entry for each task.
    std::vector<target_row> rows;
};

/// @brief Predicted end of a run.
///
/// A run that is overdue is taken to last a further part of the time that it has taken: run times have a heavy tail, so the longer a run
/// has taken, the longer it still takes (Mu'alem and Feitelson 2001, "Utilization, Predictability, Workloads, and User Runtime Estimates in
/// Scheduling the IBM SP2 with Backfilling", IEEE TPDS 12(6), correct predictions that prove too short in the same way).
/// @param began When the run was ordered.
/// @param expected Run time expected on its target.
/// @param now Monotonic time of the call.
/// @return Time after `now`.
[[nodiscard]] time_point predicted_end(time_point began, duration expected, time_point now);

/// @brief Free room of each target over time, as the runs there are predicted to end.
class room_profile {
  public:
    /// @brief Creates a profile without targets.
    /// @param now Time at which it begins.
    explicit room_profile(time_point now) noexcept : m_now{now} {}

    /// @brief Adds a target.
    /// @param free Room that is free now.
    /// @param releases Room that is given back later, in any order.
    /// @return Row of the target; rows are numbered from zero in the order of the calls.
    target_row add(const resources &free, std::vector<release> releases);

    /// @brief Time at which the profile begins.
    /// @return Monotonic time.
    [[nodiscard]] time_point now() const noexcept { return m_now; }

    /// @brief Least room of a target during some time.
    /// @param row Target.
    /// @param from Begin of the time.
    /// @param until End of the time; only the room at `from` counts if it is not later.
    /// @return Least amount of each resource.
    [[nodiscard]] resources free(target_row row, time_point from, time_point until) const;

    /// @brief Takes room of a target for some time.
    /// @param row Target.
    /// @param need Room to take; more than is free leaves a negative amount.
    /// @param from Begin of the time.
    /// @param until End of the time.
    void take(target_row row, const resources &need, time_point from, time_point until);

    /// @brief Earliest time at which all tasks of a job can start together.
    /// @param wanted Tasks and the targets that they may use.
    /// @return Time and targets; none if the targets never have room for all at once.
    [[nodiscard]] std::optional<joint_start> earliest(const request &wanted) const;

    /// @brief Start of a job's last task if each one starts as soon as there is room for it.
    ///
    /// That is list scheduling, which ends at most 2 - 1/m times as late as any order on m equal places (Graham 1969, "Bounds on
    /// Multiprocessing Timing Anomalies", SIAM J. Appl. Math. 17(2)).
    /// @param wanted Tasks and the targets that they may use.
    /// @return Time; none if there is no target with room for a single task.
    [[nodiscard]] std::optional<time_point> last_start_in_pieces(const request &wanted) const;

  private:
    /// Room from some time on.
    struct step {
        time_point at;
        resources free;
    };

    using steps = std::vector<step>;

    [[nodiscard]] const steps &steps_of(target_row row) const { return m_rows[static_cast<std::size_t>(row)]; }
    /// Number of tasks that can start on a target at some time and run there to their end.
    [[nodiscard]] std::uint32_t places(const request &wanted, target_row row, time_point at) const;
    /// Targets for all tasks at one time; empty if there is not room for all.
    [[nodiscard]] std::vector<target_row> targets_at(const request &wanted, time_point at) const;
    /// Earliest times at which there is room for one more task, ascending, at most one for each task.
    [[nodiscard]] std::vector<time_point> place_times(const request &wanted) const;
    /// Times after the given one at which the room of any of the targets changes, ascending.
    [[nodiscard]] std::vector<time_point> changes_after(const request &wanted, time_point after) const;

    time_point m_now;
    std::vector<steps> m_rows;
};

} // namespace heathermoor::reservation
