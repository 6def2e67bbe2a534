#include "heathermoor/election/leader_election.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace heathermoor::election {

namespace internal {

/// Number of heartbeat intervals without a heartbeat after which a host counts as gone.
constexpr int missed_heartbeat_limit = 4;

/// Time without a leader before one is elected, so that heartbeats in flight arrive.
constexpr milliseconds settle_time{60};

/// Time after process start in which a host only listens.
constexpr milliseconds listen_time{400};

/// Extra wait for a better candidate to start leading before this host does.
constexpr milliseconds preference_delay{500};

/// Timer delay above which a host is passed over as leader in favour of others.
constexpr milliseconds timer_lag_limit{150};

/// Time without heartbeats after which a host is removed from the membership.
constexpr seconds membership_timeout{15};

/// Of two leaders that hear equally many hosts the one that led longer wins, if the difference exceeds this.
constexpr milliseconds leading_time_margin{1'000};

/// Allowance for the error of another leader's leading time. A leader counts its own time as so much shorter: of two leaders whose
/// times differ by about the margin, both step down rather than neither.
constexpr milliseconds leading_time_error{200};

/// Maximum own timer delay that extends the timeout of peers: a late host must not take others for dead.
constexpr seconds max_lag_allowance{1};

/// A host with at least this many times the leader's CPU capacity takes over.
constexpr std::uint32_t takeover_size_factor = 2;

/// Time for which such a host must have been available before it takes over.
constexpr seconds takeover_delay{2};

/// Whether a host is about to give up leadership or must not take it.
[[nodiscard]] bool gives_up_leadership(const peer_state &peer) noexcept {
    return peer.draining || peer.yielding;
}

} // namespace internal

leader_election::leader_election(peer_state self, time_point now)
    : m_self{std::move(self)}, m_listens_until{now + internal::listen_time}, m_leaderless_since{m_listens_until}, m_leading_since{now} {
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
    const auto allowance = std::min<duration>(m_self.timer_lag, internal::max_lag_allowance);
    return peer.connected && now - peer.heard_at < peer.state.interval * internal::missed_heartbeat_limit + allowance;
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
        if(left.heard_hosts != right.heard_hosts) {
            return left.heard_hosts > right.heard_hosts;
        }
        const auto difference = left.leading_for - right.leading_for;
        if(difference > internal::leading_time_margin || difference < -internal::leading_time_margin) {
            return difference > duration::zero();
        }
        return left.id < right.id;
    };
    const bool all_giving_up = internal::gives_up_leadership(best_candidate(now));
    const auto consider = [&](peer_state peer, duration leading_time_change) {
        peer.leading_for += leading_time_change;
        if(peer.leading && internal::gives_up_leadership(peer) == all_giving_up && (!best || better(peer, *best))) {
            best = std::move(peer);
        }
    };
    for(const auto &[id, peer]: m_peers) {
        if(is_alive(peer, now)) {
            consider(peer.state, now - peer.heard_at);
        }
    }
    consider(m_self, -internal::leading_time_error);
    return best;
}

peer_state leader_election::best_candidate(time_point now) const {
    const auto key = [](const peer_state &peer) {
        const auto size = -static_cast<std::int64_t>(peer.millicores);
        return std::tuple{internal::gives_up_leadership(peer), peer.listening, peer.timer_lag > internal::timer_lag_limit, size, peer.id};
    };
    auto best = m_self;
    for(const auto &[id, peer]: m_peers) {
        if(is_alive(peer, now) && key(peer.state) < key(best)) {
            best = peer.state;
        }
    }
    return best;
}

bool leader_election::peers_follow_other_host(time_point now) const {
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &item) {
        const auto &follows = item.second.state.follows;
        return is_alive(item.second, now) && !follows.empty() && follows != m_self.id && follows != item.first;
    });
}

void leader_election::update_yielding(const peer_state &candidate, time_point now) {
    const auto enough = std::max<std::uint64_t>(1, std::uint64_t{m_self.millicores} * internal::takeover_size_factor);
    const bool larger = m_self.leading && !internal::gives_up_leadership(candidate) && !candidate.listening &&
                        candidate.timer_lag <= internal::timer_lag_limit && candidate.millicores >= enough && candidate.id != m_self.id;
    if(!larger) {
        m_larger_host_since.reset();
    } else if(!m_larger_host_since) {
        m_larger_host_since = now;
    }
    m_self.yielding = m_larger_host_since && now - *m_larger_host_since >= internal::takeover_delay;
}

std::optional<host_id> leader_election::decide(time_point now) {
    std::erase_if(m_peers, [now](const auto &item) { return now - item.second.heard_at > internal::membership_timeout; });
    m_self.heard_hosts = static_cast<std::uint32_t>(alive(now).size()) + 1;
    m_self.listening = now < m_listens_until || !m_taking_part;
    if(!m_taking_part) {
        m_self.leading = false;
        m_leaderless_since = now;
        return std::nullopt;
    }
    m_self.leading_for = m_self.leading ? now - m_leading_since : duration::zero();
    update_yielding(best_candidate(now), now);
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
    const bool defers = !first || peers_follow_other_host(now);
    const auto wait_time = defers ? internal::settle_time + internal::preference_delay : internal::settle_time;
    if((internal::gives_up_leadership(m_self) && !internal::gives_up_leadership(candidate)) || waited < wait_time) {
        return std::nullopt;
    }
    m_self.leading = true;
    m_leading_since = now;
    return m_self.id;
}

} // namespace heathermoor::election
