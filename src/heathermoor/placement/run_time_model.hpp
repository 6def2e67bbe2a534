#pragma once

#include "heathermoor/core/time.hpp"
#include <cstdint>
#include <unordered_map>

namespace heathermoor::placement {

/// @brief Names a class of tasks that are expected to run alike.
enum class run_time_class : std::uint64_t {};

/// @brief Learns how long each class of tasks runs on a target of speed 1.
///
/// The estimate is a moving mean of the logarithm, so that a few stragglers do
/// not make their whole class look long.
///
/// A class is a request of a service together with the power of two of the
/// declared size; the declared size itself is only the first guess.
class run_time_model {
  public:
    /// @brief Class of a task.
    /// @param request Digest of service and request.
    /// @param size_hint Declared run time; zero if none was declared.
    /// @return Class that the task belongs to.
    [[nodiscard]] static run_time_class classify(std::uint64_t request, milliseconds size_hint) noexcept;

    /// @brief Expected run time on a target of speed 1.
    /// @param kind Class of the task.
    /// @param size_hint Declared run time, used until enough tasks have finished.
    /// @return Expected run time.
    [[nodiscard]] duration estimate(run_time_class kind, milliseconds size_hint) const;

    /// @brief Learns from a finished task.
    /// @param kind Class of the task.
    /// @param observed Run time.
    /// @param speed Speed of the target that ran it.
    void observe(run_time_class kind, duration observed, double speed);

  private:
    struct statistics {
        double mean_log_ms{};
        std::uint32_t samples{};
    };

    std::unordered_map<std::uint64_t, statistics> m_classes;
};

} // namespace heathermoor::placement
