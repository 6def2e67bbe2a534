#include "heathermoor/cell/cell_plan.hpp"

#include "heathermoor/core/hash.hpp"
#include "heathermoor/core/rendezvous.hpp"
#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace heathermoor::cell {

namespace internal {

/// Targets of a failure domain from which it stands alone: with fewer, too little
/// room is free for a job at the crest.
constexpr std::size_t least_targets = 40;

/// Targets that a cell should have where a failure domain is divided.
constexpr double usual_targets = 110;

[[nodiscard]] std::uint32_t cells_for(std::size_t targets) {
    return static_cast<std::uint32_t>(std::max(1.0, std::round(static_cast<double>(targets) / usual_targets)));
}

} // namespace internal

cell_plan::cell_plan(const std::map<failure_domain_id, std::size_t> &targets) {
    std::map<failure_domain_id, std::size_t> sizes;
    std::size_t rest = 0;
    for(const auto &[domain, count]: targets) {
        if(count >= internal::least_targets) {
            m_groups[domain] = domain;
            sizes[domain] = count;
        } else {
            rest += count;
        }
    }
    if(rest < internal::least_targets && !sizes.empty()) {
        m_rest = sizes.begin()->first;
    }
    sizes[m_rest] += rest;
    for(const auto &[name, count]: sizes) {
        const auto cells = internal::cells_for(count);
        if(cells > 1) {
            m_counts[name] = cells;
        }
    }
}

cell_id cell_plan::of(const failure_domain_id &domain, const host_id &host) const {
    return divide(domain, host.str());
}

cell_id cell_plan::of(const failure_domain_id &domain, const target_id &target) const {
    return divide(domain, target.str());
}

std::size_t cell_plan::size() const noexcept {
    std::size_t result = 0;
    bool rest_counted = false;
    for(const auto &[domain, name]: m_groups) {
        const auto cells = m_counts.find(name);
        result += cells == m_counts.end() ? 1 : cells->second;
        rest_counted = rest_counted || name == m_rest;
    }
    if(!rest_counted) {
        const auto cells = m_counts.find(m_rest);
        result += cells == m_counts.end() ? 1 : cells->second;
    }
    return result;
}

cell_id cell_plan::divide(const failure_domain_id &domain, const std::string &name) const {
    const auto group = m_groups.find(domain);
    cell_id result{group == m_groups.end() ? m_rest : group->second, 0};
    const auto cells = m_counts.find(result.domain);
    if(cells == m_counts.end()) {
        return result;
    }
    const auto key = hash64(name);
    double best = 0;
    for(std::uint32_t index = 0; index < cells->second; ++index) {
        const auto score = rendezvous_score(std::to_string(index), 1.0, key);
        if(score > best) {
            best = score;
            result.index = index;
        }
    }
    return result;
}

} // namespace heathermoor::cell
