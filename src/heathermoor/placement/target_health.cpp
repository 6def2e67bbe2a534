#include "heathermoor/placement/target_health.hpp"

#include <algorithm>

namespace heathermoor::placement {

namespace internal {

/// Consecutive failures after which a target is ejected.
constexpr std::uint32_t failures_to_eject = 3;
/// Maximum number of tasks at a target that has not completed one yet.
constexpr std::uint32_t unproven_limit = 2;
/// Duration of the first ejection; doubled up to `max_doublings` times, to 64 s.
constexpr duration first_ejection = seconds{1};
constexpr std::uint32_t max_doublings = 6;

} // namespace internal

std::uint32_t target_health::limit(std::uint32_t slots, time_point now) noexcept {
    if(m_state == state::ejected && now >= m_until) {
        m_state = state::probing;
    }
    switch(m_state) {
    case state::healthy:
        return slots;
    case state::unproven:
        return std::min(slots, internal::unproven_limit);
    case state::probing:
        return std::min<std::uint32_t>(slots, 1);
    case state::ejected:
        break;
    }
    return 0;
}

void target_health::succeeded() noexcept {
    m_failures = 0;
    if(m_state == state::ejected) {
        return;
    }
    if(m_state == state::healthy && m_ejections > 0) {
        --m_ejections;
    }
    m_state = state::healthy;
}

void target_health::failed(time_point now, bool decisive) noexcept {
    if(m_state == state::ejected) {
        return;
    }
    ++m_failures;
    if(decisive || m_state == state::probing || m_failures >= internal::failures_to_eject) {
        eject(now);
    }
}

void target_health::eject(time_point now) noexcept {
    m_state = state::ejected;
    m_until = now + internal::first_ejection * (1U << std::min(m_ejections, internal::max_doublings));
    ++m_ejections;
    m_failures = 0;
}

} // namespace heathermoor::placement
