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

/// @brief Timeouts and delays of the ownership protocol.
struct partition_manager_settings {
    /// Validity of a log read or of a peer's promise, counted from the moment it was requested; see `ownership_lease`.
    duration lease_period{milliseconds{1500}};
    /// Time added to the lease period before a claimant may serve a partition whose previous owner was lost.
    duration takeover_margin{milliseconds{300}};
    /// Time after the start of the process before it claims or balances partitions, so that it hears from live members first.
    duration startup_delay{milliseconds{600}};
    /// Time after the previous owner's lease expired within which peers and the journal may still supply admitted ids.
    /// A takeover that is incomplete by then goes ahead and marks its partitions with a gap.
    duration rebuild_time{milliseconds{1000}};
    /// Time for which the set of live peers must be unchanged before partitions are moved to balance them.
    duration balance_delay{seconds{3}};
    /// Time after which an append whose record has not been read back may be repeated.
    duration append_timeout{milliseconds{1000}};
    /// Time for which a partition with incomplete records treats every unseen id as one that may have run already.
    duration gap_period{seconds{120}};
};

/// @brief Request to a peer for the ids that it recorded as witness of a lost owner.
struct recall_request {
    host_id peer;
    partition_owner previous;
    /// Epoch of the claim; the peer refuses to record ids for owners of earlier epochs from then on.
    epoch claimed{};
    std::vector<partition_id> partitions;
};

/// @brief Partitions to transfer to another live host.
struct transfer_plan {
    host_id to;
    incarnation to_process{};
    std::vector<partition_id> partitions;
};

/// @brief Actions that the partition manager requests of its caller.
struct partition_manager_effects {
    std::vector<wire::ownership_record> appends;
    std::vector<recall_request> recalls;
    /// Partitions that were claimed from a lost owner and still have to be rebuilt.
    std::vector<partition_id> claimed;
    /// Whether a takeover still needs the journal of the failure domain; repeated until `journal_read` reports success.
    bool read_journal{false};
    std::optional<transfer_plan> transfer;
};

/// @brief State of a partition on this host.
///
/// `foreign`: not owned by this process. `waiting`: claimed from a lost owner whose lease may still be valid or whose
/// admitted ids are not complete yet. `serving`: owned and open for submissions. `transferring`: still owned, on its way
/// to another host and closed to new submissions.
enum class service_state : std::uint8_t { foreign, waiting, serving, transferring };

/// @brief Claims, serves and transfers the partitions of one failure domain on behalf of one process.
///
/// A partition of a dead owner goes to the live member with the highest rendezvous score. The claimant serves it only
/// after the previous owner's lease must have expired and the ids that it admitted are known, or the rebuild time is up.
/// Makes no calls of its own: the caller performs the actions that it returns. Not thread-safe.
class partition_manager {
  public:
    /// @brief Creates a manager that has not joined the failure domain yet.
    /// @param self This process as a member.
    /// @param domain Failure domain of the host.
    /// @param settings Timeouts and delays.
    /// @param now Monotonic time of the start; `startup_delay` counts from here.
    partition_manager(member self, failure_domain_id domain, partition_manager_settings settings, time_point now);

    /// @brief Handles a record that the ownership map has applied; call in log order.
    /// @param record Record; ignored if it belongs to another failure domain.
    /// @param offset Offset of the record, the epoch of what it grants.
    /// @param granted Partitions that the record moved, with their previous owners.
    /// @param map Ownership after the record.
    /// @param peers Peers, used to choose those that are asked for admitted ids.
    /// @param now Monotonic time; takeovers are timed from here.
    /// @param effects Output; recalls and claimed partitions are appended.
    void applied(const wire::ownership_record &record, log_offset offset, const std::vector<granted_partition> &granted,
                 const ownership_map &map, const membership::peer_table &peers, time_point now, partition_manager_effects &effects);

    /// @brief Advances takeovers, joins the failure domain, claims partitions of dead owners and starts at most one transfer.
    /// @param map Ownership as read so far.
    /// @param peers Peers and whether they are alive.
    /// @param now Monotonic time.
    /// @param effects Output; records to append are added, the journal request is set.
    void tick(const ownership_map &map, const membership::peer_table &peers, time_point now, partition_manager_effects &effects);

