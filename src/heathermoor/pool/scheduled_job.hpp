#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/job/job.hpp"
#include "heathermoor/pool/job_forecast.hpp"
#include "heathermoor/pool/job_size.hpp"
#include "heathermoor/pool/ports.hpp"
#include "heathermoor/pool/run_time_estimator.hpp"
#include "heathermoor/pool/submission.hpp"
#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

namespace heathermoor::pool {

/// @brief State of a task in the hands of a scheduler.
enum class slot_state : std::uint8_t {
    waiting,
    placed,
    done,
    /// May be running on a target that another holder has claimed.
    out_of_reach,
};

/// @brief Surplus run of a task, which is being stopped.
struct unwanted_run {
    target_id target;
    /// Time by which it has ended, if another holder has claimed its target.
    std::optional<time_point> lapse_at;
};

/// @brief Scheduling state of one task of a job.
struct task_slot {
    std::uint32_t step{};
    std::uint32_t index{};
    slot_state state{slot_state::waiting};
    target_id target;
    std::uint64_t last_run{};
    std::uint32_t failures{};
    time_point placed_at;
    /// Speed of the target at the last start.
    double placed_speed{};
    /// Run time of the task on a target of mean speed, once it has ended here.
    duration run_time{};
    /// Time by which an `out_of_reach` run has ended.
    time_point lapse_at;
    /// What the task's runs have shown of its run time, and when its latest progress was seen.
    std::optional<run_time_sample> sample;
    time_point sampled_at;
    /// The progress of the present run has already counted as a sample for its target's speed.
    bool pace_observed{};
    /// Other runs that may be active; the task is not started while there are any.
    std::vector<unwanted_run> unwanted_runs;
};

/// @brief Target speeds that a job needs, relative to the mean of all targets.
struct speed_range {
    /// Speed that meets the latency objective; the slowest target above it is preferred.
    double for_objective{};
    /// Minimum speed; with less the objective or the deadline is likely to be missed, and waiting for another target is better.
    double least{};
};

/// @brief Position of a job among those that wait for capacity.
///
/// A job that has started tasks comes first if its caller leaves soon, since their work would be lost. The others go by priority;
/// within one, those that can still meet their latency objective come first, and of these the one that can wait least.
struct queue_position {
    /// Tasks have started, and the time until the caller leaves does not suffice for two more runs.
    bool at_risk{};
    std::uint32_t priority{};
    /// The job can no longer meet its latency objective.
    bool overdue{};
    /// Latest start with which it meets the objective, as predicted when it began to wait.
    time_point latest_start;
    job_id id;

    friend bool operator<(const queue_position &left, const queue_position &right) noexcept {
        return std::tuple{!left.at_risk, left.priority, left.overdue, left.latest_start, std::string_view{left.id.str()}} <
               std::tuple{!right.at_risk, right.priority, right.overdue, right.latest_start, std::string_view{right.id.str()}};
    }
};

/// @brief Job that is not answered yet, or has runs that are still being stopped.
struct open_job {
    job::definition job;
    job::queue_policy queue;
    /// Gateways that wait for the answer, each once, in the session in which it submitted the job last.
    std::vector<gateway_ref> gateways;
    std::vector<task_slot> slots;
    time_point sent_at;
    /// Latest time for the answer to leave this host.
    time_point deadline;
    /// When all runs of earlier schedulers have ended, at the latest.
    time_point earlier_runs_end_at;
    /// When earlier schedulers have stopped starting its tasks; only reports requested since then show all of their runs.
    time_point earlier_starts_end_at;
    /// Host of the only earlier scheduler that had the job; empty for none or several.
    host_id earlier;
    /// A task may have started, here or under an earlier scheduler.
    bool ever_started{};
    /// Answered or cancelled; erased once none of its runs may be active.
    bool closing{};
    /// When its tasks end, by `prediction` and the samples of its slots.
    job_forecast forecast;
    /// Prediction on arrival.
    run_time_prediction prediction;
    /// Run time of a task on a target of mean speed, as predicted on arrival.
    duration predicted_run_time{};
    size_class size{size_class::rest};
    /// Runs moved to another target because of their pace.
    std::uint32_t moves{};
    /// All tasks have been ordered at least once.
    bool all_placed{};
    /// Position in the queue; none while no task waits for capacity.
    std::optional<queue_position> queued;
    /// Speeds that the job needs, when they were computed, and the speed of the fastest targets then.
    speed_range speeds;
    time_point speeds_at;
    double speeds_fastest{};
    /// Submission that arrived while the job was closing; handled after that.
    std::optional<submission> next;
};

/// @brief Run found on a target that belongs to no known job.
struct orphan_run {
    target_id target;
    run_number run{};
    time_point found_at;
};

/// @brief Successful end of a run that belongs to no known job, kept for a later submission.
struct orphan_end {
    run_number run{};
    time_point ended_at;
};

/// @brief Answer kept for a later submission of the same job.
struct recent_answer {
    job::answer answer;
    time_point at;
};

} // namespace heathermoor::pool
