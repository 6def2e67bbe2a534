#include "heathermoor/core/event.hpp"
#include "heathermoor/member/convert_locks.hpp"
#include "heathermoor/member/member.hpp"
#include <algorithm>
#include <map>
#include <utility>

namespace heathermoor::member {

namespace internal {

/// Longest time for which a caller waits for the confirmation that a job is cancelled.
constexpr seconds longest_cancel_wait{2};

/// Interval at which another host of a job's home is asked for its leader.
constexpr milliseconds home_search_interval{300};

} // namespace internal

void member::cancel_job(gateway::request_token request, const job_id &id, duration limit) {
    const auto at = now();
    const bool known = m_gateway.open(id);
    log_event(log_level::info, "member", "cancel_requested", {{"job", id}, {"open", known}});
    m_cancel_desk.ask(request, id, known, std::min<duration>(limit, internal::longest_cancel_wait), at);
    // The notice goes first: else the leader would free the lock for another cell that waits for it.
    flush_cancels();
    (void)m_gateway.cancel(id, at);
    process_pending();
    flush_cancels();
}

void member::flush_cancels() {
    if(m_leader) {
        const auto due = m_cancel_desk.take_due(now());
        if(!due.empty()) {
            wire::envelope message;
            auto &body = *message.mutable_pool_cancels();
            body.set_term(raw(m_leader->term));
            for(const auto &one: due) {
                to_wire(one, *body.add_notices());
            }
            send(m_leader->host, std::move(message));
        }
    }
    for(const auto &[request, id, result]: m_cancel_desk.take_answers()) {
        m_ports.callers.cancel_answered(request, id, result);
    }
}

void member::handle_cancels(const wire::envelope &message) {
    const auto &body = message.pool_cancels();
    const process_ref sender{host_id{message.from()}, incarnation{message.incarnation()}};
    if(m_leader == gateway::leader_ref{sender.host, leader_term{body.term()}}) {
        for(const auto &confirmed: from_wire(body.confirmed())) {
            m_cancel_desk.confirmed(confirmed);
        }
        flush_cancels();
    }
    auto notices = from_wire(body.notices());
    if(body.term() == 0) {
        for(const auto &received: notices) {
            m_cancel_desk.keep(received, now());
        }
        return;
    }
    if(!m_leading || body.term() != raw(m_term) || notices.empty()) {
        return;
    }
    if(sender.host == m_settings.self) {
        keep_elsewhere(body);
    }
    for(auto &received: notices) {
        received.known = received.known || m_locks.knows(received.id);
        m_cancel_relay.submit(sender, received, now());
    }
    // The homes are told before they get the locks back.
    relay_cancels();
    for(const auto &received: notices) {
        m_locks.end(received.id, cancellation::cancelled_answer);
    }
    settle_locks(lock_flush::urgent);
    confirm_cancels();
}

void member::keep_elsewhere(const wire::pool_cancellings &cancels) {
    for(const auto &host: m_election.alive(now())) {
        if(host != m_settings.self) {
            wire::envelope message;
            *message.mutable_pool_cancels()->mutable_notices() = cancels.notices();
            send(host, std::move(message));
            return;
        }
    }
}

void member::relay_cancels() {
    const auto at = now();
    m_cancel_relay.tick(m_locks, at);
    for(const auto &[host, notices]: m_cancel_relay.take_due(m_locks, at)) {
        if(host == m_settings.self) {
            take_cancels(notices, lock_holder());
            continue;
        }
        wire::envelope message;
        for(const auto &one: notices) {
            to_wire(one, *message.mutable_pool_locked()->add_cancels());
        }
        send_locks(host, std::move(message));
        m_locks.contacted(host, at);
    }
}

void member::take_cancels(const std::vector<cancellation::notice> &notices, const lock::holder_ref &from) {
    std::vector<lock::addressed_reply> replies;
    for(const auto &received: notices) {
        auto told = m_lock_table.cancel(received, from, now());
        std::move(told.begin(), told.end(), std::back_inserter(replies));
    }
    answer_locks(self(), replies, {});
}

void member::handle_lock_cancels(const wire::envelope &message) {
    const auto &body = message.pool_locked();
    const process_ref sender{host_id{message.from()}, incarnation{message.incarnation()}};
    for(const auto &confirmed: from_wire(body.cancelled())) {
        m_cancel_relay.confirmed(sender.host, confirmed);
    }
    if(body.term() != 0 && !body.cancels().empty()) {
        take_cancels(from_wire(body.cancels()), {sender, leader_term{body.term()}, {failure_domain_id{body.cell()}, body.cell_index()}});
    }
}

void member::confirm_cancels() {
    if(!m_leading) {
        return;
    }
    std::map<process_ref, wire::envelope> to_leaders;
    for(const auto &[to, id, known]: m_lock_table.take_cancelled(now())) {
        const cancellation::notice confirmed{id, {}, known};
        if(to == lock_holder()) {
            m_cancel_relay.confirmed(m_settings.self, confirmed);
        } else {
            to_wire(confirmed, *to_leaders[to.process].mutable_pool_locked()->add_cancelled());
        }
    }
    for(auto &[to, message]: to_leaders) {
        message.set_to_incarnation(raw(to.process));
        send_locks(to.host, std::move(message));
    }
    std::map<process_ref, wire::envelope> to_gateways;
    for(const auto &[to, confirmed]: m_cancel_relay.take_confirmed()) {
        to_wire(confirmed, *to_gateways[to].mutable_pool_cancels()->add_confirmed());
    }
    for(auto &[to, message]: to_gateways) {
        message.mutable_pool_cancels()->set_term(raw(m_term));
        message.set_to_incarnation(raw(to.process));
        send(to.host, std::move(message));
    }
}

void member::tick_cancels(time_point now) {
    m_cancel_desk.tick(now);
    flush_cancels();
    if(!m_leading) {
        return;
    }
    relay_cancels();
    confirm_cancels();
    if(now < m_next_home_search) {
        return;
    }
    m_next_home_search = now + internal::home_search_interval;
    for(const auto &cell: m_cancel_relay.silent_homes(now)) {
        if(cell != m_cell) {
            ask_for_leader(cell, now);
        }
    }
}

} // namespace heathermoor::member
