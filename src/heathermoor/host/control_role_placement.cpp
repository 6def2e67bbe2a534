#include "heathermoor/host/control_role.hpp"

#include "heathermoor/core/rendezvous.hpp"
#include "heathermoor/host/convert.hpp"
#include <algorithm>

namespace heathermoor::host {

void control_role::update_loads(const std::map<pool_id, placement::pool_load> &own) {
    const std::lock_guard lock{m_mutex};
    std::map<pool_id, std::vector<placement::host_load>> pools;
    for(const auto &[pool, load]: own) {
        pools[pool].push_back({m_options.host, true, load.capacity, load.backlog_ms, load.slots, load.free_slots});
    }
    for(const auto &[host, peer]: m_peers.all()) {
        if(!peer.alive || peer.draining) {
            continue;
        }
        for(const auto &load: peer.load) {
            const auto near = peer.domain == m_options.domain;
            pools[load.pool].push_back({host, near, load.capacity, load.backlog_ms, load.slots, load.free_slots});
        }
    }
    for(const auto &[name, service]: m_config.current()->services) {
        m_load_balancer.update(service->pool, pools[service->pool]);
    }
}

void control_role::load_reported(const wire::envelope &message) {
    const std::lock_guard lock{m_mutex};
    const host_id from{message.from()};
    const auto near = message.domain() == m_options.domain.str();
    for(const auto &summary: message.placed().load()) {
        const auto load = from_wire(summary);
        m_load_balancer.refresh(load.pool, {from, near, load.capacity, load.backlog_ms, load.slots, load.free_slots});
    }
}

std::map<pool_id, std::uint32_t> control_role::free_elsewhere() const {
    const std::lock_guard lock{m_mutex};
    std::map<pool_id, std::uint32_t> free;
    for(const auto &[host, peer]: m_peers.all()) {
        for(const auto &load: peer.load) {
            free[load.pool] += peer.alive && !peer.draining ? load.free_slots : 0;
        }
    }
    return free;
}

host_id control_role::choose_host(const pool_id &pool, double expected_ms, const host_id &avoid) {
    const std::lock_guard lock{m_mutex};
    return m_load_balancer.choose(pool, expected_ms, avoid);
}

duration control_role::expected_wait(const pool_id &pool) const {
    const std::lock_guard lock{m_mutex};
    return m_load_balancer.expected_wait(pool);
}

std::vector<placement::target_info> control_role::own_targets() const {
    const std::lock_guard lock{m_mutex};
    std::vector<placement::target_info> targets;
    if(m_draining) {
        return targets;
    }
    for(const auto &listed: m_hosts) {
        if(!listed.is_target || listed.leaving || listed.domain != m_options.domain) {
            continue;
        }
        const auto key = hash64(listed.id);
        const auto own = rendezvous_score(m_options.host.str(), m_options.weight, key);
        const auto taken = std::any_of(m_peers.all().begin(), m_peers.all().end(), [&](const auto &entry) {
            const auto &peer = entry.second;
            return peer.alive && !peer.draining && peer.domain == m_options.domain &&
                   rendezvous_score(peer.host.str(), std::max(peer.weight, 0.01), key) > own;
        });
        if(!taken) {
            targets.push_back({target_id{listed.id}, listed.pool, listed.address, listed.slots});
        }
    }
    return targets;
}

bool control_role::pool_exists(const pool_id &pool) const {
    const std::lock_guard lock{m_mutex};
    return std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto &listed) { return listed.is_target && listed.pool == pool; });
}

} // namespace heathermoor::host
