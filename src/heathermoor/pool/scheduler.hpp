#pragma once

#include "heathermoor/job/job.hpp"
#include "heathermoor/placement/target_health.hpp"
#include "heathermoor/pool/ports.hpp"
#include "heathermoor/pool/run_statistics.hpp"
#include "heathermoor/pool/run_time_estimator.hpp"
#include "heathermoor/pool/speed_model.hpp"
#include "heathermoor/pool/target_holder.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace heathermoor::pool {

/// @brief Job as an entry host hands it to the scheduler.
struct submission {
    job::definition job;
    job::queue_policy queue;
    /// Entry host that answers the caller.
    host_id from;
    /// Time since the caller sent the job.
    duration age{};
    /// Time until the caller stops waiting.
    duration remaining{};
    /// Time for which runs ordered by an earlier scheduler may be at work
    /// unseen; zero if the job was handed to nobody before.
    duration earlier_runs_end_in{};
    /// The job was handed over before, to this scheduler or another: some of it may have run.
    bool may_have_run{};
    /// The one earlier scheduler that had the job; empty for none or several.
    host_id earlier;
};

/// @brief Counts of the scheduler, for metrics and heartbeats.
struct scheduler_counts {
    std::uint64_t starts{};
    job::outcome_counts ended;
    std::uint64_t cancelled{};
    std::uint64_t runs_failed{};
    std::uint64_t runs_lost{};
};

/// @brief Schedules all jobs of one pool of targets from one host.
class scheduler final : public holder_listener {
  public:
    /// @brief Scheduler without targets or jobs.
    /// @param orders Sends orders to targets.
    /// @param answers Tells entry hosts the outcome.
    /// @param tokens Makes fencing tokens.
    scheduler(order_port &orders, answer_port &answers, lease::token_source tokens) : m_answers{answers}, m_holder{orders, *this, tokens} {}

    /// @brief Sets the targets to use.
    /// @param targets Targets in scope.
    /// @param known Every target that any host may be using, in scope or not.
    /// @param catalog_next How far the list of targets was read for this.
    void set_targets(const std::vector<scoped_target> &targets, std::set<target_id> known, log_offset catalog_next);

    /// @brief Gives up all targets and jobs; entry hosts hand theirs to the next scheduler.
    void resign();

    /// @brief What this scheduler has learned of queues and of the targets that it holds.
    /// @return Experience for the next scheduler.
    [[nodiscard]] run_statistics learned() const;

    /// @brief Takes over what another scheduler has learned.
    ///
    /// What it says of a target counts once the list of targets shows the same boot.
    /// @param earlier Experience; replaces what is known here.
    void restore(const run_statistics &earlier);

    /// @brief Takes a job; a job that is known already is joined.
    /// @param work Job.
    /// @param now Current time.
    void submit(submission work, time_point now);

    /// @brief Ends a job that its caller no longer waits for.
    /// @param from Entry host.
    /// @param id Job.
    /// @param now Current time.
    void cancel(const host_id &from, const job_id &id, time_point now);

    /// @brief Extends the time for which an entry host is known to wait for its jobs.
    /// @param host Entry host.
    /// @param until End of that time.
    void confirm_host(const host_id &host, time_point until);

    /// @brief Whether a job is known, and its answer if it has ended.
    /// @param from Entry host that asks.
    /// @param id Job.
    /// @return False if the scheduler has no record of it.
    [[nodiscard]] bool answer_query(const host_id &from, const job_id &id);

    /// @brief Jobs of a queue of which no task has started.
    /// @param queue Queue.
    /// @return Number of jobs.
    [[nodiscard]] std::uint32_t waiting(const queue_id &queue) const;

    /// @brief Jobs of which no task has started, by queue.
    /// @return Number of jobs of each queue that has any.
    [[nodiscard]] std::map<queue_id, std::uint32_t> waiting() const;

    /// @brief Takes over what another scheduler says of its targets.
    /// @param host Host of that scheduler.
    /// @param idle Targets that certainly run nothing for it.
    /// @param catalog_next How far it has read the list of targets.
    /// @param said_at Time on this host's clock after which it said so.
    void update_other_scheduler(const host_id &host, std::set<target_id> idle, log_offset catalog_next, time_point said_at);

