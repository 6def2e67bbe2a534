#include "heathermoor/core/event.hpp"
#include "heathermoor/member/convert_locks.hpp"
#include "heathermoor/member/member.hpp"
#include <algorithm>
#include <iterator>
#include <utility>

namespace heathermoor::member {

namespace internal {

/// Time for which a connection to the leader of another cell is kept after a message about locks.
constexpr seconds lock_connection_time{3};

/// Interval at which another host of a cell is asked for its leader.
constexpr milliseconds leader_search_interval{300};

/// Time since its last heartbeat for which a host of another cell is asked; they come once a second.
constexpr milliseconds linked_host_validity{2'500};

} // namespace internal

lock::holder_ref member::lock_holder() const {
    return {self(), m_term, m_cell};
}

void member::start_locks(time_point now) {
    m_lock_table.open(now);
    m_locks.clear();
    m_locks.set_cells(m_cells.all(), now);
    m_locks.set_leader(m_cell, gateway::leader_ref{m_settings.self, m_term}, now);
    for(const auto &cell: m_locks.cells()) {
        const auto leader = m_locks.leader_of(cell);
        if(leader && leader->host != m_settings.self) {
            send_locks(leader->host, wire::envelope{});
        }
    }
}

void member::note_cell_leader(const cell::cell_id &cell, const gateway::leader_ref &leader) {
    if(cell == m_cell) {
        return;
    }
    if(const auto known = m_locks.leader_of(cell); known != leader) {
        log_event(log_level::info, "member", "cell_leader_changed",
                  {{"cell", cell.domain}, {"index", cell.index}, {"leader", leader.host}, {"term", leader.term}});
        m_locks.set_leader(cell, leader, now());
    }
}

void member::note_leader_report(const wire::envelope &message, leader_term own_term, const gateway::leader_ref &followed) {
    const host_id from{message.from()};
    const auto cell = m_cells.of(failure_domain_id{message.domain()}, from);
    const auto known = m_locks.leader_of(cell);
    const bool replaceable = !known || known->host == from || !m_locks.answers(cell, now());
    if(raw(own_term) != 0) {
        if(replaceable || raw(known->term) < raw(own_term)) {
            note_cell_leader(cell, {from, own_term});
        }
    } else if(!followed.host.empty() && followed.host != from && (!known || known->host == from || raw(known->term) < raw(followed.term))) {
        note_cell_leader(cell, followed);
    }
}

void member::search_cell_leaders(time_point now) {
    if(now < m_next_leader_search) {
        return;
    }
    m_next_leader_search = now + internal::leader_search_interval;
    for(const auto &cell: m_locks.cells_without_answer(now)) {
        if(cell != m_cell) {
            ask_for_leader(cell, now);
        }
    }
}

void member::ask_for_leader(const cell::cell_id &cell, time_point now) {
    const auto linked = [&](const auto &item) {
        return now - item.second.heard_at < internal::linked_host_validity && m_cells.of(item.second.domain, item.first) == cell;
    };
    auto &last = m_asked_for_leader[cell];
    auto next = std::find_if(m_peers.upper_bound(last), m_peers.end(), linked);
    if(next == m_peers.end()) {
        next = std::find_if(m_peers.begin(), m_peers.end(), linked);
    }
    if(next == m_peers.end()) {
        return;
    }
    last = next->first;
    wire::envelope message;
    message.mutable_pool_locked()->set_asks_leader(true);
    send_locks(last, std::move(message));
}

void member::send_locks(const host_id &to, const lock::lock_batch &batch) {
    wire::envelope message;
    auto &body = *message.mutable_pool_locked();
    for(const auto &request: batch.acquires) {
        add(body, request);
    }
    for(const auto &request: batch.releases) {
        add(body, request);
    }
    body.set_complete(batch.complete);
    send_locks(to, std::move(message));
}

void member::send_locks(const host_id &to, wire::envelope message) {
    auto &body = *message.mutable_pool_locked();
    body.set_cell(m_cell.domain.str());
    body.set_cell_index(m_cell.index);
    body.set_term(m_leading ? raw(m_term) : 0);
    if(m_leader) {
        body.set_follows(m_leader->host.str());
        body.set_follows_term(raw(m_leader->term));
    }
    m_contacts.connect_until(to, now() + internal::lock_connection_time);
    send(to, std::move(message));
}

void member::handle_locks(const wire::envelope &message) {
    const auto &body = message.pool_locked();
    const process_ref sender{host_id{message.from()}, incarnation{message.incarnation()}};
    const failure_domain_id domain{message.domain()};
    add_host(sender.host, domain);
    note_leader_report(message, leader_term{body.term()}, {host_id{body.follows()}, leader_term{body.follows_term()}});
    if(body.answers()) {
        m_locks.heard(sender.host);
    }
    if(!m_leading) {
        answer_locks(sender, {}, body);
        return;
    }
    const auto at = now();
    for(const auto &item: body.replies()) {
        if(const auto reply = from_wire(item)) {
            m_locks.answered(sender.host, *reply, at);
        }
    }
    if(body.term() != 0) {
        const lock::holder_ref holder{sender, leader_term{body.term()}, {failure_domain_id{body.cell()}, body.cell_index()}};
        m_lock_table.heard(holder, at);
        lock::lock_batch batch;
        for(const auto &item: body.releases()) {
            batch.releases.push_back(from_wire(item));
        }
        for(const auto &item: body.acquires()) {
            if(auto request = from_wire(item)) {
                batch.acquires.push_back(std::move(*request));
            }
        }
        batch.complete = body.complete();
        answer_locks(sender, ask_table(batch, holder), body);
    }
    handle_lock_cancels(message);
    settle_locks(lock_flush::urgent);
    confirm_cancels();
}

void member::answer_locks(const process_ref &sender, const std::vector<lock::addressed_reply> &replies, const wire::pool_locks &asked) {
    std::map<process_ref, wire::envelope> messages;
    if(asked.acquires_size() > 0 || asked.asks_leader()) {
        messages[sender].mutable_pool_locked()->set_answers(true);
    }
    for(const auto &[to, reply]: replies) {
        if(to == lock_holder()) {
            m_locks.answered(m_settings.self, reply, now());
        } else {
            add(*messages[to.process].mutable_pool_locked(), reply);
        }
    }
    for(auto &[to, message]: messages) {
        message.set_to_incarnation(raw(to.process));
        send_locks(to.host, std::move(message));
    }
}

std::vector<lock::addressed_reply> member::ask_table(const lock::lock_batch &batch, const lock::holder_ref &holder) {
    const auto at = now();
    std::vector<lock::addressed_reply> replies;
    for(const auto &request: batch.releases) {
        auto freed = m_lock_table.release(request, holder, at);
        std::move(freed.begin(), freed.end(), std::back_inserter(replies));
    }
    if(batch.complete) {
        auto compared = m_lock_table.compare(batch.acquires, holder, at);
        std::move(compared.begin(), compared.end(), std::back_inserter(replies));
        return replies;
    }
    for(const auto &request: batch.acquires) {
        replies.push_back({holder, m_lock_table.acquire(request, holder, at)});
    }
    return replies;
}

void member::settle_locks(lock_flush flush) {
    if(!m_leading) {
        return;
    }
    for(bool changed = true; changed;) {
        release_closed();
        const bool sent = send_lock_requests(flush);
        for(const auto &[to, id, ended]: m_locks.take_ended()) {
            answer(to, id, ended);
        }
        const bool given_up = give_up_conflicts();
        changed = schedule_ready() || sent || given_up;
    }
}

void member::release_closed() {
    const auto at = now();
    for(const auto &job: m_scheduler.take_closed()) {
        if(!m_scheduler.knows(job.id)) {
            m_locks.closed({job.id, job.may_have_run, job.answer}, job.earlier_runs_end_at, at);
        }
    }
}

bool member::send_lock_requests(lock_flush flush) {
    const auto requests = m_locks.take_requests(flush == lock_flush::all, now());
    for(const auto &[host, batch]: requests) {
        if(host == m_settings.self) {
            m_locks.heard(host);
            answer_locks(self(), ask_table(batch, lock_holder()), {});
        } else {
            send_locks(host, batch);
        }
    }
    return !requests.empty();
}

bool member::give_up_conflicts() {
    const auto conflicts = m_locks.take_conflicts();
    const auto at = now();
    for(const auto &id: conflicts) {
        m_locks.hold_back(id, m_scheduler.give_up(id, at), at);
    }
    return !conflicts.empty();
}

bool member::schedule_ready() {
    const auto at = now();
    auto ready = m_locks.take_ready();
    std::set<job_id> jobs;
    for(auto &work: ready) {
        const auto id = work.job.id;
        jobs.insert(id);
        if(!m_locks.scheduled(id)) {
            // The lock was given back meanwhile.
            m_locks.submit(std::move(work), at);
        } else if(m_scheduler.is_confirmed(work.from, at)) {
            m_lending.borrowed.scheduled(id);
            m_scheduler.submit(std::move(work), at);
        }
    }
    for(const auto &id: jobs) {
        if(m_locks.scheduled(id) && !m_scheduler.knows(id)) {
            m_locks.closed({id, false, m_scheduler.past_answer(id)}, at, at);
        }
    }
    return !ready.empty();
}

void member::tick_locks(time_point now) {
    if(!m_leading) {
        return;
    }
    search_cell_leaders(now);
    m_lock_table.heard(lock_holder(), now);
    m_locks.tick(now);
    answer_locks(self(), m_lock_table.tick(now), {});
    settle_locks(lock_flush::all);
}

} // namespace heathermoor::member
