#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/job/job.hpp"
#include "heathermoor/pool/job_size.hpp"
#include <cstdint>
#include <map>

namespace heathermoor::pool {

/// @brief Counters for metrics and heartbeats.
struct scheduler_counts {
    std::uint64_t starts{};
    job::outcome_counts ended;
    std::uint64_t cancelled{};
    std::uint64_t runs_failed{};
    std::uint64_t runs_lost{};
    /// Waiting jobs that placement rounds have looked at, and those among them for which a target was sought.
    std::uint64_t jobs_examined{};
    std::uint64_t jobs_tried{};
    /// Targets that placement rounds have compared for a task, each as often as it was compared.
    std::uint64_t targets_compared{};
    /// Outcomes by size, of each queue that has had a job here.
    std::map<queue_id, queue_counts> queues;
};

} // namespace heathermoor::pool
