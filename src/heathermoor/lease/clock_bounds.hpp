#pragma once

#include "heathermoor/core/time.hpp"
#include <algorithm>

namespace heathermoor::lease {

/// @brief Time on a target's steady clock, in milliseconds since its boot.
enum class target_time : std::int64_t {};

/// @brief Largest rate error of a slow target clock, in percent; guaranteed by the platform.
inline constexpr std::int64_t max_clock_slowdown_percent = 2;

/// @brief Lower bound on a target's clock, derived from the times it reported.
class clock_bounds {
  public:
    /// @brief Updates the bound from a reported time; it never decreases.
    /// @param reading Time that the target reported.
    /// @param received When it arrived here; the target read its clock earlier.
    void observe(target_time reading, time_point received) noexcept {
        const auto reported = static_cast<std::int64_t>(reading);
        m_reading = m_known ? std::max(reported, static_cast<std::int64_t>(earliest(received))) : reported;
        m_received = received;
        m_known = true;
    }

    /// @brief Clears the bound; required when the target restarts.
    void reset() noexcept { m_known = false; }

    /// @brief Whether a time was reported since construction or the last reset.
    /// @return True if so.
    [[nodiscard]] bool known() const noexcept { return m_known; }

    /// @brief Earliest time that the target's clock can show.
    /// @param now Time on this host's steady clock.
    /// @return Lower bound; zero if no time was reported.
    [[nodiscard]] target_time earliest(time_point now) const noexcept {
        if(!m_known) {
            return target_time{0};
        }
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now - m_received).count();
        return target_time{m_reading + std::max<std::int64_t>(0, elapsed) * (100 - max_clock_slowdown_percent) / 100};
    }

  private:
    std::int64_t m_reading{};
    time_point m_received{};
    bool m_known{};
};

/// @brief Adds a duration to a time on a target's clock.
/// @param at Time to add to.
/// @param length Duration; may be negative.
/// @return Sum on the same clock.
[[nodiscard]] constexpr target_time operator+(target_time at, milliseconds length) noexcept {
    return target_time{static_cast<std::int64_t>(at) + length.count()};
}

} // namespace heathermoor::lease
