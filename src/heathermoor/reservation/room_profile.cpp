#include "heathermoor/reservation/room_profile.hpp"

#include <algorithm>
#include <functional>
#include <queue>

namespace heathermoor::reservation {

namespace internal {

/// Share of the time taken so far that an overdue run is taken to last further.
constexpr double overdue_share = 0.25;

/// Least time that a run is taken to last further.
constexpr milliseconds least_left{5};

/// Times after the first possible one that are tried for a joint start.
constexpr std::size_t max_tries = 16;

[[nodiscard]] resources least_of(const resources &left, const resources &right) noexcept {
    return {std::min(left.cpu_millicores, right.cpu_millicores), std::min(left.memory_mb, right.memory_mb),
            std::min(left.gpus, right.gpus)};
}

} // namespace internal

time_point predicted_end(time_point began, duration expected, time_point now) {
    const auto end = began + expected;
    if(end >= now + internal::least_left) {
        return end;
    }
    const auto longer = from_ms(to_ms(now - began) * internal::overdue_share);
    return now + std::max<duration>(longer, internal::least_left);
}

target_row room_profile::add(const resources &free, std::vector<release> releases) {
    std::sort(releases.begin(), releases.end(), [](const release &left, const release &right) { return left.at < right.at; });
    steps row{{m_now, free}};
    for(const auto &[at, room]: releases) {
        const auto total = row.back().free + room;
        if(at <= row.back().at) {
            row.back().free = total;
        } else {
            row.push_back({at, total});
        }
    }
    m_rows.push_back(std::move(row));
    return static_cast<target_row>(m_rows.size() - 1);
}

resources room_profile::free(target_row row, time_point from, time_point until) const {
    const auto &all = steps_of(row);
    const auto later = std::find_if(all.begin(), all.end(), [from](const step &one) { return one.at > from; });
    auto least = later == all.begin() ? all.front().free : std::prev(later)->free;
    for(auto one = later; one != all.end() && one->at < until; ++one) {
        least = internal::least_of(least, one->free);
    }
    return least;
}

void room_profile::take(target_row row, const resources &need, time_point from, time_point until) {
    auto &all = m_rows[static_cast<std::size_t>(row)];
    const auto begin = std::max(from, m_now);
    if(until <= begin) {
        return;
    }
    for(const auto at: {begin, until}) {
        const auto later = std::find_if(all.begin(), all.end(), [at](const step &one) { return one.at > at; });
        const auto before = std::prev(later);
        if(before->at != at) {
            all.insert(later, step{at, before->free});
        }
    }
    for(auto &one: all) {
        if(one.at >= begin && one.at < until) {
            one.free -= need;
        }
    }
}

std::uint32_t room_profile::places(const request &wanted, target_row row, time_point at) const {
    const auto most = wanted.max_per_target == 0 ? wanted.tasks : std::min(wanted.tasks, wanted.max_per_target);
    const auto count = pieces(wanted.need, free(row, at, at + wanted.run));
    return static_cast<std::uint32_t>(std::min<std::int64_t>(count, most));
}

std::vector<target_row> room_profile::targets_at(const request &wanted, time_point at) const {
    std::vector<target_row> found;
    for(const auto row: wanted.rows) {
        const auto count = std::min<std::size_t>(places(wanted, row, at), wanted.tasks - found.size());
        found.insert(found.end(), count, row);
        if(found.size() == wanted.tasks) {
            return found;
        }
    }
    return {};
}

std::vector<time_point> room_profile::place_times(const request &wanted) const {
    std::vector<time_point> times;
    for(const auto row: wanted.rows) {
        std::uint32_t known = 0;
        for(const auto &one: steps_of(row)) {
            const auto count = places(wanted, row, one.at);
            if(count > known) {
                times.insert(times.end(), count - known, one.at);
                known = count;
            }
        }
    }
    const auto kept = std::min<std::size_t>(times.size(), wanted.tasks);
    std::partial_sort(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(kept), times.end());
    times.resize(kept);
    return times;
}

std::vector<time_point> room_profile::changes_after(const request &wanted, time_point after) const {
    std::vector<time_point> times;
    for(const auto row: wanted.rows) {
        for(const auto &one: steps_of(row)) {
            if(one.at > after) {
                times.push_back(one.at);
            }
        }
    }
    std::sort(times.begin(), times.end());
    times.erase(std::unique(times.begin(), times.end()), times.end());
    return times;
}

std::optional<joint_start> room_profile::earliest(const request &wanted) const {
    const auto times = place_times(wanted);
    if(wanted.tasks == 0 || times.size() < wanted.tasks) {
        return std::nullopt;
    }
    // Before the last of these times there is not room for all tasks; at it there is, unless room is taken again meanwhile.
    if(auto rows = targets_at(wanted, times.back()); !rows.empty()) {
        return joint_start{times.back(), std::move(rows)};
    }
    const auto later = changes_after(wanted, times.back());
    const auto tries = std::min(later.size(), internal::max_tries);
    for(std::size_t index = 0; index < tries; ++index) {
        if(auto rows = targets_at(wanted, later[index]); !rows.empty()) {
            return joint_start{later[index], std::move(rows)};
        }
    }
    return std::nullopt;
}

std::optional<time_point> room_profile::last_start_in_pieces(const request &wanted) const {
    const auto times = place_times(wanted);
    if(times.empty()) {
        return std::nullopt;
    }
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> next{std::greater<>{}, times};
    auto last = times.front();
    for(std::uint32_t task = 0; task < wanted.tasks; ++task) {
        last = next.top();
        next.pop();
        next.push(last + wanted.run);
    }
    return last;
}

} // namespace heathermoor::reservation
