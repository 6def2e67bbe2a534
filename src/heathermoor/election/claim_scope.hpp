#pragma once

#include "heathermoor/catalog/target_catalog.hpp"
#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include <set>
#include <vector>

namespace heathermoor::election {

/// @brief Host as input to the claim scope.
struct scope_member {
    host_id id;
    failure_domain_id domain;
    /// Whether its heartbeats arrive; always true for the own host.
    bool heard{};
};

/// @brief Decides which targets the leader of a group of hosts that hear each other should claim.
///
/// A majority claims all targets. A minority claims the failure domains all of whose
/// hosts it hears; if there is none, or if remote targets are reachable and only the
/// hosts are cut off from each other, it claims its share by rendezvous hashing.
/// Safety does not depend on the scope: fencing tokens exclude a second holder of a target.
class claim_scope {
  public:
    /// @brief Computes the scope for a set of hosts.
    /// @param members All known hosts, including the own one.
    /// @param remote_reachable Targets in failure domains whose hosts are not all heard can be reached.
    claim_scope(std::vector<scope_member> members, bool remote_reachable);

    /// @brief Whether the hosts that are heard form a majority.
    /// @return True for more than half of the hosts, or for exactly half if it includes the host with the lowest id.
    [[nodiscard]] bool majority() const noexcept { return m_majority; }

    /// @brief Whether a target should be claimed.
    /// @param target Entry from the catalog.
    /// @return True if the target is in scope.
    [[nodiscard]] bool includes(const catalog::target_entry &target) const;

    /// @brief How long to wait before reclaiming a target that another leader took.
    /// @param target Entry from the catalog.
    /// @return Delay; longer for a majority if the target is assigned to a host that is not heard.
    [[nodiscard]] milliseconds reclaim_delay(const catalog::target_entry &target) const;

    friend bool operator==(const claim_scope &left, const claim_scope &right) noexcept {
        return left.m_majority == right.m_majority && left.m_remote_reachable == right.m_remote_reachable &&
               left.m_heard == right.m_heard && left.m_missing == right.m_missing;
    }

  private:
    [[nodiscard]] bool assigned_to_heard(const target_id &target) const;

    std::vector<scope_member> m_members;
    std::set<host_id> m_heard;
    std::set<host_id> m_missing;
    /// Failure domains with no unheard host.
    std::set<failure_domain_id> m_whole_domains;
    bool m_majority{};
    bool m_remote_reachable{};
};

} // namespace heathermoor::election
