#pragma once

#include "heathermoor/core/id.hpp"
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

namespace heathermoor::cell {

/// @brief Hosts and targets that are scheduled on their own, by a leader of their own.
struct cell_id {
    /// First failure domain of those that share their cells.
    failure_domain_id domain;
    std::uint32_t index{};

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the defaulted comparison for a null pointer
    friend auto operator<=>(const cell_id &, const cell_id &) = default;
};

/// @brief Divides a deployment into cells, so that the work of a leader and the heartbeats of a host stay bounded.
///
/// A function of the targets alone: hosts with the same list of targets divide
/// alike. A failure domain with enough targets stands alone, so that it goes on
/// when it is cut off; the others share cells. A large one is divided by hash.
/// Safety does not depend on it: a target's fence keeps two leaders apart.
class cell_plan {
  public:
    /// @brief Plan with one cell for everything.
    cell_plan() = default;

    /// @brief Plan for a list of targets.
    /// @param targets Number of targets in each failure domain.
    explicit cell_plan(const std::map<failure_domain_id, std::size_t> &targets);

    /// @brief Cell of a host.
    /// @param domain Failure domain of the host.
    /// @param host Host.
    /// @return Cell.
    [[nodiscard]] cell_id of(const failure_domain_id &domain, const host_id &host) const;

    /// @brief Cell of a target.
    /// @param domain Failure domain of the target.
    /// @param target Target.
    /// @return Cell.
    [[nodiscard]] cell_id of(const failure_domain_id &domain, const target_id &target) const;

    /// @brief Number of cells.
    /// @return At least one.
    [[nodiscard]] std::size_t size() const noexcept;

    friend bool operator==(const cell_plan &, const cell_plan &) = default;

  private:
    [[nodiscard]] cell_id divide(const failure_domain_id &domain, const std::string &name) const;

    /// Failure domains that stand alone, and those that share cells with one of them, by the name of their cells.
    std::map<failure_domain_id, failure_domain_id> m_groups;
    /// Name of the cells of all other failure domains.
    failure_domain_id m_rest;
    /// Cells by name, where there are several.
    std::map<failure_domain_id, std::uint32_t> m_counts;
};

} // namespace heathermoor::cell
