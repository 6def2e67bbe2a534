#pragma once

#include "heathermoor/core/time.hpp"

namespace heathermoor::pool::internal {

/// Speeds within this share count as equal; the tighter fit decides then.
inline constexpr double equal_speed = 0.08;

/// Shortest retry time given with a refusal.
inline constexpr milliseconds least_retry{500};

} // namespace heathermoor::pool::internal
