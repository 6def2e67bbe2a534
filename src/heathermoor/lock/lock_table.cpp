#include "heathermoor/lock/lock_table.hpp"

#include "heathermoor/core/event.hpp"
#include <algorithm>

namespace heathermoor::lock {

namespace internal {

/// Time in which holders register their locks with a new leader that they have heard: its announcement, their timer, and the way back.
constexpr milliseconds collection_time{80};

/// Time for which the answer of an ended job, or that it may have run, is remembered.
constexpr seconds retention{5};

/// Most jobs remembered after their end; the oldest are forgotten first.
constexpr std::size_t max_remembered = 65'536;

/// Difference from which a cancelling is that of a later request, and no copy that took longer on its way.
constexpr seconds renewal_step{1};

/// Interval of the search for locks that were never released.
constexpr seconds sweep_interval{1};

} // namespace internal

void lock_table::open(time_point now) {
    m_entries.clear();
    m_contended.clear();
    m_freed.clear();
    m_heard.clear();
    m_cancelled.clear();
    m_cancel_waiters.clear();
    m_collecting_until = now + internal::collection_time;
    m_registering_until = now + holder_silence_limit;
}

bool lock_table::is_silent(const holder_ref &holder, time_point now) const {
    const auto found = m_heard.find(holder);
    return found == m_heard.end() || now - found->second >= holder_silence_limit;
}

bool lock_table::is_held(const entry &one, time_point now) const {
    return one.holder && now < one.until && !is_silent(*one.holder, now);
}

void lock_table::heard(const holder_ref &from, time_point now) {
    m_heard[from] = now;
}

void lock_table::wait(entry &one, const acquire_request &request, const holder_ref &from, time_point now) {
    const auto until = now + request.needed;
    const auto known =
        std::find_if(one.waiters.begin(), one.waiters.end(), [&](const waiter &item) { return item.holder.cell == from.cell; });
    if(known == one.waiters.end()) {
        one.waiters.push_back({from, until});
    } else {
        *known = {from, until};
    }
    m_contended.insert(request.id);
}

lock_reply lock_table::acquire(const acquire_request &request, const holder_ref &from, time_point now) {
    heard(from, now);
    auto &one = m_entries[request.id];
    one.asked = true;
    if(one.answer) {
        return {request.id, lock_state::ended, true, one.answer};
    }
    const bool held = is_held(one, now);
    const bool own = one.holder == from;
    const bool same_cell = one.holder && one.holder->cell == from.cell;
    if(held && !own && !same_cell) {
        if(request.scheduled) {
            log_event(log_level::warning, "lock", "lock_conflict",
                      {{"job", request.id}, {"holder", one.holder->process.host}, {"other", from.process.host}});
        }
        wait(one, request, from, now);
        return {request.id, lock_state::held, true, {}};
    }
    if(!held && one.last_cell != from.cell && now < one.shared_until) {
        wait(one, request, from, now);
        return {request.id, request.scheduled ? lock_state::undecided : lock_state::held, true, {}};
    }
    if(!held && !request.scheduled && now < m_collecting_until) {
        wait(one, request, from, now);
        return {request.id, lock_state::undecided, one.may_have_run, {}};
    }
    if(one.holder && !own) {
        one.may_have_run = true;
        one.shared_until = now + holder_silence_limit;
    }
    one.holder = from;
    one.last_cell = from.cell;
    one.until = std::max(own ? one.until : now, now + request.needed);
    std::erase_if(one.waiters, [&](const waiter &item) { return item.holder == from || item.holder.cell == from.cell; });
    if(one.waiters.empty()) {
        m_contended.erase(request.id);
    }
    return {request.id, lock_state::granted, one.may_have_run, {}};
}

std::vector<addressed_reply> lock_table::release(const release_request &request, const holder_ref &from, time_point now) {
    heard(from, now);
    const auto found = m_entries.find(request.id);
    if(found == m_entries.end() && !request.answer) {
        return {};
    }
    auto &one = m_entries[request.id];
    std::erase_if(one.waiters, [&](const waiter &item) { return item.holder == from; });
    const bool late_answer = request.answer && !is_held(one, now);
    if(one.holder != from && !late_answer) {
        return {};
    }
    one.holder.reset();
    one.may_have_run = one.may_have_run || request.may_have_run;
    if(!one.cancelled_at || !one.answer) {
        one.answer = request.answer;
    }
    return settle(request.id, now);
}

std::vector<addressed_reply> lock_table::cancel(const cancellation::notice &received, const holder_ref &from, time_point now) {
    auto &one = m_entries[received.id];
    if(!one.cancelled_at || now - *one.cancelled_at >= internal::renewal_step) {
        one.cancelled_at = now;
        m_cancelled.push_back({received.id, now});
    }
    m_cancel_waiters.insert({received.id, from});
    if(!one.answer) {
        one.answer = cancellation::cancelled_answer;
        log_event(log_level::info, "lock", "job_cancelled", {{"job", received.id}, {"asked", one.asked}, {"waiters", one.waiters.size()}});
    }
    std::vector<addressed_reply> replies;
    if(one.holder) {
        replies.push_back({*one.holder, {received.id, lock_state::ended, true, one.answer}});
    }
    for(const auto &item: one.waiters) {
        replies.push_back({item.holder, {received.id, lock_state::ended, true, one.answer}});
    }
    one.waiters.clear();
    m_contended.erase(received.id);
    return replies;
}

std::vector<cancelled_job> lock_table::take_cancelled(time_point now) {
    std::vector<cancelled_job> result;
    std::erase_if(m_cancel_waiters, [&](const auto &asked) {
        const auto &[id, from] = asked;
        const auto found = m_entries.find(id);
        const bool asked_for = found != m_entries.end() && found->second.asked;
        if(asked_for ? is_held(found->second, now) : now < m_registering_until) {
            return false;
        }
        const bool known = asked_for && found->second.answer == cancellation::cancelled_answer;
        result.push_back({from, id, known});
        return true;
    });
    return result;
}

std::vector<addressed_reply> lock_table::compare(const std::vector<acquire_request> &requests, const holder_ref &from, time_point now) {
    std::vector<addressed_reply> replies;
    std::set<job_id> listed;
    for(const auto &request: requests) {
        listed.insert(request.id);
        auto reply = acquire(request, from, now);
        if(reply.state != lock_state::granted || !request.scheduled) {
            replies.push_back({from, std::move(reply)});
        }
    }
    std::vector<job_id> missing;
    for(const auto &[id, one]: m_entries) {
        if(one.holder == from && !listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for(const auto &id: missing) {
        auto freed = release({id, true, {}}, from, now);
        replies.insert(replies.end(), freed.begin(), freed.end());
    }
    return replies;
}

std::vector<addressed_reply> lock_table::settle(const job_id &id, time_point now) {
    std::vector<addressed_reply> replies;
    auto &one = m_entries.at(id);
    std::erase_if(one.waiters, [&](const waiter &item) { return now >= item.until || is_silent(item.holder, now); });
    if(one.answer) {
        for(const auto &item: one.waiters) {
            replies.push_back({item.holder, {id, lock_state::ended, true, one.answer}});
        }
        one.waiters.clear();
    }
    if(!one.waiters.empty() && now >= one.shared_until) {
        const auto next = one.waiters.front();
        one.waiters.erase(one.waiters.begin());
        one.holder = next.holder;
        one.last_cell = next.holder.cell;
        one.until = next.until;
        replies.push_back({next.holder, {id, lock_state::granted, one.may_have_run, {}}});
    }
    if(one.waiters.empty()) {
        m_contended.erase(id);
    }
    if(!one.holder) {
        one.freed_at = now;
        m_freed.push_back({id, now});
    }
    return replies;
}

std::vector<addressed_reply> lock_table::tick(time_point now) {
    std::vector<addressed_reply> replies;
    const std::vector<job_id> contended{m_contended.begin(), m_contended.end()};
    for(const auto &id: contended) {
        auto &one = m_entries[id];
        if(now < m_collecting_until || is_held(one, now) || now < one.shared_until) {
            continue;
        }
        one.may_have_run = one.may_have_run || one.holder.has_value();
        one.holder.reset();
        auto settled = settle(id, now);
        replies.insert(replies.end(), settled.begin(), settled.end());
    }
    forget_freed(now);
    forget_cancelled(now);
    sweep(now);
    return replies;
}

void lock_table::forget_freed(time_point now) {
    while(!m_freed.empty() && (now - m_freed.front().at >= internal::retention || m_freed.size() > internal::max_remembered)) {
        const auto oldest = m_freed.front();
        m_freed.pop_front();
        const auto found = m_entries.find(oldest.id);
        if(found == m_entries.end() || found->second.cancelled_at) {
            continue;
        }
        if(!found->second.holder && found->second.waiters.empty() && found->second.freed_at == oldest.at) {
            m_entries.erase(found);
        }
    }
}

void lock_table::forget_cancelled(time_point now) {
    while(!m_cancelled.empty() &&
          (now - m_cancelled.front().at >= cancellation::retention || m_cancelled.size() > cancellation::max_remembered)) {
        const auto oldest = m_cancelled.front();
        m_cancelled.pop_front();
        const auto found = m_entries.find(oldest.id);
        if(found == m_entries.end() || found->second.cancelled_at != oldest.at) {
            continue;
        }
        found->second.cancelled_at.reset();
        if(!is_held(found->second, now)) {
            m_entries.erase(found);
        }
    }
}

void lock_table::sweep(time_point now) {
    if(now < m_next_sweep) {
        return;
    }
    m_next_sweep = now + internal::sweep_interval;
    std::erase_if(m_entries, [now](const auto &item) {
        return item.second.holder && !item.second.cancelled_at && item.second.waiters.empty() && now >= item.second.until &&
               now >= item.second.shared_until;
    });
    std::erase_if(m_heard, [now](const auto &item) { return now - item.second >= 2 * holder_silence_limit; });
}

} // namespace heathermoor::lock
