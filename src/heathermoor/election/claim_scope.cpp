#include "heathermoor/election/claim_scope.hpp"

#include "heathermoor/core/hash.hpp"
#include "heathermoor/core/rendezvous.hpp"
#include <algorithm>

namespace heathermoor::election {

namespace internal {

/// Delay before reclaiming a target that rendezvous hashing assigns to a host heard here.
constexpr milliseconds assigned_reclaim_delay{300};

/// Delay before reclaiming a target assigned to an unheard host, which may be
/// alive and use the target for its own callers.
constexpr milliseconds unassigned_reclaim_delay{6'000};

} // namespace internal

claim_scope::claim_scope(std::vector<scope_member> members, bool remote_reachable)
    : m_members{std::move(members)}, m_remote_reachable{remote_reachable} {
    for(const auto &one: m_members) {
        (one.heard ? m_heard : m_missing).insert(one.id);
        m_whole_domains.insert(one.domain);
    }
    for(const auto &one: m_members) {
        if(!one.heard) {
            m_whole_domains.erase(one.domain);
        }
    }
    const auto first = std::min_element(m_members.begin(), m_members.end(),
                                        [](const scope_member &left, const scope_member &right) { return left.id < right.id; });
    const bool has_first = first != m_members.end() && first->heard;
    m_majority = m_heard.size() > m_missing.size() || (m_heard.size() == m_missing.size() && has_first);
}

bool claim_scope::assigned_to_heard(const target_id &target) const {
    const scope_member *best = nullptr;
    double best_score = 0;
    const auto key = hash64(target.str());
    for(const auto &one: m_members) {
        const auto score = rendezvous_score(one.id.str(), 1.0, key);
        if(best == nullptr || score > best_score) {
            best = &one;
            best_score = score;
        }
    }
    return best != nullptr && best->heard;
}

bool claim_scope::includes(const catalog::target_entry &target) const {
    if(m_majority) {
        return true;
    }
    if(!m_remote_reachable && !m_whole_domains.empty()) {
        return m_whole_domains.contains(target.domain);
    }
    return assigned_to_heard(target.id);
}

milliseconds claim_scope::reclaim_delay(const catalog::target_entry &target) const {
    const bool own = !m_majority || assigned_to_heard(target.id);
    return own ? internal::assigned_reclaim_delay : internal::unassigned_reclaim_delay;
}

} // namespace heathermoor::election
