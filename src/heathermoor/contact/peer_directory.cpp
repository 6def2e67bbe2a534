#include "heathermoor/contact/peer_directory.hpp"

#include "heathermoor/core/hash.hpp"
#include "heathermoor/core/rendezvous.hpp"
#include <algorithm>

namespace heathermoor::contact {

namespace internal {

/// Heartbeat interval to the leader of the own cell, and from the leader to its cell; a quarter
/// of the time after which a host counts as gone.
constexpr milliseconds frequent_interval{100};

/// Total heartbeats per second to the other hosts of the own cell.
constexpr std::int64_t cell_heartbeats_per_s = 50;

/// Heartbeat interval to links in other cells.
constexpr milliseconds link_interval{1'000};

/// Heartbeat interval to hosts of unknown failure domain.
constexpr milliseconds unknown_domain_interval{400};

/// Links to each other cell.
constexpr std::size_t links_per_cell = 2;

/// Maximum number of links to other cells in total.
constexpr std::size_t max_links = 8;

/// Hosts gossiped in one heartbeat.
constexpr std::size_t gossip_size = 2;

/// Time since its last heartbeat after which a host is no longer gossiped.
constexpr seconds gossip_max_age{20};

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
        found->second.keep_until = std::max(found->second.keep_until, until);
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

void peer_directory::assign_relations() {
    const auto own = m_plan.of(m_domain, m_self);
    std::map<cell::cell_id, std::vector<host_id>> others;
    std::int64_t cell_hosts = 0;
    for(auto &[host, entry]: m_contacts) {
        if(entry.domain.empty()) {
            entry.kind = relation::unknown;
            continue;
        }
        const auto cell = m_plan.of(entry.domain, host);
        entry.kind = cell == own ? relation::own_cell : relation::unlinked;
        cell_hosts += cell == own ? 1 : 0;
        if(cell != own) {
            others[cell].push_back(host);
        }
    }
    constexpr std::int64_t ms_per_s = 1'000;
    m_cell_interval = std::max(internal::frequent_interval, milliseconds{cell_hosts * ms_per_s / internal::cell_heartbeats_per_s});
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
    links.resize(std::min(links.size(), internal::max_links));
    for(const auto &host: links) {
        m_contacts.at(host).kind = relation::link;
    }
}

void peer_directory::make_cell_due() {
    for(auto &[host, entry]: m_contacts) {
        if(entry.kind == relation::own_cell) {
            entry.next_heartbeat = {};
        }
    }
}

void peer_directory::make_links_due() {
    for(auto &[host, entry]: m_contacts) {
        if(entry.kind == relation::link) {
            entry.next_heartbeat = {};
        }
    }
}

std::vector<due_heartbeat> peer_directory::due(time_point now, const std::function<bool(const host_id &)> &frequent) {
    if(std::exchange(m_changed, false)) {
        assign_relations();
    }
    std::vector<due_heartbeat> result;
    for(auto &[host, entry]: m_contacts) {
        if(entry.kind == relation::unlinked && now >= entry.keep_until) {
            if(std::exchange(entry.connected, false)) {
                m_peers.disconnect(host);
            }
            continue;
        }
        const bool is_frequent = entry.kind == relation::own_cell && frequent(host);
        if(now < entry.next_heartbeat && !(is_frequent && entry.next_heartbeat - now > internal::frequent_interval)) {
            continue;
        }
        connect(host, entry);
        auto interval = m_cell_interval;
        if(is_frequent) {
            interval = internal::frequent_interval;
        } else if(entry.kind == relation::unknown) {
            interval = internal::unknown_domain_interval;
        } else if(entry.kind != relation::own_cell) {
            interval = internal::link_interval;
        }
        entry.next_heartbeat = now + interval;
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
        if(!next->second.domain.empty() && next->second.heard_at != time_point{} &&
           now - next->second.heard_at < internal::gossip_max_age) {
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
