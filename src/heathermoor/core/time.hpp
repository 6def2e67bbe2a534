#pragma once

#include <chrono>
#include <cstdint>

namespace heathermoor {

/// @brief Chrono clock type of the monotonic time of one process. It has no `now()`: time comes from `port::clock_port`,
/// so that tests can advance it manually.
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

/// @brief Converts a duration to fractional milliseconds.
/// @param value Duration in whole microseconds.
/// @return Milliseconds, with the microseconds as the fraction.
[[nodiscard]] constexpr double to_ms(duration value) noexcept {
    return std::chrono::duration<double, std::milli>{value}.count();
}

/// @brief Converts fractional milliseconds to a duration.
/// @param value Milliseconds; may be negative.
/// @return Duration, truncated towards zero to whole microseconds.
[[nodiscard]] constexpr duration from_ms(double value) noexcept {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{value});
}

} // namespace heathermoor
