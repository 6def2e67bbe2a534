#pragma once

#include <chrono>
#include <cstdint>

namespace heathermoor {

/// @brief Monotonic clock of one process; tests advance it by hand.
struct timeline {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<timeline, duration>;
    static constexpr bool is_steady = true;
};

using duration = timeline::duration;
using time_point = timeline::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief Length of a duration in milliseconds, with fraction.
/// @param value Duration.
/// @return Milliseconds.
[[nodiscard]] constexpr double to_ms(duration value) noexcept {
    return std::chrono::duration<double, std::milli>{value}.count();
}

/// @brief Duration from milliseconds with fraction.
/// @param value Milliseconds.
/// @return Duration, cut to whole microseconds.
[[nodiscard]] constexpr duration from_ms(double value) noexcept {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{value});
}

} // namespace heathermoor
