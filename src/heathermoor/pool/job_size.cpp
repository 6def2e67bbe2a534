#include "heathermoor/pool/job_size.hpp"

#include <algorithm>

namespace heathermoor::pool {

namespace internal {

/// Jobs of a queue that a new one is compared with.
constexpr std::size_t ranking_window = 256;

/// Minimum number of earlier jobs for a ranking.
constexpr std::size_t min_ranked_jobs = 20;

/// Shares of the recent jobs that bound the classes, counted from the largest.
constexpr double largest_share = 0.1;
constexpr double large_share = 0.3;

} // namespace internal

std::string_view name_of(size_class size) noexcept {
    switch(size) {
    case size_class::largest_tenth:
        return "largest_tenth";
    case size_class::next_fifth:
        return "next_fifth";
    case size_class::rest:
        break;
    }
    return "rest";
}

size_class size_ranking::add(const queue_id &queue, double work) {
    auto &recent = m_queues[queue];
    const auto known = recent.work.size();
    const auto larger = std::count_if(recent.work.begin(), recent.work.end(), [work](double other) { return other > work; });
    if(known < internal::ranking_window) {
        recent.work.push_back(work);
    } else {
        recent.work[recent.oldest] = work;
        recent.oldest = (recent.oldest + 1) % internal::ranking_window;
    }
    if(known < internal::min_ranked_jobs) {
        return size_class::rest;
    }
    const auto share = static_cast<double>(larger) / static_cast<double>(known);
    if(share < internal::largest_share) {
        return size_class::largest_tenth;
    }
    return share < internal::large_share ? size_class::next_fifth : size_class::rest;
}

} // namespace heathermoor::pool
