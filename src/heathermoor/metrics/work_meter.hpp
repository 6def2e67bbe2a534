#pragma once

#include "heathermoor/core/interface.hpp"
#include "heathermoor/core/time.hpp"
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace heathermoor::metrics {

/// @brief Parts of a host's work, as its processor time is accounted for.
enum class work_part : std::uint8_t {
    /// Waiting for events, and the event loop itself.
    loop,
    /// Heartbeats of other hosts.
    heartbeats,
    /// Jobs, cancellations and questions from other hosts.
    jobs,
    /// Answers, configuration, targets and experience from other hosts.
    answers,
    /// Requests of callers.
    callers,
    /// Answers of targets to starts and stops.
    orders,
    /// Reports of targets.
    reports,
    /// Answers of the platform's store.
    store,
    /// The host's own timer without the parts below.
    timer,
    /// Heartbeats sent.
    beating,
    /// Renewals, claims and time limits of a scheduler.
    holding,
    /// Placement of tasks.
    placing,
    count,
};

/// @brief Number of parts.
inline constexpr auto work_parts = static_cast<std::size_t>(work_part::count);

/// @brief Name of a part, as logs and metrics show it.
/// @param part Part.
/// @return Name in snake case.
[[nodiscard]] constexpr std::string_view name_of(work_part part) noexcept {
    constexpr std::array<std::string_view, work_parts> names{"loop",    "heartbeats", "jobs",  "answers", "callers", "orders",
                                                             "reports", "store",      "timer", "beating", "holding", "placing"};
    return names.at(static_cast<std::size_t>(part));
}

/// @brief Source of the processor time that the calling thread has spent.
class work_clock : public interface {
  public:
    /// @brief Processor time of the calling thread.
    /// @return Time since the thread's start.
    [[nodiscard]] virtual duration spent() const = 0;
};

/// @brief What one part of the work has cost.
struct work_total {
    std::uint64_t count{};
    duration spent{};
};

/// @brief What all parts have cost, by part.
using work_totals = std::array<work_total, work_parts>;

/// @brief Messages between hosts since the start of the process.
struct peer_traffic {
    std::uint64_t messages_sent{};
    std::uint64_t messages_dropped{};
    std::uint64_t bytes_sent{};
    std::uint64_t bytes_received{};
};

/// @brief Accounts for the processor time of one thread by part, each moment to one part only.
class work_meter {
  public:
    /// @brief Accounts for a part of the work until it goes out of scope; spans may be nested.
    class [[nodiscard]] span {
      public:
        /// @brief Begins a part.
        /// @param meter Meter, which has to outlive the span.
        /// @param part Part.
        span(work_meter &meter, work_part part) : m_meter{meter}, m_outer{meter.m_current} {
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

    /// @brief Meter that has seen no work.
    /// @param clock Processor time of the thread that does the work.
    explicit work_meter(const work_clock &clock) : m_clock{clock}, m_since{clock.spent()} {}

    /// @brief Cost of a part so far.
    /// @param part Part.
    /// @return Spans begun, and their time without the spans inside them.
    [[nodiscard]] const work_total &total(work_part part) const noexcept { return m_totals[static_cast<std::size_t>(part)]; }

    /// @brief Cost of all parts so far.
    /// @return Totals by part.
    [[nodiscard]] const work_totals &totals() const noexcept { return m_totals; }

  private:
    void change(work_part part) {
        const auto spent = m_clock.spent();
        m_totals[static_cast<std::size_t>(m_current)].spent += spent - m_since;
        m_since = spent;
        m_current = part;
    }

    const work_clock &m_clock;
    work_totals m_totals{};
    work_part m_current{work_part::loop};
    duration m_since;
};

/// @brief Writes an event with the cost of all parts.
/// @param meter Meter.
/// @param longest_lag Longest delay of the host's timer since the last event.
/// @param oldest_echo Age of the oldest echo in a heartbeat since the last event.
/// @param peers Messages between hosts.
void log_work(const work_meter &meter, duration longest_lag, duration oldest_echo, const peer_traffic &peers);

} // namespace heathermoor::metrics
