#include "heathermoor/lock/home_map.hpp"

#include "heathermoor/core/hash.hpp"
#include "heathermoor/core/rendezvous.hpp"
#include <fmt/format.h>
#include <set>

namespace heathermoor::lock {

namespace internal {

/// Time for which the earlier home of a job counts after a change of the cells.
constexpr seconds earlier_home_time{3};

[[nodiscard]] const cell::cell_id &choose_home(const std::vector<cell::cell_id> &cells, const job_id &id) {
    const auto key = hash64(id.str());
    const auto *best = &cells.front();
    double best_score = 0;
    for(const auto &one: cells) {
        const auto score = rendezvous_score(fmt::format("{}/{}", one.domain.str(), one.index), 1.0, key);
        if(score > best_score) {
            best = &one;
            best_score = score;
        }
    }
    return *best;
}

} // namespace internal

void home_map::set_cells(const std::vector<cell::cell_id> &cells, time_point now) {
    if(cells == m_cells) {
        return;
    }
    std::erase_if(m_earlier, [now](const division &one) { return now >= one.until; });
    if(!m_cells.empty()) {
        m_earlier.push_back({std::move(m_cells), now + internal::earlier_home_time});
    }
    m_cells = cells;
}

std::vector<cell::cell_id> home_map::of(const job_id &id, time_point now) const {
    if(m_cells.empty()) {
        return {};
    }
    std::set<cell::cell_id> homes{internal::choose_home(m_cells, id)};
    for(const auto &[cells, until]: m_earlier) {
        if(now < until) {
            homes.insert(internal::choose_home(cells, id));
        }
    }
    return {homes.begin(), homes.end()};
}

} // namespace heathermoor::lock
