#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/election/claim_scope.hpp"
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace heathermoor::election {

/// @brief What a host says of itself in each heartbeat.
struct peer_state {
    host_id id;
    failure_domain_id domain;
    incarnation process{};
    /// The host is shutting down and takes no new role.
    bool draining{};
    /// The host has just started and only listens: a leader may be there that it has not heard yet.
    bool listening{};
    /// The host schedules the pool.
    bool leading{};
    /// Number of hosts that it hears, itself included.
    std::uint32_t hears{1};
    /// Delay of the host's own timers lately; large on an overloaded host.
    duration lag{};
    /// Time since the host began to lead.
    duration leading_for{};
    /// Host that it takes for the leader; empty for none.
    host_id follows;
    /// Processor that it has, in thousandths of a core.
    std::uint32_t millicores{};
    /// The host passes the lead on to a larger one.
    bool yielding{};
    /// Time until its next heartbeat to this host.
    milliseconds interval{100};
};

/// @brief Chooses the host that schedules the pool, from heartbeats alone.
///
/// Hosts need not agree: a target's fence keeps two schedulers apart. A leader
/// stays while it is heard, so that the role changes hands only for a cause; a
/// much larger host is one.
class leader_election {
  public:
    /// @brief Election as one host sees it.
    /// @param self Own state.
    /// @param now Current time.
    leader_election(peer_state self, time_point now);

    /// @brief Takes over a heartbeat.
    /// @param peer State of the sender.
    /// @param now Current time.
    void heartbeat_received(const peer_state &peer, time_point now);

    /// @brief Notes that the connection to a host has ended.
    /// @param host Host.
    void connection_lost(const host_id &host);

    /// @brief Forgets a host that has said that it leaves.
    /// @param host Host.
    void host_left(const host_id &host);

    /// @brief Forgets all hosts but some.
    /// @param keep Tells the hosts to keep.
    void retain(const std::function<bool(const host_id &)> &keep);

    /// @brief Sets whether this host takes part. Without a list of targets it knows neither its
    /// cell nor, therefore, which leader is its own.
    /// @param taking_part True if it leads or follows.
    void take_part(bool taking_part) noexcept { m_taking_part = taking_part; }

    /// @brief Changes the own state.
    /// @return Own state.
    [[nodiscard]] peer_state &self() noexcept { return m_self; }

    /// @brief Own state.
    /// @return Own state.
    [[nodiscard]] const peer_state &self() const noexcept { return m_self; }

    /// @brief Decides anew.
    /// @param now Current time.
    /// @return Leader as this host sees it; none while it is not settled.
    std::optional<host_id> decide(time_point now);

    /// @brief Hosts that are heard, without the own one.
    /// @param now Current time.
    /// @return Hosts.
    [[nodiscard]] std::vector<host_id> alive(time_point now) const;

    /// @brief Hosts known, the own one included.
    /// @param now Current time.
    /// @return Hosts, and whether they are heard.
    [[nodiscard]] std::vector<scope_member> members(time_point now) const;

  private:
    struct known_peer {
        peer_state state;
        time_point heard_at;
        bool connected{true};
    };

    void consider_yielding(const peer_state &candidate, time_point now);
    [[nodiscard]] bool is_alive(const known_peer &peer, time_point now) const noexcept;
    [[nodiscard]] std::optional<peer_state> best_leader(time_point now) const;
    [[nodiscard]] bool leader_elsewhere(time_point now) const;
    [[nodiscard]] peer_state best_candidate(time_point now) const;

    peer_state m_self;
    std::map<host_id, known_peer> m_peers;
    /// End of the time in which this host only listens.
    time_point m_listens_until;
    time_point m_leaderless_since;
    time_point m_leading_since;
    bool m_taking_part{true};
    /// Since when a much larger host could lead.
    std::optional<time_point> m_larger_since;
};

} // namespace heathermoor::election
