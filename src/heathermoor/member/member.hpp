#pragma once

#include "heathermoor/catalog/target_catalog.hpp"
#include "heathermoor/cell/cell_plan.hpp"
#include "heathermoor/contact/peer_directory.hpp"
#include "heathermoor/election/leader_election.hpp"
#include "heathermoor/gateway/gateway.hpp"
#include "heathermoor/metrics/work_meter.hpp"
#include "heathermoor/pool/scheduler.hpp"
#include "heathermoor/port/ports.hpp"
#include "heathermoor/route/route_table.hpp"
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace heathermoor::member {

/// @brief Settings of one host of a shared pool.
struct settings {
    /// Name of the host: the address of its peer socket, as IP address and port.
    host_id self;
    failure_domain_id domain;
    incarnation process{};
    /// Processor of the host, in thousandths of a core.
    std::uint32_t millicores{};
    /// Peers known at the start.
    std::vector<host_id> seeds;
};

/// @brief Keeps what the pool has learned beyond the loss of all hosts.
class statistics_port : public interface {
  public:
    /// @brief Keeps the newest experience; may fail without a word, since the next one follows soon.
    /// @param name Name under which it replaces what was kept before.
    /// @param bytes Experience, to be given to `member::restore_statistics` by later processes.
    virtual void save_statistics(const std::string &name, const std::string &bytes) = 0;
};

/// @brief Ports of one host of a shared pool.
struct ports {
    port::peer_port &peers;
    pool::order_port &orders;
    gateway::caller_port &callers;
    statistics_port &store;
    port::clock_port &clock;
    /// Accounts for the processor time of the thread that calls the host.
    metrics::work_meter &work;
};

/// @brief One host of a shared pool: gateway of its callers, candidate for the lead.
///
/// Pure state machine: events come in by its functions, effects go out by its ports.
class member final : public pool::answer_port, public gateway::scheduler_port {
  public:
    /// @brief Host that has heard nothing yet.
    /// @param options Settings.
    /// @param out Ports.
    member(settings options, ports out);

    /// @brief Takes a caller's job.
    /// @param request Caller's request.
    /// @param job Job.
    /// @param queue Rules of its queue.
    /// @param limit Time until the caller stops waiting.
    void submit_job(gateway::request_token request, job::definition job, const job::queue_policy &queue, duration limit);

    /// @brief Notes that a caller has closed its connection.
    /// @param request Caller's request.
    void abandon(gateway::request_token request);

    /// @brief Ends a job at its caller's word.
    /// @param id Job.
    /// @return False if there is no such job here.
    bool cancel_job(const job_id &id);

    /// @brief Takes over a version of the configuration.
    /// @param config Version.
    /// @return True if it is in force now.
    bool apply_config(route::route_config config);

    /// @brief Takes over records of the platform's list of targets.
    /// @param records Records in order.
    /// @param next Offset of the next record to read.
    /// @param complete The records are all of the list, not a part.
    void apply_catalog(const std::vector<catalog::catalog_record> &records, log_offset next, bool complete);

    /// @brief Notes whether the platform's store answers this host.
    /// @param reachable True after an answer.
    void store_reachable(bool reachable);

    /// @brief Takes over what earlier processes have kept; ignored once something newer is known.
    /// @param kept Experience as it was given to `statistics_port::save_statistics`, of all names.
    void restore_statistics(const std::vector<std::string> &kept);

    /// @brief Learns of another host.
    /// @param host Host.
    /// @param domain Its failure domain; empty if it is not known.
    void add_host(const host_id &host, const failure_domain_id &domain = {}) { m_contacts.add_host(host, domain); }

    /// @brief Handles a message of another host.
    /// @param message Message.
    void received(const wire::envelope &message);

    /// @brief Notes that the connection to a host has ended.
    /// @param host Host.
    void disconnected(const host_id &host);

    /// @brief Handles the answer to a start.
    /// @param answer Answer.
    void start_answered(const pool::order_answer &answer);

    /// @brief Handles the answer to a stop.
    /// @param answer Answer.
    void stop_answered(const pool::order_answer &answer);

    /// @brief Handles a report.
    /// @param answer Answer.
    void report_answered(const pool::report_answer &answer);

    /// @brief Does what is due.
    /// @param late Delay of this call behind its plan.
    void tick(duration late);

    /// @brief Begins a graceful stop: the lead passes on, open jobs are finished.
    void begin_stop();

    /// @brief Says goodbye to the other hosts; the last call.
    void leave();

    /// @brief Whether new callers should come here.
    /// @return True if configured and not stopping.
    [[nodiscard]] bool ready() const noexcept { return m_routes.configured() && !m_election.self().draining; }

    /// @brief Whether this host schedules the pool.
    /// @return True while it leads.
    [[nodiscard]] bool leading() const noexcept { return m_leading; }

    /// @brief Routes in force.
    /// @return Table.
    [[nodiscard]] const route::route_table &routes() const noexcept { return m_routes; }

    /// @brief Targets in existence.
    /// @return Catalog.
    [[nodiscard]] const catalog::target_catalog &catalog() const noexcept { return m_catalog; }

    /// @brief Jobs of this host's callers.
    /// @return Gateway.
    [[nodiscard]] const gateway::gateway &jobs() const noexcept { return m_gateway; }

    /// @brief Scheduler of this host, in use while it leads.
    /// @return Scheduler.
    [[nodiscard]] const pool::scheduler &scheduler() const noexcept { return m_scheduler; }

    /// @brief Leader as this host sees it.
    /// @return Leader and term.
    [[nodiscard]] const std::optional<gateway::leader_ref> &leader() const noexcept { return m_leader; }

    /// @brief Hosts that are heard.
    /// @return Number, this host included.
    [[nodiscard]] std::uint32_t hosts_heard() const noexcept { return m_election.self().hears; }

    /// @brief Age of the oldest echo in a heartbeat since the last call: the time from a heartbeat of
    /// this host until the answer to it was handled here.
    /// @return Age; zero if there was none.
    [[nodiscard]] duration take_oldest_echo() noexcept { return std::exchange(m_oldest_echo, duration{}); }

    /// @brief How the deployment is divided, as this host sees it.
    /// @return Plan.
    [[nodiscard]] const cell::cell_plan &cells() const noexcept { return m_cells; }

    /// @brief When the platform's store last answered this host.
    /// @return Time; the clock's start if it never has.
    [[nodiscard]] time_point store_answered_at() const noexcept { return m_store_answered; }

    /// @brief Jobs of a queue of which nothing has started.
    /// @param queue Queue.
    /// @return Number, up to two heartbeats old.
    [[nodiscard]] std::uint32_t waiting(const queue_id &queue) const;

    void answer(const host_id &to, const job_id &job, const job::answer &answer) override;
    void submit(const gateway::leader_ref &leader, pool::submission work) override;
    void cancel(const gateway::leader_ref &leader, const job_id &id) override;
    void query(const gateway::leader_ref &leader, const std::vector<job_id> &ids) override;

  private:
    /// @brief What is known of another host.
    struct peer_record {
        incarnation process{};
        time_point heard_at{};
        failure_domain_id domain;
        /// Targets of that failure domain that the host knows or remembers.
        std::size_t domain_targets{};
        /// Sender's clock in its latest message.
        std::int64_t last_sent_us{};
        leader_term term{};
        std::uint64_t config_version{};
        log_offset catalog_next{};
        bool leading{};
    };

    [[nodiscard]] time_point now() const { return m_ports.clock.now(); }
    void send(const host_id &to, wire::envelope message);
    void beat(time_point now);
    void fill_heartbeat(wire::pool_heartbeat &beat);
    void introduce(const host_id &to);
    void update_cells();
    [[nodiscard]] std::map<failure_domain_id, std::size_t> domain_sizes(time_point now) const;
    [[nodiscard]] bool in_cell(const catalog::target_entry &target) const { return m_cells.of(target.domain, target.id) == m_cell; }
    [[nodiscard]] std::set<target_id> known_targets(time_point now) const;
    void drain_inbox();
    void settle();
    void handle(const wire::envelope &message);
    void handle_heartbeat(const wire::envelope &message);
    void handle_neighbour(const wire::envelope &message, bool gave_up);
    void handle_submit(const wire::envelope &message);
    void handle_query(const wire::envelope &message);
    void handle_answer(const wire::envelope &message);
    void handle_pull(const wire::envelope &message);
    void decide_leader(time_point now);
    void pull_from_peers(time_point now);
    void update_targets();
    void probe_far_targets(time_point now);
    void pass_experience_on(time_point now);

    settings m_settings;
    ports m_ports;
    route::route_table m_routes;
    catalog::target_catalog m_catalog;
    election::leader_election m_election;
    gateway::gateway m_gateway;
    contact::peer_directory m_contacts;
    cell::cell_plan m_cells;
    /// Cell of this host.
    cell::cell_id m_cell;
    std::uint64_t m_cells_revision{};
    time_point m_next_division{};
    /// Targets of the own failure domain that this host knows or remembers.
    std::size_t m_domain_targets{};
    time_point m_cells_changed_at{};
    pool::scheduler m_scheduler;
    std::map<host_id, peer_record> m_peers;
    std::deque<wire::envelope> m_inbox;
    std::optional<gateway::leader_ref> m_leader;
    election::claim_scope m_scope{{}, false};
    time_point m_heard_more_at{};
    duration m_oldest_echo{};
    time_point m_leading_since{};
    time_point m_next_probe{};
    time_point m_far_reached_at{};
    std::map<queue_id, std::uint32_t> m_waiting;
    bool m_leading{};
    leader_term m_term{};
    bool m_targets_due{};
    std::uint64_t m_targets_revision{};
    log_offset m_targets_next{};
    time_point m_next_pull{};
    time_point m_store_answered{};
    time_point m_next_experience{};
    time_point m_next_keep{};
    bool m_experienced{};
    bool m_draining_inbox{};
};

} // namespace heathermoor::member
