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
    /// Expected run time of the waiting tasks, in milliseconds.
    double backlog_ms{};
    /// Expected run time of the waiting short tasks, in milliseconds.
    double short_backlog_ms{};
    std::uint32_t free_slots{};
    std::uint32_t slots{};
};

/// @brief State of another host as known from its messages.
struct peer {
    host_id host;
    failure_domain_id domain;
    incarnation process{};
    std::string http_address;
    /// Relative share of the work.
    double weight{1.0};
    /// Own monotonic time of the last message.
    time_point last_heard;
    /// Latest send time among the peer's messages, on the peer's own monotonic clock; echoed back to it.
    time_point peer_clock;
    bool alive{};
    bool draining{};
    /// Offset of the last configuration record that the peer applied; zero if its configuration is incomplete.
    std::uint64_t config_offset{};
    std::string config_hash;
    std::vector<reported_load> load;
};

/// @brief Process that exceeded its heartbeat timeout or was replaced by a newer one.
struct lost_peer {
    host_id host;
    incarnation process{};
};

/// @brief Failure detector: all hosts that ever sent a message, and which of them are alive.
class peer_table {
  public:
    /// @brief Creates an empty table.
    /// @param own Failure domain of this host.
    /// @param local_timeout Time without a message after which a host of the own failure domain counts as dead.
    /// @param remote_timeout Time without a message after which a host of another failure domain counts as dead.
    peer_table(failure_domain_id own, duration local_timeout, duration remote_timeout)
        : m_own{std::move(own)}, m_local_timeout{local_timeout}, m_remote_timeout{remote_timeout} {}

    /// @brief Records a message of a peer and marks the peer as alive.
    /// @param host Sender.
    /// @param domain Failure domain of the sender.
    /// @param process Incarnation of the sender; a message of an older one than known is ignored.
    /// @param sent Send time on the sender's monotonic clock.
    /// @param now Time of receipt on the own monotonic clock.
    /// @return The previous process under this name, if the message comes from a newer one.
    std::optional<lost_peer> record_contact(const host_id &host, const failure_domain_id &domain, incarnation process, time_point sent,
                                            time_point now);

    /// @brief Marks peers as dead whose last message is older than the timeout, and drops their loads.
    /// @param now Monotonic time.
    /// @return Peers that were alive before this call; each loss is reported once.
    [[nodiscard]] std::vector<lost_peer> tick(time_point now);

    /// @brief Finds a peer, dead or alive.
    /// @param host Name of the host.
    /// @return Peer, or null if no message of it was ever received.
    [[nodiscard]] peer *find(const host_id &host);

    /// @brief Finds a peer, dead or alive.
    /// @param host Name of the host.
    /// @return Peer, or null if no message of it was ever received.
    [[nodiscard]] const peer *find(const host_id &host) const;

    /// @brief Whether a host is alive as of the last tick.
    /// @param host Name of the host.
    /// @return False also for a host that is not in the table.
    [[nodiscard]] bool alive(const host_id &host) const;

    /// @brief All peers by host name.
    /// @return Peers, including dead ones.
    [[nodiscard]] const std::map<host_id, peer> &all() const noexcept { return m_peers; }

  private:
    failure_domain_id m_own;
    duration m_local_timeout;
    duration m_remote_timeout;
    std::map<host_id, peer> m_peers;
};

} // namespace heathermoor::membership
