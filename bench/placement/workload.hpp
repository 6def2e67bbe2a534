#pragma once

#include "heathermoor/placement/scheduling_policy.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace heathermoor::bench {

/// @brief Task with everything that only a clairvoyant knows.
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
    bool in_crest{};
};

/// @brief Target with its true speed and its faults.
struct generated_target {
    std::uint32_t slots{};
    double speed{1.0};
    bool fails_all{};
    time_point dies_at{time_point::max()};
    time_point leaves_at{time_point::max()};
};

/// @brief Tasks and targets of one run.
struct workload {
    std::string name;
    std::vector<generated_target> targets;
    std::vector<generated_task> tasks;
    std::vector<placement::customer_share> customers;
    /// Customer whose tasks are not counted, for it floods the others.
    std::int64_t flooding_customer{-1};
};

/// @brief All workloads, from a seed.
/// @param seed Seed.
/// @return Workloads in the users' words.
[[nodiscard]] std::vector<workload> make_workloads(std::uint64_t seed);

} // namespace heathermoor::bench
