#pragma once

#include "heathermoor/host/control_role.hpp"
#include "heathermoor/host/messenger.hpp"
#include "heathermoor/placement/retry_budget.hpp"
#include "heathermoor/submission/owner_table.hpp"
#include <array>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace heathermoor::host {

/// @brief Ids that other hosts admitted, as this host was asked to remember.
struct witnessed_id {
    std::uint64_t key{};
    time_point at;
};

/// @brief Admits submissions, records them and assembles their answers.
///
/// An id of a partition may start only after a peer of the failure domain or
/// the journal holds it, so that the next owner can tell whether it ran.
class owner_role {
  public:
    /// @brief Role without submissions.
    /// @param options Settings of the host.
    /// @param control Ownership, leases and load.
    /// @param ports Log and clock.
    /// @param out Sends messages.
    owner_role(const settings &options, control_role &control, const port::port_set &ports, messenger &out);

    /// @brief Takes a submission, directly or from another host.
    /// @param message Message that holds it.
    /// @param now Current time.
    void submit(const wire::envelope &message, time_point now);

    /// @brief Answers a question about a job.
    /// @param message Message that holds it.
    /// @param now Current time.
    void find(const wire::envelope &message, time_point now);

    /// @brief Takes results from a dispatcher host.
    /// @param message Message that holds them.
    /// @param now Current time.
    void placed(const wire::envelope &message, time_point now);

    /// @brief Remembers ids for another owner.
    /// @param message Message that holds them.
    /// @param now Current time.
    void handle_witness(const wire::envelope &message, time_point now);

    /// @brief Starts jobs whose ids a peer now remembers.
    /// @param message Message that names them.
    /// @param now Current time.
    void handle_witness_ack(const wire::envelope &message, time_point now);

    /// @brief Returns remembered ids to a claimant and fences the previous owner.
    /// @param message Message that names the partitions.
    void handle_recall(const wire::envelope &message);

    /// @brief Takes remembered ids from a peer.
    /// @param message Message that holds them.
    /// @param now Current time.
    void handle_recall_reply(const wire::envelope &message, time_point now);

    /// @brief Takes ids that this host itself remembers for a lost owner.
    /// @param partitions Partitions that the owner held.
    /// @param now Current time.
    void reject_witnessed_ids(const std::vector<partition_id> &partitions, time_point now);

    /// @brief Takes the ids of journal records.
    /// @param records Records.
    /// @param now Current time.
    void journal_read(const std::vector<wire::record> &records, time_point now);

    /// @brief Sends the table of partitions to their next owner.
    /// @param plan Transfer.
    /// @param now Current time.
    void transfer(const ownership::transfer_plan &plan, time_point now);

    /// @brief Takes a table from the previous owner.
    /// @param message Message that holds it.
    /// @param now Current time.
    void handle_transfer_table(const wire::envelope &message, time_point now);

    /// @brief Completes a transfer whose table arrived.
    /// @param message Message that acknowledges it.
    /// @param now Current time.
    void handle_transfer_ack(const wire::envelope &message, time_point now);

    /// @brief Takes the result of an append that this role asked for.
    /// @param token Token of the append.
    /// @param error Failure, if any.
    /// @param now Current time.
    /// @return False if the token is not of this role.
    bool appended(port::append_token token, std::error_code error, time_point now);

    /// @brief Gives up what a lost host was doing.
    /// @param host Host.
    /// @param now Current time.
    void host_lost(const host_id &host, time_point now);

    /// @brief Applies deadlines, falls back to the journal and writes it.
    /// @param now Current time.
    void tick(time_point now);

    /// @brief Number of jobs without an answer.
    /// @return Jobs.
    [[nodiscard]] std::size_t running() const;

    /// @brief Number of submissions known.
    /// @return Submissions.
    [[nodiscard]] std::size_t size() const;

    /// @brief Bytes held in the tables.
    /// @return Bytes.
    [[nodiscard]] std::size_t bytes() const;

  private:
    struct shard {
        explicit shard(const submission::owner_table_settings &options, std::uint64_t first_handle) : table{options, first_handle} {}
        mutable std::mutex mutex;
        submission::owner_table table;
    };

    struct pending_record {
        std::uint64_t key{};
        partition_id partition{};
        time_point asked;
        bool in_journal{};
    };

    struct transfer_state {
        ownership::transfer_plan plan;
        std::uint64_t serial{};
        time_point sent;
        bool acknowledged{};
        time_point append_at;
    };

    [[nodiscard]] shard &shard_of_key(std::uint64_t key) const;
    [[nodiscard]] shard &shard_of(const customer_id &customer, const submission_id &id) const;
    [[nodiscard]] shard &shard_of(job_handle job) const;
    [[nodiscard]] bool accepts(const submission::parsed_id &place, time_point now) const;
    [[nodiscard]] submission::admission make_admission(const submission::job_spec &spec, const submission::parsed_id &place,
                                                       time_point now) const;
    [[nodiscard]] bool expired(const submission::parsed_id &place) const;
    void reply_not_owner(const wire::envelope &message);
    void apply_effects(shard &part, submission::owner_effects effects, time_point now);
    void send_answers(std::vector<submission::answer> &answers);
    void send_settled(const std::vector<submission::settled_job> &settled);
    void record(const std::vector<submission::record_request> &records, time_point now);
    void place_tasks(shard &part, const std::vector<submission::placement_request> &requests, time_point now);
    void start_recorded(const std::vector<job_handle> &jobs, time_point now);
    void fail_unrecorded(const std::vector<job_handle> &jobs, time_point now);
    void add_rejected_key(std::uint64_t key, time_point now);
    void flush_journal(time_point now);
    void advance_transfer(time_point now);
    void fall_back_to_journal(time_point now);

    const settings &m_options;
    control_role &m_control;
    port::port_set m_ports;
    messenger &m_out;
    std::vector<std::unique_ptr<shard>> m_shards;

    std::mutex m_record_mutex;
    std::unordered_map<std::uint64_t, pending_record> m_pending_records;
    std::vector<submission::record_request> m_journal_batch;
    /// What an append in flight holds, by its token.
    std::unordered_map<std::uint64_t, std::vector<submission::record_request>> m_inflight_appends;
    std::uint64_t m_next_token{};
    time_point m_journal_due{};
    bool m_journal_urgent{};

    std::mutex m_witness_mutex;
    std::array<std::vector<witnessed_id>, submission::partition_count> m_witnessed_ids;
    std::array<std::uint64_t, submission::partition_count> m_fences{};

    std::mutex m_transfer_mutex;
    std::optional<transfer_state> m_transfer;
    std::uint64_t m_next_serial{1};
    std::map<std::pair<host_id, std::uint64_t>, std::uint64_t> m_received;

    std::mutex m_retry_mutex;
    placement::retry_budget m_retries;
    time_point m_started;
};

} // namespace heathermoor::host
