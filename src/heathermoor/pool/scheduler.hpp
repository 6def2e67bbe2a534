#pragma once

#include "heathermoor/job/job.hpp"
#include "heathermoor/placement/target_health.hpp"
#include "heathermoor/pool/job_forecast.hpp"
#include "heathermoor/pool/job_size.hpp"
#include "heathermoor/pool/overload.hpp"
#include "heathermoor/pool/placing_round.hpp"
#include "heathermoor/pool/ports.hpp"
#include "heathermoor/pool/run_statistics.hpp"
#include "heathermoor/pool/run_time_estimator.hpp"
#include "heathermoor/pool/scheduled_job.hpp"
#include "heathermoor/pool/scheduler_counts.hpp"
#include "heathermoor/pool/speed_model.hpp"
#include "heathermoor/pool/submission.hpp"
#include "heathermoor/pool/target_holder.hpp"
#include "heathermoor/pool/target_room.hpp"
#include "heathermoor/reservation/backfill.hpp"
#include "heathermoor/reservation/book.hpp"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace heathermoor::pool {

/// @brief Schedules all jobs on one pool of targets, from a single host.
class scheduler final : public holder_listener {
  public:
    /// @brief Creates a scheduler without targets or jobs.
    /// @param orders Port for orders to targets; has to outlive the scheduler.
    /// @param answers Port for answers to gateways; has to outlive the scheduler.
    /// @param tokens Source of the fencing tokens for claims.
    scheduler(order_port &orders, answer_port &answers, lease::token_source tokens) : m_answers{answers}, m_holder{orders, *this, tokens} {}

    /// @brief Replaces the set of targets that this scheduler uses.
    /// @param targets Targets in scope of this scheduler.
    /// @param known Every target that any host may be using, in scope or not.
    /// @param catalog_next Offset in the target catalog up to which the two lists are current.
    void set_targets(const std::vector<scoped_target> &targets, std::set<target_id> known, log_offset catalog_next);

    /// @brief Replaces the failure domains that are being evacuated: nothing is started on their targets, what runs there goes on.
    /// @param domains Failure domains, also ones without a target in scope.
    void set_evacuated(std::set<failure_domain_id> domains);

    /// @brief Sets whether it is not known yet which failure domains are being evacuated. Nothing is started meanwhile.
    /// @param uninformed True until the operators' requests have been read or received.
    void set_uninformed(bool uninformed) noexcept;

    /// @brief Sets how room is kept for jobs that can't start yet; `none` unless it is called.
    /// @param kind Strategy, from the next tick on.
    void set_backfill(reservation::backfill_kind kind) { m_backfill = reservation::make_backfill(kind); }

    /// @brief Reservations of the present plan, for inspection.
    /// @return Plan of the latest tick; null if there is none.
    [[nodiscard]] const reservation::plan *reservations() const noexcept { return m_plan ? &*m_plan : nullptr; }

    /// @brief Drops all targets and jobs without answers; gateways submit their jobs to the next scheduler.
    void resign();

    /// @brief Exports the run statistics of all queues and of the targets in scope.
    /// @return Statistics for `restore` in the next scheduler.
    [[nodiscard]] run_statistics learned() const;

    /// @brief Imports the run statistics of another scheduler.
    ///
    /// The statistics of a target apply once `set_targets` lists it with the same boot.
    /// @param earlier Statistics; they replace those of the same queues and targets here.
    void restore(const run_statistics &earlier);

    /// @brief Accepts a job; a submission of a known job joins that job.
    ///
    /// A job that has ended recently gets the same answer again.
    /// @param work Job, its queue and its gateway.
    /// @param now Monotonic time of the call.
    void submit(submission work, time_point now);

    /// @brief Removes a gateway from a job; without any left, the job's runs are stopped and nobody is answered.
    /// @param from Gateway whose caller no longer waits; what it submits in a later session is not affected.
    /// @param id Job; an unknown one is ignored.
    /// @param now Monotonic time of the call.
    void cancel(const gateway_ref &from, const job_id &id, time_point now);

