#pragma once

#include "heathermoor/core/time.hpp"

namespace heathermoor::lease {

/// @brief Time for which a host counts as waiting for its jobs after its leader's latest heartbeat that it has echoed.
///
/// The leader starts nothing for the host after that.
inline constexpr milliseconds host_confirmation_time{450};

/// @brief Longest time that a run goes on at a target that its leader cannot reach, from the latest time at which the leader
/// may have started it: a lease of 750 ms on a clock that is 2% slow, and the end of the run.
inline constexpr milliseconds longest_unreachable_run{765 + 60};

/// @brief Time from the last message of a lender after which none of the runs that another leader has started for it can be active.
///
/// The borrower starts and renews nothing for a lender that has not echoed it for `host_confirmation_time`.
inline constexpr milliseconds longest_lent_run{host_confirmation_time + longest_unreachable_run};

/// @brief Time from the change of a gateway to another leader after which no run of a job that was lent for it can be active: the lender
/// takes the gateway for lost, which includes a grace period of 300 ms, before its own word at the borrower expires.
inline constexpr milliseconds longest_lent_run_without_gateway{host_confirmation_time + milliseconds{300} + longest_lent_run};

} // namespace heathermoor::lease
