#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include <map>
#include <vector>

namespace heathermoor::placement {

/// @brief Host that could take a task, with its load as last reported.
struct host_load {
    host_id host;
    bool own_domain{};
    double capacity{};
    double backlog_ms{};
    std::uint32_t slots{};
    std::uint32_t free_slots{};
};

/// @brief Chooses the dispatcher host for each task by the shortest expected wait.
///
/// Work that was sent since the last report counts as backlog until the next
/// report of that host arrives.
class load_balancer {
  public:
    /// @brief Extra expected wait of a host in another failure domain.
    static constexpr double domain_penalty_ms = 5.0;

    /// @brief Replaces what is known of the shares of one pool.
    /// @param pool Pool.
    /// @param loads One entry per host with a usable slot.
    void update(const pool_id &pool, std::vector<host_load> loads);

    /// @brief Replaces what is known of one share.
    /// @param pool Pool.
    /// @param load Load of the share now.
    void refresh(const pool_id &pool, const host_load &load);

    /// @brief Chooses a host and counts the task against it.
    /// @param pool Pool of the task.
    /// @param expected_ms Expected run time on a target of speed 1.
    /// @param avoid Host that has just declined the task; empty for none.
    /// @return Host, or the empty name if no host has a slot of the pool.
    [[nodiscard]] host_id choose(const pool_id &pool, double expected_ms, const host_id &avoid);

    /// @brief Expected wait before a new task of a pool starts.
    /// @param pool Pool.
    /// @return Least wait over the hosts; the maximum if there is none.
    [[nodiscard]] duration expected_wait(const pool_id &pool) const;

  private:
    std::map<pool_id, std::vector<host_load>> m_pools;
};

} // namespace heathermoor::placement
