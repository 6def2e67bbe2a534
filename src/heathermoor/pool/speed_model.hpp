#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include <unordered_map>

namespace heathermoor::pool {

/// @brief Learns how fast each target runs tasks, against the mean of all.
class speed_model {
  public:
    /// @brief Speed of a target.
    /// @param target Target.
    /// @return One for the mean; two for a target that takes half the time.
    [[nodiscard]] double speed(const target_id &target) const;

    /// @brief Learns from a finished task.
    /// @param target Target that ran it.
    /// @param observed Run time.
    /// @param expected Run time expected of a target of mean speed.
    void observe(const target_id &target, duration observed, duration expected);

    /// @brief Forgets a target, as after a restart as another kind.
    /// @param target Target.
    void forget(const target_id &target);

  private:
    struct statistics {
        double mean_log_ratio{};
        std::uint32_t samples{};
    };

    std::unordered_map<target_id, statistics> m_targets;
    /// Sum of the mean ratios of all targets, so that speeds stay relative to the mean.
    double m_sum{};
};

} // namespace heathermoor::pool
