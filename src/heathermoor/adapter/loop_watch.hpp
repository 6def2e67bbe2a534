#pragma once

#include "heathermoor/core/time.hpp"
#include <optional>
#include <utility>

namespace heathermoor::adapter {

/// @brief Bounds how long bytes can have lain unread in the sockets of an event loop.
///
/// A loop that finds a timer due finds all sockets that have bytes by then with it, and reads them before it looks
/// again. So bytes that are read after a later call of the timer came after the time at which the earlier call was due.
/// Connections that wait to be accepted are not covered: a loop accepts one of them in each turn.
class loop_watch {
  public:
    /// @brief Notes a call of a timer by the loop.
    /// @param due Time at which the timer was due, or an earlier one.
    void timer_called(time_point due) noexcept { m_looked = std::exchange(m_latest, due); }

    /// @brief Longest time for which bytes that are read now can have lain unread.
    /// @param now Time at which they are read.
    /// @return Upper bound; negative before the second call of the timer.
    [[nodiscard]] duration unread(time_point now) const noexcept { return m_looked ? now - *m_looked : milliseconds{-1}; }

  private:
    std::optional<time_point> m_latest;
    std::optional<time_point> m_looked;
};

} // namespace heathermoor::adapter
