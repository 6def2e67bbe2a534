#include "heathermoor/metrics/stall_detector.hpp"

#include <utility>

namespace heathermoor::metrics {

namespace internal {

/// Time in one turn from which a loop counts as stalled; 40 intervals of the hosts' timer.
constexpr milliseconds stall_limit{1'000};

/// Share of the elapsed time from which a stalled loop counts as using the processor; hosts may have a tenth of a core.
constexpr double busy_share = 0.02;

/// Intervals between two looks from which the whole process counts as suspended.
constexpr int suspended_intervals = 3;

} // namespace internal

std::string_view name_of(stall_kind kind) noexcept {
    switch(kind) {
    case stall_kind::busy:
        return "busy";
    case stall_kind::blocked:
        return "blocked";
    case stall_kind::suspended:
        break;
    }
    return "suspended";
}

void stall_detector::restart(const loop_sample &sample, time_point now) noexcept {
    m_since = now;
    m_first = sample;
    m_next_report = internal::stall_limit;
}

std::optional<stall> stall_detector::look(const loop_sample &sample, time_point now) {
    const auto previous = std::exchange(m_looked_at, now);
    if(!previous) {
        restart(sample, now);
        return std::nullopt;
    }
    const auto unseen = now - *previous;
    if(unseen >= m_interval * internal::suspended_intervals) {
        const auto cpu = sample.cpu - m_first.cpu;
        restart(sample, now);
        return stall{stall_kind::suspended, unseen, cpu, sample.part};
    }
    if(sample.turns != m_first.turns) {
        restart(sample, now);
        return std::nullopt;
    }
    const auto lasted = now - m_since;
    if(lasted < m_next_report) {
        return std::nullopt;
    }
    m_next_report = lasted * 2;
    const auto cpu = sample.cpu - m_first.cpu;
    const bool busy = to_ms(cpu) >= to_ms(lasted) * internal::busy_share;
    return stall{busy ? stall_kind::busy : stall_kind::blocked, lasted, cpu, sample.part};
}

} // namespace heathermoor::metrics
