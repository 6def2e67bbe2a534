#pragma once

#include "heathermoor/core/interface.hpp"
#include "heathermoor/core/time.hpp"
#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace heathermoor::metrics {

/// @brief Categories by which a host's CPU time is accounted.
enum class work_part : std::uint8_t {
    /// Waiting for events, and the event loop itself.
    loop,
    /// Heartbeats of other hosts.
    heartbeats,
    /// Jobs, cancellations and queries from other hosts.
    jobs,
    /// Answers, configuration, target lists and run statistics from other hosts.
    answers,
    /// Client requests.
    callers,
    /// Responses of targets to start and stop requests.
    orders,
    /// Reports sent by targets.
    reports,
    /// Responses of the platform's store.
    store,
    /// The host's periodic timer, without the categories below.
    timer,
    /// Sending heartbeats to other hosts.
    beating,
    /// Periodic work of the scheduler: lease renewals, claims of targets and time limits.
    holding,
    /// Placement of tasks on targets.
    placing,
    count,
};

/// @brief Number of work categories.
inline constexpr auto work_parts = static_cast<std::size_t>(work_part::count);

/// @brief Name of a work category in logs and metrics.
/// @param part Any value but `work_part::count`.
/// @return Name in snake case.
[[nodiscard]] constexpr std::string_view name_of(work_part part) noexcept {
    constexpr std::array<std::string_view, work_parts> names{"loop",    "heartbeats", "jobs",  "answers", "callers", "orders",
                                                             "reports", "store",      "timer", "beating", "holding", "placing"};
    return names.at(static_cast<std::size_t>(part));
}

/// @brief Source of the CPU time of the calling thread.
class work_clock : public interface {
  public:
    /// @brief CPU time that the calling thread has used.
    /// @return Time since the thread started.
    [[nodiscard]] virtual duration spent() const = 0;
};

/// @brief Number of spans and CPU time of one work category.
struct work_total {
    std::uint64_t count{};
    duration spent{};
};

/// @brief Totals indexed by `work_part`.
using work_totals = std::array<work_total, work_parts>;

/// @brief Traffic with other hosts since the process started.
struct peer_traffic {
    std::uint64_t messages_sent{};
    std::uint64_t messages_dropped{};
    std::uint64_t bytes_sent{};
    std::uint64_t bytes_received{};
};

/// @brief Attributes the CPU time of one thread to work categories, each moment to the innermost open span only.
class work_meter {
  public:
    /// @brief RAII scope whose CPU time counts for a category; spans may be nested.
    class [[nodiscard]] span {
      public:
        /// @brief Starts the span and counts it.
        /// @param meter Meter; must outlive the span and be used from its own thread only.
        /// @param part Category of the work.
        span(work_meter &meter, work_part part) : m_meter{meter}, m_outer{meter.current()} {
            meter.change(part);
            ++meter.m_totals[static_cast<std::size_t>(part)].count;
        }
        ~span() { m_meter.change(m_outer); }
        span(const span &) = delete;
        span &operator=(const span &) = delete;
        span(span &&) = delete;
        span &operator=(span &&) = delete;

      private:
        work_meter &m_meter;
        work_part m_outer;
    };

    /// @brief Constructs a meter that attributes time to `work_part::loop` until a span starts.
    /// @param clock CPU time of the thread that is measured; must outlive the meter.
    explicit work_meter(const work_clock &clock) : m_clock{clock}, m_since{clock.spent()} {}

    /// @brief Total of one category so far.
    /// @param part Any value but `work_part::count`.
    /// @return Spans started, and their time without the spans nested in them.
    [[nodiscard]] const work_total &total(work_part part) const noexcept { return m_totals[static_cast<std::size_t>(part)]; }

    /// @brief Totals of all categories so far.
    /// @return Totals indexed by `work_part`.
    [[nodiscard]] const work_totals &totals() const noexcept { return m_totals; }

    /// @brief Category of the innermost open span; may be read from any thread.
    /// @return `work_part::loop` if no span is open.
    [[nodiscard]] work_part current() const noexcept { return m_current.load(std::memory_order_relaxed); }

  private:
    void change(work_part part) {
        const auto spent = m_clock.spent();
        m_totals[static_cast<std::size_t>(current())].spent += spent - m_since;
        m_since = spent;
        m_current.store(part, std::memory_order_relaxed);
    }

    const work_clock &m_clock;
    work_totals m_totals{};
    std::atomic<work_part> m_current{work_part::loop};
    duration m_since;
};

/// @brief Logs the event `work` with the totals of all categories.
/// @param meter Meter of the event loop's thread.
/// @param longest_lag Longest delay of the host's timer since the last event.
/// @param oldest_echo Age of the oldest echo in a heartbeat since the last event.
/// @param peers Traffic with other hosts since the process started.
void log_work(const work_meter &meter, duration longest_lag, duration oldest_echo, const peer_traffic &peers);

} // namespace heathermoor::metrics
