#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/interface.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/job/job.hpp"
#include "heathermoor/pool/scheduler.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace heathermoor::gateway {

/// @brief Identifies an open request of a caller; unique within one process.
enum class request_token : std::uint64_t {};

/// @brief Leader of a cell, identified by host and term.
struct leader_ref {
    host_id host;
    leader_term term{};

    friend bool operator==(const leader_ref &, const leader_ref &) = default;
};

/// @brief Leader that sent an answer, and the gateway's session in which it had the job.
struct answer_origin {
    leader_ref leader;
    gateway_session session{};
};

/// @brief What has become of a caller's request to cancel a job.
enum class cancel_result : std::uint8_t {
    /// No task of the job starts from now on, anywhere.
    cancelled,
    /// The same; no host has had the job, or it had ended.
    not_found,
    /// Not confirmed in time; the cancelling goes on.
    unknown,
};

/// @brief Sends answers to callers.
class caller_port : public interface {
  public:
    /// @brief Sends the final answer to a request.
    /// @param request Token given at submission.
    /// @param id Job that the request submitted.
    /// @param answer Outcome as received.
    virtual void reply(request_token request, const job_id &id, const job::answer &answer) = 0;

    /// @brief Answers a request to cancel a job.
    /// @param request Token of the caller's request.
    /// @param id Job that the request names.
    /// @param result Outcome.
    virtual void cancel_answered(request_token request, const job_id &id, cancel_result result) = 0;
};

/// @brief Sends messages to the scheduler on this or another host.
class scheduler_port : public interface {
  public:
    /// @brief Submits a job to the scheduler.
    /// @param leader Host and term of the scheduler.
    /// @param work Job, its queue policy and timing.
    virtual void submit(const leader_ref &leader, pool::submission work) = 0;

    /// @brief Cancels a job that no caller waits for any more.
    /// @param leader Host and term of the scheduler.
    /// @param id Id of the job.
    virtual void cancel(const leader_ref &leader, const job_id &id) = 0;

    /// @brief Asks for the state of jobs; results arrive later by `answered` and `not_known`.
    /// @param leader Host and term of the scheduler.
    /// @param ids Jobs without an answer so far.
    virtual void query(const leader_ref &leader, const std::vector<job_id> &ids) = 0;
};

/// @brief Counters of the gateway since process start.
struct gateway_counts {
    std::uint64_t submitted{};
    job::outcome_counts ended;
    std::uint64_t abandoned{};
    std::uint64_t handed_over{};
};

/// @brief Holds the jobs of this host's callers until they are answered.
///
/// Job state lives here and on the targets; the scheduler in between may fail and be
/// replaced at any time. The job is then submitted to the new scheduler, together with the
/// time after which no run ordered by the previous one can still be running.
class gateway {
  public:
    /// @brief Creates a gateway without jobs.
    /// @param self Process of the gateway.
    /// @param callers Port for answers.
    /// @param schedulers Port to the scheduler.
    /// @param now Reading of the monotonic clock.
    gateway(process_ref self, caller_port &callers, scheduler_port &schedulers, time_point now)
        : m_self{std::move(self)}, m_callers{callers}, m_schedulers{schedulers}, m_leaderless_since{now} {}

    /// @brief Accepts a job from a caller.
    /// @param request Token of the caller's open request.
    /// @param job Job definition.
    /// @param queue Policy of the queue that the job was sent to.
    /// @param limit Time from now until the caller stops waiting.
    /// @param now Reading of the monotonic clock.
    void submit(request_token request, job::definition job, const job::queue_policy &queue, duration limit, time_point now);

    /// @brief Handles a caller that closed its connection; a job without callers is cancelled.
    /// @param request Token of the caller's open request.
    /// @param now Reading of the monotonic clock.
    void abandon(request_token request, time_point now);

    /// @brief Cancels a job at the request of a caller.
    /// @param id Id of the job.
    /// @param now Reading of the monotonic clock.
    /// @return False if the job is not open on this host.
    bool cancel(const job_id &id, time_point now);

    /// @brief Handles a scheduler's answer; one that is not final counts only in the session for which it was given.
    /// @param from Sender, and the session in which it had the job.
    /// @param id Id of the job.
    /// @param answer Outcome as received.
    /// @param now Reading of the monotonic clock.
    void answered(const answer_origin &from, const job_id &id, const job::answer &answer, time_point now);

