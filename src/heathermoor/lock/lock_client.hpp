#pragma once

#include "heathermoor/gateway/gateway.hpp"
#include "heathermoor/lock/home_map.hpp"
#include "heathermoor/lock/lock.hpp"
#include "heathermoor/pool/scheduler.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace heathermoor::lock {

/// @brief Requests of one leader to the home cells whose leader is a given host.
struct lock_batch {
    std::vector<acquire_request> acquires;
    std::vector<release_request> releases;
    /// The acquires name all jobs for which the leader has or wants a lock there.
    bool complete{};
};

/// @brief Answer to a gateway whose job another cell has ended.
struct ended_submission {
    pool::gateway_ref to;
    job_id id;
    job::answer answer;
};

/// @brief Counters since the start of the process.
struct lock_counts {
    /// Submissions that waited because another cell had their job.
    std::uint64_t waited{};
    /// Submissions answered with the answer of another cell.
    std::uint64_t answered{};
    /// Jobs that were scheduled without a lock, since their home did not answer or has no known leader.
    std::uint64_t missing{};
    /// Jobs that were taken back, since another cell turned out to have them.
    std::uint64_t taken_back{};
};

/// @brief Holds the submissions of a leader back until its cell has the locks of their jobs.
///
/// A home that does not answer delays a job by `lock_timeout` at most: a cell that is cut off goes on without locks.
class lock_client {
  public:
    /// @brief Takes a submission; it becomes ready at once if its job is scheduled here already.
    /// @param work Submission as received.
    /// @param now Reading of the monotonic clock.
    void submit(pool::submission work, time_point now);

    /// @brief Handles a gateway that no longer waits for a job; only submissions that are still held back are affected.
    /// @param from Gateway in its latest session that the message covers.
    /// @param id Job.
    void cancel(const pool::gateway_ref &from, const job_id &id);

    /// @brief Ends a job with an answer, as if its home had told it: the scheduler gives it up, and its gateways are answered.
    /// @param id Job; an unknown one is ignored.
    /// @param answer Final answer.
    void end(const job_id &id, const job::answer &answer);

    /// @brief Whether a submission of a gateway is held back.
    /// @param from Gateway in its present session.
    /// @param id Job.
    /// @return True if it waits for a lock.
    [[nodiscard]] bool waits(const pool::gateway_ref &from, const job_id &id) const;

    /// @brief Whether a job has a lock here, or waits for one.
    /// @param id Job.
    /// @return True from its first submission until its lock is released.
    [[nodiscard]] bool knows(const job_id &id) const { return m_jobs.contains(id); }

    /// @brief Releases the lock of a job that the scheduler has closed.
    /// @param request Job and how it ended.
    /// @param runs_end_at Time until which runs that an earlier leader started may be active.
    /// @param now Reading of the monotonic clock.
    void closed(const release_request &request, time_point runs_end_at, time_point now);

    /// @brief Whether the scheduler may have a job.
    /// @param id Job.
    /// @return True from `take_ready` until `closed` or `hold_back`.
    [[nodiscard]] bool scheduled(const job_id &id) const;

    /// @brief Holds the submissions of a job back again that the scheduler had to give up.
    /// @param id Job.
    /// @param submissions One for each gateway that waits for it.
    /// @param now Reading of the monotonic clock.
    void hold_back(const job_id &id, std::vector<pool::submission> submissions, time_point now);

    /// @brief Handles a reply from the leader of a home cell.
    /// @param from Host of that leader.
    /// @param reply Reply as received.
    /// @param now Reading of the monotonic clock.
    void answered(const host_id &from, const lock_reply &reply, time_point now);

    /// @brief Records that a host has answered a message about locks.
    /// @param host Host that sent the answer.
    void heard(const host_id &host);

    /// @brief Records another message to a host, by which it counts this leader as alive: a lost release is made up for meanwhile.
    /// @param host Host that leads a home cell.
    /// @param now Reading of the monotonic clock.
    void contacted(const host_id &host, time_point now) { m_health[host].used_at = now; }

    /// @brief Replaces the cells of the deployment.
    /// @param cells All cells.
    /// @param now Reading of the monotonic clock.
    void set_cells(const std::vector<cell::cell_id> &cells, time_point now);

    /// @brief Replaces the leader of a cell; locks that have their home there are registered again.
    /// @param cell Cell.
    /// @param leader Its leader; none if it is not known.
    /// @param now Reading of the monotonic clock.
    void set_leader(const cell::cell_id &cell, const std::optional<gateway::leader_ref> &leader, time_point now);

    /// @brief Leader of a cell.
    /// @param cell Cell.
    /// @return Leader as last set; none if it is not known.
    [[nodiscard]] std::optional<gateway::leader_ref> leader_of(const cell::cell_id &cell) const;

    /// @brief Whether the leader of a cell is known and answers.
    /// @param cell Cell.
    /// @param now Reading of the monotonic clock.
    /// @return False from the time limit of a lock on.
    [[nodiscard]] bool answers(const cell::cell_id &cell, time_point now) const;

