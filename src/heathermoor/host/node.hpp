#pragma once

#include "heathermoor/host/control_role.hpp"
#include "heathermoor/host/dispatch_role.hpp"
#include "heathermoor/host/entry_role.hpp"
#include "heathermoor/host/messenger.hpp"
#include "heathermoor/host/owner_role.hpp"
#include "heathermoor/submission/id.hpp"
#include <atomic>
#include <mutex>

namespace heathermoor::host {

/// @brief Counters of one host since the start of the process.
struct node_counters {
    std::atomic<std::uint64_t> messages_sent{};
    std::atomic<std::uint64_t> bytes_sent{};
    std::atomic<std::uint64_t> messages_received{};
    std::atomic<std::uint64_t> submissions{};
    std::atomic<std::uint64_t> starts{};
    std::atomic<std::uint64_t> log_appends{};
};

/// @brief One entry host: connects its roles with each other and with the ports.
///
/// All functions are thread-safe. The calling thread handles each event to its end; no lock of a role is held while a port
/// is called.
class node final : private messenger, private port::target_port {
  public:
    /// @brief Creates a host that has not sent any message yet.
    /// @param options Settings of the host.
    /// @param ports Ports; what they refer to must outlive the node.
    node(settings options, const port::port_set &ports);

    /// @brief Submits a job.
    /// @param spec Job whose syntax was checked.
    /// @param done Receives the answer, possibly before this function returns.
    void submit(submission::job_spec spec, completion done);

    /// @brief Requests the state of a job, or its cancellation.
    /// @param query Job and kind of the request.
    /// @param done Receives the answer, possibly before this function returns.
    void query_job(job_query query, completion done);

    /// @brief Issues submission ids.
    /// @param count Number of ids.
    /// @return Ids whose submissions only this process admits.
    [[nodiscard]] std::vector<submission_id> mint(std::size_t count);

    /// @brief Handles a message of another host or of this one.
    /// @param message Message with its header; dropped if it is meant for another process.
    void receive(const wire::envelope &message);

    /// @brief Handles the answer of a target.
    /// @param answer Answer to a task that this host started.
    void target_answered(placement::target_answer answer);

    /// @brief Handles records that were read from the log.
    /// @param batch Records of the configuration or the ownership stream.
    void log_read(const port::log_batch &batch);

    /// @brief Handles the journal of the failure domain, or the part of it that could be read.
    /// @param records Records.
    /// @param complete Whether every record was read.
    void journal_read(const std::vector<wire::record> &records, bool complete);

    /// @brief Handles the result of an append.
    /// @param token Token of the append.
    /// @param error Failure; empty on success.
    void appended(port::append_token token, std::error_code error);

    /// @brief Replaces the platform's host list.
    /// @param hosts All listed entry hosts and targets.
    void host_list(std::vector<port::listed_host> hosts);

    /// @brief Performs everything that is due: timeouts, heartbeats, connections. Call every few milliseconds.
    void tick();

    /// @brief Starts a graceful shutdown; further calls have no effect.
    void drain();

    /// @brief Whether a graceful shutdown is complete.
    /// @return True if no job, task, request or transferable partition is left on this host.
    [[nodiscard]] bool drained() const;

    /// @brief Whether a load balancer should send callers to this host.
    /// @return False while draining or without a configuration.
    [[nodiscard]] bool ready() const;

    /// @brief Configuration in force.
    /// @return Immutable policy; never null.
    [[nodiscard]] std::shared_ptr<const config::policy> policy() const { return m_control.policy(); }

    /// @brief Role for membership, ownership and configuration.
    /// @return Reference that is valid as long as the node.
    [[nodiscard]] control_role &control() noexcept { return m_control; }

    /// @brief Role for membership, ownership and configuration.
    /// @return Reference that is valid as long as the node.
    [[nodiscard]] const control_role &control() const noexcept { return m_control; }

    /// @brief Role that admits submissions.
    /// @return Reference that is valid as long as the node.
    [[nodiscard]] const owner_role &owner() const noexcept { return m_owner; }

    /// @brief Role that runs tasks at the targets of this host.
    /// @return Reference that is valid as long as the node.
    [[nodiscard]] const dispatch_role &dispatch() const noexcept { return m_dispatch; }

    /// @brief Role that forwards callers' requests to the owners.
    /// @return Reference that is valid as long as the node.
    [[nodiscard]] const entry_role &entry() const noexcept { return m_entry; }

    /// @brief Counters of this host.
    /// @return Counters since the start of the process.
    [[nodiscard]] const node_counters &counters() const noexcept { return m_counters; }

    /// @brief Settings of this host.
    /// @return Settings as passed to the constructor.
    [[nodiscard]] const settings &options() const noexcept { return m_options; }

  private:
    void send(const host_id &to, wire::envelope message) override;
    void start(placement::start_request request) override;
    void stop(placement::stop_request request) override;
    void apply_effects(control_effects effects, time_point now);
    void append(port::log_stream stream, std::string data);
    void send_heartbeats(time_point now);

    settings m_options;
    port::port_set m_ports;
    node_counters m_counters;
    control_role m_control;
    owner_role m_owner;
    dispatch_role m_dispatch;
    entry_role m_entry;
    std::mutex m_mint_mutex;
    submission::id_generator m_id_generator;
    time_point m_started;
    std::mutex m_tick_mutex;
    time_point m_next_heartbeat{};
    std::uint64_t m_heartbeats{};
    time_point m_next_connect{};
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_reading_journal{false};
};

} // namespace heathermoor::host
