#pragma once

#include "heathermoor/cell/cell_plan.hpp"
#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/port/ports.hpp"
#include <functional>
#include <map>
#include <vector>

namespace heathermoor::contact {

/// @brief Host as it is told to others.
struct known_host {
    host_id id;
    failure_domain_id domain;
};

/// @brief Host that is due to get a heartbeat.
struct due_heartbeat {
    host_id id;
    /// Time until the next one.
    milliseconds interval{};
};

/// @brief Which hosts are known, which of them this host is connected to, and how often they get its heartbeat.
///
/// The hosts of the own cell get it often, a few of each other cell seldom, and
/// those whose failure domain is not known are asked for it. No host's cost
/// grows with the number of cells by more than these few.
class peer_directory {
  public:
    /// @brief Book that knows nobody.
    /// @param self Own name.
    /// @param domain Own failure domain.
    /// @param peers Connects to hosts.
    peer_directory(host_id self, failure_domain_id domain, port::peer_port &peers)
        : m_self{std::move(self)}, m_domain{std::move(domain)}, m_peers{peers} {}

    /// @brief Learns of a host.
    /// @param host Host.
    /// @param domain Its failure domain; empty if it is not known.
    void add_host(const host_id &host, const failure_domain_id &domain);

    /// @brief Notes a heartbeat of a host.
    /// @param host Host.
    /// @param domain Its failure domain.
    /// @param now Current time.
    void heartbeat_received(const host_id &host, const failure_domain_id &domain, time_point now);

    /// @brief Notes that a host has left for good.
    /// @param host Host.
    void host_left(const host_id &host);

    /// @brief Divides the hosts by another plan.
    /// @param plan Plan.
    void set_plan(const cell::cell_plan &plan);

    /// @brief Connects to a host of another cell for some time, so that a message can be sent to it.
    /// @param host Host.
    /// @param until End of that time.
    void connect_until(const host_id &host, time_point until);

    /// @brief Whether a host belongs to the own cell.
    /// @param host Host.
    /// @return True if it does.
    [[nodiscard]] bool in_own_cell(const host_id &host) const;

    /// @brief Makes the hosts of the own cell due at once.
    void make_cell_due();

    /// @brief Hosts that are due to get a heartbeat; they are not due again before their interval has passed.
    /// @param now Current time.
    /// @param urgent Tells hosts of the own cell to which heartbeats go often.
    /// @return Hosts with their intervals.
    [[nodiscard]] std::vector<due_heartbeat> due(time_point now, const std::function<bool(const host_id &)> &urgent);

    /// @brief Some of the hosts heard lately, others with each call.
    /// @param now Current time.
    /// @return Hosts to tell others about.
    [[nodiscard]] std::vector<known_host> next_gossip(time_point now);

    /// @brief Hosts that get heartbeats or messages.
    /// @return Hosts that this one is connected to.
    [[nodiscard]] std::vector<host_id> connected() const;

  private:
    /// @brief How this host stands to another one.
    enum class relation : std::uint8_t {
        /// Its failure domain is not known yet.
        unknown,
        near,
        /// One of the few hosts of another cell that get heartbeats.
        link,
        other,
    };

    struct contact {
        failure_domain_id domain;
        relation role{relation::unknown};
        bool connected{};
        time_point heard_at;
        time_point next_beat;
        time_point reached_until;
    };

    void assign();
    void assign_links(std::map<cell::cell_id, std::vector<host_id>> others);
    void connect(const host_id &host, contact &entry);

    host_id m_self;
    failure_domain_id m_domain;
    port::peer_port &m_peers;
    cell::cell_plan m_plan;
    std::map<host_id, contact> m_contacts;
    /// Time between heartbeats to the hosts of the own cell that are not its leader; grows with their number.
    milliseconds m_usual_interval{};
    /// Last host that was told to others.
    host_id m_last_gossip;
    bool m_changed{};
};

} // namespace heathermoor::contact
