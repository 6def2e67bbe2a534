#pragma once

#include "heathermoor/metrics/work_meter.hpp"
#include "heathermoor/port/ports.hpp"
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>

namespace heathermoor::adapter {

/// @brief Looks at an event loop from a thread of its own and logs when it stalls (`loop_stalled`).
///
/// A loop that does not go on answers no request for metrics and writes no line, so from outside it looks like a host that
/// was lost. The line says whether the loop spins, a call in it blocks, or the whole process did not run.
class loop_monitor {
  public:
    /// @brief Starts the thread.
    /// @param meter Meter of the loop's thread; has to outlive the monitor.
    /// @param clock Monotonic time that includes suspension; has to outlive the monitor.
    loop_monitor(const metrics::work_meter &meter, const port::clock_port &clock);
    ~loop_monitor();
    loop_monitor(const loop_monitor &) = delete;
    loop_monitor &operator=(const loop_monitor &) = delete;
    loop_monitor(loop_monitor &&) = delete;
    loop_monitor &operator=(loop_monitor &&) = delete;

    /// @brief Notes that the loop has called its periodic timer.
    void turned() noexcept { m_turns.fetch_add(1, std::memory_order_relaxed); }

  private:
    void run();

    const metrics::work_meter &m_meter;
    const port::clock_port &m_clock;
    std::atomic<std::uint64_t> m_turns{};
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping{};
    std::thread m_thread;
};

} // namespace heathermoor::adapter