    /// @brief Confirms that a gateway still waits for its jobs.
    ///
    /// Says nothing of earlier sessions and processes, whose jobs may have lost their callers.
    /// @param gateway Gateway in its present session.
    /// @param until Monotonic time up to which this holds; an earlier one than before has no effect.
    void confirm_gateway(const gateway_ref &gateway, time_point until);

    /// @brief Answers a gateway's query about a job; the answer of a job that has ended is sent again.
    /// @param from Gateway that asks.
    /// @param id Job.
    /// @return False if the job is unknown, or known but not for this session of the gateway.
    [[nodiscard]] bool answer_query(const gateway_ref &from, const job_id &id);

    /// @brief Whether a gateway counts as waiting for its jobs.
    /// @param gateway Gateway in its present session.
    /// @param now Monotonic time of the call.
    /// @return False if its confirmation has expired.
    [[nodiscard]] bool is_confirmed(const gateway_ref &gateway, time_point now) const;

    /// @brief Whether a job is in memory; answered ones are while runs are still being stopped.
    /// @param id Job.
    /// @return True until none of its runs can be active.
    [[nodiscard]] bool knows(const job_id &id) const { return m_jobs.contains(id); }

    /// @brief Gives up a job that another scheduler has, and stops its runs.
    /// @param id Job; an unknown one is ignored. Of one that is closing only the submission that waits for that is given back.
    /// @param now Monotonic time of the call.
    /// @return Submissions of the gateways that wait for it, as if they came now.
    [[nodiscard]] std::vector<submission> give_up(const job_id &id, time_point now);

    /// @brief Sets whether the jobs that are to be refused are left to the caller, as `overload`.
    /// @param lending True if other cells may take them.
    void set_lending(bool lending) noexcept { m_lending = lending; }

    /// @brief Jobs that cannot start here in time.
    /// @return Report as of the last tick; empty unless lending.
    [[nodiscard]] const overload_report &overload() const noexcept { return m_overload; }

    /// @brief Takes a job of which nothing was started out of the queue, without an answer.
    /// @param id Job.
    /// @param now Monotonic time of the call.
    /// @return Submissions of the gateways that wait for it, as if they came now; none if the job is unknown, or may have started.
    [[nodiscard]] std::vector<submission> withdraw(const job_id &id, time_point now);

    /// @brief Refuses a job of which nothing was started; any other is left as it is.
    /// @param id Job.
    /// @param retry_after Time until a retry is likely to be accepted.
    /// @param now Monotonic time of the call.
    void refuse(const job_id &id, milliseconds retry_after, time_point now);

    /// @brief Processor capacity that is free and that no waiting job needs.
    /// @param now Monotonic time of the call.
    /// @return Capacity by service; services without any are absent.
    [[nodiscard]] std::map<service_id, free_room> find_free_room(time_point now);

    /// @brief Answer of a job that has ended recently.
    /// @param id Job.
    /// @return Final answer; none if the job is not known to have ended.
    [[nodiscard]] std::optional<job::answer> past_answer(const job_id &id) const;

    /// @brief Jobs that have left the memory since the last call. One may be back, by a submission that waited for its end.
    /// @return Jobs in the order in which they left.
    [[nodiscard]] std::vector<closed_job> take_closed() { return std::exchange(m_closed, {}); }

    /// @brief Counts the open jobs of a queue of which no task has started.
    /// @param queue Name of the queue.
    /// @return Number of jobs; zero for an unknown queue.
    [[nodiscard]] std::uint32_t waiting(const queue_id &queue) const;

    /// @brief Counts the open jobs of which no task has started, by queue.
    /// @return Number of jobs; queues without any are absent.
    [[nodiscard]] std::map<queue_id, std::uint32_t> waiting() const;

