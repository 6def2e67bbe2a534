#pragma once

#include "heathermoor/core/time.hpp"

namespace heathermoor::member::internal {

/// Time from a heartbeat of the leader, as echoed by an entry host, in which the
/// entry host counts as waiting for its jobs.
inline constexpr milliseconds gateway_lease_time{450};

} // namespace heathermoor::member::internal
