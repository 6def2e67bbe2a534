#pragma once

#include "heathermoor/core/id.hpp"
#include <cstdint>
#include <vector>

namespace heathermoor::pool {

/// @brief Run times of one queue's tasks, as statistics of their logarithms in milliseconds.
struct queue_statistics {
    queue_id queue;
    /// Tasks seen.
    double samples{};
    double mean_declared{};
    double mean_observed{};
    double variance_declared{};
    double covariance{};
};

/// @brief Speed of one boot of a target.
struct target_statistics {
    target_id target;
    /// Boot that showed it; another one may be of another kind.
    target_boot boot{};
    /// Mean of the logarithm of run time over expected run time.
    double mean_log_ratio{};
    std::uint32_t samples{};
};

/// @brief What a scheduler has learned and its successor should not have to learn anew.
struct run_statistics {
    std::vector<queue_statistics> queues;
    std::vector<target_statistics> targets;

    /// @brief Whether there is anything in it.
    /// @return True if nothing was learned.
    [[nodiscard]] bool empty() const noexcept { return queues.empty() && targets.empty(); }
};

} // namespace heathermoor::pool
