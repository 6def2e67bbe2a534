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

/// @brief Id that another host admitted and for which this host is the witness.
struct witnessed_id {
    /// Submission key.
    std::uint64_t key{};
    /// Own monotonic time at which the id was recorded.
    time_point at;
};

/// @brief Admits submissions, records their ids, places their tasks and assembles their answers.
///
/// The job of a partition's id starts only after a witness, that is a peer of the failure domain, or the journal has
/// recorded the id, so that the next owner can tell whether it ran. Submissions are spread over shards, each with its own
/// lock and table. All public functions are thread-safe.
class owner_role {
  public:
    /// @brief Creates a role without submissions.
    /// @param options Settings of the host; must outlive the role.
    /// @param control Ownership, lease and loads; must outlive the role.
    /// @param ports Log and clock; what they refer to must outlive the role.
    /// @param out Sends messages; must outlive the role.
    owner_role(const settings &options, control_role &control, const port::port_set &ports, messenger &out);

    /// @brief Handles a submission from an entry role of this or another host.
    /// @param message Message with the submission; answered with `not_owner` if this host may not admit it.
    /// @param now Monotonic time of receipt.
    void submit(const wire::envelope &message, time_point now);

    /// @brief Handles a request for the state of a job, or for its cancellation.
    /// @param message Message with the request; answered with `not_owner` if this host may not answer it.
    /// @param now Monotonic time of receipt.
    void find(const wire::envelope &message, time_point now);

    /// @brief Handles task results of a dispatcher host and decides about retries.
    /// @param message Message with the results of one job.
    /// @param now Monotonic time of receipt.
    void placed(const wire::envelope &message, time_point now);

    /// @brief Records ids as witness of another owner; refuses those of an owner that has been fenced off.
    /// @param message Message with the ids, their partitions and epochs.
    /// @param now Monotonic time of receipt.
    void handle_witness(const wire::envelope &message, time_point now);

    /// @brief Starts the jobs whose ids a witness has recorded.
    /// @param message Message that names the jobs.
    /// @param now Monotonic time of receipt.
    void handle_witness_ack(const wire::envelope &message, time_point now);

    /// @brief Returns the witnessed ids of partitions to their claimant and fences off the previous owner.
    /// @param message Message that names the partitions and the epoch of the claim.
    void handle_recall(const wire::envelope &message);

    /// @brief Marks ids that a witness returned as admitted before, so that they do not run again.
    /// @param message Message with the keys and the epoch of the claim.
    /// @param now Monotonic time of receipt.
    void handle_recall_reply(const wire::envelope &message, time_point now);

    /// @brief Fences off a lost owner and marks the ids that this host witnessed for it as admitted before.
    /// @param partitions Partitions that this host claimed from the owner.
    /// @param now Monotonic time.
    void reject_witnessed_ids(const std::vector<partition_id> &partitions, time_point now);

    /// @brief Marks the ids of journal records as admitted before.
    /// @param records Records; those of this process and those that cannot be parsed are skipped.
    /// @param now Monotonic time.
    void journal_read(const std::vector<wire::record> &records, time_point now);

    /// @brief Sends all submissions of partitions to their next owner.
    /// @param plan Transfer; replaces one that is in progress.
    /// @param now Monotonic time; the acknowledgement is due within a timeout from here.
    void transfer(const ownership::transfer_plan &plan, time_point now);

    /// @brief Imports entries of a table from the previous owner and acknowledges the table once it is complete.
    /// @param message Part of a table, or single entries that finished after it was sent (serial 0).
    /// @param now Monotonic time of receipt.
    void handle_transfer_table(const wire::envelope &message, time_point now);

    /// @brief Appends the record that completes a transfer whose table arrived.
    /// @param message Message that acknowledges the table; ignored unless it names the transfer in progress.
    /// @param now Monotonic time of receipt.
    void handle_transfer_ack(const wire::envelope &message, time_point now);

