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

/// @brief Names a caller's open request; unique within one process.
enum class request_token : std::uint64_t {};

/// @brief Host that schedules the pool, and the period in which it does.
struct leader_ref {
    host_id host;
    leader_term term{};

    friend bool operator==(const leader_ref &, const leader_ref &) = default;
};

/// @brief Answers callers.
class caller_port : public interface {
  public:
    /// @brief Sends the final answer to a request.
    /// @param request Request.
    /// @param id Job that it submitted.
    /// @param answer Answer.
    virtual void reply(request_token request, const job_id &id, const job::answer &answer) = 0;
};

/// @brief Reaches the scheduler, on this host or another.
class scheduler_port : public interface {
  public:
    /// @brief Hands a job over.
    /// @param leader Scheduler's host.
    /// @param work Job.
    virtual void submit(const leader_ref &leader, pool::submission work) = 0;

    /// @brief Takes a job back that no caller waits for.
    /// @param leader Scheduler's host.
    /// @param id Job.
    virtual void cancel(const leader_ref &leader, const job_id &id) = 0;

    /// @brief Asks whether jobs are known; answers and unknown ones come back as events.
    /// @param leader Scheduler's host.
    /// @param ids Jobs.
    virtual void query(const leader_ref &leader, const std::vector<job_id> &ids) = 0;
};

/// @brief Counts of the gateway, for metrics.
struct gateway_counts {
    std::uint64_t submitted{};
    job::outcome_counts ended;
    std::uint64_t abandoned{};
    std::uint64_t handed_over{};
};

/// @brief Keeps the jobs of this host's callers until they are answered.
///
/// A job lives here and on the targets; the scheduler in between may be lost
/// and replaced at any time. Then the job is handed to the next one, with the
/// time after which no run ordered by the lost one can be at work.
class gateway {
  public:
    /// @brief Gateway without jobs.
    /// @param self Own host.
    /// @param callers Answers callers.
    /// @param schedulers Reaches the scheduler.
    /// @param now Current time.
    gateway(host_id self, caller_port &callers, scheduler_port &schedulers, time_point now)
        : m_self{std::move(self)}, m_callers{callers}, m_schedulers{schedulers}, m_leaderless_since{now} {}

    /// @brief Takes a caller's job.
    /// @param request Caller's request.
    /// @param job Job.
    /// @param queue Rules of its queue.
    /// @param limit Time until the caller stops waiting.
    /// @param now Current time.
    void submit(request_token request, job::definition job, const job::queue_policy &queue, duration limit, time_point now);

    /// @brief Notes that a caller has closed its connection.
    /// @param request Caller's request.
    /// @param now Current time.
    void abandon(request_token request, time_point now);

    /// @brief Ends a job at its caller's word.
    /// @param id Job.
    /// @param now Current time.
    /// @return False if there is no such job here.
    bool cancel(const job_id &id, time_point now);

    /// @brief Handles an answer of the scheduler.
    /// @param from Scheduler's host.
    /// @param id Job.
    /// @param answer Answer.
    /// @param now Current time.
    void answered(const leader_ref &from, const job_id &id, const job::answer &answer, time_point now);

    /// @brief Handles the word that the scheduler has no record of a job.
    /// @param from Scheduler's host.
    /// @param id Job.
    /// @param now Current time.
    void not_known(const leader_ref &from, const job_id &id, time_point now);

    /// @brief Changes the scheduler; open jobs go to the new one.
    /// @param leader Scheduler's host, if there is one.
    /// @param now Current time.
    void set_leader(const std::optional<leader_ref> &leader, time_point now);

    /// @brief Ends jobs whose time is up, and asks after silent ones.
    /// @param now Current time.
    void tick(time_point now);

    /// @brief Whether a job is open here.
    /// @param id Job.
    /// @return True until it is answered.
    [[nodiscard]] bool open(const job_id &id) const { return m_jobs.contains(id); }

    /// @brief Answer of a job that has ended lately.
    /// @param id Job.
    /// @return Answer, if it is still kept.
    [[nodiscard]] std::optional<job::answer> past(const job_id &id) const;

    /// @brief Number of open jobs.
    /// @return Jobs.
    [[nodiscard]] std::size_t size() const noexcept { return m_jobs.size(); }

    /// @brief Counts since the start of the process.
    /// @return Counts.
    [[nodiscard]] const gateway_counts &counts() const noexcept { return m_counts; }

  private:
    struct open_job {
        job::definition job;
        job::queue_policy queue;
        std::vector<request_token> requests;
        time_point arrived;
        time_point deadline;
        /// Handed to the present leader.
        bool handed{};
        /// Handed to any leader, ever.
        bool ever_handed{};
        /// Handed over more than once: no single leader can tell that it has not run.
        bool handed_again{};
        time_point asked_at;
        /// When no run ordered by an earlier leader can be at work.
        time_point earlier_runs_end_at;
        /// The one earlier leader that had the job; empty for none or several.
        host_id earlier;
        bool several_leaders{};
    };

    struct past_job {
        job::answer answer;
        time_point at;
    };

    void hand(open_job &job, time_point now);
    void end(const job_id &id, const job::answer &answer, time_point now);

    host_id m_self;
    caller_port &m_callers;
    scheduler_port &m_schedulers;
    std::optional<leader_ref> m_leader;
    time_point m_leaderless_since;
    std::unordered_map<job_id, open_job> m_jobs;
    std::unordered_map<request_token, job_id> m_requests;
    std::unordered_map<job_id, past_job> m_past;
    gateway_counts m_counts;
};

} // namespace heathermoor::gateway
