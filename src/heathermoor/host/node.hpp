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

/// @brief Counters of one host for its metrics page.
struct node_counters {
    std::atomic<std::uint64_t> messages_sent{};
    std::atomic<std::uint64_t> bytes_sent{};
    std::atomic<std::uint64_t> messages_received{};
    std::atomic<std::uint64_t> submissions{};
    std::atomic<std::uint64_t> starts{};
    std::atomic<std::uint64_t> log_appends{};
};

/// @brief One entry host: its three roles, wired to the ports.
///
/// All functions may be called from any thread. Each event is handled to its
/// end by the calling thread; no lock is held while a port is called.
class node final : private messenger, private port::target_port {
  public:
    /// @brief Host that has not spoken to anyone yet.
    /// @param options Settings.
    /// @param ports Ports; must outlive the node.
    node(settings options, const port::port_set &ports);

    /// @brief Submits a job.
    /// @param spec Job whose syntax was checked.
    /// @param done Receives the answer.
    void submit(submission::job_spec spec, completion done);

    /// @brief Asks for the state of a job, or cancels it.
    /// @param query Question.
    /// @param done Receives the answer.
    void query_job(job_query query, completion done);

    /// @brief Issues submission ids.
    /// @param count Number of ids.
    /// @return Ids that only this process will run.
    [[nodiscard]] std::vector<submission_id> mint(std::size_t count);

    /// @brief Takes a message of another host or of this one.
    /// @param message Message.
    void receive(const wire::envelope &message);

    /// @brief Takes the answer of a target.
    /// @param answer Answer.
    void target_answered(placement::target_answer answer);

    /// @brief Takes what was read from the log.
    /// @param batch Records.
    void log_read(const port::log_batch &batch);

    /// @brief Takes the journal, or as much of it as could be read.
    /// @param records Records.
    /// @param complete Whether every record was read.
    void journal_read(const std::vector<wire::record> &records, bool complete);

    /// @brief Takes the result of an append.
    /// @param token Token of the append.
    /// @param error Failure, if any.
    void appended(port::append_token token, std::error_code error);

    /// @brief Takes the platform's host list.
    /// @param hosts Entry hosts and targets.
    void host_list(std::vector<port::listed_host> hosts);

    /// @brief Applies everything that is due; called every few milliseconds.
    void tick();

    /// @brief Starts a graceful shutdown.
    void drain();

    /// @brief Whether a graceful shutdown is complete.
    /// @return True if nothing is left to answer, run or pass on.
    [[nodiscard]] bool drained() const;

    /// @brief Whether callers should be sent here.
    /// @return False while draining or without configuration.
    [[nodiscard]] bool ready() const;

    /// @brief Configuration in force.
    /// @return Policy.
    [[nodiscard]] std::shared_ptr<const config::policy> policy() const { return m_control.policy(); }

    /// @brief Role that holds membership and configuration.
    /// @return Role.
    [[nodiscard]] control_role &control() noexcept { return m_control; }

    /// @brief Role that holds membership and configuration.
    /// @return Role.
    [[nodiscard]] const control_role &control() const noexcept { return m_control; }

    /// @brief Role that admits submissions.
    /// @return Role.
    [[nodiscard]] const owner_role &owner() const noexcept { return m_owner; }

    /// @brief Role that places tasks.
    /// @return Role.
    [[nodiscard]] const dispatch_role &dispatch() const noexcept { return m_dispatch; }

    /// @brief Role that forwards callers' requests.
    /// @return Role.
    [[nodiscard]] const entry_role &entry() const noexcept { return m_entry; }

    /// @brief Counters.
    /// @return Counters since the start of the process.
    [[nodiscard]] const node_counters &counters() const noexcept { return m_counters; }

    /// @brief Settings.
    /// @return Settings as given.
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
