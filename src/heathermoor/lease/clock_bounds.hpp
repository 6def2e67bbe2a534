#pragma once

#include "heathermoor/core/time.hpp"
#include <algorithm>

namespace heathermoor::lease {

/// @brief Time on a target's own steady clock, in milliseconds since its start.
enum class target_time : std::int64_t {};

/// @brief Largest share by which a target's clock may run slow, in percent.
/// Comes from the platform's promise on target clocks.
inline constexpr std::int64_t max_clock_slowdown_percent = 2;

/// @brief Bounds on what a target's clock shows, from the times it reported.
class clock_bounds {
  public:
    /// @brief Takes over a reported time.
    /// @param shown Time that the target reported.
    /// @param received When the report arrived; the target read its clock before that.
    void observe(target_time shown, time_point received) noexcept {
        const auto reported = static_cast<std::int64_t>(shown);
        m_shown = m_known ? std::max(reported, static_cast<std::int64_t>(earliest(received))) : reported;
        m_received = received;
        m_known = true;
    }

    /// @brief Forgets everything, as after a restart of the target.
    void reset() noexcept { m_known = false; }

    /// @brief Whether a time was reported.
    /// @return True after the first report.
    [[nodiscard]] bool known() const noexcept { return m_known; }

    /// @brief Earliest time that the target's clock can show now.
    /// @param now Current time.
    /// @return Lower bound; zero if no time was reported.
    [[nodiscard]] target_time earliest(time_point now) const noexcept {
        if(!m_known) {
            return target_time{0};
        }
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now - m_received).count();
        return target_time{m_shown + std::max<std::int64_t>(0, elapsed) * (100 - max_clock_slowdown_percent) / 100};
    }

  private:
    std::int64_t m_shown{};
    time_point m_received{};
    bool m_known{};
};

/// @brief Adds a duration to a time on a target's clock.
/// @param at Time.
/// @param length Duration.
/// @return Later time.
[[nodiscard]] constexpr target_time operator+(target_time at, milliseconds length) noexcept {
    return target_time{static_cast<std::int64_t>(at) + length.count()};
}

} // namespace heathermoor::lease
