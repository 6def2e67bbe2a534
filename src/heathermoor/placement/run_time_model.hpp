#pragma once

#include "heathermoor/core/time.hpp"
#include <cstdint>
#include <unordered_map>

namespace heathermoor::placement {

/// @brief Identifies a class of tasks with similar expected run times.
enum class run_time_class : std::uint64_t {};

/// @brief Estimates run times on a target of speed 1 for each class of tasks.
///
/// The estimate is a moving average of the logarithm of the run time, so that a
/// few stragglers do not raise the estimate of their whole class.
///
/// A class is a request of a service together with the declared run time rounded
/// to a power of two. The declared run time serves as the initial estimate.
class run_time_model {
  public:
    /// @brief Determines the class of a task.
    /// @param request Digest of service and request.
    /// @param size_hint Run time declared by the client; zero if none.
    /// @return Class to pass to `estimate` and `observe`.
    [[nodiscard]] static run_time_class classify(std::uint64_t request, milliseconds size_hint) noexcept;

    /// @brief Expected run time on a target of speed 1.
    /// @param kind Class of the task.
    /// @param size_hint Declared run time, used alone before the first sample and weighted with the first samples; zero for a default.
    /// @return Estimate, always positive.
    [[nodiscard]] duration estimate(run_time_class kind, milliseconds size_hint) const;

    /// @brief Adds the run time of a completed task as a sample.
    /// @param kind Class of the task.
    /// @param observed Time from start to result.
    /// @param speed Learned speed of the target that ran the task, by which the sample is scaled to speed 1.
    void observe(run_time_class kind, duration observed, double speed);

  private:
    struct statistics {
        double mean_log_ms{};
        std::uint32_t samples{};
    };

    std::unordered_map<std::uint64_t, statistics> m_classes;
};

} // namespace heathermoor::placement