    /// @brief Records which targets another scheduler reports as idle.
    /// @param host Host of that scheduler.
    /// @param idle Targets that run nothing for it and get no start from it for now.
    /// @param catalog_next Offset up to which it has read the target catalog.
    /// @param as_of Monotonic time on this host after which the report was made.
    void update_other_scheduler(const host_id &host, std::set<target_id> idle, log_offset catalog_next, time_point as_of);

    /// @brief Drops the reports of other schedulers, for when this one no longer shares targets with them.
    void forget_other_schedulers() noexcept { m_others.clear(); }

    /// @brief Lists the targets that run nothing for this scheduler, to be sent to other hosts.
    /// @param now Monotonic time of the call.
    /// @return Targets; see `target_holder::publish_idle`.
    [[nodiscard]] std::vector<target_id> publish_idle(time_point now) { return m_holder.publish_idle(now); }

    /// @brief Claims the targets that this scheduler does not hold at the next tick, after another holder has released its own.
    /// @param now Monotonic time of the call.
    void reclaim(time_point now) { m_holder.reclaim(now); }

    /// @brief Handles the answer to a start order.
    /// @param answer Answer; its outcome is `unanswered` if none arrived.
    /// @param now Monotonic time of the call.
    void start_answered(const order_answer &answer, time_point now);

    /// @brief Handles the answer to a stop order.
    /// @param answer Answer; its outcome is `unanswered` if none arrived.
    /// @param now Monotonic time of the call.
    void stop_answered(const order_answer &answer, time_point now);

    /// @brief Handles the answer to a claim, a long poll or a renewal.
    /// @param answer Report of the target; the outcome is `unanswered` if none arrived.
    /// @param now Monotonic time of the call.
    void report_answered(const report_answer &answer, time_point now);

    /// @brief Runs the periodic work: claims, renewals, deadlines, lost gateways, overload control and placement.
    /// @param now Monotonic time of the call.
    /// @param unix_now Wall clock since the Unix epoch, for fencing tokens.
    void tick(time_point now, milliseconds unix_now);

    /// @brief Sets whether this host resumes after a pause. Nothing is started meanwhile; what is due is done after it.
    /// @param resuming True while what is known of the targets' connections may be out of date.
    void set_resuming(bool resuming) noexcept {
        m_resuming = resuming;
        m_holder.set_resuming(resuming);
    }

    /// @brief Starts waiting tasks on targets with free capacity, if anything has changed since the last call.
    /// @param now Monotonic time of the call.
    void place(time_point now);

    /// @brief Holder of the targets in scope, for inspection.
    /// @return Holder; lives as long as the scheduler.
    [[nodiscard]] const target_holder &holder() const noexcept { return m_holder; }

    /// @brief Counters since the scheduler was created.
    /// @return Counters; they only rise.
    [[nodiscard]] const scheduler_counts &counts() const noexcept { return m_counts; }

    /// @brief Counters of reservations since the scheduler was created.
    /// @return Counters; they only rise.
    [[nodiscard]] const reservation::reservation_counts &reservation_counts() const noexcept { return m_book.counts(); }

    /// @brief Counts the jobs in memory, including answered ones with runs that are still being stopped.
    /// @return Number of jobs.
    [[nodiscard]] std::size_t open_jobs() const noexcept { return m_jobs.size(); }

    /// @brief Lists the jobs that are neither answered nor cancelled.
    /// @return Ids in ascending order.
    [[nodiscard]] std::vector<job_id> unanswered_jobs() const;

    void run_ended(const target_id &target, const lease::ended_run &end, time_point now) override;
    void run_found(const target_id &target, const lease::found_run &run, time_point now) override;
    void target_taken(const target_id &target, const std::vector<job::task_ref> &runs, time_point lapse, time_point now) override;
    void target_restarted(const target_id &target) override;
    [[nodiscard]] bool may_renew(const std::unordered_map<job::task_ref, lease::run_entry> &runs, time_point now) const override;

  private:
    /// @brief Last report of another scheduler about its targets.
    struct other_scheduler {
        std::set<target_id> idle;
        log_offset catalog_next{};
        time_point as_of;
    };

