#pragma once

#include "heathermoor/cell/cell_plan.hpp"
#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/port/ports.hpp"
#include <functional>
#include <map>
#include <vector>

namespace heathermoor::contact {

/// @brief Host as gossiped to other hosts.
struct known_host {
    host_id id;
    failure_domain_id domain;
};

/// @brief Host to which a heartbeat is due.
struct due_heartbeat {
    host_id id;
    /// Time until the next heartbeat to it.
    milliseconds interval{};
};

/// @brief Directory of known hosts; decides to which this host connects and how often it sends them heartbeats.
///
/// Hosts of the own cell get heartbeats frequently, a few links in other cells rarely, and
/// hosts of unknown failure domain until they report it. The number of links is bounded, so
/// the cost for a host does not grow with the number of cells.
class peer_directory {
  public:
    /// @brief Creates an empty directory.
    /// @param self Id of the own host.
    /// @param domain Failure domain of the own host.
    /// @param peers Port that opens and closes connections.
    peer_directory(host_id self, failure_domain_id domain, port::peer_port &peers)
        : m_self{std::move(self)}, m_domain{std::move(domain)}, m_peers{peers} {}

    /// @brief Adds a host, or its failure domain if that was unknown; the own host is ignored.
    /// @param host Id of the host.
    /// @param domain Failure domain of the host; empty if unknown.
    void add_host(const host_id &host, const failure_domain_id &domain);

    /// @brief Records a heartbeat from a host, and adds the host if it is new.
    /// @param host Id of the host.
    /// @param domain Its failure domain.
    /// @param now Reading of the monotonic clock.
    void heartbeat_received(const host_id &host, const failure_domain_id &domain, time_point now);

    /// @brief Removes a host that announced its departure.
    /// @param host Id of the host.
    void host_left(const host_id &host);

    /// @brief Replaces the cell plan; takes effect with the next call of `due`.
    /// @param plan Plan from the current target counts.
    void set_plan(const cell::cell_plan &plan);

    /// @brief Connects to a known host and keeps the connection for some time; an unknown host is ignored.
    /// @param host Id of the host.
    /// @param until Earliest time at which the connection may be closed.
    void connect_until(const host_id &host, time_point until);

    /// @brief Whether a host belongs to the same cell as this one.
    /// @param host Id of the host.
    /// @return False also if the host or its failure domain is unknown.
    [[nodiscard]] bool in_own_cell(const host_id &host) const;

    /// @brief Makes a heartbeat to every host of the own cell due now.
    void make_cell_due();

    /// @brief Makes a heartbeat to each link in other cells due now.
    void make_links_due();

    /// @brief Returns the hosts to which a heartbeat is due, and schedules the next one. Opens and closes connections.
    /// @param now Reading of the monotonic clock.
    /// @param frequent Returns true for hosts of the own cell that get heartbeats at the shortest interval.
    /// @return Hosts, each with its interval.
    [[nodiscard]] std::vector<due_heartbeat> due(time_point now, const std::function<bool(const host_id &)> &frequent);

    /// @brief Next few recently heard hosts, in rotation over the calls.
    /// @param now Reading of the monotonic clock.
    /// @return Hosts to gossip, each with its failure domain.
    [[nodiscard]] std::vector<known_host> next_gossip(time_point now);

    /// @brief Hosts with an open connection.
    /// @return Hosts by id.
    [[nodiscard]] std::vector<host_id> connected() const;

  private:
    /// @brief Relation of another host to this one.
    enum class relation : std::uint8_t {
        /// Failure domain not known yet.
        unknown,
        own_cell,
        /// Host of another cell that always gets heartbeats.
        link,
        unlinked,
    };

    struct contact {
        failure_domain_id domain;
        relation kind{relation::unknown};
        bool connected{};
        time_point heard_at;
        time_point next_heartbeat;
        time_point keep_until;
    };

    void assign_relations();
    void assign_links(std::map<cell::cell_id, std::vector<host_id>> others);
    void connect(const host_id &host, contact &entry);

    host_id m_self;
    failure_domain_id m_domain;
    port::peer_port &m_peers;
    cell::cell_plan m_plan;
    std::map<host_id, contact> m_contacts;
    /// Heartbeat interval to hosts of the own cell that need none frequently; grows with their number.
    milliseconds m_cell_interval{};
    /// Last host considered by `next_gossip`.
    host_id m_last_gossip;
    bool m_changed{};
};

} // namespace heathermoor::contact
