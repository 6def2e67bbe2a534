#pragma once

#include "heathermoor/core/time.hpp"
#include "heathermoor/job/job.hpp"
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace heathermoor::test {

/// @brief Jobs of one queue in a simulation. Run times and widths are log-normal.
struct job_kind {
    std::string name;
    std::uint32_t priority{};
    double jobs_per_s{};
    /// Tasks of a job: mean, standard deviation of the logarithm, and limit.
    double mean_tasks{1};
    double task_spread{0.4};
    std::uint32_t most_tasks{32};
    /// Run time of a task at speed 1: mean over jobs and standard deviation of the logarithm between jobs.
    double mean_run_ms{100};
    double run_spread{0.4};
    /// Standard deviation of the logarithm of the run times within a job.
    double uneven{0.15};
    /// Share of jobs that run several times as long, and how many times.
    double long_share{0.03};
    double long_factor{7};
    /// Standard deviation of the logarithm of the caller's estimate; callers give no estimate if it is negative.
    double estimate_error{0.4};
    /// Processor time that a task needs per second: mean, and standard deviation of the logarithm.
    double mean_millicores{27'000};
    double millicores_spread{0.2};
};

/// @brief Job drawn from a kind.
struct drawn_job {
    job::definition definition;
    /// Run time of each task at speed 1.
    std::vector<duration> run_times;
    /// Processor time of all tasks, in core-seconds.
    double work{};
};

/// @brief Job of a simulation and whether it was served.
struct job_record {
    std::string kind;
    double work{};
    std::uint32_t tasks{};
    /// Run time of the longest task at speed 1.
    duration longest_run{};
    /// Failure domain of the entry host.
    std::uint32_t domain{};
    std::size_t host{};
    /// The fastest target could run its longest task in time for an answer within the caller's deadline.
    bool servable{};
    /// Completed before its caller's deadline.
    bool served{};
};

/// @brief Draws a job.
/// @param kind Distribution of the job.
/// @param id Id of the job.
/// @param random Source of randomness; the draws are the same for the same state.
/// @return Job with its real run times.
[[nodiscard]] drawn_job draw_job(const job_kind &kind, const job_id &id, std::mt19937_64 &random);

/// @brief Checks the users' rule that no group is served less than half as often as its whole kind.
///
/// Groups are the largest tenth by work and the fifth below it, as the users count them: of all jobs, also those that no target could
/// serve. A group is left out if it would break the rule even with its servable jobs served as often as all servable jobs of the
/// kind. Of the servable jobs, groups are the same by work, by number of tasks and by longest task, and the jobs of each failure
/// domain and entry host. Groups of fewer than 20 jobs are left out.
/// @param jobs All jobs of a simulation.
/// @return One line for each group that is served less.
[[nodiscard]] std::vector<std::string> short_groups(const std::vector<job_record> &jobs);

/// @brief Share of the jobs that were served.
/// @param jobs Jobs.
/// @return Share from 0 to 1; 1 without any.
[[nodiscard]] double served_share(const std::vector<job_record> &jobs);

/// @brief Shares by kind and work: largest tenth, next fifth, rest.
/// @param jobs All jobs of a simulation.
/// @return A line for each kind.
[[nodiscard]] std::string share_table(const std::vector<job_record> &jobs);

} // namespace heathermoor::test
