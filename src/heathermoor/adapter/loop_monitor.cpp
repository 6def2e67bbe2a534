#include "heathermoor/adapter/loop_monitor.hpp"

#include "heathermoor/core/event.hpp"
#include "heathermoor/metrics/stall_detector.hpp"
#include <ctime>

namespace heathermoor::adapter {

namespace internal {

/// Interval at which the monitor looks at the loop.
constexpr milliseconds look_interval{500};

[[nodiscard]] duration process_cpu_time() {
    timespec value{};
    (void)::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return std::chrono::duration_cast<duration>(std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec});
}

} // namespace internal

loop_monitor::loop_monitor(const metrics::work_meter &meter, const port::clock_port &clock)
    : m_meter{meter}, m_clock{clock}, m_thread{[this] { run(); }} {}

loop_monitor::~loop_monitor() {
    {
        const std::lock_guard lock{m_mutex};
        m_stopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void loop_monitor::run() {
    metrics::stall_detector detector{internal::look_interval};
    std::unique_lock lock{m_mutex};
    while(!m_wake.wait_for(lock, internal::look_interval, [this] { return m_stopping; })) {
        const metrics::loop_sample sample{m_turns.load(std::memory_order_relaxed), internal::process_cpu_time(), m_meter.current()};
        const auto stalled = detector.look(sample, m_clock.now());
        if(stalled) {
            log_event(log_level::warning, "process", "loop_stalled",
                      {{"kind", name_of(stalled->kind)},
                       {"lasted_ms", stalled->lasted},
                       {"cpu_ms", stalled->cpu},
                       {"doing", name_of(stalled->part)}});
        }
    }
}

} // namespace heathermoor::adapter
