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

/// @brief Host that may own a submission id.
struct route {
    /// Empty if nobody owns the id or the owner does not answer.
    host_id host;
    /// Set if the id can never be served again.
    bool lost{};
};

/// @brief What one turn of the control role wants done by the other roles.
struct control_effects {
    std::vector<membership::lost_peer> lost;
    std::optional<ownership::transfer_plan> transfer;
    std::vector<ownership::recall_request> recalls;
    /// Partitions claimed from a lost owner, whose remembered ids bar a new run.
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
    log_offset config_offset{};
    std::string config_hash;
    bool config_complete{};
    bool lease_valid{};
    std::uint32_t partitions_serving{};
    std::uint32_t partitions_waiting{};
    std::vector<membership::peer> peers;
};

/// @brief Membership, ownership, configuration and load reports of one host.
class control_role {
  public:
    /// @brief Role without peers.
    /// @param options Settings of the host.
    /// @param now Current time.
    control_role(const settings &options, time_point now);

    /// @brief Notes any message of a peer.
    /// @param message Message.
    /// @param now Current time.
    /// @param effects What is to be done.
    /// @return False if the message is not meant for this process.
    [[nodiscard]] bool accept_message(const wire::envelope &message, time_point now, control_effects &effects);

    /// @brief Takes a heartbeat.
    /// @param message Message that holds it.
    /// @param now Current time.
    void handle_heartbeat(const wire::envelope &message, time_point now);

    /// @brief Addresses a message.
    /// @param to Receiver.
    /// @param message Message whose header is filled in.
    /// @param now Current time.
    void address(const host_id &to, wire::envelope &message, time_point now) const;

    /// @brief Applies what was read from the log.
    /// @param batch Records of the configuration or the ownership stream.
    /// @param now Current time.
    /// @param effects What is to be done.
    void log_read(const port::log_batch &batch, time_point now, control_effects &effects);

    /// @brief Applies records that a peer passed on.
    /// @param message Records.
    /// @param now Current time.
    /// @param effects What is to be done.
    void handle_relay(const wire::relay &message, time_point now, control_effects &effects);

    /// @brief Records that a peer lacks.
    /// @param peer Peer.
    /// @return Message, or nothing if the peer lacks none.
    [[nodiscard]] std::optional<wire::relay> relay_for(const host_id &peer) const;

    /// @brief Takes the platform's host list.
    /// @param hosts Entry hosts and targets.
    /// @param effects What is to be done.
    void host_list(std::vector<port::listed_host> hosts, control_effects &effects);

    /// @brief Detects lost peers and drives ownership.
    /// @param now Current time.
    /// @param effects What is to be done.
    void tick(time_point now, control_effects &effects);

    /// @brief Makes the heartbeat for one peer.
    /// @param to Peer.
    /// @param load Load of this host.
    /// @param full Whether the fields that seldom change are due.
    /// @param now Current time.
    /// @return Heartbeat.
    [[nodiscard]] wire::heartbeat make_heartbeat(const host_id &to, const std::map<pool_id, placement::pool_load> &load, bool full,
                                                 time_point now);

    /// @brief Hosts that get heartbeats: all of the own failure domain, and of each
    /// neighbouring one those two that rendezvous hashing pairs with this host.
    /// @param far Whether hosts of other failure domains are due.
    /// @return Names, the own one excluded.
    [[nodiscard]] std::vector<host_id> heartbeat_receivers(bool far) const;

    /// @brief Addresses of hosts that were learned from the log or the host list.
    /// @return Host and peer address.
    [[nodiscard]] std::vector<std::pair<host_id, std::string>> addresses() const;

    /// @brief Adds a host from the settings.
    /// @param host Host.
    /// @param address Its peer address.
    void add_seed(const host_id &host, const std::string &address);

    /// @brief Refreshes the loads by which tasks are spread.
    /// @param own Load of this host.
    void update_loads(const std::map<pool_id, placement::pool_load> &own);

    /// @brief Takes the load that a dispatcher host reports with its results.
    /// @param message Message that holds it.
    void load_reported(const wire::envelope &message);

    /// @brief Free slots on the other hosts, as last reported.
    /// @return Slots of each pool.
    [[nodiscard]] std::map<pool_id, std::uint32_t> free_elsewhere() const;

