#pragma once

#include "heathermoor/trace/record.hpp"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace heathermoor::trace {

/// @brief How jobs of one queue ended, and where the time of the others went.
struct queue_breakdown {
    std::uint64_t in_time{};
    std::uint64_t late{};
    /// Jobs that were not completed, by reason.
    std::map<std::string, std::uint64_t> reasons;
    /// Time until the last task of late jobs started, in ms.
    double late_start_ms{};
    /// Jobs that ran after a task was lost, failed or moved.
    std::uint64_t again{};
};

/// @brief Where the service goes: jobs by queue, outcome and reason, from the scheduler's lines.
class breakdown {
  public:
    /// @brief Takes a line into account.
    /// @param line Line.
    void add(const record &line);

    /// @brief Table of all queues.
    /// @return Text, a line for each queue and reason.
    [[nodiscard]] std::string to_string() const;

    /// @brief Figures by queue.
    /// @return Queues by name.
    [[nodiscard]] const std::map<std::string, queue_breakdown> &queues() const noexcept { return m_queues; }

  private:
    std::map<std::string, queue_breakdown> m_queues;
};

} // namespace heathermoor::trace
