#include "heathermoor/cell/cell_plan.hpp"

#include "heathermoor/core/hash.hpp"
#include "heathermoor/core/rendezvous.hpp"
#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <vector>

namespace heathermoor::cell {

namespace internal {

/// Fewest targets for a failure domain to have its own cells: with fewer, too little
/// capacity is free for a job at peak load.
constexpr std::size_t min_domain_targets = 40;

/// Intended number of targets per cell where a failure domain is split.
constexpr double targets_per_cell = 110;

[[nodiscard]] std::uint32_t cells_for(std::size_t targets) {
    return static_cast<std::uint32_t>(std::max(1.0, std::round(static_cast<double>(targets) / targets_per_cell)));
}

} // namespace internal

cell_plan::cell_plan(const std::map<failure_domain_id, std::size_t> &targets) {
    std::map<failure_domain_id, std::size_t> sizes;
    std::size_t shared_targets = 0;
    for(const auto &[domain, count]: targets) {
        if(count >= internal::min_domain_targets) {
            m_cell_domains[domain] = domain;
            sizes[domain] = count;
        } else {
            shared_targets += count;
        }
    }
    if(shared_targets < internal::min_domain_targets && !sizes.empty()) {
        m_shared_name = sizes.begin()->first;
    }
    sizes[m_shared_name] += shared_targets;
    for(const auto &[name, count]: sizes) {
        const auto cells = internal::cells_for(count);
        if(cells > 1) {
            m_cell_counts[name] = cells;
        }
    }
}

cell_id cell_plan::of(const failure_domain_id &domain, const host_id &host) const {
    return find_cell(domain, host.str());
}

cell_id cell_plan::of(const failure_domain_id &domain, const target_id &target) const {
    return find_cell(domain, target.str());
}

std::vector<cell_id> cell_plan::all() const {
    std::set<failure_domain_id> names{m_shared_name};
    for(const auto &[domain, name]: m_cell_domains) {
        names.insert(name);
    }
    std::vector<cell_id> result;
    for(const auto &name: names) {
        const auto cells = m_cell_counts.find(name);
        const auto count = cells == m_cell_counts.end() ? 1 : cells->second;
        for(std::uint32_t index = 0; index < count; ++index) {
            result.push_back({name, index});
        }
    }
    return result;
}

cell_id cell_plan::find_cell(const failure_domain_id &domain, const std::string &name) const {
    const auto group = m_cell_domains.find(domain);
    cell_id result{group == m_cell_domains.end() ? m_shared_name : group->second, 0};
    const auto cells = m_cell_counts.find(result.domain);
    if(cells == m_cell_counts.end()) {
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