    /// @brief Forgets what other schedulers have said: their targets are no longer those of this one.
    void forget_other_schedulers() noexcept { m_others.clear(); }

    /// @brief Names the targets on which nothing ordered here can be at work.
    /// @param now Current time.
    /// @return Targets.
    [[nodiscard]] std::vector<target_id> publish_idle(time_point now) { return m_holder.publish_idle(now); }

    /// @brief Claims targets again that another holder has given up.
    /// @param now Current time.
    void reclaim(time_point now) { m_holder.reclaim(now); }

    /// @brief Handles the answer to a start.
    /// @param answer Answer.
    /// @param now Current time.
    void start_answered(const order_answer &answer, time_point now);

    /// @brief Handles the answer to a stop.
    /// @param answer Answer.
    /// @param now Current time.
    void stop_answered(const order_answer &answer, time_point now);

    /// @brief Handles a report.
    /// @param answer Answer.
    /// @param now Current time.
    void report_answered(const report_answer &answer, time_point now);

    /// @brief Does what is due: claims, renewals, time limits, lost hosts, placements.
    /// @param now Current time.
    /// @param unix_now Wall clock.
    void tick(time_point now, milliseconds unix_now);

    /// @brief Places waiting tasks on free room.
    /// @param now Current time.
    void place(time_point now);

    /// @brief Targets as held.
    /// @return Holder.
    [[nodiscard]] const target_holder &holder() const noexcept { return m_holder; }

    /// @brief Counts since the start of the process.
    /// @return Counts.
    [[nodiscard]] const scheduler_counts &counts() const noexcept { return m_counts; }

    /// @brief Jobs that are not answered yet.
    /// @return Number of jobs.
    [[nodiscard]] std::size_t open_jobs() const noexcept { return m_jobs.size(); }

    void run_ended(const target_id &target, const lease::ended_run &end, time_point now) override;
    void run_found(const target_id &target, const lease::found_run &run, time_point now) override;
    void target_taken(const target_id &target, const std::vector<job::task_ref> &runs, time_point lapse, time_point now) override;
    void target_restarted(const target_id &target) override;
    [[nodiscard]] bool may_renew(const std::unordered_map<job::task_ref, lease::run_entry> &runs, time_point now) const override;

  private:
    enum class slot_state : std::uint8_t {
        waiting,
        placed,
        done,
        /// At work on a target that another host has taken.
        out_of_reach,
    };

    /// @brief Run of a task that is not wanted, and is being stopped.
    struct stray_run {
        target_id target;
        /// When it has ended at the latest, if its target is out of reach.
        std::optional<time_point> lapse_at;
    };

    struct task_slot {
        std::uint32_t step{};
        std::uint32_t index{};
        slot_state state{slot_state::waiting};
        target_id target;
        std::uint64_t last_run{};
        std::uint32_t failures{};
        time_point placed_at;
        /// When a task out of reach has ended.
        time_point lapse_at;
        /// Least speed of its next target, after it was stopped on one that was too slow.
        double least_speed{};
        /// The pace of the present run has counted for its target's speed.
        bool pace_observed{};
        /// Other runs that may be at work; the task is not started while there are any.
        std::vector<stray_run> strays;
    };

    struct open_job {
        job::definition job;
        job::queue_policy queue;
        std::vector<host_id> hosts;
        std::vector<task_slot> slots;
        time_point sent_at;
        time_point deadline;
        time_point opened_at;
        time_point earlier_runs_end_at;
        host_id earlier;
        bool ever_started{};
        /// Answered; waits until nothing of it is at work.
        bool closing{};
        /// Submission that came while the job was closing.
        std::optional<submission> next;
    };

    struct orphan_run {
        target_id target;
        run_number run{};
        time_point found_at;
    };

    struct orphan_end {
        run_number run{};
        time_point ended_at;
    };

    struct past_answer {
        job::answer answer;
        time_point at;
    };

    /// @brief What another scheduler says of its targets.
    struct other_scheduler {
        std::set<target_id> idle;
        log_offset catalog_next{};
        time_point said_at;
    };

    struct target_state {
        placement::target_health health;
    };

    /// @brief Room of a target during one round of placements.
    struct candidate {
        const held_target *target{};
        resources free;
        double speed{1.0};
    };

