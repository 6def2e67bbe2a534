#pragma once

#include "heathermoor/trace/record.hpp"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace heathermoor::trace {

/// @brief Outcomes of a group of jobs.
struct group_outcomes {
    std::uint64_t jobs{};
    /// Jobs completed within their objective.
    std::uint64_t in_time{};
    /// Jobs completed after their objective.
    std::uint64_t late{};
    /// Jobs that were not completed, by the reason in the log line.
    std::map<std::string, std::uint64_t> reasons;
    /// Sum over late jobs of the time until their last task started, in ms.
    double late_start_ms{};
    /// Jobs of which a task ran more than once because a run was lost, failed or moved.
    std::uint64_t again{};
    /// Runs that were moved because of their pace.
    std::uint64_t moves{};

    /// @brief Share of the jobs that were completed, in time or late.
    /// @return Share from 0 to 1; 1 without any job.
    [[nodiscard]] double served() const noexcept;

    friend bool operator==(const group_outcomes &, const group_outcomes &) = default;
};

/// @brief Outcomes of the jobs of one queue: of all, and of parts that should fare like the whole.
struct queue_breakdown {
    group_outcomes all;
    /// Largest tenth of the jobs, the fifth below it, and the rest, ranked by work as known when they ended.
    std::vector<std::pair<std::string, group_outcomes>> sizes;
    /// By the host that took the job from its caller.
    std::map<std::string, group_outcomes> hosts;
};

/// @brief Counts jobs by queue, size, entry host, outcome and reason from the schedulers' `job_answered` lines.
class breakdown {
  public:
    /// @brief Adds a line; other events than `job_answered` are ignored.
    ///
    /// A job that several schedulers answered counts once: as completed if one of them completed it.
    /// @param line Parsed log line.
    void add(const record &line);

    /// @brief Formats the counts as a table; late starts are shown as a mean.
    /// @return Text with a header line and a line for each group, and a line for each group that is served less than
    ///     half as often as its queue.
    [[nodiscard]] std::string to_string() const;

    /// @brief Computes the counts.
    /// @return Counts by queue name.
    [[nodiscard]] std::map<std::string, queue_breakdown> queues() const;

  private:
    struct answered_job {
        std::string host;
        /// Work in core-seconds, by what was known of the run time when the job ended.
        double work{};
        bool completed{};
        bool late{};
        std::string reason;
        double last_start_ms{};
        bool again{};
        std::uint64_t moves{};
    };

    static void count(const answered_job &job, group_outcomes &out);

    /// Jobs by queue and id.
    std::map<std::string, std::map<std::string, answered_job>> m_jobs;
};

} // namespace heathermoor::trace
