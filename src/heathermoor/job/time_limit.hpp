#pragma once

#include "heathermoor/core/time.hpp"
#include "heathermoor/job/job.hpp"
#include <optional>

namespace heathermoor::job {

/// @brief Longest time limit of a request; a caller that says it waits longer gets this one.
inline constexpr milliseconds longest_time_limit{600'000};

/// @brief Time limit of a request whose caller does not say how long it waits, on a queue without a timeout.
inline constexpr milliseconds default_time_limit{30'000};

/// @brief Time after which a request has to be answered.
///
/// The caller's word goes before the queue's timeout, be it shorter or longer: jobs of one queue differ in length by orders of
/// magnitude, and so do their latency objectives.
/// @param caller_waits Time for which the caller waits; none if it does not say.
/// @param queue Policy of the queue; its timeout counts for callers that do not say.
/// @return Time from the arrival of the request, at most `longest_time_limit`.
[[nodiscard]] milliseconds time_limit(std::optional<milliseconds> caller_waits, const queue_policy &queue) noexcept;

} // namespace heathermoor::job