    struct target_state {
        placement::target_health health;
    };

    /// @brief Chances that a run ends before its job's deadline.
    struct run_outlook {
        /// If it goes on where it is.
        double here{};
        /// If it is stopped and started again on the fastest target.
        double moved{};
    };

    void open(submission work, time_point now);
    void join(open_job &job, const submission &work, time_point now);
    static void add_gateway(open_job &job, const gateway_ref &gateway);
    void adopt_orphans(open_job &job, time_point now);
    void log_opened(const open_job &job, time_point now) const;
    void log_placed(open_job &job, const speed_range &speeds, time_point now) const;
    void log_answer(const open_job &job, const job::answer &answer, time_point now) const;
    void count_outcome(const open_job &job, const job::answer &answer, time_point now);
    void finish(open_job &job, const job::answer &answer, time_point now);
    /// Answers a job all tasks of which are done.
    void finish_if_done(open_job &job, time_point now);
    void close(open_job &job, time_point now);
    /// Whether a gateway waits for a job, or for the next one of the same id while the job is closing.
    [[nodiscard]] static bool waits(const gateway_ref &gateway, const open_job &job);
    [[nodiscard]] bool has_confirmed_gateway(const open_job &job, time_point now) const;
    [[nodiscard]] bool cannot_start_in_time(const open_job &job, time_point now) const;
    [[nodiscard]] bool earlier_runs_ended(const open_job &job, time_point now) const;
    void set_earlier_runs(open_job &job, const submission &work, time_point now);
    /// Time since which all targets that the earlier scheduler may use have reported; none if one has not.
    [[nodiscard]] std::optional<time_point> reported_since(const host_id &earlier, time_point now) const;
    void request_due_reports(time_point now);
    /// Whether any run of a task may be active.
    [[nodiscard]] static bool may_be_active(const task_slot &slot) noexcept;
    void erase_if_closed(const job_id &id, time_point now);
    void end_overdue(time_point now);
    void drop_lost_gateways(time_point now);
    void requeue_lapsed(time_point now);
    void stop_orphans(time_point now);
    void stop_stalled(time_point now);
    [[nodiscard]] static unwanted_run *find_unwanted_run(task_slot &slot, const target_id &target);
    /// Records the run time of a task that has ended here.
    void observe_run_time(open_job &job, task_slot &slot, duration elapsed, double speed);
    [[nodiscard]] task_slot *find_slot(open_job &job, const job::task_ref &task);
    [[nodiscard]] bool step_ready(const open_job &job, std::uint32_t step) const;
    /// Prediction for the job's queue and estimate at present, whatever its own tasks have shown.
    [[nodiscard]] duration predicted_run(const open_job &job) const;
    /// Computes the forecast from the prediction on arrival and the samples of all slots.
    static void refresh_forecast(open_job &job);
    /// Number of tasks that have not ended as done.
    [[nodiscard]] static std::size_t unfinished(const open_job &job);
    [[nodiscard]] static duration objective(const open_job &job);
    /// Processor time of all tasks, in core-seconds, by the run time predicted on arrival.
    [[nodiscard]] static double predicted_work(const open_job &job);
    [[nodiscard]] queue_position position_of(const open_job &job, time_point now) const;
    /// Puts a job into the queue, moves it there or takes it out, as its tasks and the time are.
    void update_queue(open_job &job, time_point now);
    /// Moves the jobs whose position has changed with time.
    void reorder_queue(time_point now);
    /// Whether the job may be started now: its caller waits, and no run of an earlier scheduler may be active.
    [[nodiscard]] bool may_start(const open_job &job, time_point now) const;
    /// Least of each resource that any waiting task of the job needs.
    [[nodiscard]] static resources least_need(const open_job &job);
    /// Least processor capacity that any waiting task needs, in millicores; only valid while jobs wait.
    [[nodiscard]] std::int64_t least_cpu_needed() const;
    /// Finds the targets with room for some waiting task, and whether much of the capacity of all is free.
    [[nodiscard]] room_found find_candidates(time_point now);
    /// Largest free capacity of any candidate, by service.
    [[nodiscard]] static std::map<service_id, resources> largest_free(const std::vector<candidate> &candidates);
    [[nodiscard]] const speed_range &speeds_for(open_job &job, time_point now) const;
    /// Finds the best target for a task among those whose leases may be extended; null if there is none.
    [[nodiscard]] candidate *choose_target(const open_job &job, const task_slot &slot, const speed_range &speeds,
                                           std::vector<candidate> &candidates, time_point now);
    /// Whether a task may be started on a target: a start also extends the lease of every other run there.
    [[nodiscard]] bool renewable(candidate &one, time_point now) const;
    [[nodiscard]] static bool suits(const open_job &job, const task_slot &slot, const candidate &one);
    [[nodiscard]] static bool better_fit(const target_fit &left, const target_fit &right, double preferred_speed) noexcept;
    [[nodiscard]] double objective_speed(const open_job &job, time_point now) const;
    /// Speed of a target below which the job had better wait for a fast one.
    [[nodiscard]] double least_speed(const open_job &job, time_point now) const;
    /// Speed with which a start now meets a limit as likely, but for a tolerated loss, as one on a fast target after a wait.
    [[nodiscard]] double speed_unless_waiting(const open_job &job, time_point limit, duration wait, double tolerated_loss,
                                              time_point now) const;
    [[nodiscard]] bool usable(const held_target &target, time_point now);
    /// Usable, or about to be once a claim is answered.
    [[nodiscard]] bool available_soon(const held_target &target, time_point now);
    /// Counts for refusals and for the fastest speed: available soon, or any target in scope that answers while claims settle.
    [[nodiscard]] bool counts_as_room(const held_target &target, time_point now);
    void update_settling(time_point now);
    [[nodiscard]] target_room find_room(time_point now);
    /// Whether a waiting task of the job could run on evacuated targets and on no others.
    [[nodiscard]] bool only_on_evacuated(const open_job &job) const;
    /// Starts tasks of a job where there is room; returns whether it started any.
    bool place_job(open_job &job, const speed_range &speeds, std::vector<candidate> &candidates, time_point now);
    void refuse_overload(time_point now);
    [[nodiscard]] static job_need total_need(const open_job &job);
    [[nodiscard]] static overloaded_job describe_overload(const open_job &job, const backlog &found);
    /// Time in ms that the waiting tasks of a job take the given number of places.
    [[nodiscard]] static double work_of_waiting(const open_job &job, std::int64_t places);
    [[nodiscard]] backlog find_backlog(const open_job &job, const target_room &room, double ahead_ms, time_point now) const;
    void report_overload(const open_job &job, const backlog &found);
    void log_refused(const open_job &job, const backlog &found) const;
    /// Plans reservations anew, refuses jobs whose reservation is too late for them, and counts and logs new ones.
    void update_reservations(time_point now);
    [[nodiscard]] reservation::room_profile find_profile(time_point now);
    [[nodiscard]] duration expected_run(const job::task_ref &task, const target_id &target) const;
    [[nodiscard]] ready_tasks find_ready(const open_job &job) const;
    [[nodiscard]] std::optional<reservation::request> request_of(open_job &job, time_point now) const;
    void refuse_late_reservations(time_point now);
    void log_reservation(const open_job &job, std::string_view event, const reservation::promise &made, time_point now) const;
    void end_reservation(const open_job &job, reservation::reservation_end how, time_point now);
    /// Starts tasks of a job as `place_job`, or holds it back so that others may use the room first.
    bool place_or_hold(open_job &job, const speed_range &speeds, std::vector<candidate> &candidates, time_point now);
    /// Starts tasks of the jobs that were held back in room that no other job has used; returns those that have started any.
    std::vector<open_job *> place_held_back(std::vector<candidate> &candidates, time_point now);
    /// Number of tasks of a job that could start now, up to the given one.
    [[nodiscard]] std::uint32_t count_places(const open_job &job, const ready_tasks &ready, const speed_range &speeds,
                                             std::vector<candidate> &candidates, time_point now) const;
    /// Number of reservations of jobs that come before the given one.
    [[nodiscard]] std::size_t reservations_ahead(const open_job &job) const;
    /// Room on a target that a task of a job may use, beside the given number of reservations.
    [[nodiscard]] resources room_beside(const candidate &one, duration run, std::size_t ahead, time_point now) const;
    /// Run time of a task for which a reservation counts as safe from it.
    [[nodiscard]] duration cautious_run(const open_job &job) const;
    /// Takes the room of a task that has just been started from the plan; ends the job's reservation with its last task.
    void record_start(const open_job &job, const candidate &chosen, const resources &need, time_point now);
    [[nodiscard]] std::size_t most_tries() const;
    /// Latest start with which the job is likely enough to make its deadline.
    [[nodiscard]] time_point latest_useful_start(const open_job &job) const;
    void end_unreachable_jobs(time_point now);
    void check_pace(const held_target &target, const job::task_ref &task, const lease::run_entry &entry, time_point now,
                    std::vector<job_id> &unreachable);
    void log_pace(std::string_view event, const open_job &job, const job::task_ref &task, const held_target &target,
                  const lease::run_entry &entry, const run_outlook &chances, time_point now) const;
    void observe_progress(open_job &job, task_slot &slot, const held_target &target, const lease::run_entry &entry);
    [[nodiscard]] run_outlook outlook(const open_job &job, const task_slot &slot, const held_target &target, const lease::run_entry &entry,
                                      time_point now) const;
    [[nodiscard]] double fastest_speed(time_point now);
    [[nodiscard]] time_point latest_start(const open_job &job) const;