    /// @brief Speeds that a job asks of its targets.
    struct speed_range {
        /// Meets the objective; more is not needed.
        double wanted{};
        /// With less the deadline would be missed; waiting for another target is better.
        double bearable{};
    };

    /// @brief How well a target suits a task.
    struct fit {
        double speed{1.0};
        /// Room that would be left.
        std::int64_t cpu_left{};
    };

    void open(submission work, time_point now);
    void join(open_job &job, const submission &work, time_point now);
    void adopt_orphans(open_job &job, time_point now);
    void log_answer(const open_job &job, const job::answer &answer, time_point now) const;
    void finish(open_job &job, const job::answer &answer, time_point now);
    void close(open_job &job, time_point now);
    [[nodiscard]] bool has_confirmed_host(const open_job &job, time_point now) const;
    [[nodiscard]] bool cannot_start_in_time(const open_job &job, time_point now) const;
    [[nodiscard]] bool earlier_runs_ended(const open_job &job, time_point now) const;
    void erase_if_closed(const job_id &id, time_point now);
    void end_overdue(time_point now);
    void drop_lost_hosts(time_point now);
    void return_lapsed(time_point now);
    void stop_orphans(time_point now);
    void stop_stalled(time_point now);
    [[nodiscard]] static stray_run *find_stray(task_slot &slot, const target_id &target);
    [[nodiscard]] task_slot *find_slot(open_job &job, const job::task_ref &task);
    [[nodiscard]] bool step_ready(const open_job &job, std::uint32_t step) const;
    [[nodiscard]] duration expected_run(const open_job &job) const;
    [[nodiscard]] duration objective(const open_job &job) const;
    [[nodiscard]] std::vector<open_job *> waiting_in_order(time_point now);
    [[nodiscard]] std::vector<candidate> candidates(time_point now);
    [[nodiscard]] candidate *choose_startable(const open_job &job, const task_slot &slot, const speed_range &speeds,
                                              std::vector<candidate> &room, time_point now) const;
    [[nodiscard]] candidate *choose(const open_job &job, const task_slot &slot, const speed_range &speeds,
                                    std::vector<candidate> &room) const;
    [[nodiscard]] static bool suits(const open_job &job, const task_slot &slot, const candidate &one);
    [[nodiscard]] static bool better(const fit &left, const fit &right, double least_speed) noexcept;
    [[nodiscard]] double needed_speed(const open_job &job, time_point now) const;
    [[nodiscard]] double bearable_speed(const open_job &job, time_point now) const;
    [[nodiscard]] bool usable(const held_target &target, time_point now);
    [[nodiscard]] duration longest_run(const open_job &job) const;
    [[nodiscard]] double task_places(const resources &need, const service_id &service) const;
    void place_job(open_job &job, const speed_range &speeds, std::vector<candidate> &room, time_point now);
    [[nodiscard]] static bool plentiful(const std::vector<candidate> &room);
    void refuse_hopeless(time_point now);
    void end_hopeless_runs(time_point now);
    void judge_pace(const held_target &target, const job::task_ref &task, const lease::run_entry &entry, time_point now,
                    std::vector<job_id> &hopeless);
    [[nodiscard]] double fastest_speed(time_point now);
    [[nodiscard]] time_point latest_start(const open_job &job) const;

    answer_port &m_answers;
    target_holder m_holder;
    run_time_estimator m_run_times;
    speed_model m_speeds;
    /// What an earlier scheduler has learned of targets that are not in scope yet.
    std::unordered_map<target_id, target_statistics> m_restored_targets;
    std::unordered_map<target_id, target_state> m_target_states;
    std::map<job_id, open_job> m_jobs;
    std::map<job_id, past_answer> m_past;
    std::unordered_map<job::task_ref, orphan_run> m_orphans;
    std::unordered_map<job::task_ref, orphan_end> m_orphan_ends;
    std::unordered_map<host_id, time_point> m_hosts_confirmed_until;
    std::map<host_id, other_scheduler> m_others;
    log_offset m_catalog_next{};
    scheduler_counts m_counts;
    /// Speed of the fastest target in use.
    double m_fastest{1.0};
    bool m_place_due{};
};

} // namespace heathermoor::pool
