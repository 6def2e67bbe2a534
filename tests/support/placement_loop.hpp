#pragma once

#include "heathermoor/pool/scheduler.hpp"
#include "support/workload.hpp"
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heathermoor::test {

/// @brief Load on one scheduler and what happens to its targets meanwhile.
struct placement_pattern {
    std::string name;
    std::vector<job_kind> kinds;
    /// Factor on the arrivals of a kind, by its index and the time in seconds.
    std::function<double(std::size_t, double)> load;
    /// Share of the jobs that only the first of four racks can run.
    double bound_share{};
    /// Second from which a third of the targets does not answer any more.
    std::optional<double> loss_at;
};

/// @brief Patterns by name: crest, jobs at once, wave, hot rack, loss at the crest.
/// @return All patterns.
[[nodiscard]] std::vector<placement_pattern> placement_patterns();

/// @brief What a strategy gave the callers of one pattern.
struct placement_figures {
    std::size_t wide{};
    std::size_t wide_served{};
    std::size_t narrow{};
    std::size_t narrow_served{};
    std::size_t refused{};
    /// Sum over the wide jobs that were served of the time until their last task had started.
    duration wide_wait{};
    /// Run time of all runs, and of those whose job was not served.
    duration run_time{};
    duration wasted{};
    /// Faults: jobs without an answer, refused jobs of which a task had started, tasks that ran twice at once, overfull targets.
    std::size_t unanswered{};
    std::size_t refused_after_start{};
    std::size_t double_runs{};
    std::size_t overfull{};
    reservation::reservation_counts reservations;
};

/// @brief Plays a pattern on a scheduler with targets that answer at once.
/// @param pattern Load.
/// @param kind Strategy.
/// @param seed Seed of all draws; the jobs are the same for the same seed.
/// @return Figures.
[[nodiscard]] placement_figures play(const placement_pattern &pattern, reservation::backfill_kind kind, std::uint64_t seed);

} // namespace heathermoor::test
