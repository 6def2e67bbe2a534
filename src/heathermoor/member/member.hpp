#pragma once

#include "heathermoor/cancellation/cancel_desk.hpp"
#include "heathermoor/cancellation/cancel_relay.hpp"
#include "heathermoor/catalog/target_catalog.hpp"
#include "heathermoor/cell/cell_plan.hpp"
#include "heathermoor/confirmation/confirmation_monitor.hpp"
#include "heathermoor/contact/peer_directory.hpp"
#include "heathermoor/contact/process_history.hpp"
#include "heathermoor/election/leader_election.hpp"
#include "heathermoor/evacuation/evacuation_state.hpp"
#include "heathermoor/gateway/gateway.hpp"
#include "heathermoor/lock/lock_client.hpp"
#include "heathermoor/lock/lock_table.hpp"
#include "heathermoor/member/lending_state.hpp"
#include "heathermoor/member/pause_guard.hpp"
#include "heathermoor/metrics/work_meter.hpp"
#include "heathermoor/pool/scheduler.hpp"
#include "heathermoor/port/ports.hpp"
#include "heathermoor/route/route_table.hpp"
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathermoor::member {

/// @brief Settings of one host of a shared pool.
struct settings {
    /// Name of the host: the address of its peer socket, as IP address and port.
    host_id self;
    failure_domain_id domain;
    incarnation process{};
    /// CPU capacity of the host, in thousandths of a core.
    std::uint32_t millicores{};
    /// Hosts to contact at startup.
    std::vector<host_id> seeds;
    /// Jobs that the own cell would refuse are lent to cells that have room.
    bool lending{};
    /// How room is kept for jobs that can't start yet.
    reservation::backfill_kind backfill{reservation::backfill_kind::none};
};

/// @brief Persists run statistics, so that they survive the loss of all hosts.
class statistics_port : public interface {
  public:
    /// @brief Stores the latest statistics. Errors are not reported, since the next write follows within seconds.
    /// @param name Key of the stored value; a later write replaces it.
    /// @param bytes Serialized statistics, as `member::restore_statistics` reads them.
    virtual void save_statistics(const std::string &name, const std::string &bytes) = 0;
};

/// @brief Receives each configuration that takes effect, from whatever source it came.
class config_listener : public interface {
  public:
    /// @brief Called after a version was applied.
    /// @param config Configuration in force; valid during the call.
    virtual void config_changed(const route::route_config &config) = 0;
};

/// @brief Ports of one host of a shared pool.
struct ports {
    port::peer_port &peers;
    pool::order_port &orders;
    gateway::caller_port &callers;
    statistics_port &store;
    port::clock_port &clock;
    /// Measures CPU time of the calling thread by kind of work.
    metrics::work_meter &work;
    config_listener &config;
};

/// @brief One host of a shared pool: gateway for its callers and candidate for leader.
///
/// State machine without I/O of its own: events are function calls, effects go through the ports.
class member final : public pool::answer_port, public gateway::scheduler_port {
  public:
    /// @brief Creates a host that knows only its seeds and is not configured.
    /// @param options Identity, capacity and seeds of the host.
    /// @param out Ports; they must outlive the host.
    member(settings options, ports out);

    /// @brief Accepts a job from a caller.
    /// @param request Token of the caller's open request.
    /// @param job Job definition.
    /// @param queue Policy of the queue that the job was sent to.
    /// @param limit Time from now until the caller stops waiting.
    void submit_job(gateway::request_token request, job::definition job, const job::queue_policy &queue, duration limit);

    /// @brief Handles a caller that closed its connection; a job without callers is cancelled.
    /// @param request Token of the caller's open request.
    void abandon(gateway::request_token request);

    /// @brief Cancels a job at the request of a caller, wherever it is; the answer comes by `caller_port::cancel_answered`.
    /// @param request Token of the caller's open request.
    /// @param id Id of the job.
    /// @param limit Time from now until the caller stops waiting.
    void cancel_job(gateway::request_token request, const job_id &id, duration limit);

    /// @brief Applies a configuration version, unless the current one is as new.
    /// @param config Complete configuration version.
    /// @param peer Host that passed it on; empty for the store.
    /// @return True if the version was applied.
    bool apply_config(route::route_config config, const host_id &peer = {});

    /// @brief Applies what the store has of the operators' requests to evacuate failure domains.
    /// @param records Requests, and records that take one back, by offset.
    /// @param next Offset after the last of the operators' records covered, of any kind.
    /// @param complete The records are a full snapshot; a request that it lacks has been taken back.
    void apply_evacuations(const std::vector<evacuation::evacuation_request> &records, log_offset next, bool complete);

    /// @brief Applies records of the platform's list of targets.
    /// @param records Records by offset.
    /// @param next Offset after the last record covered.
    /// @param complete The records are a full snapshot; entries that it lacks are removed.
    void apply_catalog(const std::vector<catalog::catalog_record> &records, log_offset next, bool complete);

    /// @brief Records that the store has confirmed a copy to be up to date.
    /// @param what Subject that was read to its end.
    /// @param as_of Time at which the copy was up to date.
    void store_confirmed(confirmation::subject what, time_point as_of);

    /// @brief Records that the store does not answer a read.
    /// @param what Subject of the read.
    /// @param why Reason.
    void store_lost(confirmation::subject what, confirmation::loss why);

    /// @brief Records the position in the store's list of hosts.
    /// @param next Offset after the last record that was passed to `add_host`.
    void hosts_read_to(log_offset next) noexcept { m_hosts_next = std::max(m_hosts_next, next); }

    /// @brief Loads persisted run statistics; ignored by a leader and after statistics were received from one.
    /// @param saved Values stored by `statistics_port::save_statistics` under all names; unreadable ones are skipped.
    void restore_statistics(const std::vector<std::string> &saved);

    /// @brief Adds another host to the directory.
    /// @param host Id of the host.
    /// @param domain Failure domain of the host; empty if unknown.
    void add_host(const host_id &host, const failure_domain_id &domain = {}) { m_contacts.add_host(host, domain); }

    /// @brief Handles a message from another host; drops it if it is meant for another process of this host, or sent by one that
    /// has been replaced.
    /// @param message Message as received.
    void received(const wire::envelope &message);

    /// @brief Handles the loss of the connection to a host.
    /// @param host Id of the host.
    void disconnected(const host_id &host);

    /// @brief Handles the response to a start order; ignored unless leading.
    /// @param answer Outcome as received.
    void start_answered(const pool::order_answer &answer);

    /// @brief Handles the response to a stop order; ignored unless leading.
    /// @param answer Outcome as received.
    void stop_answered(const pool::order_answer &answer);

    /// @brief Handles the response to a report request or probe.
    /// @param answer Outcome as received.
    void report_answered(const pool::report_answer &answer);

    /// @brief Runs periodic work: election, scheduling, heartbeats, timeouts.
    /// @param late Delay of this call behind its scheduled time; a measure of overload.
    void tick(duration late);

    /// @brief Starts a graceful stop: hands leadership to another host and finishes open jobs.
    void begin_stop();

    /// @brief Answers all open jobs, and refuses those that still come; called when the process has to end soon.
    void end_jobs();

    /// @brief Announces departure to all connected hosts. No other function may be called afterwards.
    void leave();

    /// @brief Whether this host accepts new callers.
    /// @return True if configured and not draining.
    [[nodiscard]] bool ready() const noexcept { return m_routes.configured() && !m_election.self().draining; }

    /// @brief Whether this host is the leader, which schedules its cell.
    /// @return True from the start of its term until it steps down.
    [[nodiscard]] bool leading() const noexcept { return m_leading; }

    /// @brief Current routes.
    /// @return Table; without routes before the first configuration.
    [[nodiscard]] const route::route_table &routes() const noexcept { return m_routes; }

    /// @brief Failure domains that are being evacuated, as this host knows.
    /// @return State, merged from the platform's store and from peers; its age is that of the configuration.
    [[nodiscard]] const evacuation::evacuation_state &evacuations() const noexcept { return m_evacuations; }

    /// @brief Targets that exist.
    /// @return Catalog, merged from the platform's list and from peers.
    [[nodiscard]] const catalog::target_catalog &catalog() const noexcept { return m_catalog; }

    /// @brief Gateway, which holds the open jobs of this host's callers.
    /// @return Gateway of this host.
    [[nodiscard]] const gateway::gateway &jobs() const noexcept { return m_gateway; }

    /// @brief Scheduler of this host; active only while it leads.
    /// @return Scheduler, whose state is stale on a follower.
    [[nodiscard]] const pool::scheduler &scheduler() const noexcept { return m_scheduler; }

    /// @brief Locks of the jobs that this host schedules; active only while it leads.
    /// @return Client, whose counters cover the whole life of the process.
    [[nodiscard]] const lock::lock_client &locks() const noexcept { return m_locks; }

    /// @brief Jobs that this host lends and borrows; active only while it leads.
    /// @return State, whose counters cover the whole life of the process.
    [[nodiscard]] const lending_state &lent() const noexcept { return m_lending; }

    /// @brief Leader of the cell as this host sees it.
    /// @return Leader and term; none while no leader is known.
    [[nodiscard]] const std::optional<gateway::leader_ref> &leader() const noexcept { return m_leader; }

    /// @brief Number of live hosts in the cell, as of the latest election round.
    /// @return Count, this host included.
    [[nodiscard]] std::uint32_t hosts_heard() const noexcept { return m_election.self().heard_hosts; }

    /// @brief Longest round trip of a heartbeat since the last call: the time from a heartbeat of
    /// this host until a peer's heartbeat that echoes it was handled here. Resets the value.
    /// @return Round trip; zero if no echo came.
    [[nodiscard]] duration take_oldest_echo() noexcept { return std::exchange(m_oldest_echo, duration{}); }

    /// @brief Division of the deployment into cells, as this host sees it.
    /// @return Plan; a single cell until targets are known.
    [[nodiscard]] const cell::cell_plan &cells() const noexcept { return m_cells; }

    /// @brief Time of the last answer from the platform's store.
    /// @return Monotonic time; the clock's epoch if there was none.
    [[nodiscard]] time_point store_answered_at() const noexcept { return m_store_answered; }

    /// @brief When and by whom this host's configuration, target list and host list were last confirmed.
    /// @return Monitor as of the latest tick.
    [[nodiscard]] const confirmation::confirmation_monitor &confirmations() const noexcept { return m_confirmations; }

    /// @brief When a peer last passed on a configuration version, or operators' requests, that the store had not returned yet.
    /// @return Monotonic time; empty if none did.
    [[nodiscard]] std::optional<time_point> config_from_peer_at() const noexcept { return m_config_from_peer_at; }

    /// @brief Whether a peer has read more of the store's list of hosts than this host.
    /// @return True until `hosts_read_to` catches up.
    [[nodiscard]] bool host_list_behind() const noexcept { return m_peer_hosts_next > m_hosts_next; }

    /// @brief Number of jobs in a queue of which no task has started.
    /// @param queue Queue name; an unknown one has no jobs.
    /// @return Count, on a follower up to two heartbeats old.
    [[nodiscard]] std::uint32_t waiting(const queue_id &queue) const;

    void answer(const pool::gateway_ref &to, const job_id &job, const job::answer &answer) override;
    void submit(const gateway::leader_ref &leader, pool::submission work) override;
    void cancel(const gateway::leader_ref &leader, const job_id &id) override;
    void query(const gateway::leader_ref &leader, const std::vector<job_id> &ids) override;

  private:
    /// @brief Latest heartbeat data of another host.
    struct peer_record {
        incarnation process{};
        time_point heard_at{};
        failure_domain_id domain;
        /// Number of targets in the host's failure domain, recently dropped ones included.
        std::size_t domain_targets{};
        /// Sender's clock in its latest heartbeat, echoed back in messages to it.
        std::int64_t last_sent_us{};
        leader_term term{};
        std::uint64_t config_version{};
        log_offset catalog_next{};
        /// Offset before which it knows all of the operators' requests.
        log_offset requests_next{};
        bool leading{};
    };

    /// @brief Which requests about locks are sent at once.
    enum class lock_flush : std::uint8_t {
        /// Those that a job waits for, here or in another cell.
        urgent,
        all,
    };

    [[nodiscard]] time_point now() const { return m_ports.clock.now(); }
    [[nodiscard]] process_ref self() const { return {m_settings.self, m_settings.process}; }
    /// Gateway that sent a message.
    [[nodiscard]] static pool::gateway_ref gateway_of(const wire::envelope &message);
    void send(const host_id &to, wire::envelope message);
    void send_heartbeats(time_point now);
    void fill_heartbeat(wire::pool_heartbeat &beat);
    void fill_confirmations(wire::pool_heartbeat &beat) const;
    void take_confirmations(const wire::envelope &message);
    void introduce_self(const host_id &to);
    void update_cells();
    [[nodiscard]] std::map<failure_domain_id, std::size_t> domain_sizes(time_point now) const;
    [[nodiscard]] bool in_cell(const catalog::target_entry &target) const { return m_cells.of(target.domain, target.id) == m_cell; }
    [[nodiscard]] std::set<target_id> known_targets(time_point now) const;
    void deliver_local();
    void process_pending();
    void handle(const wire::envelope &message);
    /// Time on this host's clock that a message echoes; never in the future, so that nothing counts as confirmed for longer.
    [[nodiscard]] time_point echoed_at(const wire::envelope &message) const;
    void handle_heartbeat(const wire::envelope &message);
    void handle_departure(const process_ref &sender);
    void handle_cell_heartbeat(const wire::envelope &message, bool stepped_down);
    void handle_submit(const wire::envelope &message);
    /// Handles a gateway that waits for a job no longer.
    void handle_withdrawal(const wire::envelope &message);
    /// Handles cancellings of a gateway, or confirmations for this one.
    void handle_cancels(const wire::envelope &message);
    /// Passes cancellings to the leader, and answers to callers.
    void flush_cancels();
    void tick_cancels(time_point now);
    /// Has another host of the cell remember what this leader's own callers have cancelled.
    void keep_elsewhere(const wire::pool_cancellings &cancels);
    /// Passes the cancellings of this leader's gateways to the homes of the jobs.
    void relay_cancels();
    /// Cancels jobs whose home is this cell.
    void take_cancels(const std::vector<cancellation::notice> &notices, const lock::holder_ref &from);
    /// Handles what a message about locks says of cancelled jobs.
    void handle_lock_cancels(const wire::envelope &message);
    /// Tells leaders and gateways which cancelled jobs nobody has any more.
    void confirm_cancels();
    void handle_query(const wire::envelope &message);
    void handle_answer(const wire::envelope &message);
    void handle_pull(const wire::envelope &message);
    /// Merges what a peer knows of evacuations.
    void take_evacuations(const wire::envelope &message, const wire::pool_evacuations &known);
    void fill_evacuations(wire::pool_evacuations &body) const;
    void evacuations_changed(const std::vector<evacuation::evacuation_change> &changes, std::string_view by, double age_ms);
    /// Whether this host does not know yet what is evacuated, although a peer does, or although it knows no configuration either.
    [[nodiscard]] bool uninformed(time_point now) const;
    void handle_locks(const wire::envelope &message);
    /// Sends replies to the leaders that they are for, and an answer to the sender of requests in any case.
    void answer_locks(const process_ref &sender, const std::vector<lock::addressed_reply> &replies, const wire::pool_locks &asked);
    /// Passes requests to the table of this host.
    [[nodiscard]] std::vector<lock::addressed_reply> ask_table(const lock::lock_batch &batch, const lock::holder_ref &holder);
    void send_locks(const host_id &to, const lock::lock_batch &batch);
    void send_locks(const host_id &to, wire::envelope message);
    /// This host as a holder of locks, while it leads.
    [[nodiscard]] lock::holder_ref lock_holder() const;
    void start_locks(time_point now);
    void tick_locks(time_point now);
    /// Sends what is due, and schedules, gives up and answers the jobs whose locks have been decided.
    void settle_locks(lock_flush flush);
    void release_closed();
    bool send_lock_requests(lock_flush flush);
    bool give_up_conflicts();
    bool schedule_ready();
    /// Notes what a host says of its cell: the term in which it leads, zero if it does not, and the leader that it follows.
    void note_leader_report(const wire::envelope &message, leader_term own_term, const gateway::leader_ref &followed);
    void note_cell_leader(const cell::cell_id &cell, const gateway::leader_ref &leader);
    /// Asks hosts of cells whose leader is not known, or does not answer, which one it is.
    void search_cell_leaders(time_point now);
    void ask_for_leader(const cell::cell_id &cell, time_point now);
    void handle_lending(const wire::envelope &message);
    void tick_lending(time_point now);
    /// Message to another leader, with the echo of its latest one.
    [[nodiscard]] wire::envelope lending_message(const lending::party &to);
    void send_lending(const host_id &to, wire::envelope message);
    void say_room(wire::pool_lending &reply);
    void take_loans(const wire::envelope &message, const lending::party &lender, wire::pool_lending &reply);
    /// Takes a job of another cell if there is room; returns whether it did.
    [[nodiscard]] bool borrow(const lending::party &lender, pool::submission work, lending::room_report &room);
    void take_results(const lending::party &from, const wire::pool_lending &body);
    void take_back(const lending::party &from, const job_id &id, bool explicitly);
    void lose_loans(const lending::party &to, std::string_view why);
    void check_loans(time_point now);
    void check_borrowed(time_point now);
    /// Lends or refuses the jobs that cannot start here in time.
    void place_overload(time_point now);
    [[nodiscard]] bool may_lend(const pool::overloaded_job &job) const;
    [[nodiscard]] bool lend(const pool::overloaded_job &job, time_point now);
    void send_lending_due(time_point now);
    void ask_for_room(std::map<lending::party, wire::envelope> &messages);
    /// Tells the gateways of a job that it is about to be lent; returns whether all have noted it.
    [[nodiscard]] bool announce(const pool::overloaded_job &job, time_point now);
    void send_notice(const pool::gateway_ref &to, const job_id &id);
    void handle_notice(const wire::envelope &message);
    void stop_lending();
    void decide_leader(time_point now);
    /// Time from which the present leader starts no more tasks for this host, if the host leaves it now.
    [[nodiscard]] time_point leader_starts_end_at(time_point now) const;
    [[nodiscard]] bool worth_asking(const peer_record &peer, time_point now) const;
    [[nodiscard]] bool target_list_stale(time_point now) const;
    void pull_from_peers(time_point now);
    void ask(const host_id &id, const peer_record &peer, time_point now);
    void update_targets();
    void probe_remote_targets(time_point now);
    void send_statistics(time_point now);

    settings m_settings;
    ports m_ports;
    route::route_table m_routes;
    evacuation::evacuation_state m_evacuations;
    catalog::target_catalog m_catalog;
    confirmation::confirmation_monitor m_confirmations;
    log_offset m_hosts_next{};
    /// Longest list of hosts that a peer has reported, as the offset after its last record.
    log_offset m_peer_hosts_next{};
    /// When a peer last passed on a version, or requests, that the store had not returned yet.
    std::optional<time_point> m_config_from_peer_at;
    election::leader_election m_election;
    gateway::gateway m_gateway;
    contact::peer_directory m_contacts;
    contact::process_history m_processes;
    cell::cell_plan m_cells;
    /// Cell that this host belongs to.
    cell::cell_id m_cell;
    std::uint64_t m_cells_revision{};
    time_point m_next_cell_plan{};
    /// Number of targets in the own failure domain, recently dropped ones included.
    std::size_t m_domain_targets{};
    time_point m_cells_changed_at{};
    pool::scheduler m_scheduler;
    lock::lock_client m_locks;
    lock::lock_table m_lock_table;
    lending_state m_lending;
    cancellation::cancel_desk m_cancel_desk;
    cancellation::cancel_relay m_cancel_relay;
    time_point m_next_home_search{};
    time_point m_next_leader_search{};
    /// Host of each cell that was last asked for its leader.
    std::map<cell::cell_id, host_id> m_asked_for_leader;
    std::map<host_id, peer_record> m_peers;
    std::deque<wire::envelope> m_inbox;
    std::optional<gateway::leader_ref> m_leader;
    election::claim_scope m_scope{{}, false};
    time_point m_more_heard_at{};
    duration m_oldest_echo{};
    time_point m_leading_since{};
    time_point m_next_probe{};
    time_point m_remote_reached_at{};
    std::map<queue_id, std::uint32_t> m_waiting;
    bool m_leading{};
    leader_term m_term{};
    bool m_targets_changed{};
    std::uint64_t m_targets_revision{};
    log_offset m_targets_next{};
    time_point m_next_pull{};
    /// Peer that was asked last, and how often in a row.
    host_id m_asked_peer;
    std::uint32_t m_times_asked{};
    /// Nothing is started just after a pause: a target may have restarted meanwhile.
    pause_guard m_pauses;
    time_point m_store_answered{};
    time_point m_next_statistics_send{};
    time_point m_next_statistics_save{};
    bool m_statistics_received{};
    bool m_delivering_local{};
    /// When the heartbeats that were due were last sent.
    time_point m_heartbeats_checked_at{};
};

} // namespace heathermoor::member