    /// @brief Handles the notice that the scheduler has no record of a job, and submits it again.
    /// @param from Sender, and the session in which it was asked.
    /// @param id Id of the job.
    /// @param now Reading of the monotonic clock.
    void not_known(const answer_origin &from, const job_id &id, time_point now);

    /// @brief Handles a leader's notice that it is about to lend a job: the next leader cannot see all runs of it on its own targets.
    /// @param from Sender, and the session in which it had the job.
    /// @param id Id of the job.
    /// @return True if that is noted; false if the job is not open here under that leader.
    [[nodiscard]] bool note_lending(const answer_origin &from, const job_id &id);

    /// @brief Changes the leader; submits all open jobs to the new one.
    /// @param leader New leader; none if there is no leader.
    /// @param earlier_starts_end_at Time from which the leader until now starts no more tasks for this host.
    /// @param now Reading of the monotonic clock.
    void set_leader(const std::optional<leader_ref> &leader, time_point earlier_starts_end_at, time_point now);

    /// @brief Answers all open jobs, and refuses those that still come, since the process is about to end.
    ///
    /// A job that was never passed to a leader is refused; what has become of any other is unknown to its caller, and the leader is
    /// told to stop it.
    /// @param now Reading of the monotonic clock.
    void end_all(time_point now);

    /// @brief Ends jobs past their deadline and queries the scheduler about unanswered ones.
    /// @param now Reading of the monotonic clock.
    void tick(time_point now);

    /// @brief This gateway as its leader knows it.
    /// @return Own process, and the session with the leader that was set last.
    [[nodiscard]] pool::gateway_ref self() const { return {m_self, m_session}; }

    /// @brief Whether a job is open on this host.
    /// @param id Id of the job.
    /// @return True until the job is answered.
    [[nodiscard]] bool open(const job_id &id) const { return m_jobs.contains(id); }

    /// @brief Final answer of a job that ended recently.
    /// @param id Id of the job.
    /// @return Answer; none if the job is unknown or its answer has expired.
    [[nodiscard]] std::optional<job::answer> past(const job_id &id) const;

    /// @brief Number of open jobs.
    /// @return Count.
    [[nodiscard]] std::size_t size() const noexcept { return m_jobs.size(); }

    /// @brief Counters since process start.
    /// @return Counters.
    [[nodiscard]] const gateway_counts &counts() const noexcept { return m_counts; }

  private:
    struct open_job {
        job::definition job;
        job::queue_policy queue;
        std::vector<request_token> requests;
        time_point arrived;
        time_point deadline;
        /// Submitted to the current leader.
        bool submitted{};
        /// Submitted to any leader so far.
        bool ever_submitted{};
        /// Submitted more than once: no single leader can tell that the job has not run.
        bool resubmitted{};
        time_point last_query_at;
        /// Time from which no run ordered by an earlier leader can still be running.
        time_point earlier_runs_end_at;
        /// Latest earlier leader that had the job; none if there was none.
        std::optional<leader_ref> previous_leader;
        bool several_previous_leaders{};
        /// A leader may have lent it, so that it may run where the next leader sees nothing of it.
        bool may_be_lent{};
    };

    struct ended_job {
        job::answer answer;
        time_point at;
    };

    void submit_to_leader(open_job &job, time_point now);
    /// Answers a job without its leader's answer: refused if no leader has had it, else unknown; the leader is told to stop it.
    void give_up(const job_id &id, errc reason, time_point now);
    /// Whether an answer was given in the present session with the leader.
    [[nodiscard]] bool is_current(const answer_origin &from) const {
        return m_leader && *m_leader == from.leader && m_session == from.session;
    }
    void end(const job_id &id, const job::answer &answer, time_point now);

    process_ref m_self;
    caller_port &m_callers;
    scheduler_port &m_schedulers;
    std::optional<leader_ref> m_leader;
    gateway_session m_session{};
    time_point m_leaderless_since;
    std::unordered_map<job_id, open_job> m_jobs;
    std::unordered_map<request_token, job_id> m_requests;
    std::unordered_map<job_id, ended_job> m_ended;
    /// The process is about to end: no further job is accepted.
    bool m_closed{};
    gateway_counts m_counts;
};

} // namespace heathermoor::gateway
