#pragma once

#include "heathermoor/core/error.hpp"
#include "heathermoor/core/id.hpp"
#include "heathermoor/core/resources.hpp"
#include "heathermoor/core/time.hpp"
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace heathermoor::job {

/// @brief Step of a job: equal tasks that may run at the same time.
struct step {
    std::uint32_t tasks{};
    /// Need of one task.
    resources need;
    /// Run time as declared by the caller; often far off.
    milliseconds estimate{};
    /// Steps that must be done before this one starts.
    std::vector<std::uint32_t> after;
    /// Label that a target must have; empty for any target.
    std::string required_label;
    /// Label of the rack that holds the step's data; empty for none.
    std::string preferred_rack;
    /// Most tasks of this step on one target; zero for no limit.
    std::uint32_t max_per_target{};
};

/// @brief Job as a caller submits it.
struct definition {
    job_id id;
    /// Opaque to the product; targets get it with each start.
    std::string payload;
    std::vector<step> steps;
};

/// @brief Rules of the queue that a job was sent to.
struct queue_policy {
    queue_id name;
    service_id service;
    /// Zero comes first.
    std::uint32_t priority{};
    /// Runs of one task that may fail before the job fails.
    std::uint32_t max_attempts{1};
    /// Latency objective as a multiple of the job's longest chain of work.
    double stretch{1.0};
    /// Added to the latency objective.
    milliseconds target_latency{};
    /// Longest time until the job is answered; zero for none.
    milliseconds timeout{};
};

/// @brief One task of a job.
struct task_ref {
    job_id job;
    std::uint32_t step{};
    std::uint32_t index{};

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the defaulted comparison for a null pointer
    friend auto operator<=>(const task_ref &, const task_ref &) = default;
};

/// @brief How a job ended.
enum class outcome : std::uint8_t {
    completed,
    failed,
    /// No task of the job has run or will run.
    refused,
    /// Tasks may have run; their result is not known.
    unknown,
};

/// @brief Name of an outcome, as logs show it.
/// @param result Outcome.
/// @return Name in snake case.
[[nodiscard]] constexpr std::string_view name_of(outcome result) noexcept {
    switch(result) {
    case outcome::completed:
        return "completed";
    case outcome::failed:
        return "failed";
    case outcome::refused:
        return "refused";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

/// @brief Jobs by how they ended.
struct outcome_counts {
    std::uint64_t completed{};
    std::uint64_t failed{};
    std::uint64_t refused{};
    std::uint64_t unknown{};

    /// @brief Counts one job.
    /// @param result How it ended.
    void add(outcome result) noexcept {
        switch(result) {
        case outcome::completed:
            ++completed;
            break;
        case outcome::failed:
            ++failed;
            break;
        case outcome::refused:
            ++refused;
            break;
        case outcome::unknown:
            ++unknown;
            break;
        }
    }
};

/// @brief Whether an outcome is the job's own, to be kept for a resubmission.
/// @param result Outcome.
/// @return True if the job has run to its end.
[[nodiscard]] constexpr bool is_final(outcome result) noexcept {
    return result == outcome::completed || result == outcome::failed;
}

/// @brief Final answer to a job.
struct answer {
    outcome result{outcome::unknown};
    errc reason{errc::ok};
    /// For refusals: when room is expected.
    milliseconds retry_after{};
};

} // namespace heathermoor::job

template <>
struct std::hash<heathermoor::job::task_ref> {
    [[nodiscard]] std::size_t operator()(const heathermoor::job::task_ref &task) const noexcept {
        return std::hash<heathermoor::job_id>{}(task.job) * 31U + task.step * 1009U + task.index;
    }
};
