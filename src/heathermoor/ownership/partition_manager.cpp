#include "heathermoor/ownership/partition_manager.hpp"

#include "heathermoor/core/rendezvous.hpp"
#include <algorithm>
#include <map>

namespace heathermoor::ownership {

partition_manager::partition_manager(member self, failure_domain_id domain, partition_manager_settings settings, time_point now)
    : m_self{std::move(self)}, m_domain{std::move(domain)}, m_settings{settings}, m_started{now}, m_membership_changed{now} {}

wire::ownership_record partition_manager::join_record() const {
    wire::ownership_record record;
    record.set_domain(m_domain.str());
    record.set_host(m_self.host.str());
    record.set_incarnation(raw(m_self.process));
    record.set_peer_address(m_self.peer_address);
    record.set_http_address(m_self.http_address);
    record.set_weight(m_self.weight);
    return record;
}

wire::ownership_record partition_manager::leave_record() const {
    auto record = join_record();
    record.set_leave(true);
    return record;
}

wire::ownership_record partition_manager::transfer_record(const transfer_plan &plan, const ownership_map &map) const {
    wire::ownership_record record;
    record.set_domain(m_domain.str());
    record.set_host(plan.to.str());
    record.set_incarnation(raw(plan.to_process));
    record.set_handover(true);
    for(const auto partition: plan.partitions) {
        auto *grant = record.add_grants();
        grant->set_partition(raw(partition));
        grant->set_base(raw(map.owner(m_domain, partition).since));
    }
    return record;
}

bool partition_manager::is_dead(const partition_owner &owner, const ownership_map &map, const membership::peer_table &peers,
                                time_point now) const {
    if(owner.host.empty()) {
        return true;
    }
    if(owner.host == m_self.host) {
        return owner.process != m_self.process;
    }
    const auto &members = map.members(m_domain);
    const auto found = members.find(owner.host);
    if(found != members.end() && raw(found->second.process) > raw(owner.process)) {
        return true;
    }
    // A promise binds even if the owner stopped answering after it was given.
    const auto promised = m_promised.find(owner.host);
    if(promised != m_promised.end() && now - promised->second < m_settings.lease_period) {
        return false;
    }
    const auto *known = peers.find(owner.host);
    if(known != nullptr && raw(known->process) > raw(owner.process)) {
        return true;
    }
    // An owner that this process never heard from counts as dead only if the platform does not list its host either.
    if(known == nullptr || known->process != owner.process) {
        return m_have_host_list && !m_live_hosts.contains(owner.host);
    }
    return !known->alive;
}

std::optional<member> partition_manager::best_member(partition_id partition, const ownership_map &map,
                                                     const membership::peer_table &peers) const {
    std::optional<member> best;
    auto best_score = 0.0;
    for(const auto &[host, candidate]: map.members(m_domain)) {
        const auto *known = peers.find(host);
        const auto is_self = host == m_self.host;
        const auto usable =
            is_self ? !m_draining : known != nullptr && known->alive && !known->draining && known->process == candidate.process;
        if(!usable) {
            continue;
        }
        const auto score = rendezvous_score(host.str(), candidate.weight, raw(partition) + 1);
        if(!best || score > best_score) {
            best = candidate;
            best_score = score;
        }
    }
    return best;
}

void partition_manager::claim(const ownership_map &map, const membership::peer_table &peers, time_point now,
                              partition_manager_effects &effects) {
    auto record = join_record();
    for(std::uint32_t index = 0; index < submission::partition_count; ++index) {
        const auto partition = static_cast<partition_id>(index);
        const auto &owner = map.owner(m_domain, partition);
        if(!is_dead(owner, map, peers, now)) {
            continue;
        }
        const auto best = best_member(partition, map, peers);
        if(best && best->host == m_self.host) {
            auto *grant = record.add_grants();
            grant->set_partition(index);
            grant->set_base(raw(owner.since));
        }
    }
    if(record.grants_size() > 0) {
        effects.appends.push_back(std::move(record));
        m_append_due = now + m_settings.append_timeout;
    }
}

void partition_manager::begin_takeover(const std::vector<granted_partition> &granted, log_offset offset, const ownership_map &map,
                                       const membership::peer_table &peers, time_point now, partition_manager_effects &effects) {
    std::map<std::pair<host_id, incarnation>, takeover> groups;
    std::map<std::pair<host_id, incarnation>, partition_owner> previous;
    for(const auto &moved: granted) {
        auto &partition = m_partitions.at(raw(moved.partition));
        const auto received = m_received.find(moved.partition);
        const auto complete = received != m_received.end() && received->second == std::pair{moved.previous.host, moved.previous.process};
        if(moved.previous.host.empty() || complete) {
            partition.state = service_state::serving;
            if(received != m_received.end()) {
                m_received.erase(received);
            }
            continue;
        }
        partition.state = service_state::waiting;
        effects.claimed.push_back(moved.partition);
        const auto key = std::pair{moved.previous.host, moved.previous.process};
        groups[key].partitions.push_back(moved.partition);
        previous[key] = moved.previous;
    }
    for(auto &[key, group]: groups) {
        group.claimed = static_cast<epoch>(raw(offset));
        group.ready_at = now + m_settings.lease_period + m_settings.takeover_margin;
        for(const auto &[host, candidate]: map.members(m_domain)) {
            if(host == m_self.host || (host == key.first && candidate.process == key.second)) {
                continue;
            }
            if(!peers.alive(host)) {
                // The dead member may have been the only witness of some ids.
                group.gap = true;
                continue;
            }
            group.pending.insert(host);
            effects.recalls.push_back({host, previous[key], group.claimed, group.partitions});
        }
        m_takeovers.push_back(std::move(group));
    }
}

void partition_manager::applied(const wire::ownership_record &record, log_offset offset, const std::vector<granted_partition> &granted,
                                const ownership_map &map, const membership::peer_table &peers, time_point now,
                                partition_manager_effects &effects) {
    if(record.domain() != m_domain.str()) {
        return;
    }
    const auto own = record.host() == m_self.host.str() && record.incarnation() == raw(m_self.process);
    if(own) {
        m_joined = !record.leave();
        m_append_due = time_point{};
        begin_takeover(granted, offset, map, peers, now, effects);
        return;
    }
    for(const auto &moved: granted) {
        auto &partition = m_partitions.at(raw(moved.partition));
        if(partition.state == service_state::transferring) {
            m_transferring = false;
        }
        partition = {};
        for(auto &group: m_takeovers) {
            std::erase(group.partitions, moved.partition);
        }
    }
}

void partition_manager::recall_answered(const host_id &peer, epoch claimed) {
    for(auto &group: m_takeovers) {
        if(group.claimed == claimed) {
            group.pending.erase(peer);
        }
    }
}

void partition_manager::journal_read(bool complete) {
    for(auto &group: m_takeovers) {
        if(complete) {
            group.journal_pending = false;
        }
    }
}

void partition_manager::host_list(std::set<host_id> live) {
    m_live_hosts = std::move(live);
    m_have_host_list = true;
}

void partition_manager::received_table(const std::vector<partition_id> &partitions, const host_id &from, incarnation process) {
    for(const auto partition: partitions) {
        m_received[partition] = {from, process};
    }
}

void partition_manager::abandon_transfer() {
    m_transferring = false;
    for(auto &partition: m_partitions) {
        if(partition.state == service_state::transferring) {
            partition.state = service_state::serving;
        }
    }
}

bool partition_manager::holds_any() const noexcept {
    return std::any_of(m_partitions.begin(), m_partitions.end(),
                       [](const auto &partition) { return partition.state != service_state::foreign; });
}

bool partition_manager::promise(const host_id &host, const membership::peer_table &peers, time_point now) {
    // The append in flight may be a claim against the member.
    if(!peers.alive(host) || m_append_due != time_point{}) {
        return false;
    }
    m_promised[host] = now;
    return true;
}

void partition_manager::advance_takeovers(time_point now) {
    for(auto &group: m_takeovers) {
        const auto late = now >= group.ready_at + m_settings.rebuild_time;
        const auto rebuilt = group.pending.empty() && !group.journal_pending;
        if(now < group.ready_at || (!rebuilt && !late)) {
            continue;
        }
        const auto gap = group.gap || !rebuilt;
        for(const auto partition: group.partitions) {
            m_partitions.at(raw(partition)) = {service_state::serving, gap ? now + m_settings.gap_period : time_point{}};
        }
        group.partitions.clear();
    }
    std::erase_if(m_takeovers, [](const auto &group) { return group.partitions.empty(); });
}

void partition_manager::balance(const ownership_map &map, const membership::peer_table &peers, time_point now,
                                partition_manager_effects &effects) {
    std::set<host_id> live;
    for(const auto &[host, known]: peers.all()) {
        if(known.alive && !known.draining) {
            live.insert(host);
        }
    }
    if(live != m_last_live) {
        m_last_live = std::move(live);
        m_membership_changed = now;
    }
    if(m_transferring || (!m_draining && now - m_membership_changed < m_settings.balance_delay)) {
        return;
    }
    std::map<host_id, transfer_plan> plans;
    for(std::uint32_t index = 0; index < submission::partition_count; ++index) {
        const auto partition = static_cast<partition_id>(index);
        if(state(partition) != service_state::serving) {
            continue;
        }
        const auto best = best_member(partition, map, peers);
        if(best && best->host != m_self.host) {
            auto &plan = plans[best->host];
            plan.to = best->host;
            plan.to_process = best->process;
            plan.partitions.push_back(partition);
        }
    }
    if(!plans.empty()) {
        effects.transfer = plans.begin()->second;
        m_transferring = true;
        for(const auto partition: effects.transfer->partitions) {
            m_partitions.at(raw(partition)).state = service_state::transferring;
        }
    }
}

void partition_manager::tick(const ownership_map &map, const membership::peer_table &peers, time_point now,
                             partition_manager_effects &effects) {
    advance_takeovers(now);
    effects.read_journal = std::any_of(m_takeovers.begin(), m_takeovers.end(),
                                       [&](const auto &group) { return group.journal_pending && now >= group.ready_at; });
    // Until its record is read back, an append may still take effect, so that no other one is sent before the timeout.
    const auto appending = m_append_due != time_point{} && now < m_append_due;
    if(!m_joined) {
        if(!appending && !m_draining) {
            effects.appends.push_back(join_record());
            m_append_due = now + m_settings.append_timeout;
        }
        return;
    }
    if(now - m_started >= m_settings.startup_delay) {
        if(!appending && !m_draining) {
            m_append_due = time_point{};
            claim(map, peers, now, effects);
        }
        balance(map, peers, now, effects);
    }
}

} // namespace heathermoor::ownership
