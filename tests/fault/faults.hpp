#pragma once

#include "support/virtual_system.hpp"
#include <functional>
#include <string>
#include <vector>

namespace heathermoor::test {

/// @brief One thing that happens in a schedule.
struct step {
    duration at{};
    std::string name;
    std::function<void(virtual_system &)> action;
};

/// @brief Schedule of faults and submissions.
using schedule = std::vector<step>;

/// @brief Fault that a table names.
struct named_fault {
    std::string name;
    /// Steps, relative to the moment of the fault.
    std::function<schedule()> steps;
};

/// @brief All faults of the table.
[[nodiscard]] const std::vector<named_fault> &fault_table();

/// @brief How the callers of a schedule were answered.
struct answer_counts {
    std::size_t callers{};
    std::size_t complete{};
    std::size_t not_run{};
    std::size_t failed{};
    std::size_t unknown{};
};

/// @brief Runs a schedule from a settled system of four or, for even seeds, six hosts in two failure domains.
/// @param seed Seed of the system.
/// @param steps Steps, in any order.
/// @param counts Receives the sums of the answers, if given.
/// @return Broken promises.
[[nodiscard]] std::vector<std::string> run_schedule(std::uint64_t seed, schedule steps, answer_counts *counts = nullptr);

/// @brief Submissions through every host, with resubmissions, around the time of a fault.
/// @param seed Seed of ids, hosts and times.
/// @param count Number of submissions.
/// @return Steps.
[[nodiscard]] schedule make_load(std::uint64_t seed, std::size_t count);

/// @brief Removes steps as long as the promises stay broken.
/// @param seed Seed of the system.
/// @param steps Failing schedule.
/// @return Shortest failing schedule found.
[[nodiscard]] schedule shrink(std::uint64_t seed, schedule steps);

} // namespace heathermoor::test