    /// @brief Records that a peer returned the ids of a claim.
    /// @param peer Peer that answered.
    /// @param claimed Epoch of the claim; unknown epochs are ignored.
    void recall_answered(const host_id &peer, epoch claimed);

    /// @brief Handles the end of a journal read.
    /// @param complete Whether every record was read; a partial read leaves the takeovers waiting.
    void journal_read(bool complete);

    /// @brief Replaces the hosts that the platform lists; they decide about owners that this process never heard from.
    /// @param live Names of all listed entry hosts.
    void host_list(std::set<host_id> live);

    /// @brief Records that all entries of some partitions arrived from their owner, so that they need no rebuild.
    /// @param partitions Partitions that the table covers.
    /// @param from Owner that sent the table.
    /// @param process Incarnation of that owner; a later grant counts only if it names the same one.
    void received_table(const std::vector<partition_id> &partitions, const host_id &from, incarnation process);

    /// @brief Makes the record that completes a transfer.
    /// @param plan Transfer whose table the receiver acknowledged.
    /// @param map Ownership; its epochs become the bases of the grants.
    /// @return Record to append to the ownership stream.
    [[nodiscard]] wire::ownership_record transfer_record(const transfer_plan &plan, const ownership_map &map) const;

    /// @brief Cancels a transfer before its record was appended; its partitions are served again.
    void abandon_transfer();

    /// @brief Transfers all partitions to other hosts from now on and claims no more; cannot be undone.
    void drain() noexcept { m_draining = true; }

    /// @brief Whether any partition is in a state other than `foreign`.
    /// @return True if this process holds or is taking over a partition.
    [[nodiscard]] bool holds_any() const noexcept;

    /// @brief State of a partition on this host.
    /// @param partition Partition of the own failure domain; throws `std::out_of_range` beyond the last one.
    /// @return State as of the last record or tick.
    [[nodiscard]] service_state state(partition_id partition) const noexcept { return m_partitions.at(raw(partition)).state; }

    /// @brief Whether an unseen id of a partition may have been run by an earlier owner.
    /// @param partition Partition of the own failure domain; throws `std::out_of_range` beyond the last one.
    /// @param now Monotonic time.
    /// @return True for `gap_period` after a takeover whose admitted ids are incomplete.
    [[nodiscard]] bool has_gap(partition_id partition, time_point now) const noexcept {
        return now < m_partitions.at(raw(partition)).gap_until;
    }

    /// @brief Promises a member not to claim its partitions within the lease period, if that is possible now.
    /// @param host Member of the same failure domain.
    /// @param peers Peers; a dead member gets no promise.
    /// @param now Monotonic time from which the promise binds.
    /// @return False if the member is dead or an append of this host, possibly a claim, is in flight.
    [[nodiscard]] bool promise(const host_id &host, const membership::peer_table &peers, time_point now);

    /// @brief Record that announces this host.
    /// @return Record without grants, to be appended to the ownership stream.
    [[nodiscard]] wire::ownership_record join_record() const;

    /// @brief Record that withdraws this process from the failure domain.
    /// @return Record to be appended to the ownership stream.
    [[nodiscard]] wire::ownership_record leave_record() const;

  private:
    struct partition_state {
        service_state state{service_state::foreign};
        /// Until then an unseen id may have run at an earlier owner.
        time_point gap_until{};
    };

    struct takeover {
        epoch claimed{};
        std::vector<partition_id> partitions;
        /// Time by which the previous owner's lease has expired.
        time_point ready_at;
        /// Peers that have not returned their ids yet.
        std::set<host_id> pending;
        bool journal_pending{true};
        /// Set if a member that may hold ids is dead.
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
    /// Time at which the append in flight may be repeated; zero if none is in flight.
    time_point m_append_due{};
    bool m_joined{};
    bool m_draining{};
    bool m_transferring{};
    std::set<host_id> m_last_live;
    time_point m_membership_changed{};
};

} // namespace heathermoor::ownership
