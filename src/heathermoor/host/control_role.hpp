#pragma once

#include "heathermoor/config/config_state.hpp"
#include "heathermoor/host/settings.hpp"
#include "heathermoor/membership/peer_table.hpp"
#include "heathermoor/ownership/partition_manager.hpp"
#include "heathermoor/placement/load_balancer.hpp"
#include "heathermoor/port/ports.hpp"
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace heathermoor::host {

/// @brief Host to which requests for a submission id are sent.
struct route {
    /// Owner; empty if there is none or it does not answer.
    host_id host;
    /// Set if the process that issued the id is gone, so that no owner will ever answer.
    bool lost{};
};

/// @brief Actions that an event of the control role requires of the other roles and the ports.
struct control_effects {
    std::vector<membership::lost_peer> lost;
    std::optional<ownership::transfer_plan> transfer;
    std::vector<ownership::recall_request> recalls;
    /// Partitions claimed from a lost owner; ids that this host witnessed for them must not run again.
    std::vector<partition_id> claimed;
    std::vector<wire::ownership_record> appends;
    bool read_journal{};
    bool targets_changed{};
    bool policy_changed{};
    std::vector<config::audit_entry> audit;
    std::optional<std::string> snapshot;
};

/// @brief State of one host for operators.
struct host_status {
    /// Last configuration record that was applied; zero if there is none.
    log_offset config_offset{};
    std::string config_hash;
    bool config_complete{};
    bool lease_valid{};
    std::uint32_t partitions_serving{};
    std::uint32_t partitions_waiting{};
    std::vector<membership::peer> peers;
};

/// @brief Membership, partition ownership, configuration and load reports of one host.
///
/// All public functions are thread-safe.
class control_role {
  public:
    /// @brief Creates a role that knows no peers and owns no partitions.
    /// @param options Settings of the host; must outlive the role.
    /// @param now Monotonic time of the start.
    control_role(const settings &options, time_point now);

    /// @brief Checks the header of a received message and records that its sender is alive.
    /// @param message Message of any kind.
    /// @param now Monotonic time of receipt.
    /// @param effects Output; a replaced process is added to `lost`.
    /// @return False if the message is meant for another process or comes from one that was replaced, and must be dropped.
    [[nodiscard]] bool accept_message(const wire::envelope &message, time_point now, control_effects &effects);

    /// @brief Stores the state that a heartbeat reports and renews the lease by its promise or log read.
    /// @param message Message with a heartbeat; ignored if its sender is unknown.
    /// @param now Monotonic time of receipt.
    void handle_heartbeat(const wire::envelope &message, time_point now);

    /// @brief Fills in the header of an outgoing message.
    /// @param to Receiver; an unknown peer gets no clock echo and no incarnation.
    /// @param message Message without its header.
    /// @param now Monotonic time of sending.
    void fill_header(const host_id &to, wire::envelope &message, time_point now) const;

    /// @brief Applies records that were read from the log; a read up to the tail of the ownership stream renews the lease.
    /// @param batch Records of the configuration or the ownership stream.
    /// @param now Monotonic time.
    /// @param effects Output; actions are added.
    void log_read(const port::log_batch &batch, time_point now, control_effects &effects);

    /// @brief Applies configuration records that a peer relayed.
    /// @param message Records in ascending order of their offsets; those applied before are ignored.
    /// @param now Unused.
    /// @param effects Output; actions are added.
    void handle_relay(const wire::relay &message, time_point now, control_effects &effects);

    /// @brief Configuration records that a peer lacks according to its last heartbeat.
    /// @param peer Peer.
    /// @return At most 64 records, or one snapshot if the peer is too far behind; nothing if the peer is up to date or
    /// unknown, or if the own configuration is incomplete.
    [[nodiscard]] std::optional<wire::relay> relay_for(const host_id &peer) const;

    /// @brief Replaces the platform's host list.
    /// @param hosts All listed entry hosts and targets.
    /// @param effects Output; the targets count as changed.
    void host_list(std::vector<port::listed_host> hosts, control_effects &effects);

    /// @brief Detects lost peers and advances claims, takeovers and transfers of partitions.
    /// @param now Monotonic time.
    /// @param effects Output; actions are added.
    void tick(time_point now, control_effects &effects);

    /// @brief Creates the heartbeat for one peer, with a promise not to claim if one can be given.
    /// @param to Receiver.
    /// @param load Load of this host for each pool.
    /// @param full Whether to include addresses, weight and the hash of the configuration, which seldom change.
    /// @param now Monotonic time of sending.
    /// @return Heartbeat, to be sent at once because a promise binds this host from `now` on.
    [[nodiscard]] wire::heartbeat make_heartbeat(const host_id &to, const std::map<pool_id, placement::pool_load> &load, bool full,
                                                 time_point now);

    /// @brief Hosts that get heartbeats: all seeds, all members of the own failure domain and, in each neighbouring one, the
    /// members that rendezvous hashing pairs with this host. Each host is paired with two members of another domain.
    /// @param far Whether to include hosts of other failure domains.
    /// @return Names in ascending order, without the own one.
    [[nodiscard]] std::vector<host_id> heartbeat_receivers(bool far) const;

    /// @brief Addresses of all hosts known from the settings, heartbeats or the ownership stream.
    /// @return Host and peer address, without the own one; the ownership stream takes precedence.
    [[nodiscard]] std::vector<std::pair<host_id, std::string>> addresses() const;

    /// @brief Adds a host that is contacted without being listed in the ownership stream.
    /// @param host Name of the host.
    /// @param address Its peer address.
    void add_seed(const host_id &host, const std::string &address);

    /// @brief Recomputes the loads of all live hosts by which tasks are spread.
    /// @param own Load of this host for each pool.
    void update_loads(const std::map<pool_id, placement::pool_load> &own);

    /// @brief Updates the load of a dispatcher host from the report that comes with its results.
    /// @param message Message with results.
    void load_reported(const wire::envelope &message);

    /// @brief Free slots on the other live hosts, as last reported.
    /// @return Number of slots for each pool; draining hosts count as zero.
    [[nodiscard]] std::map<pool_id, std::uint32_t> free_elsewhere() const;

    /// @brief Chooses the host for a task.
    /// @param pool Pool whose targets run the task.
    /// @param expected_ms Expected run time in milliseconds.
    /// @param avoid Host that declined the task; empty if none did.
    /// @return Host, or the empty name if no host can take the task.
    [[nodiscard]] host_id choose_host(const pool_id &pool, double expected_ms, const host_id &avoid);

    /// @brief Expected queueing time of a new task.
    /// @param pool Pool whose targets run the task.
    /// @return Time, or `duration::max()` if no host has a slot of the pool.
    [[nodiscard]] duration expected_wait(const pool_id &pool) const;

    /// @brief Finds the owner of a submission id.
    /// @param id Parsed id.
    /// @return Host that issued the id or owner of the partition, if it is reachable.
    [[nodiscard]] route find_owner(const submission::parsed_id &id) const;

    /// @brief Whether new submissions of a partition may be admitted on this host.
    /// @param partition Partition of the own failure domain.
    /// @param now Monotonic time.
    /// @return True if the partition is served here and the lease is valid.
    [[nodiscard]] bool may_admit(partition_id partition, time_point now) const;

    /// @brief Whether tasks of admitted submissions may be started from this host.
    /// @param partition Partition of the own failure domain.
    /// @param now Monotonic time.
    /// @return True if the partition is served or being transferred here and the lease is valid, so that no other host owns it.
    [[nodiscard]] bool may_start(partition_id partition, time_point now) const;

    /// @brief Whether an unseen id may have been run by an earlier owner.
    /// @param partition Partition of the own failure domain.
    /// @param now Monotonic time.
    /// @return True for some time after a takeover whose admitted ids are incomplete.
    [[nodiscard]] bool has_gap(partition_id partition, time_point now) const;

    /// @brief Epoch of the current owner of a partition.
    /// @param partition Partition of the own failure domain.
    /// @return Offset of the record that granted it; zero if it was never owned.
    [[nodiscard]] epoch epoch_of(partition_id partition) const;

    /// @brief Peer that records the ids which this host admits.
    /// @return First live member of the own failure domain by name, or nothing if there is none.
    [[nodiscard]] std::optional<host_id> witness() const;

    /// @brief Targets of the own failure domain that rendezvous hashing assigns to this host.
    /// @return Listed targets that are not leaving; none while draining.
    [[nodiscard]] std::vector<placement::target_info> own_targets() const;

    /// @brief Whether the platform lists a target of a pool, in any failure domain.
    /// @param pool Pool.
    /// @return True also if the target is leaving.
    [[nodiscard]] bool pool_exists(const pool_id &pool) const;

    /// @brief Configuration in force.
    /// @return Immutable policy; never null.
    [[nodiscard]] std::shared_ptr<const config::policy> policy() const;

    /// @brief Whether the configuration is known.
    /// @return True if it is complete and has at least one service.
    [[nodiscard]] bool configured() const;

    /// @brief Offset from which a stream should be read next.
    /// @param stream Configuration stream; any other value means the ownership stream.
    /// @return Offset after the last record applied.
    [[nodiscard]] log_offset next_offset(port::log_stream stream) const;

    /// @brief Records that a peer returned the ids of a claim.
    /// @param peer Peer that answered.
    /// @param claimed Epoch of the claim.
    void recall_answered(const host_id &peer, epoch claimed);

    /// @brief Handles the end of a journal read.
    /// @param complete Whether every record was read; a partial read leaves the takeovers waiting.
    void journal_read(bool complete);

    /// @brief Records that all entries of some partitions arrived from their owner.
    /// @param partitions Partitions that the table covers.
    /// @param from Owner that sent the table.
    /// @param process Incarnation of that owner.
    void received_table(const std::vector<partition_id> &partitions, const host_id &from, incarnation process);

    /// @brief Makes the record that completes a transfer.
    /// @param plan Transfer whose table the receiver acknowledged.
    /// @return Record to append, or nothing if the partitions have moved already or the transfer was cancelled.
    [[nodiscard]] std::optional<wire::ownership_record> transfer_record(const ownership::transfer_plan &plan) const;

    /// @brief Cancels the transfer in progress; its partitions are served again.
    void abandon_transfer();

    /// @brief Starts to transfer all partitions to other hosts and stops taking targets.
    void drain();

    /// @brief Whether partitions remain that a live peer could take over.
    /// @return True if a shutdown has to wait.
    [[nodiscard]] bool transfer_pending() const;

    /// @brief Record that withdraws this process from the failure domain.
    /// @return Record to be appended to the ownership stream.
    [[nodiscard]] wire::ownership_record leave_record() const;

    /// @brief State for operators.
    /// @param now Monotonic time, by which the lease is judged.
    /// @return Snapshot of the state.
    [[nodiscard]] host_status status(time_point now) const;

    /// @brief Audit trail of configuration changes.
    /// @return Latest verdicts, oldest first.
    [[nodiscard]] std::vector<config::audit_entry> history() const;

    /// @brief Configuration items in force.
    /// @return Items with their versions.
    [[nodiscard]] std::map<config::item_key, config::versioned_item> items() const;

  private:
    void merge_effects(ownership::partition_manager_effects requested, control_effects &effects) const;
    void apply_config(log_offset offset, const std::string &data, control_effects &effects);
    void apply_ownership(const wire::record &record, time_point now, control_effects &effects);
    [[nodiscard]] std::vector<host_id> other_domain_members() const;
    [[nodiscard]] bool lease_valid(time_point now) const;
    [[nodiscard]] bool is_snapshot_writer() const;

    const settings &m_options;
    mutable std::mutex m_mutex;
    membership::peer_table m_peers;
    ownership::ownership_map m_map;
    ownership::partition_manager m_partition_manager;
    ownership::ownership_lease m_lease;
    config::config_state m_config;
    placement::load_balancer m_load_balancer;
    std::vector<port::listed_host> m_hosts;
    std::map<host_id, std::string> m_seeds;
    std::deque<wire::record> m_recent_config;
    /// Start of the last own read that reached the tail of the ownership stream.
    time_point m_direct_read{};
    /// Whether any read of this process reached the tail of the ownership stream.
    bool m_ownership_read{};
    bool m_draining{};
    bool m_snapshot_due{};
};

} // namespace heathermoor::host
