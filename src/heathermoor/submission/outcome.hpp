#pragma once

#include "heathermoor/core/error.hpp"
#include "heathermoor/core/time.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace heathermoor::submission {

/// @brief What is known of a job after its answer.
enum class outcome_kind : std::uint8_t {
    /// Every task ran; all results are present.
    complete,
    /// The job failed as a whole; some of its tasks may have run.
    failed,
    /// No task of the job was or will be started.
    not_run,
    /// It is not known what ran.
    unknown
};

/// @brief Answer to a job.
struct outcome {
    outcome_kind kind{outcome_kind::unknown};
    errc code{errc::ok};
    /// Result bodies in the order of the tasks; empty unless complete.
    std::vector<std::string> results;
    /// Time after which a new attempt may help; zero if it does not.
    milliseconds retry_after{};

    friend bool operator==(const outcome &, const outcome &) = default;
};

/// @brief Name of an outcome kind, as callers see it in `outcome`.
/// @param kind Outcome kind.
/// @return Name in snake case.
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
