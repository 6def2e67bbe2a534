#pragma once

#include "heathermoor/catalog/target_catalog.hpp"
#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include <set>
#include <vector>

namespace heathermoor::election {

/// @brief Host as it counts for the division of targets.
struct scope_member {
    host_id id;
    failure_domain_id domain;
    /// The host is heard now; the own one always is.
    bool heard{};
};

/// @brief Which targets the scheduler among the hosts that hear each other should hold.
///
/// Most of the hosts hold all targets. Fewer hosts hold whole failure domains
/// that are cut off with them, or, if only the hosts are cut off from each
/// other, the share of the targets that falls to them by rendezvous hashing.
/// Safety does not depend on it: a target's fence keeps two holders apart.
class claim_scope {
  public:
    /// @brief Scope for a set of hosts.
    /// @param members All hosts known, the own one included.
    /// @param far_reachable Targets of failure domains whose hosts are not all heard can be reached.
    claim_scope(std::vector<scope_member> members, bool far_reachable);

    /// @brief Whether the hosts that are heard are the larger part of all hosts.
    /// @return True for more than half, or for half with the first host.
    [[nodiscard]] bool majority() const noexcept { return m_majority; }

    /// @brief Whether a target should be held.
    /// @param target Target.
    /// @return True if it is in scope.
    [[nodiscard]] bool includes(const catalog::target_entry &target) const;

    /// @brief How long to leave a target to another holder that took it.
    /// @param target Target.
    /// @return Pause before it is claimed again.
    [[nodiscard]] milliseconds reclaim_delay(const catalog::target_entry &target) const;

    friend bool operator==(const claim_scope &left, const claim_scope &right) noexcept {
        return left.m_majority == right.m_majority && left.m_far_reachable == right.m_far_reachable && left.m_heard == right.m_heard &&
               left.m_missing == right.m_missing;
    }

  private:
    [[nodiscard]] bool falls_to_heard(const target_id &target) const;

    std::vector<scope_member> m_members;
    std::set<host_id> m_heard;
    std::set<host_id> m_missing;
    /// Failure domains of which every known host is heard.
    std::set<failure_domain_id> m_whole_domains;
    bool m_majority{};
    bool m_far_reachable{};
};

} // namespace heathermoor::election
