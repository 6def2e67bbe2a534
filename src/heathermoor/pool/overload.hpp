#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/pool/ports.hpp"
#include <cstdint>
#include <vector>

namespace heathermoor::pool {

/// @brief Processor capacity that a job needs if all its waiting tasks run at once.
struct job_need {
    std::int64_t total_cpu_millicores{};
    /// The most that one task needs.
    std::int64_t largest_cpu_millicores{};
};

/// @brief Free processor capacity of one service.
struct free_room {
    std::int64_t cpu_millicores{};
    /// The largest part of it on one target.
    std::int64_t largest_cpu_millicores{};
};

/// @brief Work that would be started before a waiting job, and how long the job can wait.
struct backlog {
    double ahead_ms{};
    /// Share of the time until the job's latest start; zero once that has passed.
    double slack_ms{};
    /// Tasks of the job that the targets take at once.
    std::int64_t places{};
    /// Only evacuated targets could run it.
    bool evacuated{};
    /// To be refused, or run elsewhere: it has not begun and cannot start in time.
    bool refusable{};
    /// Time until a retry is likely to be accepted.
    milliseconds retry_after{};
};

/// @brief Job that cannot start in time on the targets of its scheduler, and of which nothing was started.
struct overloaded_job {
    job_id id;
    service_id service;
    job_need need;
    /// Time until a retry is likely to be accepted, if it is refused.
    milliseconds retry_after{};
    /// Work that would be started before it, and the time that it can wait.
    double ahead_ms{};
    double slack_ms{};
    /// To be refused if no other cell takes it; else it may wait here for a target.
    bool refusable{};
    /// Any target of its service suits it, as far as the scheduler knows.
    bool lendable{};
    /// Gateways that wait for it.
    std::vector<gateway_ref> gateways;
};

/// @brief What a scheduler found at its last tick; empty unless it leaves refusals to its caller.
struct overload_report {
    /// Jobs to be withdrawn, or refused if they are refusable.
    std::vector<overloaded_job> jobs;
    /// Jobs are about to be refused, or wait in vain for a target: room in another cell may be needed soon.
    bool pressed{};
    /// The work that waits leaves no room for the jobs of other cells.
    bool crowded{};
};

} // namespace heathermoor::pool
