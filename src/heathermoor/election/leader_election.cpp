#include "heathermoor/election/leader_election.hpp"

#include <algorithm>
#include <tuple>

namespace heathermoor::election {

namespace internal {

/// Heartbeats missing after which a host counts as gone.
constexpr int missing_heartbeats = 4;

/// Time without a leader before one is chosen, so that heartbeats in flight arrive.
constexpr milliseconds settle_time{60};

/// Time after the start of a process in which it only listens.
constexpr milliseconds start_time{400};

/// Time that a better candidate has to begin before this host does.
constexpr milliseconds yield_time{500};

/// Delay of own timers above which a host leaves the lead to others.
constexpr milliseconds heavy_lag{150};

/// Time after which a silent host no longer counts as a member.
constexpr seconds membership_time{15};

/// Two leaders that hear the same number of hosts: the longer lead wins by this much at least.
constexpr milliseconds lead_margin{1'000};

/// Longest own delay that is allowed for when others are judged by their silence.
constexpr seconds most_allowance{1};

/// A host with this many times the processor of the leader takes the lead over.
constexpr std::uint32_t much_larger = 2;

/// Time for which such a host has to be there before.
constexpr seconds larger_time{2};

/// The host does not want the lead, or not for long.
[[nodiscard]] bool leaves(const peer_state &peer) noexcept {
    return peer.draining || peer.yielding;
}

} // namespace internal

leader_election::leader_election(peer_state self, time_point now)
    : m_self{std::move(self)}, m_listens_until{now + internal::start_time}, m_leaderless_since{m_listens_until}, m_leading_since{now} {
    m_self.listening = true;
}

void leader_election::heartbeat_received(const peer_state &peer, time_point now) {
    if(peer.id == m_self.id) {
        return;
    }
    m_peers[peer.id] = {peer, now, true};
}

void leader_election::connection_lost(const host_id &host) {
    const auto found = m_peers.find(host);
    if(found != m_peers.end()) {
        found->second.connected = false;
    }
}

void leader_election::host_left(const host_id &host) {
    m_peers.erase(host);
}

bool leader_election::is_alive(const known_peer &peer, time_point now) const noexcept {
    const auto allowance = std::min<duration>(m_self.lag, internal::most_allowance);
    return peer.connected && now - peer.heard_at < peer.state.interval * internal::missing_heartbeats + allowance;
}

void leader_election::retain(const std::function<bool(const host_id &)> &keep) {
    std::erase_if(m_peers, [&keep](const auto &item) { return !keep(item.first); });
}

std::vector<host_id> leader_election::alive(time_point now) const {
    std::vector<host_id> result;
    for(const auto &[id, peer]: m_peers) {
        if(is_alive(peer, now)) {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<scope_member> leader_election::members(time_point now) const {
    std::vector<scope_member> result{{m_self.id, m_self.domain, true}};
    for(const auto &[id, peer]: m_peers) {
        result.push_back({id, peer.state.domain, is_alive(peer, now)});
    }
    return result;
}

std::optional<peer_state> leader_election::best_leader(time_point now) const {
    std::optional<peer_state> best;
    const auto better = [](const peer_state &left, const peer_state &right) {
        if(left.hears != right.hears) {
            return left.hears > right.hears;
        }
        const auto difference = left.leading_for - right.leading_for;
        if(difference > internal::lead_margin || difference < -internal::lead_margin) {
            return difference > duration::zero();
        }
        return left.id < right.id;
    };
    const bool only_leaving = internal::leaves(best_candidate(now));
    const auto consider = [&](const peer_state &peer) {
        if(peer.leading && internal::leaves(peer) == only_leaving && (!best || better(peer, *best))) {
            best = peer;
        }
    };
    for(const auto &[id, peer]: m_peers) {
        if(is_alive(peer, now)) {
            consider(peer.state);
        }
    }
    consider(m_self);
    return best;
}

peer_state leader_election::best_candidate(time_point now) const {
    const auto key = [](const peer_state &peer) {
        const auto size = -static_cast<std::int64_t>(peer.millicores);
        return std::tuple{internal::leaves(peer), peer.listening, peer.lag > internal::heavy_lag, size, peer.id};
    };
    auto best = m_self;
    for(const auto &[id, peer]: m_peers) {
        if(is_alive(peer, now) && key(peer.state) < key(best)) {
            best = peer.state;
        }
    }
    return best;
}

bool leader_election::leader_elsewhere(time_point now) const {
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &item) {
        const auto &follows = item.second.state.follows;
        return is_alive(item.second, now) && !follows.empty() && follows != m_self.id && follows != item.first;
    });
}

void leader_election::consider_yielding(const peer_state &candidate, time_point now) {
    const auto enough = std::max<std::uint64_t>(1, std::uint64_t{m_self.millicores} * internal::much_larger);
    const bool larger = m_self.leading && !internal::leaves(candidate) && !candidate.listening && candidate.lag <= internal::heavy_lag &&
                        candidate.millicores >= enough && candidate.id != m_self.id;
    if(!larger) {
        m_larger_since.reset();
    } else if(!m_larger_since) {
        m_larger_since = now;
    }
    m_self.yielding = m_larger_since && now - *m_larger_since >= internal::larger_time;
}

std::optional<host_id> leader_election::decide(time_point now) {
    std::erase_if(m_peers, [now](const auto &item) { return now - item.second.heard_at > internal::membership_time; });
    m_self.hears = static_cast<std::uint32_t>(alive(now).size()) + 1;
    m_self.listening = now < m_listens_until || !m_taking_part;
    if(!m_taking_part) {
        m_self.leading = false;
        m_leaderless_since = now;
        return std::nullopt;
    }
    m_self.leading_for = m_self.leading ? now - m_leading_since : duration::zero();
    consider_yielding(best_candidate(now), now);
    const auto leader = best_leader(now);
    if(leader) {
        m_self.leading = leader->id == m_self.id;
        m_leaderless_since = now;
        return leader->id;
    }
    m_self.leading = false;
    const auto waited = now - m_leaderless_since;
    const auto candidate = best_candidate(now);
    const bool first = candidate.id == m_self.id;
    const bool patient = !first || leader_elsewhere(now);
    const auto patience = patient ? internal::settle_time + internal::yield_time : internal::settle_time;
    if((internal::leaves(m_self) && !internal::leaves(candidate)) || waited < patience) {
        return std::nullopt;
    }
    m_self.leading = true;
    m_leading_since = now;
    return m_self.id;
}

} // namespace heathermoor::election
