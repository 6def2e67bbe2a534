#include "heathermoor/placement/load_balancer.hpp"

#include <algorithm>

namespace heathermoor::placement {

namespace internal {

[[nodiscard]] double wait_ms(const host_load &load) noexcept {
    const auto queue_ms = load.backlog_ms / std::max(load.capacity, 0.01);
    return load.free_slots > 0 ? 0.0 : queue_ms;
}

/// Score of a host in milliseconds, lower is better; the share of used slots, at most 1 ms, decides between hosts with free slots.
[[nodiscard]] double rank(const host_load &load) noexcept {
    const auto penalty = load.own_domain ? 0.0 : load_balancer::domain_penalty_ms;
    const auto used = 1.0 - static_cast<double>(load.free_slots) / std::max(load.slots, 1U);
    return wait_ms(load) + penalty + used;
}

} // namespace internal

void load_balancer::update(const pool_id &pool, std::vector<host_load> loads) {
    m_pools[pool] = std::move(loads);
}

void load_balancer::refresh(const pool_id &pool, const host_load &load) {
    for(auto &known: m_pools[pool]) {
        if(known.host == load.host) {
            known = load;
        }
    }
}

host_id load_balancer::choose(const pool_id &pool, double expected_ms, const host_id &avoid) {
    const auto found = m_pools.find(pool);
    if(found == m_pools.end()) {
        return {};
    }
    host_load *best = nullptr;
    for(auto &load: found->second) {
        const auto better = best == nullptr || internal::rank(load) < internal::rank(*best);
        if(load.host != avoid && load.slots > 0 && better) {
            best = &load;
        }
    }
    if(best == nullptr) {
        return {};
    }
    best->backlog_ms += best->free_slots > 0 ? 0.0 : expected_ms;
    best->free_slots -= best->free_slots > 0 ? 1U : 0U;
    return best->host;
}

duration load_balancer::expected_wait(const pool_id &pool) const {
    const auto found = m_pools.find(pool);
    auto shortest = duration::max();
    if(found != m_pools.end()) {
        for(const auto &load: found->second) {
            shortest = std::min(shortest, from_ms(internal::wait_ms(load)));
        }
    }
    return shortest;
}

} // namespace heathermoor::placement
