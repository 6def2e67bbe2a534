#include "heathermoor/membership/peer_table.hpp"

namespace heathermoor::membership {

std::optional<lost_peer> peer_table::record_contact(const host_id &host, const failure_domain_id &domain, incarnation process,
                                                    time_point sent, time_point now) {
    auto &entry = m_peers[host];
    std::optional<lost_peer> replaced;
    if(raw(process) < raw(entry.process)) {
        return replaced;
    }
    if(entry.process != process) {
        if(raw(entry.process) != 0) {
            replaced = lost_peer{host, entry.process};
        }
        entry = peer{};
        entry.host = host;
        entry.process = process;
    }
    entry.domain = domain;
    entry.last_heard = now;
    entry.peer_clock = std::max(entry.peer_clock, sent);
    entry.alive = true;
    return replaced;
}

std::vector<lost_peer> peer_table::tick(time_point now) {
    std::vector<lost_peer> lost;
    for(auto &[host, entry]: m_peers) {
        const auto limit = entry.domain == m_own ? m_local_timeout : m_remote_timeout;
        if(entry.alive && now - entry.last_heard > limit) {
            entry.alive = false;
            entry.load.clear();
            lost.push_back({host, entry.process});
        }
    }
    return lost;
}

peer *peer_table::find(const host_id &host) {
    const auto found = m_peers.find(host);
    return found == m_peers.end() ? nullptr : &found->second;
}

const peer *peer_table::find(const host_id &host) const {
    const auto found = m_peers.find(host);
    return found == m_peers.end() ? nullptr : &found->second;
}

bool peer_table::alive(const host_id &host) const {
    const auto *found = find(host);
    return found != nullptr && found->alive;
}

} // namespace heathermoor::membership
