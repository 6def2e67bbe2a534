#include "heathermoor/member/member.hpp"

#include "heathermoor/core/event.hpp"
#include "heathermoor/core/hash.hpp"
#include "heathermoor/lease/run_bounds.hpp"
#include "heathermoor/member/convert.hpp"
#include <algorithm>
#include <fmt/format.h>

namespace heathermoor::member {

namespace internal {

/// Delay before a former minority that hears more hosts again claims all targets:
/// the leader of those hosts is usually heard within it.
constexpr milliseconds scope_widening_delay{600};

/// Interval of probes to targets in other failure domains while only a minority of hosts is heard.
constexpr milliseconds probe_interval{400};

/// Targets probed in each round.
constexpr int probes_per_round = 3;

/// Time for which an answered probe counts as proof that other failure domains are reachable.
constexpr milliseconds remote_probe_validity{1'500};

/// Interval at which the leader sends its run statistics to possible successors.
constexpr milliseconds statistics_send_interval{1'000};

/// Interval at which the leader persists them in the platform's store, in case all hosts are lost.
constexpr milliseconds statistics_save_interval{5'000};

/// Time after a change of the cell plan in which runs ordered under the previous plan may still be running.
constexpr seconds cell_change_grace{3};

/// Longest time between updates of the cell plan, which also depends on the target counts that peers report.
constexpr milliseconds cell_plan_interval{500};

/// Validity of a host's report of its failure domain's target count. A host that has just
/// started counts fewer than hosts that still remember dropped targets.
constexpr seconds domain_size_validity{15};

/// Hosts that receive the statistics: enough for several successors to fail at once.
constexpr std::size_t statistics_receivers = 8;

[[nodiscard]] election::peer_state own_state(const settings &options) {
    election::peer_state state;
    state.id = options.self;
    state.domain = options.domain;
    state.process = options.process;
    state.millicores = options.millicores;
    return state;
}

} // namespace internal

member::member(settings options, ports out)
    : m_settings{std::move(options)}, m_ports{out},
      m_election{internal::own_state(m_settings), out.clock.now()}, m_gateway{self(), out.callers, *this, out.clock.now()},
      m_contacts{m_settings.self, m_settings.domain, out.peers}, m_cell{m_cells.of(m_settings.domain, m_settings.self)},
      m_scheduler{out.orders, *this, lease::token_source{hash64(m_settings.self.str())}} {
    m_election.take_part(false);
    m_scheduler.set_lending(m_settings.lending);
    m_scheduler.set_backfill(m_settings.backfill);
    for(const auto &seed: m_settings.seeds) {
        add_host(seed);
    }
}

void member::submit_job(gateway::request_token request, job::definition job, const job::queue_policy &queue, duration limit) {
    if(m_cancel_desk.bars(job.id) && !m_gateway.past(job.id)) {
        m_ports.callers.reply(request, job.id, cancellation::cancelled_answer);
        return;
    }
    m_gateway.submit(request, std::move(job), queue, limit, now());
    process_pending();
}

void member::abandon(gateway::request_token request) {
    m_cancel_desk.abandon(request);
    m_gateway.abandon(request, now());
    process_pending();
}

bool member::apply_config(route::route_config config, const host_id &peer) {
    const auto before = m_routes.configured() ? m_routes.current().version : config_version{};
    if(!m_routes.apply(std::move(config))) {
        return false;
    }
    if(!peer.empty()) {
        m_config_from_peer_at = now();
    }
    const auto by = peer.empty() ? name_of(confirmation::source::store) : std::string_view{peer.str()};
    log_event(log_level::info, "config", "config_in_force", {{"version", m_routes.current().version}, {"before", before}, {"by", by}});
    m_contacts.make_links_due();
    m_ports.config.config_changed(m_routes.current());
    return true;
}

void member::apply_catalog(const std::vector<catalog::catalog_record> &records, log_offset next, bool complete) {
    const auto at = now();
    if(complete) {
        m_catalog.begin_snapshot();
    }
    for(const auto &record: records) {
        m_catalog.apply(record, at);
    }
    if(complete) {
        m_catalog.end_snapshot(at);
    }
    m_catalog.read_to(next);
    update_cells();
    update_targets();
    process_pending();
}

void member::store_confirmed(confirmation::subject what, time_point as_of) {
    m_store_answered = now();
    m_confirmations.confirm(what, confirmation::source::store, {}, as_of, m_store_answered);
}

void member::store_lost(confirmation::subject what, confirmation::loss why) {
    m_confirmations.store_lost(what, why, now());
}

std::map<failure_domain_id, std::size_t> member::domain_sizes(time_point now) const {
    std::map<failure_domain_id, std::size_t> sizes;
    for(const auto &[id, domain]: m_catalog.known_domains()) {
        ++sizes[domain];
    }
    for(const auto &[id, peer]: m_peers) {
        if(peer.domain_targets > 0 && now - peer.heard_at < internal::domain_size_validity) {
            auto &size = sizes[peer.domain];
            size = std::max(size, peer.domain_targets);
        }
    }
    return sizes;
}

void member::update_cells() {
    const auto at = now();
    if(m_cells_revision == m_catalog.revision() && at < m_next_cell_plan) {
        return;
    }
    m_cells_revision = m_catalog.revision();
    m_next_cell_plan = at + internal::cell_plan_interval;
    const auto known = m_catalog.known_domains();
    m_domain_targets = static_cast<std::size_t>(
        std::count_if(known.begin(), known.end(), [this](const auto &item) { return item.second == m_settings.domain; }));
    m_election.take_part(!known.empty());
    cell::cell_plan plan{domain_sizes(at)};
    if(plan == m_cells) {
        return;
    }
    m_cells = std::move(plan);
    const auto earlier_cell = std::exchange(m_cell, m_cells.of(m_settings.domain, m_settings.self));
    m_cells_changed_at = at;
    m_targets_changed = true;
    m_scheduler.forget_other_schedulers();
    m_contacts.set_plan(m_cells);
    m_locks.set_cells(m_cells.all(), at);
    if(m_leading) {
        if(earlier_cell != m_cell) {
            m_locks.set_leader(earlier_cell, std::nullopt, at);
        }
        m_locks.set_leader(m_cell, gateway::leader_ref{m_settings.self, m_term}, at);
    }
    m_election.retain([this](const host_id &host) { return m_contacts.in_own_cell(host); });
    log_event(log_level::info, "member", "cells_changed",
              {{"cells", m_cells.size()}, {"cell", m_cell.domain}, {"index", m_cell.index}, {"hosts", m_election.members(at).size()}});
}

std::set<target_id> member::known_targets(time_point now) const {
    const bool all = now - m_cells_changed_at < internal::cell_change_grace;
    std::set<target_id> result;
    for(const auto &[id, domain]: m_catalog.known_domains()) {
        if(all || m_cells.of(domain, id) == m_cell) {
            result.insert(id);
        }
    }
    return result;
}

void member::update_targets() {
    if(!m_leading) {
        return;
    }
    const auto at = now();
    election::claim_scope scope{m_election.members(at), at - m_remote_reached_at < internal::remote_probe_validity};
    if(!m_targets_changed && m_targets_revision == m_catalog.revision() && m_targets_next == m_catalog.next() && scope == m_scope) {
        return;
    }
    if(!m_scope.majority() && scope.majority() && at - m_leading_since > internal::scope_widening_delay &&
       at - m_more_heard_at < internal::scope_widening_delay) {
        return;
    }
    if(!(scope == m_scope)) {
        log_event(log_level::info, "member", "scope_changed", {{"hears", m_election.self().heard_hosts}, {"majority", scope.majority()}});
    }
    m_scope = std::move(scope);
    m_targets_changed = false;
    m_targets_revision = m_catalog.revision();
    m_targets_next = m_catalog.next();
    std::vector<pool::scoped_target> targets;
    for(auto &entry: m_catalog.entries()) {
        if(in_cell(entry) && m_scope.includes(entry)) {
            const auto pause = m_scope.reclaim_delay(entry);
            targets.push_back({std::move(entry), pause});
        }
    }
    m_scheduler.set_targets(targets, known_targets(at), m_catalog.next());
}

void member::probe_remote_targets(time_point now) {
    if(!m_leading || m_scope.majority() || now < m_next_probe) {
        return;
    }
    m_next_probe = now + internal::probe_interval;
    int sent = 0;
    for(const auto &entry: m_catalog.entries()) {
        if(in_cell(entry) && entry.domain != m_settings.domain && sent < internal::probes_per_round) {
            ++sent;
            m_ports.orders.report({{entry.id, entry.address, fencing_token{0}}, pool::report_purpose::probe, {}, {}, {}});
        }
    }
}

void member::send_statistics(time_point now) {
    if(!m_leading || now < m_next_statistics_send || now - m_leading_since < internal::statistics_send_interval) {
        return;
    }
    m_next_statistics_send = now + internal::statistics_send_interval;
    wire::envelope message;
    *message.mutable_pool_learned() = to_wire(m_scheduler.learned());
    auto successors = m_election.alive(now);
    successors.resize(std::min(successors.size(), internal::statistics_receivers));
    for(const auto &host: successors) {
        send(host, message);
    }
    if(now >= m_next_statistics_save && m_scope.majority()) {
        m_next_statistics_save = now + internal::statistics_save_interval;
        m_ports.store.save_statistics(fmt::format("{}.{}", m_cell.domain.str(), m_cell.index), message.pool_learned().SerializeAsString());
    }
}

void member::restore_statistics(const std::vector<std::string> &saved) {
    if(m_statistics_received || m_leading) {
        return;
    }
    wire::pool_experience message;
    for(const auto &bytes: saved) {
        wire::pool_experience part;
        if(!part.ParseFromString(bytes)) {
            log_event(log_level::warning, "member", "experience_unreadable", {{"bytes", bytes.size()}});
            continue;
        }
        message.MergeFrom(part);
    }
    m_scheduler.restore(from_wire(message));
    log_event(log_level::info, "member", "experience_recalled", {{"queues", message.queues_size()}, {"targets", message.targets_size()}});
}

std::uint32_t member::waiting(const queue_id &queue) const {
    if(m_leading) {
        return m_scheduler.waiting(queue);
    }
    const auto found = m_waiting.find(queue);
    return found == m_waiting.end() ? 0 : found->second;
}

void member::start_answered(const pool::order_answer &answer) {
    if(m_leading) {
        m_scheduler.start_answered(answer, now());
        process_pending();
    }
}

void member::stop_answered(const pool::order_answer &answer) {
    if(m_leading) {
        m_scheduler.stop_answered(answer, now());
        process_pending();
    }
}

void member::report_answered(const pool::report_answer &answer) {
    if(answer.purpose == pool::report_purpose::probe) {
        const bool reached = answer.outcome == lease::order_outcome::done || answer.outcome == lease::order_outcome::fenced;
        m_remote_reached_at = reached ? now() : m_remote_reached_at;
        return;
    }
    if(m_leading) {
        m_scheduler.set_resuming(m_pauses.unread(now()));
        m_scheduler.report_answered(answer, now());
        process_pending();
    }
}

void member::disconnected(const host_id &host) {
    m_election.connection_lost(host);
    decide_leader(now());
    process_pending();
}

void member::decide_leader(time_point now) {
    const auto heard_before = m_election.self().heard_hosts;
    const auto chosen = m_election.decide(now);
    if(m_election.self().heard_hosts > heard_before) {
        m_more_heard_at = now;
    }
    const bool lead = chosen && *chosen == m_settings.self;
    if(lead && !m_leading) {
        // The wall clock keeps the terms of successive processes apart; within a process it may step back.
        m_term = leader_term{std::max(static_cast<std::uint64_t>(m_ports.clock.unix_now().count()), raw(m_term) + 1)};
        m_leading = true;
        m_leading_since = now;
        m_targets_changed = true;
        m_scheduler.set_uninformed(uninformed(now));
        log_event(log_level::info, "member", "lead_taken", {{"term", m_term}, {"hears", m_election.self().heard_hosts}});
        update_targets();
        start_locks(now);
        m_contacts.make_cell_due();
    } else if(!lead && m_leading) {
        log_event(log_level::info, "member", "lead_given_up", {{"term", m_term}, {"follows", chosen ? *chosen : host_id{}}});
        m_leading = false;
        m_scheduler.resign();
        m_locks.clear();
        stop_lending();
        m_cancel_relay.clear();
        m_contacts.make_cell_due();
    }
    std::optional<gateway::leader_ref> leader;
    if(lead) {
        leader = gateway::leader_ref{m_settings.self, m_term};
    } else if(chosen) {
        const auto peer = m_peers.find(*chosen);
        if(peer != m_peers.end()) {
            leader = gateway::leader_ref{*chosen, peer->second.term};
        }
    }
    if(leader != m_leader) {
        log_event(
            log_level::info, "member", "leader_changed",
            {{"leader", leader ? leader->host : host_id{}}, {"term", leader ? leader->term : leader_term{}}, {"jobs", m_gateway.size()}});
        const auto earlier_starts_end_at = leader_starts_end_at(now);
        m_leader = leader;
        m_contacts.make_cell_due();
        m_cancel_desk.leader_changed();
        flush_cancels();
        m_gateway.set_leader(leader, earlier_starts_end_at, now);
    }
}

time_point member::leader_starts_end_at(time_point now) const {
    if(!m_leader || m_leader->host == m_settings.self) {
        return now;
    }
    const auto peer = m_peers.find(m_leader->host);
    const bool resigned = peer == m_peers.end() || !peer->second.leading || peer->second.term != m_leader->term;
    return resigned ? now : peer->second.heard_at + lease::host_confirmation_time;
}

void member::tick(duration late) {
    const auto at = now();
    m_pauses.ticked(at);
    auto &lag = m_election.self().timer_lag;
    lag = std::max(late, lag * 9 / 10);
    (void)m_catalog.expire(at);
    m_confirmations.expire(at, !m_leading);
    update_cells();
    decide_leader(at);
    update_targets();
    probe_remote_targets(at);
    m_gateway.tick(at);
    tick_cancels(at);
    if(m_leading) {
        m_scheduler.confirm_gateway(m_gateway.self(), at + lease::host_confirmation_time);
        const metrics::work_meter::span work{m_ports.work, metrics::work_part::holding};
        m_scheduler.set_resuming(m_pauses.unread(at));
        m_scheduler.set_uninformed(uninformed(at));
        m_scheduler.tick(at, m_ports.clock.unix_now());
        tick_locks(at);
        tick_lending(at);
        send_statistics(at);
    }
    pull_from_peers(at);
    send_heartbeats(at);
    process_pending();
}

void member::begin_stop() {
    m_election.self().draining = true;
    decide_leader(now());
    m_contacts.make_cell_due();
    send_heartbeats(now());
    process_pending();
}

void member::end_jobs() {
    m_gateway.end_all(now());
    m_cancel_desk.end_all();
    flush_cancels();
    process_pending();
}

} // namespace heathermoor::member
