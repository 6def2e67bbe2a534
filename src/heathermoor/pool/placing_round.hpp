#pragma once

#include "heathermoor/core/resources.hpp"
#include "heathermoor/job/job.hpp"
#include "heathermoor/pool/target_holder.hpp"
#include "heathermoor/reservation/room_profile.hpp"
#include <cstdint>
#include <optional>
#include <vector>

namespace heathermoor::pool {

/// @brief Free capacity of a target during one placement round.
struct candidate {
    const held_target *target{};
    resources free;
    double speed{1.0};
    /// Whether the leases of its runs may be extended; not known until a task would go there.
    std::optional<bool> renewable;
    /// Row of the target in the plan of reservations; none without one.
    std::optional<reservation::target_row> row;
};

/// @brief Waiting tasks of one step of a job.
struct ready_tasks {
    const job::step *step{};
    std::uint32_t count{};
};

/// @brief Room on the targets at the start of a placement round.
struct room_found {
    std::vector<candidate> candidates;
    /// Least processor capacity that any waiting task needs, in millicores; no candidate has less.
    std::int64_t least_cpu{};
    /// Much of the capacity is free, so that no target has to be kept for the jobs that need it most.
    bool ample{};
};

/// @brief Properties by which targets are compared for a task.
struct target_fit {
    double speed{1.0};
    /// Processor capacity, in millicores, that the task would leave free.
    std::int64_t cpu_left{};
};

} // namespace heathermoor::pool
