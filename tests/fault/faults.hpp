#pragma once

#include "support/virtual_system.hpp"
#include <functional>
#include <string>
#include <vector>

namespace heathermoor::test {

/// @brief Action at a point in time, such as a fault or a submission.
struct step {
    /// Time since the start of the schedule.
    duration at{};
    std::string name;
    std::function<void(virtual_system &)> action;
};

/// @brief Faults and submissions of one run, in any order.
using schedule = std::vector<step>;

/// @brief Entry of the fault table.
struct named_fault {
    std::string name;
    /// Creates the steps that cause the fault and, if it is temporary, end it.
    std::function<schedule()> steps;
};

/// @brief Table of all faults that the tests combine.
[[nodiscard]] const std::vector<named_fault> &fault_table();

/// @brief Number of callers by the kind of answer they got.
struct answer_counts {
    std::size_t callers{};
    std::size_t complete{};
    std::size_t not_run{};
    std::size_t failed{};
    std::size_t unknown{};
};

/// @brief Runs a schedule on a settled system of four or, for even seeds, six hosts in two failure domains.
/// @param seed Seed of the system.
/// @param steps Steps in any order.
/// @param counts Counters to which the answers are added; may be null.
/// @return One line for each violated guarantee.
[[nodiscard]] std::vector<std::string> run_schedule(std::uint64_t seed, schedule steps, answer_counts *counts = nullptr);

/// @brief Creates submissions through all hosts around the time of a fault, some with resubmissions and cancellations.
/// @param seed Seed of ids, hosts and times.
/// @param count Number of different submissions.
/// @return Steps in no order.
[[nodiscard]] schedule make_load(std::uint64_t seed, std::size_t count);

/// @brief Shrinks a failing schedule: removes single steps as long as it still violates a guarantee.
/// @param seed Seed of the system.
/// @param steps Schedule that violates a guarantee.
/// @return Schedule from which no single step can be removed.
[[nodiscard]] schedule shrink(std::uint64_t seed, schedule steps);

} // namespace heathermoor::test
