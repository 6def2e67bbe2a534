#include "heathermoor/member/member.hpp"

#include "heathermoor/core/event.hpp"
#include "heathermoor/core/hash.hpp"
#include "heathermoor/member/convert.hpp"
#include "heathermoor/member/policy.hpp"
#include <algorithm>
#include <fmt/format.h>

namespace heathermoor::member {

namespace internal {

/// Time for which a minority that hears more hosts again waits before it holds
/// all targets: their scheduler is about to be heard.
constexpr milliseconds widen_time{600};

/// Time between probes of targets in other failure domains, while most hosts are not heard.
constexpr milliseconds probe_interval{400};

/// Targets probed at once.
constexpr int probes_at_once = 3;

/// Time for which an answered probe shows that other failure domains can be reached.
constexpr milliseconds far_reach_time{1'500};

/// Time between messages with the leader's experience to the hosts that may succeed it.
constexpr milliseconds experience_interval{1'000};

/// Time between records of it in the platform's store, for the case that all hosts are lost.
constexpr milliseconds keep_interval{5'000};

/// Time after another division into cells in which runs ordered under the former one may be at work.
constexpr seconds cell_change_time{3};

/// Time between looks at what other hosts say of the number of targets.
constexpr milliseconds division_interval{500};

/// Time for which a host's word on the number of targets of its failure domain counts. A host
/// that has just started knows fewer than those that remember the ones that are gone.
constexpr seconds division_memory{15};

/// Hosts that get it: enough for several successors to be lost at once.
constexpr std::size_t experienced_hosts = 8;

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
      m_election{internal::own_state(m_settings), out.clock.now()}, m_gateway{m_settings.self, out.callers, *this, out.clock.now()},
      m_contacts{m_settings.self, m_settings.domain, out.peers}, m_cell{m_cells.of(m_settings.domain, m_settings.self)},
      m_scheduler{out.orders, *this, lease::token_source{hash64(m_settings.self.str())}} {
    m_election.take_part(false);
    for(const auto &seed: m_settings.seeds) {
        add_host(seed);
    }
}

void member::submit_job(gateway::request_token request, job::definition job, const job::queue_policy &queue, duration limit) {
    m_gateway.submit(request, std::move(job), queue, limit, now());
    settle();
}

void member::abandon(gateway::request_token request) {
    m_gateway.abandon(request, now());
    settle();
}

bool member::cancel_job(const job_id &id) {
    const bool known = m_gateway.cancel(id, now());
    settle();
    return known;
}

bool member::apply_config(route::route_config config) {
    return m_routes.apply(std::move(config));
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
    settle();
}

void member::store_reachable(bool reachable) {
    if(reachable) {
        m_store_answered = now();
    }
}

std::map<failure_domain_id, std::size_t> member::domain_sizes(time_point now) const {
    std::map<failure_domain_id, std::size_t> sizes;
    for(const auto &[id, domain]: m_catalog.known_domains()) {
        ++sizes[domain];
    }
    for(const auto &[id, peer]: m_peers) {
        if(peer.domain_targets > 0 && now - peer.heard_at < internal::division_memory) {
            auto &size = sizes[peer.domain];
            size = std::max(size, peer.domain_targets);
        }
    }
    return sizes;
}

void member::update_cells() {
    const auto at = now();
    if(m_cells_revision == m_catalog.revision() && at < m_next_division) {
        return;
    }
    m_cells_revision = m_catalog.revision();
    m_next_division = at + internal::division_interval;
    const auto known = m_catalog.known_domains();
    m_domain_targets = static_cast<std::size_t>(
        std::count_if(known.begin(), known.end(), [this](const auto &item) { return item.second == m_settings.domain; }));
    m_election.take_part(!known.empty());
    cell::cell_plan plan{domain_sizes(at)};
    if(plan == m_cells) {
        return;
    }
    m_cells = std::move(plan);
    m_cell = m_cells.of(m_settings.domain, m_settings.self);
    m_cells_changed_at = at;
    m_targets_due = true;
    m_scheduler.forget_other_schedulers();
    m_contacts.set_plan(m_cells);
    m_election.retain([this](const host_id &host) { return m_contacts.in_own_cell(host); });
    log_event(log_level::info, "member", "cells_changed",
              {{"cells", m_cells.size()}, {"cell", m_cell.domain}, {"index", m_cell.index}, {"hosts", m_election.members(at).size()}});
}

std::set<target_id> member::known_targets(time_point now) const {
    const bool all = now - m_cells_changed_at < internal::cell_change_time;
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
    election::claim_scope scope{m_election.members(at), at - m_far_reached_at < internal::far_reach_time};
    if(!m_targets_due && m_targets_revision == m_catalog.revision() && m_targets_next == m_catalog.next() && scope == m_scope) {
        return;
    }
    if(!m_scope.majority() && scope.majority() && at - m_leading_since > internal::widen_time &&
       at - m_heard_more_at < internal::widen_time) {
        return;
    }
    if(!(scope == m_scope)) {
        log_event(log_level::info, "member", "scope_changed", {{"hears", m_election.self().hears}, {"majority", scope.majority()}});
    }
    m_scope = std::move(scope);
    m_targets_due = false;
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

void member::probe_far_targets(time_point now) {
    if(!m_leading || m_scope.majority() || now < m_next_probe) {
        return;
    }
    m_next_probe = now + internal::probe_interval;
    int sent = 0;
    for(const auto &entry: m_catalog.entries()) {
        if(in_cell(entry) && entry.domain != m_settings.domain && sent < internal::probes_at_once) {
            ++sent;
            m_ports.orders.report({{entry.id, entry.address, fencing_token{0}}, pool::report_purpose::probe, {}, {}, {}});
        }
    }
}

void member::pass_experience_on(time_point now) {
    if(!m_leading || now < m_next_experience || now - m_leading_since < internal::experience_interval) {
        return;
    }
    m_next_experience = now + internal::experience_interval;
    wire::envelope message;
    *message.mutable_pool_learned() = to_wire(m_scheduler.learned());
    auto successors = m_election.alive(now);
    successors.resize(std::min(successors.size(), internal::experienced_hosts));
    for(const auto &host: successors) {
        send(host, message);
    }
    if(now >= m_next_keep && m_scope.majority()) {
        m_next_keep = now + internal::keep_interval;
        m_ports.store.save_statistics(fmt::format("{}.{}", m_cell.domain.str(), m_cell.index), message.pool_learned().SerializeAsString());
    }
}

void member::restore_statistics(const std::vector<std::string> &kept) {
    if(m_experienced || m_leading) {
        return;
    }
    wire::pool_experience message;
    for(const auto &bytes: kept) {
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
        settle();
    }
}

void member::stop_answered(const pool::order_answer &answer) {
    if(m_leading) {
        m_scheduler.stop_answered(answer, now());
        settle();
    }
}

void member::report_answered(const pool::report_answer &answer) {
    if(answer.purpose == pool::report_purpose::probe) {
        const bool reached = answer.outcome == lease::order_outcome::done || answer.outcome == lease::order_outcome::fenced;
        m_far_reached_at = reached ? now() : m_far_reached_at;
        return;
    }
    if(m_leading) {
        m_scheduler.report_answered(answer, now());
        settle();
    }
}

void member::disconnected(const host_id &host) {
    m_election.connection_lost(host);
    decide_leader(now());
    settle();
}

void member::decide_leader(time_point now) {
    const auto heard_before = m_election.self().hears;
    const auto chosen = m_election.decide(now);
    if(m_election.self().hears > heard_before) {
        m_heard_more_at = now;
    }
    const bool lead = chosen && *chosen == m_settings.self;
    if(lead && !m_leading) {
        m_term = leader_term{static_cast<std::uint64_t>(m_ports.clock.unix_now().count())};
        m_leading = true;
        m_leading_since = now;
        m_targets_due = true;
        log_event(log_level::info, "member", "lead_taken", {{"term", m_term}, {"hears", m_election.self().hears}});
        update_targets();
        m_contacts.make_cell_due();
    } else if(!lead && m_leading) {
        log_event(log_level::info, "member", "lead_given_up", {{"term", m_term}, {"follows", chosen ? *chosen : host_id{}}});
        m_leading = false;
        m_scheduler.resign();
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
        m_leader = leader;
        m_contacts.make_cell_due();
        m_gateway.set_leader(leader, now);
    }
}

void member::tick(duration late) {
    const auto at = now();
    auto &lag = m_election.self().lag;
    lag = std::max(late, lag * 9 / 10);
    (void)m_catalog.expire(at);
    update_cells();
    decide_leader(at);
    update_targets();
    probe_far_targets(at);
    m_gateway.tick(at);
    if(m_leading) {
        m_scheduler.confirm_host(m_settings.self, at + internal::gateway_lease_time);
        const metrics::work_meter::span work{m_ports.work, metrics::work_part::holding};
        m_scheduler.tick(at, m_ports.clock.unix_now());
        pass_experience_on(at);
    }
    pull_from_peers(at);
    beat(at);
    settle();
}

void member::begin_stop() {
    m_election.self().draining = true;
    decide_leader(now());
    m_contacts.make_cell_due();
    beat(now());
    settle();
}
} // namespace heathermoor::member
