#pragma once

#include "heathermoor/core/error.hpp"
#include "heathermoor/core/time.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace heathermoor::submission {

/// @brief What a client knows about a job once it has been answered.
enum class outcome_kind : std::uint8_t {
    /// Every task succeeded; all results are present.
    complete,
    /// The job failed as a whole; some of its tasks may have run.
    failed,
    /// No task of the job was started, and none will be.
    not_run,
    /// It is not known which tasks ran.
    unknown
};

/// @brief Outcome of a job as reported to the client.
struct outcome {
    outcome_kind kind{outcome_kind::unknown};
    errc code{errc::ok};
    /// Result bodies in task order; empty unless the job is complete.
    std::vector<std::string> results;
    /// Delay after which the client may retry; zero if no delay is suggested.
    milliseconds retry_after{};

    friend bool operator==(const outcome &, const outcome &) = default;
};

/// @brief Converts an outcome kind to the value of the `outcome` field that clients receive.
/// @param kind Outcome kind; a value outside the enumeration yields "unknown".
/// @return Static string in snake case.
[[nodiscard]] constexpr const char *kind_name(outcome_kind kind) noexcept {
    switch(kind) {
    case outcome_kind::complete:
        return "complete";
    case outcome_kind::failed:
        return "failed";
    case outcome_kind::not_run:
        return "not_run";
    case outcome_kind::unknown:
        break;
    }
    return "unknown";
}

} // namespace heathermoor::submission
