#include "heathermoor/lending/room_board.hpp"

#include <algorithm>
#include <utility>

namespace heathermoor::lending {

namespace internal {

/// Part of its free room that a cell is lent: the rest is for its own callers and for other lenders.
constexpr std::int64_t lendable_divisor = 2;

/// Time that a loan may take until the borrower counts it, so that its next word covers it.
constexpr milliseconds arrival_time{60};

} // namespace internal

void room_board::note(const party &from, room_report report, time_point as_of) {
    auto &one = m_words[from];
    if(as_of < one.as_of) {
        return;
    }
    one.report = std::move(report);
    one.as_of = as_of;
    std::erase_if(one.since, [as_of](const loan &item) { return item.at + internal::arrival_time < as_of; });
}

std::int64_t room_board::left(const word &one, const service_id &service, const pool::job_need &need) {
    const auto room = one.report.find(service);
    if(room == one.report.end() || room->second.largest_cpu_millicores < need.largest_cpu_millicores) {
        return -1;
    }
    auto cpu = room->second.cpu_millicores / internal::lendable_divisor;
    for(const auto &item: one.since) {
        cpu -= item.service == service ? item.cpu_millicores : 0;
    }
    return cpu - need.total_cpu_millicores;
}

bool room_board::has_room(const service_id &service, const pool::job_need &need, time_point now) const {
    return std::any_of(m_words.begin(), m_words.end(),
                       [&](const auto &item) { return now - item.second.as_of < room_validity && left(item.second, service, need) >= 0; });
}

std::optional<party> room_board::choose(const service_id &service, const pool::job_need &need, time_point now) {
    auto best = m_words.end();
    std::int64_t best_left = -1;
    for(auto one = m_words.begin(); one != m_words.end(); ++one) {
        const auto cpu = now - one->second.as_of < room_validity ? left(one->second, service, need) : -1;
        if(cpu > best_left) {
            best = one;
            best_left = cpu;
        }
    }
    if(best == m_words.end()) {
        return std::nullopt;
    }
    best->second.since.push_back({service, need.total_cpu_millicores, now});
    return best->first;
}

duration room_board::age(const party &from, time_point now) const {
    const auto found = m_words.find(from);
    return found == m_words.end() ? duration::max() : now - found->second.as_of;
}

} // namespace heathermoor::lending
