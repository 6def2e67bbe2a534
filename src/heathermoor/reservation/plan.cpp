#include "heathermoor/reservation/plan.hpp"

#include <algorithm>

namespace heathermoor::reservation {

void plan::add(booking made) {
    drop(made.job);
    made.order = m_next_order++;
    const auto id = made.job;
    const auto &stored = m_bookings.emplace(id, std::move(made)).first->second;
    for(const auto row: stored.rows) {
        m_places[row].push_back(&stored);
    }
}

void plan::drop(const job_id &job) {
    const auto found = m_bookings.find(job);
    if(found == m_bookings.end()) {
        return;
    }
    for(const auto row: found->second.rows) {
        auto &places = m_places[row];
        std::erase(places, &found->second);
        if(places.empty()) {
            m_places.erase(row);
        }
    }
    m_bookings.erase(found);
}

const booking *plan::find(const job_id &job) const {
    const auto found = m_bookings.find(job);
    return found == m_bookings.end() ? nullptr : &found->second;
}

resources plan::reserved_at(const std::vector<const booking *> &places, time_point at, std::size_t ahead) {
    resources sum;
    for(const auto *one: places) {
        if(one->order < ahead && one->start <= at && at < one->end) {
            sum += one->need;
        }
    }
    return sum;
}

resources plan::room_beside(target_row row, resources free, time_point end, std::size_t ahead) const {
    const auto found = m_places.find(row);
    if(found == m_places.end()) {
        return free;
    }
    const auto &places = found->second;
    for(const auto *one: places) {
        if(one->order >= ahead || end <= one->latest) {
            continue;
        }
        auto left = m_room.free(row, one->start, one->start);
        left -= reserved_at(places, one->start, ahead);
        free = {std::min(free.cpu_millicores, left.cpu_millicores), std::min(free.memory_mb, left.memory_mb),
                std::min(free.gpus, left.gpus)};
    }
    return free;
}

} // namespace heathermoor::reservation
