#pragma once

#include "heathermoor/core/time.hpp"
#include <cstdint>

namespace heathermoor::placement {

/// @brief Outlier detection for one target: limits its tasks according to their results.
///
/// A target is ejected after consecutive failures and later probed with one
/// task at a time. Each further ejection lasts twice as long, up to a limit.
class target_health {
  public:
    /// @brief Health as seen from the results; `unproven` until the first success or ejection.
    enum class state : std::uint8_t { unproven, healthy, ejected, probing };

    /// @brief Maximum number of tasks that may run at the target; starts probing when an ejection has ended.
    /// @param slots Number of tasks that the target runs at once.
    /// @param now Monotonic time of the call.
    /// @return Limit of at most `slots`; zero while the target is ejected.
    [[nodiscard]] std::uint32_t limit(std::uint32_t slots, time_point now) noexcept;

    /// @brief Records a successful task; ignored while the target is ejected.
    void succeeded() noexcept;

    /// @brief Records a task that failed or could not be delivered; ignored while the target is ejected.
    /// @param now Monotonic time of the call.
    /// @param decisive Whether to eject the target at once, as after a refused connection.
    void failed(time_point now, bool decisive) noexcept;

    /// @brief Current state.
    /// @return State after the last recorded result or call to `limit`.
    [[nodiscard]] state current() const noexcept { return m_state; }

    /// @brief End of the current ejection.
    /// @return Time from which the target may be probed; meaningful only while it is ejected.
    [[nodiscard]] time_point ejected_until() const noexcept { return m_until; }

  private:
    void eject(time_point now) noexcept;

    state m_state{state::unproven};
    std::uint32_t m_failures{};
    std::uint32_t m_ejections{};
    time_point m_until{};
};

} // namespace heathermoor::placement
