#pragma once

#include "heathermoor/core/id.hpp"
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace heathermoor::cell {

/// @brief Identifies a cell: a group of hosts and targets with a leader of its own.
struct cell_id {
    /// Failure domain that names the cell; empty for the cells that small domains share on their own.
    failure_domain_id domain;
    std::uint32_t index{};

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the defaulted comparison for a null pointer
    friend auto operator<=>(const cell_id &, const cell_id &) = default;
};

/// @brief Partitions a deployment into cells, which bounds the work of a leader and the heartbeats of a host.
///
/// The plan depends only on the number of targets in each failure domain, so hosts with the
/// same list compute the same plan. A failure domain with enough targets has its own cells, so
/// that it keeps working in a partition; the others share cells. Large ones are split by hash.
/// Fencing tokens exclude a second leader at each target whatever the plan; that a job has one leader rests on its lock (`lock`).
class cell_plan {
  public:
    /// @brief Creates a plan with a single cell.
    cell_plan() = default;

    /// @brief Computes the plan for a deployment.
    /// @param targets Number of targets in each failure domain.
    explicit cell_plan(const std::map<failure_domain_id, std::size_t> &targets);

    /// @brief Cell of a host.
    /// @param domain Failure domain of the host; one without targets uses the shared cells.
    /// @param host Id of the host.
    /// @return Cell that schedules it.
    [[nodiscard]] cell_id of(const failure_domain_id &domain, const host_id &host) const;

    /// @brief Cell of a target.
    /// @param domain Failure domain of the target.
    /// @param target Entry from the catalog.
    /// @return Cell that schedules it.
    [[nodiscard]] cell_id of(const failure_domain_id &domain, const target_id &target) const;

    /// @brief All cells.
    /// @return Cells in ascending order, at least one.
    [[nodiscard]] std::vector<cell_id> all() const;

    /// @brief Number of cells.
    /// @return Count, at least one.
    [[nodiscard]] std::size_t size() const { return all().size(); }

    friend bool operator==(const cell_plan &, const cell_plan &) = default;

  private:
    [[nodiscard]] cell_id find_cell(const failure_domain_id &domain, const std::string &name) const;

    /// Failure domains with cells of their own, each mapped to the name of its cells.
    std::map<failure_domain_id, failure_domain_id> m_cell_domains;
    /// Name of the cells that all other failure domains share.
    failure_domain_id m_shared_name;
    /// Number of cells for each name that has several.
    std::map<failure_domain_id, std::uint32_t> m_cell_counts;
};

} // namespace heathermoor::cell
