#include "heathermoor/contact/peer_directory.hpp"

#include "heathermoor/core/hash.hpp"
#include "heathermoor/core/rendezvous.hpp"
#include <algorithm>

namespace heathermoor::contact {

namespace internal {

/// Time between heartbeats to the own cell's leader, and of the leader to its cell; a quarter
/// of the time after which a host counts as gone.
constexpr milliseconds urgent_interval{100};

/// Heartbeats a second to the other hosts of the own cell, all together.
constexpr std::int64_t usual_beats_per_s = 50;

/// Time between heartbeats to hosts of other cells.
constexpr milliseconds link_interval{1'000};

/// Time between heartbeats to hosts whose failure domain is not known.
constexpr milliseconds introduction_interval{400};

/// Hosts of each other cell that get heartbeats.
constexpr std::size_t links_per_cell = 2;

/// Most hosts of other cells that get heartbeats.
constexpr std::size_t most_links = 8;

/// Hosts told to others in one heartbeat.
constexpr std::size_t gossip_size = 2;

/// Time after which a host that is not heard is no longer told to others.
constexpr seconds gossip_time{20};

} // namespace internal

void peer_directory::add_host(const host_id &host, const failure_domain_id &domain) {
    if(host == m_self) {
        return;
    }
    const auto [entry, added] = m_contacts.try_emplace(host);
    if(!domain.empty() && entry->second.domain.empty()) {
        entry->second.domain = domain;
        m_changed = true;
    }
    m_changed = m_changed || added;
}

void peer_directory::heartbeat_received(const host_id &host, const failure_domain_id &domain, time_point now) {
    auto &entry = m_contacts[host];
    m_changed = m_changed || entry.domain != domain;
    entry.domain = domain;
    entry.heard_at = now;
}

void peer_directory::host_left(const host_id &host) {
    const auto found = m_contacts.find(host);
    if(found == m_contacts.end()) {
        return;
    }
    if(found->second.connected) {
        m_peers.disconnect(host);
    }
    m_contacts.erase(found);
    m_changed = true;
}

void peer_directory::set_plan(const cell::cell_plan &plan) {
    m_plan = plan;
    m_changed = true;
}

void peer_directory::connect_until(const host_id &host, time_point until) {
    const auto found = m_contacts.find(host);
    if(found != m_contacts.end()) {
        found->second.reached_until = std::max(found->second.reached_until, until);
        connect(host, found->second);
    }
}

bool peer_directory::in_own_cell(const host_id &host) const {
    const auto found = m_contacts.find(host);
    if(found == m_contacts.end() || found->second.domain.empty()) {
        return false;
    }
    return m_plan.of(found->second.domain, host) == m_plan.of(m_domain, m_self);
}

void peer_directory::connect(const host_id &host, contact &entry) {
    if(!entry.connected) {
        entry.connected = true;
        m_peers.connect(host, "tcp://" + host.str());
    }
}

void peer_directory::assign() {
    const auto own = m_plan.of(m_domain, m_self);
    std::map<cell::cell_id, std::vector<host_id>> others;
    std::int64_t near = 0;
    for(auto &[host, entry]: m_contacts) {
        if(entry.domain.empty()) {
            entry.role = relation::unknown;
            continue;
        }
        const auto cell = m_plan.of(entry.domain, host);
        entry.role = cell == own ? relation::near : relation::other;
        near += cell == own ? 1 : 0;
        if(cell != own) {
            others[cell].push_back(host);
        }
    }
    constexpr std::int64_t ms_per_s = 1'000;
    m_usual_interval = std::max(internal::urgent_interval, milliseconds{near * ms_per_s / internal::usual_beats_per_s});
    assign_links(std::move(others));
}

void peer_directory::assign_links(std::map<cell::cell_id, std::vector<host_id>> others) {
    const auto key = hash64(m_self.str());
    const auto before = [key](const host_id &left, const host_id &right) {
        return rendezvous_score(left.str(), 1.0, key) > rendezvous_score(right.str(), 1.0, key);
    };
    std::vector<host_id> links;
    for(auto &[cell, hosts]: others) {
        std::sort(hosts.begin(), hosts.end(), before);
        hosts.resize(std::min(hosts.size(), internal::links_per_cell));
        links.insert(links.end(), hosts.begin(), hosts.end());
    }
    std::sort(links.begin(), links.end(), before);
    links.resize(std::min(links.size(), internal::most_links));
    for(const auto &host: links) {
        m_contacts.at(host).role = relation::link;
    }
}

void peer_directory::make_cell_due() {
    for(auto &[host, entry]: m_contacts) {
        if(entry.role == relation::near) {
            entry.next_beat = {};
        }
    }
}

std::vector<due_heartbeat> peer_directory::due(time_point now, const std::function<bool(const host_id &)> &urgent) {
    if(std::exchange(m_changed, false)) {
        assign();
    }
    std::vector<due_heartbeat> result;
    for(auto &[host, entry]: m_contacts) {
        if(entry.role == relation::other && now >= entry.reached_until) {
            if(std::exchange(entry.connected, false)) {
                m_peers.disconnect(host);
            }
            continue;
        }
        const bool often = entry.role == relation::near && urgent(host);
        if(now < entry.next_beat && !(often && entry.next_beat - now > internal::urgent_interval)) {
            continue;
        }
        connect(host, entry);
        auto interval = m_usual_interval;
        if(often) {
            interval = internal::urgent_interval;
        } else if(entry.role == relation::unknown) {
            interval = internal::introduction_interval;
        } else if(entry.role != relation::near) {
            interval = internal::link_interval;
        }
        entry.next_beat = now + interval;
        result.push_back({host, interval});
    }
    return result;
}

std::vector<known_host> peer_directory::next_gossip(time_point now) {
    std::vector<known_host> result;
    auto next = m_contacts.upper_bound(m_last_gossip);
    for(std::size_t seen = 0; seen < m_contacts.size() && result.size() < internal::gossip_size; ++seen) {
        if(next == m_contacts.end()) {
            next = m_contacts.begin();
        }
        if(!next->second.domain.empty() && next->second.heard_at != time_point{} && now - next->second.heard_at < internal::gossip_time) {
            result.push_back({next->first, next->second.domain});
        }
        m_last_gossip = next->first;
        ++next;
    }
    return result;
}

std::vector<host_id> peer_directory::connected() const {
    std::vector<host_id> result;
    for(const auto &[host, entry]: m_contacts) {
        if(entry.connected) {
            result.push_back(host);
        }
    }
    return result;
}

} // namespace heathermoor::contact
