#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/election/claim_scope.hpp"
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace heathermoor::election {

/// @brief State of a host as its heartbeats report it.
struct peer_state {
    host_id id;
    failure_domain_id domain;
    incarnation process{};
    /// The host is shutting down and does not want to lead.
    bool draining{};
    /// The host has just started and only listens: there may be a leader that it has not heard yet.
    bool listening{};
    /// The host is leader.
    bool leading{};
    /// Number of hosts whose heartbeats it receives, including itself.
    std::uint32_t heard_hosts{1};
    /// Recent delay of the host's own timers; large on an overloaded host.
    duration timer_lag{};
    /// Time since the host became leader; zero for a follower.
    duration leading_for{};
    /// Host that it regards as leader; empty for none.
    host_id follows;
    /// CPU capacity, in thousandths of a core; zero if unknown.
    std::uint32_t millicores{};
    /// The host is handing leadership to a larger one.
    bool yielding{};
    /// Interval that the sender announced until its next heartbeat to this host.
    milliseconds interval{100};
};

/// @brief Elects the leader of a cell from heartbeats alone, without votes.
///
/// Hosts may disagree: fencing tokens exclude a second leader at each target. A leader
/// stays while it is heard, so that leadership changes only for a reason, such as a
/// host with at least twice its CPU capacity.
class leader_election {
  public:
    /// @brief Starts the election on one host, which first only listens for a leader.
    /// @param self Identity and capacity of the own host.
    /// @param now Reading of the monotonic clock.
    leader_election(peer_state self, time_point now);

    /// @brief Records a heartbeat; one from the own host is ignored.
    /// @param peer Sender's state.
    /// @param now Reading of the monotonic clock.
    void heartbeat_received(const peer_state &peer, time_point now);

    /// @brief Handles the loss of the connection to a host.
    /// @param host Id of the host.
    void connection_lost(const host_id &host);

    /// @brief Removes a host that announced its departure.
    /// @param host Id of the host.
    void host_left(const host_id &host);

    /// @brief Removes all hosts that do not satisfy a predicate.
    /// @param keep Returns true for a host to keep.
    void retain(const std::function<bool(const host_id &)> &keep);

    /// @brief Sets whether this host takes part in the election. Without a list of targets it cannot
    /// tell its cell, and so not which leader to follow.
    /// @param taking_part True if the host may lead or follow.
    void take_part(bool taking_part) noexcept { m_taking_part = taking_part; }

    /// @brief Gives write access to the own state.
    /// @return State, as sent in heartbeats.
    [[nodiscard]] peer_state &self() noexcept { return m_self; }

    /// @brief State of the own host.
    /// @return State, as sent in heartbeats.
    [[nodiscard]] const peer_state &self() const noexcept { return m_self; }

    /// @brief Runs one round of the election; drops peers that were silent for too long.
    /// @param now Reading of the monotonic clock.
    /// @return Leader as this host sees it; none while it waits for one.
    std::optional<host_id> decide(time_point now);

    /// @brief Live hosts, without the own one.
    /// @param now Reading of the monotonic clock.
    /// @return Hosts whose heartbeats arrive on time over an open connection.
    [[nodiscard]] std::vector<host_id> alive(time_point now) const;

    /// @brief All known hosts, including the own one.
    /// @param now Reading of the monotonic clock.
    /// @return Hosts, each with whether it is live.
    [[nodiscard]] std::vector<scope_member> members(time_point now) const;

  private:
    struct known_peer {
        peer_state state;
        time_point heard_at;
        bool connected{true};
    };

    void update_yielding(const peer_state &candidate, time_point now);
    [[nodiscard]] bool is_alive(const known_peer &peer, time_point now) const noexcept;
    [[nodiscard]] std::optional<peer_state> best_leader(time_point now) const;
    [[nodiscard]] bool peers_follow_other_host(time_point now) const;
    [[nodiscard]] peer_state best_candidate(time_point now) const;

    peer_state m_self;
    std::map<host_id, known_peer> m_peers;
    /// End of the listening phase after the start.
    time_point m_listens_until;
    time_point m_leaderless_since;
    time_point m_leading_since;
    bool m_taking_part{true};
    /// Since when a much larger host has been available to lead.
    std::optional<time_point> m_larger_host_since;
};

} // namespace heathermoor::election