    /// @brief Chooses the host for a task.
    /// @param pool Pool.
    /// @param expected_ms Expected run time.
    /// @param avoid Host that declined the task.
    /// @return Host, or the empty name.
    [[nodiscard]] host_id choose_host(const pool_id &pool, double expected_ms, const host_id &avoid);

    /// @brief Expected wait of a new task.
    /// @param pool Pool.
    /// @return Wait, or the maximum if no host has a slot of the pool.
    [[nodiscard]] duration expected_wait(const pool_id &pool) const;

    /// @brief Finds the owner of a submission id.
    /// @param id Parsed id.
    /// @return Owner.
    [[nodiscard]] route find_owner(const submission::parsed_id &id) const;

    /// @brief Whether new submissions of a partition may be admitted here now.
    /// @param partition Partition of the own failure domain.
    /// @param now Current time.
    /// @return True if the partition is served and the lease holds.
    [[nodiscard]] bool may_admit(partition_id partition, time_point now) const;

    /// @brief Whether tasks of a partition may be started from here now.
    /// @param partition Partition of the own failure domain.
    /// @param now Current time.
    /// @return True if no other host can own the partition.
    [[nodiscard]] bool may_start(partition_id partition, time_point now) const;

    /// @brief Whether an unseen id may have been run by an earlier owner.
    /// @param partition Partition.
    /// @param now Current time.
    /// @return True if so.
    [[nodiscard]] bool has_gap(partition_id partition, time_point now) const;

    /// @brief Epoch of a partition of the own failure domain.
    /// @param partition Partition.
    /// @return Epoch.
    [[nodiscard]] epoch epoch_of(partition_id partition) const;

    /// @brief Peer that records admissions.
    /// @return Peer of the own failure domain, or nothing if none is alive.
    [[nodiscard]] std::optional<host_id> witness() const;

    /// @brief Share of the targets that this host serves.
    /// @return Targets that are not leaving.
    [[nodiscard]] std::vector<placement::target_info> own_targets() const;

    /// @brief Whether any target of a pool is listed in any failure domain.
    /// @param pool Pool.
    /// @return True if so.
    [[nodiscard]] bool pool_exists(const pool_id &pool) const;

    /// @brief Configuration in force.
    /// @return Policy.
    [[nodiscard]] std::shared_ptr<const config::policy> policy() const;

    /// @brief Whether the configuration is known.
    /// @return True if it is complete and not empty.
    [[nodiscard]] bool configured() const;

    /// @brief Offset from which a stream should be read next.
    /// @param stream Stream.
    /// @return Offset.
    [[nodiscard]] log_offset next_offset(port::log_stream stream) const;

    /// @brief Notes the answer of a peer to a recall.
    /// @param peer Peer.
    /// @param claimed Epoch of the claim.
    void recall_answered(const host_id &peer, epoch claimed);

    /// @brief Notes that the journal was read.
    /// @param complete Whether every record was read.
    void journal_read(bool complete);

    /// @brief Notes that a table was received.
    /// @param partitions Partitions.
    /// @param from Owner that sent it.
    /// @param process Process of that owner.
    void received_table(const std::vector<partition_id> &partitions, const host_id &from, incarnation process);

    /// @brief Makes the record that completes a transfer.
    /// @param plan Transfer.
    /// @return Record, or nothing if the transfer is already complete.
    [[nodiscard]] std::optional<wire::ownership_record> transfer_record(const ownership::transfer_plan &plan) const;

    /// @brief Gives a transfer up.
    void abandon_transfer();

    /// @brief Starts to pass all partitions on.
    void drain();

    /// @brief Whether partitions remain that a living peer could take.
    /// @return True if the drain has to wait.
    [[nodiscard]] bool transfer_pending() const;

    /// @brief Record that withdraws this host.
    /// @return Record.
    [[nodiscard]] wire::ownership_record leave_record() const;

    /// @brief State for operators.
    /// @param now Current time.
    /// @return State.
    [[nodiscard]] host_status status(time_point now) const;

    /// @brief Audit trail.
    /// @return Latest verdicts, oldest first.
    [[nodiscard]] std::vector<config::audit_entry> history() const;

    /// @brief Items in force.
    /// @return Items.
    [[nodiscard]] std::map<config::item_key, config::versioned_item> items() const;

  private:
    void merge_effects(ownership::partition_manager_effects found, control_effects &effects) const;
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
    time_point m_direct_read{};
    bool m_ownership_read{};
    bool m_draining{};
    bool m_snapshot_due{};
};

} // namespace heathermoor::host
