#pragma once

#include "heathermoor/core/id.hpp"
#include <cstdint>
#include <vector>

namespace heathermoor::pool {

/// @brief Run times of one queue's tasks: moments of the natural logarithm of milliseconds.
struct queue_statistics {
    queue_id queue;
    /// Number of finished tasks.
    double samples{};
    double mean_declared{};
    double mean_observed{};
    double variance_declared{};
    double covariance{};
    /// Variance of the observed times around their predictions, and the number of tasks that it comes from.
    double variance_residual{};
    double samples_residual{};
    /// Variance between the tasks of one job, and the number of tasks that it comes from.
    double variance_within_job{};
    double samples_within_job{};
};

/// @brief Speed of a target since its last boot.
struct target_statistics {
    target_id target;
    /// Boot that the samples come from; after another boot the target may be of a different kind.
    target_boot boot{};
    /// Mean of ln(run time / expected run time).
    double mean_log_ratio{};
    std::uint32_t samples{};
};

/// @brief Run statistics that a scheduler passes to its successor.
struct run_statistics {
    std::vector<queue_statistics> queues;
    std::vector<target_statistics> targets;

    /// @brief Whether there are no statistics at all.
    /// @return True without any queue or target.
    [[nodiscard]] bool empty() const noexcept { return queues.empty() && targets.empty(); }
};

} // namespace heathermoor::pool