    /// @brief Handles the result of a journal append: starts the recorded jobs, or refuses them after a failure.
    /// @param token Token of the append.
    /// @param error Failure; empty on success.
    /// @param now Monotonic time.
    /// @return False if this role did not request the append.
    bool appended(port::append_token token, std::error_code error, time_point now);

    /// @brief Ends the tasks that were placed on a lost host and the running entries that were imported from it.
    /// @param host Lost host.
    /// @param now Monotonic time.
    void host_lost(const host_id &host, time_point now);

    /// @brief Applies deadlines, turns to the journal where a witness does not answer, writes the journal, advances the
    /// transfer and drops witnessed ids that are older than the retention time.
    /// @param now Monotonic time.
    void tick(time_point now);

    /// @brief Number of jobs without an outcome.
    /// @return Sum over all shards.
    [[nodiscard]] std::size_t running() const;

    /// @brief Number of submissions in the tables.
    /// @return Sum over all shards.
    [[nodiscard]] std::size_t size() const;

    /// @brief Memory accounted to the tables.
    /// @return Bytes, as the sum over all shards.
    [[nodiscard]] std::size_t bytes() const;

  private:
    struct shard {
        explicit shard(const submission::owner_table_settings &options, std::uint64_t first_handle) : table{options, first_handle} {}
        mutable std::mutex mutex;
        submission::owner_table table;
    };

    /// Id whose job waits until a witness or the journal has recorded it.
    struct pending_record {
        std::uint64_t key{};
        partition_id partition{};
        /// Time at which the record was requested.
        time_point asked;
        /// Whether the id was handed to the journal.
        bool in_journal{};
    };

    struct transfer_state {
        ownership::transfer_plan plan;
        std::uint64_t serial{};
        time_point sent;
        bool acknowledged{};
        /// Time at which the record of the transfer is appended, or appended again.
        time_point append_at;
    };

    [[nodiscard]] shard &shard_of_key(std::uint64_t key) const;
    [[nodiscard]] shard &shard_of(const customer_id &customer, const submission_id &id) const;
    [[nodiscard]] shard &shard_of(job_handle job) const;
    [[nodiscard]] bool accepts(const submission::parsed_id &parsed, time_point now) const;
    [[nodiscard]] submission::admission make_admission(const submission::job_spec &spec, const submission::parsed_id &parsed,
                                                       time_point now) const;
    [[nodiscard]] bool expired(const submission::parsed_id &parsed) const;
    void reply_not_owner(const wire::envelope &message);
    void apply_effects(shard &table_shard, submission::owner_effects effects, time_point now);
    void send_answers(std::vector<submission::answer> &answers);
    void send_settled(const std::vector<submission::settled_job> &settled);
    void record(const std::vector<submission::record_request> &records, time_point now);
    void place_tasks(shard &table_shard, const std::vector<submission::placement_request> &requests, time_point now);
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
    /// Ids in the journal append in flight, by its token; at most one entry.
    std::unordered_map<std::uint64_t, std::vector<submission::record_request>> m_inflight_appends;
    std::uint64_t m_next_token{};
    time_point m_journal_due{};
    bool m_journal_urgent{};

    std::mutex m_witness_mutex;
    std::array<std::vector<witnessed_id>, submission::partition_count> m_witnessed_ids;
    /// Lowest epoch whose owner may still have ids recorded here, for each partition.
    std::array<std::uint64_t, submission::partition_count> m_fences{};

    std::mutex m_transfer_mutex;
    std::optional<transfer_state> m_transfer;
    std::uint64_t m_next_serial{1};
    /// Number of entries and keys received of each incoming table, by sender and serial.
    std::map<std::pair<host_id, std::uint64_t>, std::uint64_t> m_received;

    std::mutex m_retry_mutex;
    placement::retry_budget m_retries;
    time_point m_started;
};

} // namespace heathermoor::host
