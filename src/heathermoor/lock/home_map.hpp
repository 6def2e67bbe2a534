#pragma once

#include "heathermoor/cell/cell_plan.hpp"
#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include <string>
#include <vector>

namespace heathermoor::lock {

/// @brief Maps each job to its home: the cell whose leader keeps the job's lock.
///
/// A job that is sent to two cells has one home. After a change of the cells, jobs keep their earlier home beside the new one for
/// a while, since hosts learn of the change at different times.
class home_map {
  public:
    /// @brief Replaces the cells.
    /// @param cells All cells of the deployment.
    /// @param now Reading of the monotonic clock.
    void set_cells(const std::vector<cell::cell_id> &cells, time_point now);

    /// @brief Homes of a job.
    /// @param id Job.
    /// @param now Reading of the monotonic clock.
    /// @return Home and the earlier ones that still count, in the same order on all hosts; empty before `set_cells`.
    [[nodiscard]] std::vector<cell::cell_id> of(const job_id &id, time_point now) const;

    /// @brief Cells as of the last change.
    /// @return Cells in the order given.
    [[nodiscard]] const std::vector<cell::cell_id> &cells() const noexcept { return m_cells; }

  private:
    /// Earlier cells, and until when they count.
    struct division {
        std::vector<cell::cell_id> cells;
        time_point until;
    };

    std::vector<cell::cell_id> m_cells;
    std::vector<division> m_earlier;
};

} // namespace heathermoor::lock
