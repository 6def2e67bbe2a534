#pragma once

#include "heathermoor/core/time.hpp"
#include "heathermoor/membership/peer_table.hpp"
#include "heathermoor/ownership/ownership_lease.hpp"
#include "heathermoor/ownership/ownership_map.hpp"
#include <array>
#include <optional>
#include <set>
#include <vector>

namespace heathermoor::ownership {

/// @brief Times of the ownership protocol.
struct partition_manager_settings {
    /// Time for which a log read or a promise counts as evidence.
    duration lease_period{milliseconds{1500}};
    /// Time that a claimant waits beyond the evidence period.
    duration takeover_margin{milliseconds{300}};
    /// Time after the start in which other members may be heard first.
    duration startup_delay{milliseconds{600}};
    /// Time that a claimant waits for peers and journal after the lease lapsed.
    duration rebuild_time{milliseconds{1000}};
    /// Time of steady membership before partitions are balanced.
    duration balance_delay{seconds{3}};
    /// Time after which an unanswered append may be repeated.
    duration append_timeout{milliseconds{1000}};
    /// Time for which ids that cannot be told from lost ones stay barred.
    duration gap_period{seconds{120}};
};

/// @brief Ids that a peer should return because their partitions changed hands.
struct recall_request {
    host_id peer;
    partition_owner previous;
    epoch claimed{};
    std::vector<partition_id> partitions;
};

/// @brief Partitions that this host should pass on.
struct transfer_plan {
    host_id to;
    incarnation to_process{};
    std::vector<partition_id> partitions;
};

/// @brief What the keeper wants done.
struct partition_manager_effects {
    std::vector<wire::ownership_record> appends;
    std::vector<recall_request> recalls;
    /// Partitions that were claimed from a lost owner.
    std::vector<partition_id> claimed;
    /// Partitions whose journal should be read.
    bool read_journal{false};
    std::optional<transfer_plan> transfer;
};

/// @brief Whether a partition is served here.
enum class service_state : std::uint8_t { foreign, waiting, serving, transferring };

/// @brief Takes, serves and gives up the partitions of one failure domain.
class partition_manager {
  public:
    /// @brief Keeper of one host.
    /// @param self This process as a member.
    /// @param domain Failure domain of the host.
    /// @param settings Times.
    /// @param now Current time.
    partition_manager(member self, failure_domain_id domain, partition_manager_settings settings, time_point now);

    /// @brief Learns of an applied record.
    /// @param record Record.
    /// @param offset Its offset.
    /// @param granted Partitions that it moved.
    /// @param map Ownership after the record.
    /// @param peers Peers.
    /// @param now Current time.
    /// @param effects What is to be done.
    void applied(const wire::ownership_record &record, log_offset offset, const std::vector<granted_partition> &granted,
                 const ownership_map &map, const membership::peer_table &peers, time_point now, partition_manager_effects &effects);

    /// @brief Moves waiting partitions on and claims those of dead owners.
    /// @param map Ownership.
    /// @param peers Peers.
    /// @param now Current time.
    /// @param effects What is to be done.
    void tick(const ownership_map &map, const membership::peer_table &peers, time_point now, partition_manager_effects &effects);

    /// @brief Notes that a peer returned its records for a claim.
    /// @param peer Peer.
    /// @param claimed Epoch of the claim.
    void recall_answered(const host_id &peer, epoch claimed);

    /// @brief Notes that the journal was read, or could not be.
    /// @param complete Whether every record was read.
    void journal_read(bool complete);

    /// @brief Notes the hosts that the platform lists as alive.
    /// @param live Names of live hosts.
    void host_list(std::set<host_id> live);

    /// @brief Notes that all entries of some partitions arrived from their owner.
    /// @param partitions Partitions.
    /// @param from Owner that sent them.
    /// @param process Process of that owner.
    void received_table(const std::vector<partition_id> &partitions, const host_id &from, incarnation process);

    /// @brief Makes the record that completes a transfer.
    /// @param plan Transfer whose table the receiver acknowledged.
    /// @param map Ownership.
    /// @return Record to append.
    [[nodiscard]] wire::ownership_record transfer_record(const transfer_plan &plan, const ownership_map &map) const;

    /// @brief Gives a transfer up before its record was appended.
    void abandon_transfer();

    /// @brief Passes all partitions on and takes no more.
    void drain() noexcept { m_draining = true; }

    /// @brief Whether this host still holds partitions.
    /// @return True if any partition is served, waited for or being transferred.
    [[nodiscard]] bool holds_any() const noexcept;

    /// @brief State of a partition here.
    /// @param partition Partition.
    /// @return State.
    [[nodiscard]] service_state state(partition_id partition) const noexcept { return m_partitions.at(raw(partition)).state; }

    /// @brief Whether an unseen id of a partition may have been run by an earlier owner.
    /// @param partition Partition.
    /// @param now Current time.
    /// @return True while the records of an earlier owner are known to be incomplete.
    [[nodiscard]] bool has_gap(partition_id partition, time_point now) const noexcept {
        return now < m_partitions.at(raw(partition)).gap_until;
    }

    /// @brief Whether a promise not to claim may be given to a member.
    /// @param host Member.
    /// @param peers Peers.
    /// @param now Current time; the promise is noted.
    /// @return True if the promise is given.
    [[nodiscard]] bool promise(const host_id &host, const membership::peer_table &peers, time_point now);

    /// @brief Record that announces this host.
    /// @return Record without grants.
    [[nodiscard]] wire::ownership_record join_record() const;

    /// @brief Record that withdraws this host.
    /// @return Record.
    [[nodiscard]] wire::ownership_record leave_record() const;

  private:
    struct partition_state {
        service_state state{service_state::foreign};
        time_point gap_until{};
    };

    struct takeover {
        epoch claimed{};
        std::vector<partition_id> partitions;
        time_point ready_at;
        std::set<host_id> pending;
        bool journal_pending{true};
        bool gap{};
    };

    [[nodiscard]] bool is_dead(const partition_owner &owner, const ownership_map &map, const membership::peer_table &peers,
                               time_point now) const;
    [[nodiscard]] std::optional<member> best_member(partition_id partition, const ownership_map &map,
                                                    const membership::peer_table &peers) const;
    void claim(const ownership_map &map, const membership::peer_table &peers, time_point now, partition_manager_effects &effects);
    void balance(const ownership_map &map, const membership::peer_table &peers, time_point now, partition_manager_effects &effects);
    void begin_takeover(const std::vector<granted_partition> &granted, log_offset offset, const ownership_map &map,
                        const membership::peer_table &peers, time_point now, partition_manager_effects &effects);
    void advance_takeovers(time_point now);

    member m_self;
    failure_domain_id m_domain;
    partition_manager_settings m_settings;
    time_point m_started;
    std::array<partition_state, submission::partition_count> m_partitions{};
    std::vector<takeover> m_takeovers;
    std::set<host_id> m_live_hosts;
    bool m_have_host_list{};
    std::set<std::pair<host_id, incarnation>> m_heard;
    std::map<host_id, time_point> m_promised;
    std::map<partition_id, std::pair<host_id, incarnation>> m_received;
    time_point m_append_due{};
    bool m_joined{};
    bool m_draining{};
    bool m_transferring{};
    std::set<host_id> m_last_live;
    time_point m_membership_changed{};
};

} // namespace heathermoor::ownership
