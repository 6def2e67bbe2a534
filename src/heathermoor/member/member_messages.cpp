#include "heathermoor/member/member.hpp"

#include "heathermoor/core/event.hpp"
#include "heathermoor/lease/run_bounds.hpp"
#include "heathermoor/member/convert.hpp"
#include <algorithm>
#include <utility>

namespace heathermoor::member {

namespace internal {

/// Minimum time between requests for a peer's configuration or catalog.
constexpr milliseconds pull_interval{300};

/// Time since its last heartbeat for which a peer is asked; heartbeats between cells come once a second.
constexpr milliseconds peer_validity{2'500};

/// Requests to a peer in a row before another one is asked.
constexpr std::uint32_t requests_per_peer = 2;

/// Time for which a connection to a host of another cell is kept to answer its request.
constexpr seconds introduction_time{3};

/// Time since the timer last sent the heartbeats that were due, after which an event of any kind does: two calls of the timer.
constexpr milliseconds overdue_heartbeats{50};

/// Most targets of one failure domain; a heartbeat that reports more is malformed, and its number ignored.
constexpr std::uint32_t max_domain_targets = 100'000;

[[nodiscard]] std::int64_t to_us(time_point at) noexcept {
    return at.time_since_epoch().count();
}

[[nodiscard]] process_ref sender_of(const wire::envelope &message) {
    return {host_id{message.from()}, incarnation{message.incarnation()}};
}

[[nodiscard]] metrics::work_part work_part_of(const wire::envelope &message) noexcept {
    switch(message.body_case()) {
    case wire::envelope::kPoolBeat:
        return metrics::work_part::heartbeats;
    case wire::envelope::kPoolJob:
    case wire::envelope::kPoolCancelled:
    case wire::envelope::kPoolCancels:
    case wire::envelope::kPoolAsked:
    case wire::envelope::kPoolLocked:
    case wire::envelope::kPoolLent:
        return metrics::work_part::jobs;
    default:
        return metrics::work_part::answers;
    }
}

} // namespace internal

void member::send(const host_id &to, wire::envelope message) {
    message.set_from(m_settings.self.str());
    message.set_incarnation(raw(m_settings.process));
    message.set_domain(m_settings.domain.str());
    message.set_sent_us(internal::to_us(now()));
    message.set_session(raw(m_gateway.self().session));
    if(to == m_settings.self) {
        m_inbox.push_back(std::move(message));
        return;
    }
    const auto peer = m_peers.find(to);
    if(peer != m_peers.end()) {
        const auto process = raw(peer->second.process);
        if(message.to_incarnation() == 0) {
            message.set_to_incarnation(process);
        }
        if(message.to_incarnation() == process) {
            message.set_echo_us(peer->second.last_sent_us);
        }
    }
    m_ports.peers.send(to, std::move(message));
}

void member::process_pending() {
    deliver_local();
    if(const auto at = now(); at - m_heartbeats_checked_at >= internal::overdue_heartbeats) {
        // The timer is late, behind many events: what tells other hosts that this one lives must not be late as well.
        send_heartbeats(at);
    }
    if(m_leading) {
        settle_locks(lock_flush::urgent);
        const metrics::work_meter::span work{m_ports.work, metrics::work_part::placing};
        m_scheduler.set_resuming(m_pauses.unread(now()));
        m_scheduler.place(now());
        deliver_local();
        settle_locks(lock_flush::urgent);
    }
}

void member::deliver_local() {
    if(m_delivering_local) {
        return;
    }
    m_delivering_local = true;
    while(!m_inbox.empty()) {
        const auto message = std::move(m_inbox.front());
        m_inbox.pop_front();
        handle(message);
    }
    m_delivering_local = false;
}

time_point member::echoed_at(const wire::envelope &message) const {
    return std::min(now(), time_point{duration{message.echo_us()}});
}

void member::received(const wire::envelope &message) {
    if(message.to_incarnation() != 0 && message.to_incarnation() != raw(m_settings.process)) {
        return;
    }
    handle(message);
    process_pending();
}

void member::handle(const wire::envelope &message) {
    const metrics::work_meter::span work{m_ports.work, internal::work_part_of(message)};
    const auto sender = internal::sender_of(message);
    if(message.pool_beat().leaving()) {
        handle_departure(sender);
        return;
    }
    if(!m_processes.accept(sender, now())) {
        log_event(log_level::info, "member", "sender_replaced", {{"from", sender.host}, {"process", sender.process}});
        return;
    }
    switch(message.body_case()) {
    case wire::envelope::kPoolBeat:
        handle_heartbeat(message);
        break;
    case wire::envelope::kPoolJob:
        handle_submit(message);
        break;
    case wire::envelope::kPoolCancelled:
        handle_withdrawal(message);
        break;
    case wire::envelope::kPoolCancels:
        handle_cancels(message);
        break;
    case wire::envelope::kPoolAsked:
        handle_query(message);
        break;
    case wire::envelope::kPoolAnswered:
        handle_answer(message);
        break;
    case wire::envelope::kPoolPulled:
        handle_pull(message);
        break;
    case wire::envelope::kPoolLocked:
        handle_locks(message);
        break;
    case wire::envelope::kPoolLent:
        handle_lending(message);
        break;
    case wire::envelope::kPoolRoutes:
        if(message.pool_routes().has_evacuations()) {
            take_evacuations(message, message.pool_routes().evacuations());
        }
        (void)apply_config(from_wire(message.pool_routes()), host_id{message.from()});
        break;
    case wire::envelope::kPoolEvacuated:
        take_evacuations(message, message.pool_evacuated());
        break;
    case wire::envelope::kPoolLearned:
        if(!m_leading) {
            m_statistics_received = true;
            m_scheduler.restore(from_wire(message.pool_learned()));
        }
        break;
    case wire::envelope::kPoolTargets:
        apply_catalog(from_wire(message.pool_targets()), log_offset{message.pool_targets().next()}, false);
        break;
    default:
        break;
    }
}

void member::handle_heartbeat(const wire::envelope &message) {
    const auto at = now();
    const host_id from{message.from()};
    const auto &beat = message.pool_beat();
    if(message.echo_us() != 0) {
        m_oldest_echo = std::max(m_oldest_echo, at - echoed_at(message));
    }
    auto &peer = m_peers[from];
    const incarnation process{message.incarnation()};
    if(process == peer.process && message.sent_us() < peer.last_sent_us) {
        return;
    }
    peer.process = process;
    peer.last_sent_us = message.sent_us();
    peer.term = leader_term{beat.term()};
    peer.config_version = beat.config_version();
    peer.catalog_next = log_offset{beat.catalog_next()};
    peer.requests_next = m_evacuations.may_be_next(log_offset{beat.requests_next()}) ? log_offset{beat.requests_next()} : log_offset{};
    const bool stepped_down = peer.leading && !beat.leading();
    peer.leading = beat.leading();
    const failure_domain_id domain{message.domain()};
    peer.heard_at = at;
    peer.domain = domain;
    peer.domain_targets = beat.domain_targets() <= internal::max_domain_targets ? beat.domain_targets() : 0;
    m_contacts.heartbeat_received(from, domain, at);
    for(const auto &host: beat.hosts()) {
        add_host(host_id{host.id()}, failure_domain_id{host.domain()});
    }
    m_peer_hosts_next = std::max(m_peer_hosts_next, log_offset{beat.hosts_next()});
    take_confirmations(message);
    if(beat.introduces()) {
        introduce_self(from);
    }
    if(m_cells.of(domain, from) == m_cell) {
        handle_cell_heartbeat(message, stepped_down);
    } else {
        note_leader_report(message, beat.leading() ? leader_term{beat.term()} : leader_term{},
                           {host_id{beat.follows()}, leader_term{beat.follows_term()}});
    }
}

void member::handle_departure(const process_ref &sender) {
    if(!m_processes.left(sender, now())) {
        return;
    }
    m_election.host_left(sender.host);
    m_contacts.host_left(sender.host);
    m_peers.erase(sender.host);
}

void member::take_confirmations(const wire::envelope &message) {
    if(message.echo_us() == 0) {
        return;
    }
    const auto at = now();
    const host_id from{message.from()};
    const auto &beat = message.pool_beat();
    const auto confirm = [&](confirmation::subject what, std::int64_t as_of_us) {
        if(as_of_us == 0) {
            return;
        }
        // The message was sent after its sender had received the heartbeat that it echoes.
        const duration age_when_sent{message.sent_us() - as_of_us};
        const auto as_of = echoed_at(message) - age_when_sent;
        m_confirmations.confirm(what, confirmation::source::peer, from, as_of, at);
    };
    const bool requests_known = m_evacuations.next() >= log_offset{beat.requests_next()};
    if(requests_known && m_routes.configured() && beat.config_version() == raw(m_routes.current().version)) {
        confirm(confirmation::subject::configuration, beat.config_as_of_us());
    }
    if(m_catalog.next() >= log_offset{beat.catalog_next()}) {
        confirm(confirmation::subject::target_list, beat.catalog_as_of_us());
    }
    if(m_hosts_next >= log_offset{beat.hosts_next()}) {
        confirm(confirmation::subject::host_list, beat.hosts_as_of_us());
    }
}

void member::handle_cell_heartbeat(const wire::envelope &message, bool stepped_down) {
    const auto at = now();
    const host_id from{message.from()};
    const auto &beat = message.pool_beat();
    if(beat.leading() && message.echo_us() != 0) {
        std::set<target_id> idle;
        for(const auto &target: beat.idle_targets()) {
            idle.emplace(target);
        }
        m_scheduler.update_other_scheduler(from, std::move(idle), log_offset{beat.catalog_next()}, echoed_at(message));
    }
    if(stepped_down && m_leading) {
        m_scheduler.reclaim(at);
    }
    election::peer_state state;
    state.id = from;
    state.domain = failure_domain_id{message.domain()};
    state.process = incarnation{message.incarnation()};
    state.draining = beat.draining();
    state.listening = beat.listening();
    state.millicores = beat.millicores();
    state.leading = beat.leading();
    state.heard_hosts = beat.hears();
    state.timer_lag = duration{static_cast<std::int64_t>(beat.lag_us())};
    state.follows = host_id{beat.follows()};
    state.leading_for = duration{static_cast<std::int64_t>(beat.leading_for_us())};
    state.interval = milliseconds{beat.interval_ms()};
    m_election.heartbeat_received(state, at);
    if(beat.leading() && m_leader && m_leader->host == from) {
        m_waiting.clear();
        for(const auto &queue: beat.queues()) {
            m_waiting[queue_id{queue.queue()}] = queue.waiting();
        }
    }
    if(m_leading && beat.follows() == m_settings.self.str() && beat.follows_term() == raw(m_term) && message.echo_us() != 0) {
        m_scheduler.confirm_gateway(gateway_of(message), echoed_at(message) + lease::host_confirmation_time);
    }
    decide_leader(at);
}

void member::introduce_self(const host_id &to) {
    m_contacts.connect_until(to, now() + internal::introduction_time);
    wire::envelope message;
    fill_heartbeat(*message.mutable_pool_beat());
    message.mutable_pool_beat()->set_interval_ms(static_cast<std::uint32_t>(milliseconds{internal::introduction_time}.count()));
    send(to, std::move(message));
}

pool::gateway_ref member::gateway_of(const wire::envelope &message) {
    return {internal::sender_of(message), gateway_session{message.session()}};
}

void member::handle_pull(const wire::envelope &message) {
    const host_id from{message.from()};
    m_contacts.connect_until(from, now() + internal::introduction_time);
    if(message.pool_pulled().config() && m_routes.configured()) {
        wire::envelope reply;
        *reply.mutable_pool_routes() = to_wire(m_routes.current());
        if(m_evacuations.known()) {
            fill_evacuations(*reply.mutable_pool_routes()->mutable_evacuations());
        }
        send(from, std::move(reply));
    }
    if(message.pool_pulled().evacuations() && m_evacuations.known()) {
        wire::envelope reply;
        fill_evacuations(*reply.mutable_pool_evacuated());
        send(from, std::move(reply));
    }
    if(message.pool_pulled().catalog()) {
        wire::envelope reply;
        *reply.mutable_pool_targets() = to_wire(m_catalog.records(), m_catalog.next());
        send(from, std::move(reply));
    }
}

void member::fill_heartbeat(wire::pool_heartbeat &beat) {
    const auto &self = m_election.self();
    beat.set_draining(self.draining || self.yielding);
    beat.set_millicores(self.millicores);
    beat.set_domain_targets(static_cast<std::uint32_t>(m_domain_targets));
    beat.set_listening(self.listening);
    beat.set_leading(m_leading);
    beat.set_term(raw(m_term));
    beat.set_hears(self.heard_hosts);
    beat.set_lag_us(static_cast<std::uint64_t>(self.timer_lag.count()));
    beat.set_leading_for_us(static_cast<std::uint64_t>(self.leading_for.count()));
    if(m_leader) {
        beat.set_follows(m_leader->host.str());
        beat.set_follows_term(raw(m_leader->term));
    }
    beat.set_config_version(m_routes.configured() ? raw(m_routes.current().version) : 0);
    beat.set_catalog_next(raw(m_catalog.next()));
    beat.set_requests_next(raw(m_evacuations.next()));
    fill_confirmations(beat);
    const auto at = now();
    for(const auto &known: m_contacts.next_gossip(at)) {
        auto &host = *beat.add_hosts();
        host.set_id(known.id.str());
        host.set_domain(known.domain.str());
    }
    if(!m_leading) {
        return;
    }
    for(const auto &[name, length]: m_scheduler.waiting()) {
        auto &queue = *beat.add_queues();
        queue.set_queue(name.str());
        queue.set_waiting(length);
    }
    for(const auto &target: m_scheduler.publish_idle(at)) {
        beat.add_idle_targets(target.str());
    }
}

void member::fill_confirmations(wire::pool_heartbeat &beat) const {
    const auto as_of_us = [this](confirmation::subject what) {
        const auto as_of = m_confirmations.as_of(what);
        return as_of ? internal::to_us(*as_of) : 0;
    };
    beat.set_config_as_of_us(as_of_us(confirmation::subject::configuration));
    beat.set_catalog_as_of_us(as_of_us(confirmation::subject::target_list));
    beat.set_hosts_as_of_us(as_of_us(confirmation::subject::host_list));
    beat.set_hosts_next(raw(m_hosts_next));
}

void member::send_heartbeats(time_point now) {
    m_heartbeats_checked_at = now;
    const auto due = m_contacts.due(now, [this](const host_id &host) { return m_leading || !m_leader || m_leader->host == host; });
    if(due.empty()) {
        return;
    }
    const metrics::work_meter::span work{m_ports.work, metrics::work_part::beating};
    wire::envelope message;
    auto &body = *message.mutable_pool_beat();
    fill_heartbeat(body);
    for(const auto &contact: due) {
        body.set_interval_ms(static_cast<std::uint32_t>(contact.interval.count()));
        body.set_introduces(!m_peers.contains(contact.id));
        send(contact.id, message);
    }
}

bool member::worth_asking(const peer_record &peer, time_point now) const {
    if(now - peer.heard_at > internal::peer_validity) {
        return false;
    }
    const auto own_version = m_routes.configured() ? raw(m_routes.current().version) : 0;
    return peer.config_version > own_version || peer.requests_next > m_evacuations.next() ||
           (target_list_stale(now) && peer.catalog_next > m_catalog.next());
}

bool member::target_list_stale(time_point now) const {
    const auto &as_of = m_confirmations.state(confirmation::subject::target_list, confirmation::source::store).as_of;
    return m_catalog.revision() == 0 || !as_of || now - *as_of > confirmation::limit_of(confirmation::subject::target_list);
}

void member::pull_from_peers(time_point now) {
    if(now < m_next_pull || m_peers.empty()) {
        return;
    }
    // The first request to a host without a connection only opens one, so each peer is asked twice before the next.
    auto next = m_times_asked < internal::requests_per_peer ? m_peers.lower_bound(m_asked_peer) : m_peers.upper_bound(m_asked_peer);
    for(std::size_t seen = 0; seen <= m_peers.size(); ++seen, ++next) {
        if(next == m_peers.end()) {
            next = m_peers.begin();
        }
        if(worth_asking(next->second, now)) {
            ask(next->first, next->second, now);
            return;
        }
    }
}

void member::ask(const host_id &id, const peer_record &peer, time_point now) {
    m_next_pull = now + internal::pull_interval;
    m_times_asked = id == m_asked_peer && m_times_asked < internal::requests_per_peer ? m_times_asked + 1 : 1;
    m_asked_peer = id;
    const auto own_version = m_routes.configured() ? raw(m_routes.current().version) : 0;
    const bool newer_config = peer.config_version > own_version;
    const bool newer_catalog = target_list_stale(now) && peer.catalog_next > m_catalog.next();
    // With the configuration they come anyway.
    const bool newer_requests = peer.requests_next > m_evacuations.next();
    wire::envelope message;
    message.mutable_pool_pulled()->set_config(newer_config);
    message.mutable_pool_pulled()->set_catalog(newer_catalog);
    message.mutable_pool_pulled()->set_evacuations(newer_requests && !newer_config);
    log_event(newer_config || newer_requests ? log_level::info : log_level::debug, "member", "peer_asked",
              {{"peer", id},
               {"config", newer_config},
               {"config_version", own_version},
               {"peer_config_version", peer.config_version},
               {"requests", newer_requests},
               {"catalog", newer_catalog}});
    m_contacts.connect_until(id, now + internal::introduction_time);
    send(id, std::move(message));
}

void member::leave() {
    wire::envelope message;
    message.mutable_pool_beat()->set_leaving(true);
    for(const auto &host: m_contacts.connected()) {
        send(host, message);
    }
}
} // namespace heathermoor::member
