#pragma once

#include "heathermoor/placement/scheduling_policy.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace heathermoor::bench {

/// @brief Generated task, including its run time, which schedulers other than the clairvoyant one do not know.
struct generated_task {
    placement::customer_index customer{};
    std::uint64_t request{};
    milliseconds size_hint{};
    /// Run time on a target of speed 1.
    duration work{};
    time_point arrival;
    time_point deadline;
    time_point cancelled_at{time_point::max()};
    bool is_short{};
    /// Whether the task arrives during the load peak.
    bool in_peak{};
};

/// @brief Generated target with its true speed and its faults.
struct generated_target {
    std::uint32_t slots{};
    double speed{1.0};
    /// Whether every task fails at once.
    bool fails_all{};
    /// Time from which the target refuses connections.
    time_point crashes_at{time_point::max()};
    /// Time from which the target gets no more tasks.
    time_point leaves_at{time_point::max()};
};

/// @brief Tasks and targets of one simulated run.
struct workload {
    std::string name;
    std::vector<generated_target> targets;
    std::vector<generated_task> tasks;
    std::vector<placement::customer_share> customers;
    /// Customer that floods the queue and is excluded from the figures; -1 if none.
    std::int64_t flooding_customer{-1};
};

/// @brief Generates all workloads.
/// @param seed Random seed; the same seed gives the same workloads.
/// @return Workloads, named after the situation that they model.
[[nodiscard]] std::vector<workload> make_workloads(std::uint64_t seed);

} // namespace heathermoor::bench
