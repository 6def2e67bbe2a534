#pragma once

#include "heathermoor/core/time.hpp"

namespace heathermoor::pool::internal {

/// Relative difference up to which two speeds count as equal; the target with less capacity left is then chosen.
inline constexpr double speed_tolerance = 0.08;

/// Minimum ratio of speeds for moving a run, or for waiting for a faster target; a smaller one may be an error of the estimates.
inline constexpr double worthwhile_speedup = 1.3;

/// Minimum retry-after time of a refusal.
inline constexpr milliseconds min_retry_after{500};

/// Retry-after time of a job that only evacuated targets could run: an evacuation lasts for seconds at least.
inline constexpr milliseconds evacuated_retry_after{2'000};

/// Chance of ending before the deadline below which a job counts as hopeless.
inline constexpr double hopeless_chance = 0.03;

/// Time in which claims are answered, and in which several hosts that lead at once agree on one of them.
inline constexpr milliseconds settling_time{600};

} // namespace heathermoor::pool::internal
