#include "heathermoor/lending/borrow_book.hpp"

#include <iterator>
#include <set>
#include <utility>

namespace heathermoor::lending {

namespace internal {

/// Time for which a result is kept for a lender that does not take it.
constexpr seconds result_time{10};

} // namespace internal

void borrow_book::take(const party &lender, const pool::gateway_ref &from, const job_id &id, time_point now) {
    entry one;
    one.lender = lender;
    one.from = from;
    one.taken_at = now;
    m_entries.insert_or_assign(id, std::move(one));
    ++m_counts.borrowed;
}

const borrow_book::entry *borrow_book::find(const job_id &id) const {
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool borrow_book::open(const pool::gateway_ref &from, const job_id &id) const {
    const auto *one = find(id);
    return one != nullptr && !one->result && one->from.process == from.process;
}

bool borrow_book::open(const job_id &id) const {
    const auto *one = find(id);
    return one != nullptr && !one->result;
}

void borrow_book::scheduled(const job_id &id) {
    const auto found = m_entries.find(id);
    if(found != m_entries.end()) {
        found->second.scheduled = true;
    }
}

void borrow_book::returned(const job_id &id) {
    const auto found = m_entries.find(id);
    if(found != m_entries.end() && !found->second.result) {
        found->second.result = borrowed_result{id, true, {}};
        ++m_counts.returned;
    }
}

void borrow_book::answered(const job_id &id, const job::answer &answer) {
    if(answer.result == job::outcome::refused) {
        returned(id);
        return;
    }
    const auto found = m_entries.find(id);
    if(found != m_entries.end() && !found->second.result) {
        found->second.result = borrowed_result{id, false, answer};
        ++m_counts.answered;
    }
}

std::vector<std::pair<pool::gateway_ref, job_id>> borrow_book::compare(const party &lender, const std::vector<job_id> &listed) {
    const std::set<job_id> ids{listed.begin(), listed.end()};
    std::vector<std::pair<pool::gateway_ref, job_id>> stopped;
    for(auto item = m_entries.begin(); item != m_entries.end();) {
        auto &[id, one] = *item;
        const bool same_lender = one.lender == lender;
        if(!same_lender || ids.contains(id)) {
            one.sent = one.sent && !same_lender;
            ++item;
            continue;
        }
        if(!one.result) {
            stopped.emplace_back(one.from, id);
        }
        item = m_entries.erase(item);
    }
    return stopped;
}

std::map<party, std::vector<borrowed_result>> borrow_book::take_results() {
    std::map<party, std::vector<borrowed_result>> results;
    for(auto &[id, one]: m_entries) {
        if(one.result && !one.sent) {
            one.sent = true;
            results[one.lender].push_back(*one.result);
        }
    }
    return results;
}

std::vector<job_id> borrow_book::open_jobs() const {
    std::vector<job_id> result;
    for(const auto &[id, one]: m_entries) {
        if(!one.result) {
            result.push_back(id);
        }
    }
    return result;
}

void borrow_book::expire(time_point now) {
    std::erase_if(m_entries, [now](const auto &item) { return item.second.result && now - item.second.taken_at >= internal::result_time; });
}

} // namespace heathermoor::lending
