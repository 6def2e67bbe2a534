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

/// @brief Most tasks in one job.
inline constexpr std::uint32_t max_tasks = 10'000;

/// @brief Step of a job: identical tasks that may run in parallel.
struct step {
    std::uint32_t tasks{};
    /// Resources that one task needs.
    resources need;
    /// Run time of a task as declared by the caller; often inaccurate.
    milliseconds estimate{};
    /// Indexes of steps that must complete before this one starts.
    std::vector<std::uint32_t> after;
    /// Label that a target must have; empty for any target.
    std::string required_label;
    /// Label of the rack that holds the step's data; empty for none.
    std::string preferred_rack;
    /// Maximum number of tasks of this step on one target; zero for no limit.
    std::uint32_t max_per_target{};
};

/// @brief Job as a caller submits it.
struct definition {
    job_id id;
    /// Opaque to the dispatcher; passed to targets with each start.
    std::string payload;
    std::vector<step> steps;
};

/// @brief Policy of a queue.
struct queue_policy {
    queue_id name;
    service_id service;
    /// Zero is the highest priority.
    std::uint32_t priority{};
    /// Number of failed runs of one task after which the job fails.
    std::uint32_t max_attempts{1};
    /// Latency objective as a multiple of the job's critical path.
    double stretch{1.0};
    /// Constant part of the latency objective, added to the multiple.
    milliseconds target_latency{};
    /// Time limit for callers that do not say how long they wait; zero for none.
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
    /// No task has run and none will run.
    refused,
    /// Tasks may have run, but the result is unknown.
    unknown,
};

/// @brief Name of an outcome, as written to logs.
/// @param result Outcome of a job.
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

/// @brief Number of ended jobs by outcome.
struct outcome_counts {
    std::uint64_t completed{};
    std::uint64_t failed{};
    std::uint64_t refused{};
    std::uint64_t unknown{};

    /// @brief Counts one job.
    /// @param result Outcome of the job.
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

/// @brief Whether an outcome is final, so that a resubmission of the job gets the same answer.
/// @param result Outcome of a job.
/// @return True if the job completed or failed.
[[nodiscard]] constexpr bool is_final(outcome result) noexcept {
    return result == outcome::completed || result == outcome::failed;
}

/// @brief Final answer to a job.
struct answer {
    outcome result{outcome::unknown};
    errc reason{errc::ok};
    /// For refusals: time until a retry is likely to be accepted.
    milliseconds retry_after{};

    friend bool operator==(const answer &, const answer &) = default;
};

} // namespace heathermoor::job

template <>
struct std::hash<heathermoor::job::task_ref> {
    [[nodiscard]] std::size_t operator()(const heathermoor::job::task_ref &task) const noexcept {
        return std::hash<heathermoor::job_id>{}(task.job) * 31U + task.step * 1009U + task.index;
    }
};
