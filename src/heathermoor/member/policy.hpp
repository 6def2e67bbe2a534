#pragma once

#include "heathermoor/core/time.hpp"

namespace heathermoor::member::internal {

/// Time from a leader's heartbeat, as echoed by a gateway host, for which the leader
/// takes that gateway to be alive and waiting for its jobs.
inline constexpr milliseconds gateway_lease_time{450};

} // namespace heathermoor::member::internal
