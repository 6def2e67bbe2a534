#include "heathermoor/core/event.hpp"
#include "heathermoor/lease/run_bounds.hpp"
#include "heathermoor/member/convert.hpp"
#include "heathermoor/member/member.hpp"
#include <algorithm>
#include <set>
#include <utility>

namespace heathermoor::member {

namespace internal {

/// Interval at which other leaders are asked for their room while it may be needed.
constexpr milliseconds room_interval{50};

/// Time for which room is asked for after it was last needed.
constexpr milliseconds room_interest{1'000};

/// Time for which a refusal waits for the first word of other leaders.
constexpr milliseconds first_word_limit{75};

/// Time for which a gateway without a confirmation keeps its lent jobs: less than the scheduler's grace period, since the borrower stops
/// them only with the next list.
constexpr milliseconds unconfirmed_gateway_limit{150};

/// Interval at which a borrower gets the list of its loans.
constexpr milliseconds list_interval{100};

/// Time in which the gateways of a job note that it is about to be lent; its refusal waits for that.
constexpr milliseconds notice_limit{75};

/// Time after which a notice is sent again.
constexpr seconds notice_memory{2};

/// Silence of a borrower after which its loans count as lost.
constexpr milliseconds borrower_silence_limit{600};

/// Time for which a leader that has asked for room counts when room is shared out.
constexpr milliseconds asker_validity{300};

/// Time for which a connection to the leader of another cell is kept after a message about lending.
constexpr seconds lending_connection_time{3};

/// Time for which a leader of another cell is remembered after its last message.
constexpr seconds peer_memory{30};

[[nodiscard]] pool::job_need need_of(const job::definition &job) {
    pool::job_need need;
    for(const auto &step: job.steps) {
        need.total_cpu_millicores += step.tasks * step.need.cpu_millicores;
        need.largest_cpu_millicores = std::max(need.largest_cpu_millicores, step.need.cpu_millicores);
    }
    return need;
}

void add_answer(wire::pool_lending &body, const lending::borrowed_result &result) {
    auto &item = *body.add_answers();
    item.set_id(result.id.str());
    item.set_result(static_cast<std::uint32_t>(result.returned ? job::outcome::refused : result.answer.result));
    item.set_reason(static_cast<std::uint32_t>(result.answer.reason));
    item.set_retry_after_ms(result.answer.retry_after.count());
}

[[nodiscard]] job::answer answer_of(const wire::pool_answer &item) {
    const bool known = item.result() <= static_cast<std::uint32_t>(job::outcome::unknown);
    return {known ? static_cast<job::outcome>(item.result()) : job::outcome::unknown, to_errc(item.reason()),
            milliseconds{item.retry_after_ms()}};
}

[[nodiscard]] lending::room_report room_of(const wire::pool_lending &body) {
    lending::room_report report;
    for(const auto &item: body.room()) {
        report[service_id{item.service()}] = {item.free_millicores(), item.largest_millicores()};
    }
    return report;
}

} // namespace internal

wire::envelope member::lending_message(const lending::party &to) {
    wire::envelope message;
    message.set_to_incarnation(raw(to.process.process));
    auto &body = *message.mutable_pool_lent();
    body.set_term(m_leading ? raw(m_term) : 0);
    body.set_to_term(raw(to.term));
    const auto peer = m_lending.peers.find(to.process);
    body.set_echo_us(peer == m_lending.peers.end() ? 0 : peer->second.last_sent_us);
    return message;
}

void member::send_lending(const host_id &to, wire::envelope message) {
    m_contacts.connect_until(to, now() + internal::lending_connection_time);
    send(to, std::move(message));
}

void member::handle_lending(const wire::envelope &message) {
    const auto &body = message.pool_lent();
    const process_ref sender{host_id{message.from()}, incarnation{message.incarnation()}};
    if(!m_settings.lending || sender == self()) {
        return;
    }
    auto &peer = m_lending.peers[sender];
    if(message.sent_us() < peer.last_sent_us) {
        return;
    }
    peer.term = leader_term{body.term()};
    peer.last_sent_us = message.sent_us();
    peer.heard_at = now();
    const lending::party from{sender, peer.term};
    const bool expects_reply = body.asks_room() || body.lists();
    if(!m_leading) {
        if(expects_reply) {
            send_lending(sender.host, lending_message(from));
        }
        return;
    }
    if(body.term() != 0 && body.to_term() == raw(m_term)) {
        take_results(from, body);
    }
    auto reply = lending_message(from);
    if(body.term() != 0 && body.lists() && body.to_term() == raw(m_term)) {
        take_loans(message, from, *reply.mutable_pool_lent());
    }
    if(body.term() != 0 && body.asks_room()) {
        m_lending.askers[from] = now();
        say_room(*reply.mutable_pool_lent());
    }
    if(expects_reply) {
        send_lending(sender.host, std::move(reply));
    }
    settle_locks(lock_flush::urgent);
}

void member::say_room(wire::pool_lending &reply) {
    reply.set_says_room(true);
    if(m_scheduler.overload().crowded) {
        return;
    }
    const auto at = now();
    std::erase_if(m_lending.askers, [at](const auto &item) { return at - item.second >= internal::asker_validity; });
    const auto askers = std::max<std::int64_t>(1, static_cast<std::int64_t>(m_lending.askers.size()));
    for(const auto &[service, room]: m_scheduler.find_free_room(at)) {
        auto &item = *reply.add_room();
        item.set_service(service.str());
        item.set_free_millicores(room.cpu_millicores / askers);
        item.set_largest_millicores(room.largest_cpu_millicores);
    }
}

void member::take_loans(const wire::envelope &message, const lending::party &lender, wire::pool_lending &reply) {
    const auto &body = message.pool_lent();
    const auto at = now();
    const auto from = gateway_of(message);
    const auto echoed = std::min(at, time_point{duration{body.echo_us()}});
    const auto confirmed_until = echoed + lease::host_confirmation_time;
    const bool fresh = body.echo_us() != 0 && at < confirmed_until;
    if(fresh) {
        m_scheduler.confirm_gateway(from, confirmed_until);
    }
    auto room = m_scheduler.overload().crowded ? lending::room_report{} : m_scheduler.find_free_room(at);
    for(const auto &item: body.loans()) {
        auto work = from_wire(item, from);
        if(!work || !fresh) {
            // Not known here: the lender takes the job back once the loan is too old to be accepted.
            continue;
        }
        if(!borrow(lender, std::move(*work), room)) {
            internal::add_answer(reply, {job_id{item.id()}, true, {}});
        }
    }
    std::vector<job_id> listed;
    for(const auto &id: body.open()) {
        listed.emplace_back(id);
    }
    for(const auto &[gateway, id]: m_lending.borrowed.compare(lender, listed)) {
        m_locks.cancel(gateway, id);
        m_scheduler.cancel(gateway, id, at);
    }
    for(const auto &id: listed) {
        const auto *known = m_lending.borrowed.find(id);
        if(known == nullptr || !(known->lender == lender)) {
            auto &unknown = *reply.add_answers();
            unknown.set_id(id.str());
            unknown.set_not_known(true);
        }
    }
}

bool member::borrow(const lending::party &lender, pool::submission work, lending::room_report &room) {
    const auto id = work.job.id;
    const auto need = internal::need_of(work.job);
    const auto found = room.find(work.queue.service);
    const bool fits = found != room.end() && found->second.cpu_millicores >= need.total_cpu_millicores &&
                      found->second.largest_cpu_millicores >= need.largest_cpu_millicores;
    if(!fits || m_locks.knows(id) || m_scheduler.knows(id) || m_lending.borrowed.find(id) != nullptr || work.may_have_run) {
        return false;
    }
    log_event(log_level::info, "member", "job_borrowed",
              {{"job", id},
               {"lender", lender.process.host},
               {"free_millicores", found->second.cpu_millicores},
               {"need_millicores", need.total_cpu_millicores},
               {"age_ms", work.age},
               {"left_ms", work.remaining}});
    found->second.cpu_millicores -= need.total_cpu_millicores;
    m_lending.borrowed.take(lender, work.from, id, now());
    work.lock_wait = work.remaining;
    m_locks.submit(std::move(work), now());
    return true;
}

void member::take_results(const lending::party &from, const wire::pool_lending &body) {
    const auto at = now();
    if(body.says_room()) {
        m_lending.rooms.note(from, internal::room_of(body), std::min(at, time_point{duration{body.echo_us()}}));
    }
    for(const auto &item: body.answers()) {
        const job_id id{item.id()};
        const auto result = internal::answer_of(item);
        if(item.not_known() || result.result == job::outcome::refused) {
            take_back(from, id, !item.not_known());
            continue;
        }
        for(const auto &gateway: m_lending.loans.take_answered(from, id)) {
            answer(gateway, id, result);
        }
    }
}

void member::take_back(const lending::party &from, const job_id &id, bool explicitly) {
    auto submissions = m_lending.loans.take_returned(from, id, explicitly, now());
    if(submissions.empty()) {
        return;
    }
    log_event(log_level::info, "member", "lent_job_returned",
              {{"job", id},
               {"borrower", from.process.host},
               {"explicitly", explicitly},
               {"room_age_ms", m_lending.rooms.age(from, now())},
               {"left_ms", submissions.front().remaining}});
    m_lending.rooms.drop(from);
    for(auto &work: submissions) {
        m_locks.submit(std::move(work), now());
    }
}

void member::lose_loans(const lending::party &to, std::string_view why) {
    auto submissions = m_lending.loans.take_lost(to, now());
    m_lending.rooms.drop(to);
    m_lending.outgoing.erase(to);
    if(submissions.empty()) {
        return;
    }
    log_event(log_level::info, "member", "lent_jobs_lost",
              {{"borrower", to.process.host}, {"term", to.term}, {"jobs", submissions.size()}, {"why", why}});
    for(auto &work: submissions) {
        m_locks.submit(std::move(work), now());
    }
}

void member::tick_lending(time_point now) {
    if(!m_settings.lending || !m_leading) {
        return;
    }
    check_loans(now);
    place_overload(now);
    check_borrowed(now);
    settle_locks(lock_flush::urgent);
    send_lending_due(now);
    std::erase_if(m_lending.notices, [now](const auto &item) { return now - item.second.sent_at >= internal::notice_memory; });
    std::erase_if(m_lending.peers, [now](const auto &item) { return now - item.second.heard_at >= internal::peer_memory; });
}

void member::check_loans(time_point now) {
    m_lending.loans.drop_gateways(
        [&](const pool::gateway_ref &one) { return !m_scheduler.is_confirmed(one, now - internal::unconfirmed_gateway_limit); });
    for(const auto &[to, jobs]: m_lending.loans.open()) {
        const auto peer = m_lending.peers.find(to.process);
        if(peer == m_lending.peers.end() || now - peer->second.heard_at >= internal::borrower_silence_limit) {
            lose_loans(to, "silent");
        } else if(peer->second.term != to.term) {
            lose_loans(to, "resigned");
        }
    }
    for(const auto &[gateway, id]: m_lending.loans.take_expired(now)) {
        answer(gateway, id, {job::outcome::unknown, errc::deadline_exceeded, {}});
    }
}

void member::place_overload(time_point now) {
    if(m_scheduler.overload().pressed) {
        const bool resumed = now - m_lending.pressed_at >= internal::room_interest;
        m_lending.pressed_since = resumed ? now : m_lending.pressed_since;
        m_lending.pressed_at = now;
    }
    const bool awaits_word = now - m_lending.pressed_since < internal::first_word_limit && m_locks.cells().size() > 1;
    for(const auto &job: std::vector<pool::overloaded_job>{m_scheduler.overload().jobs}) {
        if(lend(job, now) || !job.refusable || (awaits_word && may_lend(job))) {
            continue;
        }
        const auto notice = m_lending.notices.find(job.id);
        if(notice != m_lending.notices.end() && now - notice->second.sent_at < internal::notice_limit && may_lend(job)) {
            continue;
        }
        log_event(log_level::info, "pool", "job_refused",
                  {{"job", job.id},
                   {"ahead_ms", job.ahead_ms},
                   {"slack_ms", job.slack_ms},
                   {"lendable", may_lend(job)},
                   {"room", m_lending.rooms.has_room(job.service, job.need, now)},
                   {"noted", notice == m_lending.notices.end() ? 0 : notice->second.noted.size()}});
        m_scheduler.refuse(job.id, job.retry_after, now);
    }
}

bool member::announce(const pool::overloaded_job &job, time_point now) {
    auto &notice = m_lending.notices[job.id];
    const bool first = notice.sent_at == time_point{};
    notice.sent_at = first ? now : notice.sent_at;
    bool noted = true;
    for(const auto &gateway: job.gateways) {
        if(first) {
            send_notice(gateway, job.id);
        }
        noted = noted && notice.noted.contains(gateway);
    }
    return noted;
}

void member::send_notice(const pool::gateway_ref &to, const job_id &id) {
    wire::envelope message;
    message.set_to_incarnation(raw(to.process.process));
    auto &body = *message.mutable_pool_asked();
    body.add_lends(id.str());
    body.set_session(raw(to.session));
    body.set_term(raw(m_term));
    send(to.process.host, std::move(message));
}

void member::handle_notice(const wire::envelope &message) {
    const auto &body = message.pool_asked();
    const host_id sender{message.from()};
    wire::envelope reply;
    for(const auto &id: body.lends()) {
        if(m_gateway.note_lending({{sender, leader_term{body.term()}}, gateway_session{body.session()}}, job_id{id})) {
            reply.mutable_pool_asked()->add_lends_noted(id);
        }
    }
    if(reply.pool_asked().lends_noted_size() > 0) {
        reply.mutable_pool_asked()->set_term(body.term());
        send(sender, std::move(reply));
    }
    if(m_leading && body.term() == raw(m_term)) {
        for(const auto &id: body.lends_noted()) {
            const auto known = m_lending.notices.find(job_id{id});
            if(known != m_lending.notices.end()) {
                known->second.noted.insert(gateway_of(message));
            }
        }
    }
}

bool member::may_lend(const pool::overloaded_job &job) const {
    return job.lendable && m_lending.loans.may_lend(job.id);
}

bool member::lend(const pool::overloaded_job &job, time_point now) {
    if(!may_lend(job)) {
        return false;
    }
    if(!m_lending.rooms.has_room(job.service, job.need, now) || !announce(job, now)) {
        return false;
    }
    const auto to = m_lending.rooms.choose(job.service, job.need, now);
    auto submissions = m_scheduler.withdraw(job.id, now);
    if(submissions.empty()) {
        return false;
    }
    for(const auto &work: submissions) {
        if(!m_lending.notices[job.id].noted.contains(work.from)) {
            // It has joined the job since the last tick.
            send_notice(work.from, job.id);
        }
    }
    log_event(log_level::info, "member", "job_lent",
              {{"job", job.id},
               {"borrower", to->process.host},
               {"room_age_ms", m_lending.rooms.age(*to, now)},
               {"need_millicores", job.need.total_cpu_millicores},
               {"ahead_ms", job.ahead_ms},
               {"slack_ms", job.slack_ms},
               {"left_ms", submissions.front().remaining}});
    m_lending.outgoing[*to].push_back(m_lending.loans.lend(*to, std::move(submissions), now));
    return true;
}

void member::check_borrowed(time_point now) {
    for(const auto &id: m_lending.borrowed.open_jobs()) {
        const auto one = *m_lending.borrowed.find(id);
        if(one.scheduled) {
            if(!m_scheduler.knows(id) && !m_locks.knows(id)) {
                m_lending.borrowed.answered(id, {job::outcome::unknown, errc::leader_lost, {}});
            }
        } else if(!m_locks.knows(id)) {
            m_lending.borrowed.returned(id);
        } else if(!m_locks.scheduled(id) && now - one.taken_at >= lending::borrowed_lock_limit) {
            m_locks.cancel(one.from, id);
            m_lending.borrowed.returned(id);
        }
    }
    m_lending.borrowed.expire(now);
}

void member::send_lending_due(time_point now) {
    std::map<lending::party, wire::envelope> messages;
    const auto to = [&](const lending::party &party) -> wire::pool_lending & {
        auto found = messages.find(party);
        if(found == messages.end()) {
            found = messages.emplace(party, lending_message(party)).first;
        }
        return *found->second.mutable_pool_lent();
    };
    for(const auto &[lender, results]: m_lending.borrowed.take_results()) {
        for(const auto &result: results) {
            internal::add_answer(to(lender), result);
        }
    }
    for(const auto &[borrower, jobs]: m_lending.loans.open()) {
        auto &listed_at = m_lending.peers[borrower.process].listed_at;
        if(!m_lending.outgoing.contains(borrower) && now - listed_at < internal::list_interval) {
            continue;
        }
        listed_at = now;
        auto &body = to(borrower);
        body.set_lists(true);
        for(const auto &id: jobs) {
            body.add_open(id.str());
        }
        for(const auto &work: std::exchange(m_lending.outgoing[borrower], {})) {
            *body.add_loans() = to_wire(work, borrower.term);
        }
    }
    m_lending.outgoing.clear();
    const bool asks = now - m_lending.pressed_at < internal::room_interest && now - m_lending.asked_at >= internal::room_interval;
    if(asks) {
        ask_for_room(messages);
        m_lending.asked_at = now;
    }
    for(auto &[party, message]: messages) {
        send_lending(party.process.host, std::move(message));
    }
}

void member::ask_for_room(std::map<lending::party, wire::envelope> &messages) {
    for(const auto &cell: m_locks.cells()) {
        const auto leader = m_locks.leader_of(cell);
        if(cell == m_cell || !leader || leader->host == m_settings.self) {
            continue;
        }
        const auto known =
            std::find_if(messages.begin(), messages.end(), [&](const auto &item) { return item.first.process.host == leader->host; });
        if(known != messages.end()) {
            known->second.mutable_pool_lent()->set_asks_room(true);
            continue;
        }
        const auto peer = m_peers.find(leader->host);
        const lending::party party{{leader->host, peer == m_peers.end() ? incarnation{} : peer->second.process}, leader->term};
        messages.emplace(party, lending_message(party)).first->second.mutable_pool_lent()->set_asks_room(true);
    }
}

void member::stop_lending() {
    m_lending.rooms.clear();
    m_lending.loans.clear();
    m_lending.borrowed.clear();
    m_lending.outgoing.clear();
    m_lending.askers.clear();
    m_lending.notices.clear();
}

} // namespace heathermoor::member
