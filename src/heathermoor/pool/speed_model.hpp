#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/pool/run_statistics.hpp"
#include <optional>
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

    /// @brief Figures that the speed of a target rests on.
    /// @param target Target.
    /// @return Figures without a boot; nothing for a target that has ended no task.
    [[nodiscard]] std::optional<target_statistics> learned(const target_id &target) const;

    /// @brief Takes over what the present scheduler has learned of a target; replaces what is known here.
    /// @param earlier What it has learned.
    void restore(const target_statistics &earlier);

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
