#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/pool/run_statistics.hpp"
#include <optional>
#include <unordered_map>

namespace heathermoor::pool {

/// @brief Estimates the speed of each target relative to the mean of all targets.
class speed_model {
  public:
    /// @brief Estimated speed of a target.
    /// @param target Target; an unknown one counts as of mean speed.
    /// @return 1 for mean speed, 2 for a target that takes half the time.
    [[nodiscard]] double speed(const target_id &target) const;

    /// @brief Adds a sample to a target's estimate.
    /// @param target Target that ran the task.
    /// @param observed Run time, measured or extrapolated; not positive: the sample is ignored.
    /// @param expected Run time expected on a target of mean speed; not positive: the sample is ignored.
    void observe(const target_id &target, duration observed, duration expected);

    /// @brief Drops a target's samples, for a restart after which it may be of a different kind.
    /// @param target Target; an unknown one is ignored.
    void forget(const target_id &target);

    /// @brief Exports the statistics of a target.
    /// @param target Target.
    /// @return Statistics without a boot, which the caller has to set; none for a target without samples.
    [[nodiscard]] std::optional<target_statistics> learned(const target_id &target) const;

    /// @brief Imports another scheduler's statistics of a target.
    /// @param earlier Statistics; they replace those of the same target here, unless they have no samples.
    void restore(const target_statistics &earlier);

  private:
    struct statistics {
        double mean_log_ratio{};
        std::uint32_t samples{};
    };

    std::unordered_map<target_id, statistics> m_targets;
    /// Sum of `mean_log_ratio` over all targets; speeds are relative to their mean.
    double m_sum{};
};

} // namespace heathermoor::pool
