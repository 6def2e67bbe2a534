#pragma once

#include "heathermoor/core/time.hpp"
#include "heathermoor/metrics/work_meter.hpp"
#include <cstdint>
#include <optional>
#include <string_view>

namespace heathermoor::metrics {

/// @brief What another thread sees of an event loop.
struct loop_sample {
    /// Calls of the loop's periodic timer since the start.
    std::uint64_t turns{};
    /// CPU time of the process since its start.
    duration cpu{};
    /// Innermost category of work that the loop is busy with.
    work_part part{work_part::loop};
};

/// @brief Why an event loop, or the thread that looks at it, has not gone on.
enum class stall_kind : std::uint8_t {
    /// The loop has been in one turn and uses the processor: it spins, or has too much work.
    busy,
    /// The loop has been in one turn without using the processor: a call in it blocks.
    blocked,
    /// The whole process did not run: it was frozen or suspended.
    suspended,
};

/// @brief Name of a kind of stall in logs.
/// @param kind Kind of stall.
/// @return Name in snake case; static storage.
[[nodiscard]] std::string_view name_of(stall_kind kind) noexcept;

/// @brief Stall of an event loop, so far or as a whole.
struct stall {
    stall_kind kind{stall_kind::busy};
    duration lasted{};
    /// CPU time of the process meanwhile.
    duration cpu{};
    work_part part{work_part::loop};
};

/// @brief Tells from samples of an event loop whether it spins, is blocked, or did not run at all.
///
/// Looked at by a thread of its own, since a loop that stalls reports nothing itself.
class stall_detector {
  public:
    /// @brief Creates a detector without samples.
    /// @param interval Time between two looks.
    explicit stall_detector(duration interval) noexcept : m_interval{interval} {}

    /// @brief Evaluates a sample.
    ///
    /// A stall that lasts is returned again each time its length has doubled, so that its reports stay few.
    /// @param sample State of the loop.
    /// @param now Monotonic time that includes suspension.
    /// @return Stall to report; none while the loop turns.
    [[nodiscard]] std::optional<stall> look(const loop_sample &sample, time_point now);

  private:
    /// Takes a sample as the start of a turn.
    void restart(const loop_sample &sample, time_point now) noexcept;

    duration m_interval;
    std::optional<time_point> m_looked_at;
    time_point m_since;
    loop_sample m_first;
    duration m_next_report{};
};

} // namespace heathermoor::metrics
