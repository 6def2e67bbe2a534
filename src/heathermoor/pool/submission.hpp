#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/job/job.hpp"
#include "heathermoor/pool/ports.hpp"
#include <optional>

namespace heathermoor::pool {

/// @brief Job that a gateway passes to the scheduler.
struct submission {
    job::definition job;
    job::queue_policy queue;
    /// Gateway that holds the caller's request and receives the answer.
    gateway_ref from;
    /// Time since the caller sent the job.
    duration age{};
    /// Time left until the caller's deadline.
    duration remaining{};
    /// Time for which runs that an earlier scheduler started may still be active without
    /// being visible to this one; zero if no other scheduler has had the job.
    duration earlier_runs_end_in{};
    /// The job was submitted before, to this scheduler or another, so tasks of it may have run.
    bool may_have_run{};
    /// Host of the only earlier scheduler that had the job; empty for none or several.
    host_id earlier;
    /// Time for which the job waits for its lock even if its home does not answer, since another cell may run it.
    duration lock_wait{};
};

/// @brief Job of which no run that this scheduler started can be active any more.
struct closed_job {
    job_id id;
    /// A task may have run.
    bool may_have_run{};
    /// Final answer; none if it ended without one.
    std::optional<job::answer> answer;
    /// Time until which runs that an earlier scheduler started may be active.
    time_point earlier_runs_end_at;
};

} // namespace heathermoor::pool
