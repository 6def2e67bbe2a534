#include "heathermoor/host/control_role.hpp"

#include "heathermoor/core/rendezvous.hpp"
#include "heathermoor/host/convert.hpp"
#include <algorithm>

namespace heathermoor::host {

route control_role::find_owner(const submission::parsed_id &id) const {
    const std::lock_guard lock{m_mutex};
    const auto issued_by_host = id.kind == submission::id_kind::host_issued;
    const auto &host = issued_by_host ? id.host : m_map.owner(id.domain, id.partition).host;
    if(host == m_options.host) {
        return {host, issued_by_host && id.issuer != m_options.process};
    }
    const auto *peer = m_peers.find(host);
    const auto lost = issued_by_host && peer != nullptr && raw(peer->process) > raw(id.issuer);
    const auto reachable = peer != nullptr ? peer->alive : id.domain != m_options.domain;
    return {reachable ? host : host_id{}, lost};
}

std::vector<host_id> control_role::other_domain_members() const {
    std::vector<host_id> others;
    for(const auto &[host, joined]: m_map.members(m_options.domain)) {
        if(host != m_options.host) {
            others.push_back(host);
        }
    }
    return others;
}

bool control_role::lease_valid(time_point now) const {
    return m_lease.valid(other_domain_members(), now);
}

bool control_role::may_admit(partition_id partition, time_point now) const {
    const std::lock_guard lock{m_mutex};
    return m_partition_manager.state(partition) == ownership::service_state::serving && lease_valid(now);
}

bool control_role::may_start(partition_id partition, time_point now) const {
    const std::lock_guard lock{m_mutex};
    const auto state = m_partition_manager.state(partition);
    const auto held = state == ownership::service_state::serving || state == ownership::service_state::transferring;
    return held && lease_valid(now);
}

bool control_role::has_gap(partition_id partition, time_point now) const {
    const std::lock_guard lock{m_mutex};
    return m_partition_manager.has_gap(partition, now);
}

epoch control_role::epoch_of(partition_id partition) const {
    const std::lock_guard lock{m_mutex};
    return m_map.owner(m_options.domain, partition).since;
}

std::optional<host_id> control_role::witness() const {
    const std::lock_guard lock{m_mutex};
    for(const auto &[host, joined]: m_map.members(m_options.domain)) {
        const auto *peer = m_peers.find(host);
        if(host != m_options.host && peer != nullptr && peer->alive && peer->process == joined.process) {
            return host;
        }
    }
    return std::nullopt;
}

void control_role::recall_answered(const host_id &peer, epoch claimed) {
    const std::lock_guard lock{m_mutex};
    m_partition_manager.recall_answered(peer, claimed);
}

void control_role::journal_read(bool complete) {
    const std::lock_guard lock{m_mutex};
    m_partition_manager.journal_read(complete);
}

void control_role::received_table(const std::vector<partition_id> &partitions, const host_id &from, incarnation process) {
    const std::lock_guard lock{m_mutex};
    m_partition_manager.received_table(partitions, from, process);
}

std::optional<wire::ownership_record> control_role::transfer_record(const ownership::transfer_plan &plan) const {
    const std::lock_guard lock{m_mutex};
    const auto pending = std::any_of(plan.partitions.begin(), plan.partitions.end(), [&](partition_id partition) {
        return m_partition_manager.state(partition) == ownership::service_state::transferring;
    });
    return pending ? std::optional{m_partition_manager.transfer_record(plan, m_map)} : std::nullopt;
}

void control_role::abandon_transfer() {
    const std::lock_guard lock{m_mutex};
    m_partition_manager.abandon_transfer();
}

void control_role::drain() {
    const std::lock_guard lock{m_mutex};
    m_draining = true;
    m_partition_manager.drain();
}

bool control_role::transfer_pending() const {
    const std::lock_guard lock{m_mutex};
    const auto successor = std::any_of(m_peers.all().begin(), m_peers.all().end(), [&](const auto &entry) {
        return entry.second.alive && !entry.second.draining && entry.second.domain == m_options.domain;
    });
    return successor && m_partition_manager.holds_any();
}

wire::ownership_record control_role::leave_record() const {
    const std::lock_guard lock{m_mutex};
    return m_partition_manager.leave_record();
}

} // namespace heathermoor::host