    /// @brief Cells without a known leader that answers.
    /// @param now Reading of the monotonic clock.
    /// @return Cells.
    [[nodiscard]] std::vector<cell::cell_id> cells_without_answer(time_point now) const;

    /// @brief Homes of a job.
    /// @param id Job.
    /// @param now Reading of the monotonic clock.
    /// @return Cells, as `home_map::of`.
    [[nodiscard]] std::vector<cell::cell_id> homes_of(const job_id &id, time_point now) const { return m_homes.of(id, now); }

    /// @brief Cells of the deployment, as last set.
    /// @return Cells.
    [[nodiscard]] const std::vector<cell::cell_id> &cells() const noexcept { return m_homes.cells(); }

    /// @brief Repeats requests without a reply, goes on without homes that do not answer, and keeps locks alive.
    /// @param now Reading of the monotonic clock.
    void tick(time_point now);

    /// @brief Drops all submissions and locks; gateways submit their jobs to the next leader.
    void clear();

    /// @brief Requests to send, by the host that they are for.
    /// @param all Also those that may wait for others to the same host.
    /// @param now Reading of the monotonic clock.
    /// @return Requests; an empty batch only keeps locks alive.
    [[nodiscard]] std::map<host_id, lock_batch> take_requests(bool all, time_point now);

    /// @brief Submissions whose jobs may be scheduled now.
    /// @return Submissions with their times as of now.
    [[nodiscard]] std::vector<pool::submission> take_ready() { return std::exchange(m_ready, {}); }

    /// @brief Scheduled jobs of which another cell has the lock; the scheduler is to give them up.
    /// @return Jobs, each to be passed to `hold_back`.
    [[nodiscard]] std::vector<job_id> take_conflicts() { return std::exchange(m_conflicts, {}); }

    /// @brief Submissions that other cells have answered.
    /// @return Answers to send.
    [[nodiscard]] std::vector<ended_submission> take_ended() { return std::exchange(m_ended, {}); }

    /// @brief Counters since the start of the process.
    /// @return Counters.
    [[nodiscard]] const lock_counts &counts() const noexcept { return m_counts; }

    /// @brief Number of jobs with a lock, or waiting for one.
    /// @return Count.
    [[nodiscard]] std::size_t size() const noexcept { return m_jobs.size(); }

  private:
    enum class request_state : std::uint8_t {
        unasked,
        asked,
        granted,
    };

    /// Lock of a job at one of its homes.
    struct home_lock {
        cell::cell_id home;
        request_state state{request_state::unasked};
        /// Host that was asked last.
        host_id asked;
        time_point asked_at;
        /// Since when its answer has been waited for.
        time_point waited_since;
        /// Until when another cell counts as having the lock; each reply that says so extends it.
        time_point held_until;
    };

    struct held_back {
        pool::submission work;
        time_point arrived;
    };

    struct locked_job {
        std::vector<home_lock> homes;
        std::vector<held_back> waiting;
        /// Time after which no run of the job can be active.
        time_point needed_until;
        /// Until when it waits for its lock whether or not its home answers.
        time_point strict_until;
        bool scheduled{};
        bool may_have_run{};
        bool has_waited{};
        /// Answer of another cell.
        std::optional<job::answer> answer;
        /// When the lock is to be released, for a job that has been closed.
        std::optional<time_point> release_at;
        release_request release;
        /// Time until which runs that an earlier leader started may be active, from an earlier closing.
        time_point runs_end_floor;
    };

    /// How long a host has left a request without an answer.
    struct home_health {
        std::optional<time_point> unanswered_since;
        time_point sent_at;
        /// When a request or a release was last sent.
        time_point used_at;
        /// When the list of all locks there was last sent.
        time_point listed_at;
    };

    [[nodiscard]] bool is_silent(const host_id &host, time_point now) const;
    void add_homes(const job_id &id, locked_job &job, time_point now);
    void ask(const job_id &id, locked_job &job, time_point now);
    void ask_home(const job_id &id, const locked_job &job, home_lock &lock, time_point now);
    /// Whether a home keeps a job from being scheduled.
    [[nodiscard]] bool blocks(const locked_job &job, const home_lock &lock, time_point now) const;
    void schedule_if_locked(const job_id &id, locked_job &job, time_point now);
    static void take_reply(home_lock &lock, lock_state state, time_point now);
    void answer_waiting(const job_id &id, locked_job &job);
    void list_locks(const host_id &host, time_point now);
    void release_due(time_point now);
    void release(const release_request &request, const locked_job &job);
    static void drop_expired(locked_job &job, time_point now);
    void erase_if_unused(const job_id &id);

    home_map m_homes;
    std::map<cell::cell_id, gateway::leader_ref> m_leaders;
    /// Since when a cell has had no known leader.
    std::map<cell::cell_id, time_point> m_leaderless_since;
    std::map<host_id, home_health> m_health;
    std::unordered_map<job_id, locked_job> m_jobs;
    std::map<host_id, lock_batch> m_outgoing;
    std::vector<pool::submission> m_ready;
    std::vector<ended_submission> m_ended;
    std::vector<job_id> m_conflicts;
    lock_counts m_counts;
};

} // namespace heathermoor::lock