    answer_port &m_answers;
    target_holder m_holder;
    run_time_estimator m_run_times;
    speed_model m_speeds;
    /// Imported statistics of targets, or of boots of targets, that no entry in scope has named yet.
    std::unordered_map<target_id, target_statistics> m_restored_targets;
    std::unordered_map<target_id, target_state> m_target_states;
    std::map<job_id, open_job> m_jobs;
    /// Jobs with tasks that wait for capacity, in the order in which they get it.
    std::map<queue_position, open_job *> m_queue;
    std::map<job_id, recent_answer> m_recent_answers;
    std::unordered_map<job::task_ref, orphan_run> m_orphans;
    std::unordered_map<job::task_ref, orphan_end> m_orphan_ends;
    /// Gateways, with the time up to which they are known to wait for their jobs.
    std::map<gateway_ref, time_point> m_gateways_confirmed_until;
    std::map<host_id, other_scheduler> m_others;
    log_offset m_catalog_next{};
    /// Times at which reports are needed from all targets.
    std::set<time_point> m_reports_due;
    std::vector<closed_job> m_closed;
    scheduler_counts m_counts;
    size_ranking m_sizes;
    std::unique_ptr<reservation::backfill> m_backfill{reservation::make_backfill(reservation::backfill_kind::none)};
    /// Reservations as of the last tick, the queue positions of their jobs in the same order, and the rows of its targets.
    std::optional<reservation::plan> m_plan;
    std::vector<queue_position> m_reserved;
    std::unordered_map<target_id, reservation::target_row> m_rows;
    reservation::book m_book;
    /// Jobs held back in the present placement round; empty between rounds.
    std::vector<std::pair<open_job *, speed_range>> m_held_back;
    /// Speed of the fastest targets that count as room, as of the last tick; zero if there was none.
    double m_fastest{1.0};
    /// Until when targets that are not held yet count as room: the scheduler has just begun, or lost a target to another holder.
    std::optional<time_point> m_settling_until;
    /// Something has changed since the last placement round.
    bool m_place_due{};
    bool m_resuming{};
    /// It is not known yet which failure domains are being evacuated.
    bool m_uninformed{};
    bool m_lending{};
    overload_report m_overload;
};

} // namespace heathermoor::pool
