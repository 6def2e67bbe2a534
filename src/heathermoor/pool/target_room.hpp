#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/resources.hpp"
#include <cstdint>
#include <vector>

namespace heathermoor::pool {

/// @brief Counts targets by service and capacity, to tell how many tasks of some size they take at once.
///
/// The cost of an answer grows with the number of different capacities, not with that of the targets.
class target_room {
  public:
    /// @brief Adds a target.
    /// @param service Service of the target.
    /// @param capacity Capacity of the target when nothing runs on it.
    void add(const service_id &service, const resources &capacity);

    /// @brief Counts the tasks that the targets of a service take at once.
    /// @param service Service.
    /// @param need Resources of one task.
    /// @return Number of tasks.
    [[nodiscard]] std::int64_t places(const service_id &service, const resources &need) const;

  private:
    struct group {
        service_id service;
        resources capacity;
        std::int64_t targets{};
    };

    std::vector<group> m_groups;
};

} // namespace heathermoor::pool
