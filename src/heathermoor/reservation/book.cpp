#include "heathermoor/reservation/book.hpp"

namespace heathermoor::reservation {

std::vector<job_id> book::update(const plan &current, time_point now) {
    std::vector<job_id> fresh;
    for(const auto &[job, made]: current.bookings()) {
        if(m_promises.try_emplace(job, promise{now, made.start, made.latest}).second) {
            ++m_counts.made;
            fresh.push_back(job);
        }
    }
    return fresh;
}

void book::hold(const job_id &job) {
    m_counts.held += m_held.insert(job).second ? 1 : 0;
}

std::optional<promise> book::end(const job_id &job, reservation_end how) {
    m_held.erase(job);
    const auto found = m_promises.find(job);
    if(found == m_promises.end()) {
        return std::nullopt;
    }
    const auto promised = found->second;
    m_promises.erase(found);
    m_counts.met += how == reservation_end::met ? 1 : 0;
    m_counts.missed += how == reservation_end::missed ? 1 : 0;
    return promised;
}

const promise *book::find(const job_id &job) const {
    const auto found = m_promises.find(job);
    return found == m_promises.end() ? nullptr : &found->second;
}

void book::clear() {
    m_promises.clear();
    m_held.clear();
}

} // namespace heathermoor::reservation
