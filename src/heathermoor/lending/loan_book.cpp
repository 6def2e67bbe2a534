#include "heathermoor/lending/loan_book.hpp"

#include "heathermoor/lease/run_bounds.hpp"
#include <algorithm>
#include <iterator>
#include <utility>

namespace heathermoor::lending {

namespace internal {

/// Part of a lent job's time that is kept for the way of its answer through the lender.
constexpr milliseconds answer_way{50};

/// Time from the lending of a job after which the borrower takes it no more: its word for the lender has expired by then.
constexpr milliseconds arrival_limit{lease::host_confirmation_time + milliseconds{150}};

/// Time beyond its deadline for which a job counts as lent before.
constexpr seconds memory{2};

} // namespace internal

bool loan_book::may_lend(const job_id &id) const {
    return m_loans.size() < max_loans && !m_loans.contains(id) && !m_lent_before.contains(id);
}

pool::submission loan_book::lend(const party &to, std::vector<pool::submission> submissions, time_point now) {
    auto sent = submissions.front();
    for(const auto &one: submissions) {
        sent.remaining = std::max(sent.remaining, one.remaining);
    }
    m_lent_before[sent.job.id] = {now + sent.remaining + internal::memory, false};
    sent.remaining = std::max(duration::zero(), sent.remaining - internal::answer_way);
    loan one{to, now, {}};
    for(auto &work: submissions) {
        one.waiting.push_back({std::move(work), now});
    }
    m_loans.insert_or_assign(sent.job.id, std::move(one));
    ++m_counts.lent;
    return sent;
}

void loan_book::join(pool::submission work, time_point now) {
    auto &waiting = m_loans.at(work.job.id).waiting;
    std::erase_if(waiting, [&](const held_submission &one) { return one.work.from.process == work.from.process; });
    waiting.push_back({std::move(work), now});
}

void loan_book::cancel(const pool::gateway_ref &from, const job_id &id) {
    const auto found = m_loans.find(id);
    if(found == m_loans.end()) {
        return;
    }
    auto &waiting = found->second.waiting;
    std::erase_if(waiting, [&](const held_submission &one) {
        return one.work.from.process == from.process && one.work.from.session <= from.session;
    });
    if(waiting.empty()) {
        m_loans.erase(found);
    }
}

bool loan_book::may_run_elsewhere(const job_id &id) const {
    const auto found = m_lent_before.find(id);
    return found != m_lent_before.end() && !found->second.returned;
}

void loan_book::drop_gateways(const std::function<bool(const pool::gateway_ref &)> &gone) {
    for(auto item = m_loans.begin(); item != m_loans.end();) {
        auto &waiting = item->second.waiting;
        std::erase_if(waiting, [&](const held_submission &one) { return gone(one.work.from); });
        item = waiting.empty() ? m_loans.erase(item) : std::next(item);
    }
}

bool loan_book::waits(const pool::gateway_ref &from, const job_id &id) const {
    const auto found = m_loans.find(id);
    return found != m_loans.end() && std::any_of(found->second.waiting.begin(), found->second.waiting.end(),
                                                 [&](const held_submission &one) { return one.work.from == from; });
}

std::vector<pool::submission> loan_book::submissions_of(loan &one, time_point now) {
    std::vector<pool::submission> result;
    for(auto &[work, arrived]: one.waiting) {
        const auto waited = now - arrived;
        work.age += waited;
        work.remaining = std::max(duration::zero(), work.remaining - waited);
        work.earlier_runs_end_in = std::max(duration::zero(), work.earlier_runs_end_in - waited);
        result.push_back(std::move(work));
    }
    return result;
}

std::vector<pool::submission> loan_book::take_returned(const party &from, const job_id &id, bool explicitly, time_point now) {
    const auto found = m_loans.find(id);
    if(found == m_loans.end() || !(found->second.to == from)) {
        return {};
    }
    if(!explicitly && now - found->second.lent_at < internal::arrival_limit) {
        return {};
    }
    auto result = submissions_of(found->second, now);
    m_loans.erase(found);
    m_lent_before[id].returned = true;
    ++m_counts.returned;
    return result;
}

std::vector<pool::gateway_ref> loan_book::take_answered(const party &from, const job_id &id) {
    const auto found = m_loans.find(id);
    if(found == m_loans.end() || !(found->second.to == from)) {
        return {};
    }
    std::vector<pool::gateway_ref> result;
    for(const auto &one: found->second.waiting) {
        result.push_back(one.work.from);
    }
    m_loans.erase(found);
    ++m_counts.answered;
    return result;
}

std::vector<pool::submission> loan_book::take_lost(const party &to, time_point now) {
    std::vector<pool::submission> result;
    for(auto item = m_loans.begin(); item != m_loans.end();) {
        if(!(item->second.to == to)) {
            ++item;
            continue;
        }
        ++m_counts.lost;
        for(auto &work: submissions_of(item->second, now)) {
            work.may_have_run = true;
            work.earlier = {};
            work.earlier_runs_end_in = std::max<duration>(work.earlier_runs_end_in, lease::longest_lent_run);
            work.lock_wait = lease::longest_lent_run;
            result.push_back(std::move(work));
        }
        item = m_loans.erase(item);
    }
    return result;
}

std::vector<std::pair<pool::gateway_ref, job_id>> loan_book::take_expired(time_point now) {
    std::vector<std::pair<pool::gateway_ref, job_id>> result;
    for(auto item = m_loans.begin(); item != m_loans.end();) {
        auto &[id, one] = *item;
        for(const auto &[work, arrived]: one.waiting) {
            if(now - arrived >= work.remaining) {
                result.emplace_back(work.from, id);
            }
        }
        std::erase_if(one.waiting, [now](const held_submission &held) { return now - held.arrived >= held.work.remaining; });
        m_counts.expired += one.waiting.empty() ? 1 : 0;
        item = one.waiting.empty() ? m_loans.erase(item) : std::next(item);
    }
    std::erase_if(m_lent_before, [&](const auto &item) { return now >= item.second.until; });
    return result;
}

std::map<party, std::vector<job_id>> loan_book::open() const {
    std::map<party, std::vector<job_id>> result;
    for(const auto &[id, one]: m_loans) {
        result[one.to].push_back(id);
    }
    return result;
}

void loan_book::clear() {
    m_loans.clear();
    m_lent_before.clear();
}

} // namespace heathermoor::lending
