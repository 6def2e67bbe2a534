#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/job/job.hpp"
#include <cstddef>

namespace heathermoor::cancellation {

/// @brief Time for which a cancelling is remembered, so that a late copy of the job's request is not run.
///
/// As long as a gateway keeps the answers of ended jobs.
inline constexpr seconds retention{30};

/// @brief Most cancellings that a host remembers in each of its roles; the oldest are forgotten first.
inline constexpr std::size_t max_remembered = 65'536;

/// @brief Most cancellings in one message.
inline constexpr std::size_t max_notices = 1'000;

/// @brief Interval at which a cancelling without a confirmation is passed on again.
inline constexpr milliseconds retry_interval{50};

/// @brief Answer to the requests of a cancelled job.
inline constexpr job::answer cancelled_answer{job::outcome::failed, errc::cancelled, {}};

/// @brief Cancelled job, as one host tells another.
struct notice {
    job_id id;
    /// Time since the caller's request.
    duration age{};
    /// The sender has had the job; in a confirmation: any host that was asked has.
    bool known{};
};

} // namespace heathermoor::cancellation
