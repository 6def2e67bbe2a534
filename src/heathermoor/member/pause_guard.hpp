#pragma once

#include "heathermoor/core/time.hpp"

namespace heathermoor::member {

/// @brief Tells after a pause of the event loop whether what arrived meanwhile may still lie unread.
///
/// Connections that were closed during the pause look open until their sockets are read. The loop reads all sockets that have
/// bytes, or were closed, between two calls of its timer. Of several long gaps in a row only every second one counts, so that a
/// host that is late all the time because of its load still acts.
class pause_guard {
  public:
    /// @brief Notes a call of the host's timer.
    /// @param now Monotonic time, which includes suspension.
    void ticked(time_point now) noexcept {
        m_paused = !m_paused && now - m_ticked_at > longest_pause;
        m_ticked_at = now;
    }

    /// @brief Whether the loop has paused, and its timer has not been called a second time since.
    /// @param now Monotonic time, which includes suspension.
    /// @return True while the state of connections may be out of date.
    [[nodiscard]] bool unread(time_point now) const noexcept { return m_paused || now - m_ticked_at > longest_pause; }

    /// Time between two calls of the timer from which the loop counts as paused; eight of its intervals.
    static constexpr milliseconds longest_pause{200};

  private:
    time_point m_ticked_at;
    bool m_paused{};
};

} // namespace heathermoor::member
