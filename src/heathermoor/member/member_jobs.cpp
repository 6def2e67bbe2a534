#include "heathermoor/core/event.hpp"
#include "heathermoor/lease/run_bounds.hpp"
#include "heathermoor/member/convert.hpp"
#include "heathermoor/member/member.hpp"
#include <algorithm>
#include <utility>

namespace heathermoor::member {

void member::handle_submit(const wire::envelope &message) {
    if(!m_leading || message.pool_job().term() != raw(m_term)) {
        return;
    }
    const auto from = gateway_of(message);
    const auto &host = from.process.host;
    const auto at = now();
    auto work = from_wire(message.pool_job(), from);
    if(!work) {
        log_event(log_level::warning, "member", "submission_invalid", {{"job", message.pool_job().id()}, {"from", host}});
        return;
    }
    const auto confirmed_at = from.process == self() ? at : echoed_at(message);
    const auto confirmed_until = confirmed_at + lease::host_confirmation_time;
    if(confirmed_until <= at) {
        log_event(log_level::info, "member", "submission_stale", {{"job", message.pool_job().id()}, {"from", host}});
        return;
    }
    m_scheduler.confirm_gateway(from, confirmed_until);
    if(m_cancel_relay.bars(work->job.id)) {
        answer(from, work->job.id, cancellation::cancelled_answer);
        return;
    }
    if(m_lending.loans.lent(work->job.id)) {
        send_notice(from, work->job.id);
        m_lending.loans.join(std::move(*work), at);
        return;
    }
    if(m_lending.loans.may_run_elsewhere(work->job.id)) {
        work->earlier = {};
        work->earlier_runs_end_in = std::max<duration>(work->earlier_runs_end_in, lease::longest_lent_run);
        work->lock_wait = lease::longest_lent_run;
    }
    m_locks.submit(std::move(*work), at);
    settle_locks(lock_flush::urgent);
}

void member::handle_withdrawal(const wire::envelope &message) {
    if(m_leading && message.pool_cancelled().term() == raw(m_term)) {
        const job_id id{message.pool_cancelled().id()};
        m_locks.cancel(gateway_of(message), id);
        m_lending.loans.cancel(gateway_of(message), id);
        m_scheduler.cancel(gateway_of(message), id, now());
    }
}

void member::handle_query(const wire::envelope &message) {
    if(m_settings.lending) {
        handle_notice(message);
    }
    if(!m_leading || message.pool_asked().term() != raw(m_term)) {
        return;
    }
    const auto from = gateway_of(message);
    for(const auto &id: message.pool_asked().ids()) {
        if(!m_scheduler.answer_query(from, job_id{id}) && !m_locks.waits(from, job_id{id}) && !m_lending.loans.waits(from, job_id{id})) {
            wire::envelope reply;
            reply.mutable_pool_answered()->set_id(id);
            reply.mutable_pool_answered()->set_not_known(true);
            reply.mutable_pool_answered()->set_term(raw(m_term));
            reply.mutable_pool_answered()->set_session(raw(from.session));
            reply.set_to_incarnation(raw(from.process.process));
            send(from.process.host, std::move(reply));
        }
    }
}

void member::handle_answer(const wire::envelope &message) {
    const auto &reply = message.pool_answered();
    // Processes of earlier versions name no session.
    const auto session = reply.session() == 0 ? m_gateway.self().session : gateway_session{reply.session()};
    const gateway::answer_origin from{{host_id{message.from()}, leader_term{reply.term()}}, session};
    if(reply.not_known()) {
        m_gateway.not_known(from, job_id{reply.id()}, now());
        return;
    }
    job::answer answer;
    const bool known = reply.result() <= static_cast<std::uint32_t>(job::outcome::unknown);
    answer.result = known ? static_cast<job::outcome>(reply.result()) : job::outcome::unknown;
    answer.reason = to_errc(reply.reason());
    answer.retry_after = milliseconds{reply.retry_after_ms()};
    m_gateway.answered(from, job_id{reply.id()}, answer, now());
}

void member::answer(const pool::gateway_ref &to, const job_id &job, const job::answer &answer) {
    if(m_lending.borrowed.open(to, job)) {
        m_lending.borrowed.answered(job, answer);
        return;
    }
    wire::envelope message;
    message.set_to_incarnation(raw(to.process.process));
    auto &body = *message.mutable_pool_answered();
    body.set_id(job.str());
    body.set_result(static_cast<std::uint32_t>(answer.result));
    body.set_reason(static_cast<std::uint32_t>(answer.reason));
    body.set_retry_after_ms(answer.retry_after.count());
    body.set_term(raw(m_term));
    body.set_session(raw(to.session));
    send(to.process.host, std::move(message));
}

void member::submit(const gateway::leader_ref &leader, pool::submission work) {
    wire::envelope message;
    *message.mutable_pool_job() = to_wire(work, leader.term);
    send(leader.host, std::move(message));
}

void member::cancel(const gateway::leader_ref &leader, const job_id &id) {
    wire::envelope message;
    message.mutable_pool_cancelled()->set_id(id.str());
    message.mutable_pool_cancelled()->set_term(raw(leader.term));
    send(leader.host, std::move(message));
}

void member::query(const gateway::leader_ref &leader, const std::vector<job_id> &ids) {
    wire::envelope message;
    for(const auto &id: ids) {
        message.mutable_pool_asked()->add_ids(id.str());
    }
    message.mutable_pool_asked()->set_term(raw(leader.term));
    send(leader.host, std::move(message));
}

} // namespace heathermoor::member
