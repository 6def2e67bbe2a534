#pragma once

#include "heathermoor/trace/record.hpp"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace heathermoor::trace {

/// @brief Outcomes of the jobs of one queue.
struct queue_breakdown {
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
};

/// @brief Counts jobs by queue, outcome and reason from the schedulers' `job_answered` lines.
class breakdown {
  public:
    /// @brief Adds a line; other events than `job_answered` are ignored.
    /// @param line Parsed log line.
    void add(const record &line);

    /// @brief Formats the counts as a table.
    /// @return Text with a header line and a line for each queue; late starts are shown as a mean.
    [[nodiscard]] std::string to_string() const;

    /// @brief Returns the counts.
    /// @return Counts by queue name.
    [[nodiscard]] const std::map<std::string, queue_breakdown> &queues() const noexcept { return m_queues; }

  private:
    std::map<std::string, queue_breakdown> m_queues;
};

} // namespace heathermoor::trace
