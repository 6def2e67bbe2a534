#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/job/job.hpp"
#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace heathermoor::pool {

/// @brief Size of a job by its predicted work, relative to the recent jobs of its queue.
enum class size_class : std::uint8_t {
    largest_tenth,
    /// The fifth below the largest tenth.
    next_fifth,
    rest,
};

/// @brief Number of size classes.
inline constexpr std::size_t size_classes = 3;

/// @brief Name of a size class in logs and metrics.
/// @param size Size class.
/// @return Name in snake case; static storage.
[[nodiscard]] std::string_view name_of(size_class size) noexcept;

/// @brief Ranks each job by its predicted work among the recent jobs of its queue.
class size_ranking {
  public:
    /// @brief Ranks a job and adds it to the jobs that later ones are compared with.
    /// @param queue Queue of the job.
    /// @param work Predicted work of the job, in any unit that is the same for all jobs of the queue.
    /// @return Size class; `rest` while the queue has had too few jobs for a comparison.
    [[nodiscard]] size_class add(const queue_id &queue, double work);

  private:
    struct recent_jobs {
        std::vector<double> work;
        /// Position of the oldest job once the window is full.
        std::size_t oldest{};
    };

    std::map<queue_id, recent_jobs> m_queues;
};

/// @brief What has become of the jobs of one queue and size class, as known to one scheduler.
struct group_counts {
    job::outcome_counts ended;
    /// Completed jobs that were answered after their objective.
    std::uint64_t late{};
    /// Runs that were moved to another target because of their pace.
    std::uint64_t moves{};
    /// Run time of the tasks of completed jobs: predicted on arrival, and measured, on a target of mean speed.
    duration predicted_run_time{};
    duration measured_run_time{};
};

/// @brief Counts of one queue, by size class.
using queue_counts = std::array<group_counts, size_classes>;

} // namespace heathermoor::pool
