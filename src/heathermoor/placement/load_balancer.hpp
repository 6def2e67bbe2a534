#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include <map>
#include <vector>

namespace heathermoor::placement {

/// @brief Last reported load of a host for one pool.
struct host_load {
    host_id host;
    /// Whether the host is in the failure domain of this one.
    bool own_domain{};
    /// Sum of the speeds of the host's slots.
    double capacity{};
    /// Expected run time of the waiting tasks at speed 1.
    double backlog_ms{};
    std::uint32_t slots{};
    std::uint32_t free_slots{};
};

/// @brief Chooses the dispatcher host with the shortest expected wait for each task.
///
/// Tasks sent to a host since its last report are added to its load until the
/// next report arrives.
class load_balancer {
  public:
    /// @brief Milliseconds added to the expected wait of a host in another failure domain.
    static constexpr double domain_penalty_ms = 5.0;

    /// @brief Replaces the loads of all hosts for a pool.
    /// @param pool Pool that the loads describe.
    /// @param loads One entry for each host that may get tasks of the pool.
    void update(const pool_id &pool, std::vector<host_load> loads);

    /// @brief Replaces the load of one host; a host that is not listed for the pool is ignored.
    /// @param pool Pool that the load describes.
    /// @param load New load.
    void refresh(const pool_id &pool, const host_load &load);

    /// @brief Chooses a host for a task and adds the task to that host's load.
    /// @param pool Pool of the task.
    /// @param expected_ms Expected run time on a target of speed 1.
    /// @param avoid Host that has just declined the task and is not chosen; empty for none.
    /// @return Chosen host; empty if no other host has a slot of the pool.
    [[nodiscard]] host_id choose(const pool_id &pool, double expected_ms, const host_id &avoid);

    /// @brief Expected wait of a new task.
    /// @param pool Pool of the task.
    /// @return Shortest wait over all hosts, without the penalty for other domains; `duration::max()` if there is no host.
    [[nodiscard]] duration expected_wait(const pool_id &pool) const;

  private:
    std::map<pool_id, std::vector<host_load>> m_pools;
};

} // namespace heathermoor::placement
