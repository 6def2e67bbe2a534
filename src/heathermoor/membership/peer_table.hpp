#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathermoor::membership {

/// @brief Load of one pool on a peer, as the peer last reported it.
struct reported_load {
    pool_id pool;
    /// Sum of the speeds of usable slots.
    double capacity{};
    double backlog_ms{};
    double short_backlog_ms{};
    std::uint32_t free_slots{};
    std::uint32_t slots{};
};

/// @brief What is known of another host.
struct peer {
    host_id host;
    failure_domain_id domain;
    incarnation process{};
    std::string http_address;
    double weight{1.0};
    time_point last_heard;
    /// The peer's clock in its last message.
    time_point peer_clock;
    bool alive{};
    bool draining{};
    std::uint64_t config_offset{};
    std::string config_hash;
    std::vector<reported_load> load;
};

/// @brief Process that stopped answering or was replaced.
struct lost_peer {
    host_id host;
    incarnation process{};
};

/// @brief Hosts that were heard from, and which of them are alive.
class peer_table {
  public:
    /// @brief Empty table.
    /// @param own Failure domain of this host.
    /// @param silence Time without a message after which a host of the own failure domain counts as dead.
    /// @param far_silence The same for hosts of other failure domains.
    peer_table(failure_domain_id own, duration local_timeout, duration remote_timeout)
        : m_own{std::move(own)}, m_local_timeout{local_timeout}, m_remote_timeout{remote_timeout} {}

    /// @brief Notes a message of a peer.
    /// @param host Sender.
    /// @param domain Failure domain of the sender.
    /// @param process Incarnation of the sender.
    /// @param sent Sender's clock.
    /// @param now Current time.
    /// @return The previous process under this name, if this is a new one.
    std::optional<lost_peer> record_contact(const host_id &host, const failure_domain_id &domain, incarnation process, time_point sent,
                                            time_point now);

    /// @brief Finds silent peers.
    /// @param now Current time.
    /// @return Peers that were alive until now.
    [[nodiscard]] std::vector<lost_peer> tick(time_point now);

    /// @brief Finds a peer.
    /// @param host Name of the host.
    /// @return Peer, or nothing if it was never heard.
    [[nodiscard]] peer *find(const host_id &host);

    /// @brief Finds a peer.
    /// @param host Name of the host.
    /// @return Peer, or nothing if it was never heard.
    [[nodiscard]] const peer *find(const host_id &host) const;

    /// @brief Whether a host answers.
    /// @param host Name of the host.
    /// @return True if it was heard within the silence limit.
    [[nodiscard]] bool alive(const host_id &host) const;

    /// @brief All peers by name.
    /// @return Peers, dead ones included.
    [[nodiscard]] const std::map<host_id, peer> &all() const noexcept { return m_peers; }

  private:
    failure_domain_id m_own;
    duration m_local_timeout;
    duration m_remote_timeout;
    std::map<host_id, peer> m_peers;
};

} // namespace heathermoor::membership
