#pragma once

#include "heathermoor/cell/cell_plan.hpp"
#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/job/job.hpp"
#include <cstdint>
#include <optional>
#include <tuple>

namespace heathermoor::lock {

/// @brief Time without a message from a holder after which its locks are void.
///
/// The runs of a leader that has gone end within 825 ms of its last order, and its last message is at most `keepalive_interval` older.
inline constexpr milliseconds holder_silence_limit{1'275};

/// @brief Longest time between two messages of a holder to a home at which it has locks.
inline constexpr milliseconds keepalive_interval{300};

/// @brief Leader that asks for the lock of a job on behalf of its cell.
struct holder_ref {
    process_ref process;
    leader_term term{};
    /// Cell at present; a leader stays the same when the deployment is divided anew.
    cell::cell_id cell;

    friend bool operator==(const holder_ref &left, const holder_ref &right) {
        return left.process == right.process && left.term == right.term;
    }
    friend bool operator<(const holder_ref &left, const holder_ref &right) {
        return std::tie(left.process, left.term) < std::tie(right.process, right.term);
    }
};

/// @brief Request for the lock of a job.
struct acquire_request {
    job_id id;
    /// Time after which no run of the job can be active, unless the request is repeated.
    duration needed{};
    /// The job has been scheduled already.
    bool scheduled{};
};

/// @brief Notice that a leader has closed a job and none of its runs can be active, or that it no longer waits for the lock.
struct release_request {
    job_id id;
    /// A task of the job may have run.
    bool may_have_run{};
    /// Final answer of the job; none if it ended without one.
    std::optional<job::answer> answer;
};

/// @brief State of a job's lock, as told to a leader that asked for it.
enum class lock_state : std::uint8_t {
    /// The leader that asked has the lock.
    granted,
    /// A leader of another cell has the lock; another reply follows.
    held,
    /// The home does not know yet whether another cell has the lock; another reply follows.
    undecided,
    /// Another cell has ended the job with a final answer.
    ended,
};

/// @brief Reply to a request for the lock of a job.
struct lock_reply {
    job_id id;
    lock_state state{lock_state::granted};
    /// A task of the job may have run in another cell.
    bool may_have_run{};
    /// Final answer, if the state is `ended`.
    std::optional<job::answer> answer;
};

/// @brief Reply and the leader that it is for.
struct addressed_reply {
    holder_ref to;
    lock_reply reply;
};

/// @brief Cancelled job that no leader has any more, and the leader that asked for that.
struct cancelled_job {
    holder_ref to;
    job_id id;
    /// A leader has asked for its lock, and it had not ended with an answer.
    bool known{};
};

} // namespace heathermoor::lock
