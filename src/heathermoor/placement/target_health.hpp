#pragma once

#include "heathermoor/core/time.hpp"
#include <cstdint>

namespace heathermoor::placement {

/// @brief Decides whether a target may get tasks, from the results it gave.
///
/// A target is ejected after a run of failures, then probed with one task at a
/// time; each further ejection lasts twice as long as the last.
class target_health {
  public:
    /// @brief State of a target.
    enum class state : std::uint8_t { unproven, healthy, ejected, probing };

    /// @brief Most tasks that may be outstanding at the target.
    /// @param slots Slots that the target declares.
    /// @param now Current time.
    /// @return Limit; zero while the target is ejected.
    [[nodiscard]] std::uint32_t limit(std::uint32_t slots, time_point now) noexcept;

    /// @brief Records a task that ran to its end.
    void succeeded() noexcept;

    /// @brief Records a task that failed at the target or could not reach it.
    /// @param now Current time.
    /// @param decisive Ejects at once, as for a refused connection.
    void failed(time_point now, bool decisive) noexcept;

    /// @brief Current state.
    /// @return State as of the last call that was given a time.
    [[nodiscard]] state current() const noexcept { return m_state; }

    /// @brief End of the current ejection.
    /// @return Time at which a probe may start.
    [[nodiscard]] time_point ejected_until() const noexcept { return m_until; }

  private:
    void eject(time_point now) noexcept;

    state m_state{state::unproven};
    std::uint32_t m_failures{};
    std::uint32_t m_ejections{};
    time_point m_until{};
};

} // namespace heathermoor::placement
