#pragma once

#include "heathermoor/config/policy.hpp"
#include "heathermoor/core/error.hpp"
#include "heathermoor/placement/retry_budget.hpp"
#include "heathermoor/placement/scheduler.hpp"
#include "heathermoor/submission/owner_table.hpp"
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace heathermoor::placement {

/// @brief Target assigned to this host.
struct target_info {
    target_id id;
    pool_id pool;
    std::string address;
    std::uint32_t slots{};

    friend bool operator==(const target_info &, const target_info &) = default;
};

/// @brief Identifies the job of a placed task across hosts and process restarts.
struct task_origin {
    host_id owner;
    /// Process of the owner that placed the task.
    incarnation process{};
    /// Handle of the job within that process.
    job_handle job{};

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the defaulted comparison for a null pointer
    friend auto operator<=>(const task_origin &, const task_origin &) = default;
};

/// @brief Task that a job's owner places on this host.
struct task_placement {
    std::uint32_t index{};
    std::uint32_t attempt{};
    request_name request;
    /// Run time declared by the client; zero if none.
    milliseconds size_hint{};
    std::string body;
};

/// @brief Tasks of one job that its owner places on this host.
struct job_placement {
    task_origin origin;
    customer_id customer;
    service_id service;
    submission_id submission;
    /// Epoch in which the owner took over the id's partition; zero for host-issued ids.
    epoch owner_epoch{};
    time_point deadline;
    std::vector<task_placement> tasks;
};

/// @brief Request to start a task at a target.
struct start_request {
    task_handle handle{};
    target_id target;
    std::string address;
    /// Customer, submission id and task index, joined by slashes.
    std::string task_name;
    customer_id customer;
    request_name request;
    std::string body;
    /// Time to the deadline plus `lease_margin`; limits the call to the target.
    duration lease{};
    epoch owner_epoch{};
};

/// @brief Request to stop a started task at its target.
struct stop_request {
    std::string address;
    std::string task_name;
};

/// @brief Task report to send to the owner of the job.
struct owner_report {
    task_origin origin;
    submission::task_result result;
};

/// @brief Actions that the caller of a dispatcher must carry out.
struct dispatch_effects {
    std::vector<start_request> starts;
    std::vector<stop_request> stops;
    std::vector<owner_report> reports;
};

/// @brief Outcome of a start request.
struct target_answer {
    task_handle handle{};
    task_end end{};
    errc code{errc::ok};
    std::string body;
};

/// @brief Limits and timeouts of a dispatcher.
struct dispatcher_settings {
    /// Maximum number of waiting tasks per pool; further ones are declined with `overloaded`.
    std::size_t max_queue{20'000};
    /// How long an accepted or declined attempt is remembered, so that a repeated placement is ignored.
    duration attempt_retention{seconds{30}};
    /// Added to the time to the deadline for the lease of a started task.
    duration lease_margin{milliseconds{500}};
    /// Minimum waiting time before a task is declined in favour of another host.
    duration rebalance_min_wait{milliseconds{20}};
    /// Divisor of the other hosts' free slots: several hosts may decline tasks for the same slots at once.
    std::uint32_t rebalance_divisor{4};
    /// Maximum number of placements of one task.
    std::uint32_t max_attempts{3};
    /// How long a target that refused a task because it is shutting down is left out of the target list.
    duration leaving_hold{seconds{30}};
};

/// @brief Queues tasks and starts them on the targets assigned to this host.
///
/// All starts go through `start_waiting`, which asks `start_allowed` for each
/// task. The dispatcher performs no I/O: methods append the required actions
/// to `effects`.
class dispatcher {
  public:
    /// @brief Creates a dispatcher without targets.
    /// @param settings Limits and timeouts.
    explicit dispatcher(dispatcher_settings settings = {});

    /// @brief Queues tasks or declines them; attempts already seen are ignored.
    /// @param order Tasks of one job.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void place(job_placement order, time_point now, dispatch_effects &effects);

    /// @brief Removes the waiting tasks of a job and requests a stop of the started ones.
    /// @param origin Job to cancel; may be unknown.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void cancel(const task_origin &origin, time_point now, dispatch_effects &effects);

    /// @brief Drops the waiting tasks of a lost owner process without a report; started tasks continue.
    /// @param owner Host of the process.
    /// @param process Lost process; tasks of its successor on the same host are kept.
    void owner_lost(const host_id &owner, incarnation process);

    /// @brief Declines all waiting tasks with `draining`, so that their owners place them on other hosts.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void decline_waiting(time_point now, dispatch_effects &effects);

    /// @brief Declines tasks that wait here while other hosts have free slots, so that their owners place them there.
    /// @param free_elsewhere Total of the other hosts' free slots by pool.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void rebalance(const std::map<pool_id, std::uint32_t> &free_elsewhere, time_point now, dispatch_effects &effects);

    /// @brief Processes the outcome of a start request: retries the task or reports it to the owner.
    /// @param answer Outcome; ignored if its task is unknown or not started.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void answered(target_answer answer, time_point now, dispatch_effects &effects);

    /// @brief Replaces the targets assigned to this host.
    /// @param targets Complete list; targets that are missing get no more tasks.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void set_targets(const std::vector<target_info> &targets, time_point now, dispatch_effects &effects);

    /// @brief Applies the pools of the services, the customers' shares and the limits on long tasks.
    /// @param current Configuration in force.
    void set_policy(const config::policy &current);

    /// @brief Reports expired tasks, starts waiting tasks and forgets old attempts.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void tick(time_point now, dispatch_effects &effects);

    /// @brief Load of this host by pool.
    /// @return Load of each pool that has slots here.
    [[nodiscard]] std::map<pool_id, pool_load> load() const;

    /// @brief Number of waiting and started tasks.
    /// @return Count over all pools.
    [[nodiscard]] std::size_t active() const noexcept { return m_tasks.size(); }

  private:
    struct active_task {
        task_origin origin;
        task_placement order;
        customer_id customer;
        service_id service;
        submission_id submission;
        epoch owner_epoch{};
        time_point deadline;
        pool_id pool;
        std::string address;
        bool started{};
    };

    struct pool_state {
        std::unique_ptr<scheduler> policy;
        std::map<customer_id, customer_index> customers;
        std::map<target_id, target_index> targets;
        /// Targets by `target_index`.
        std::vector<target_info> listed;
        retry_budget retries;
    };

    /// Job, and task index and attempt in the upper and lower half.
    using task_key = std::pair<task_origin, std::uint64_t>;

    [[nodiscard]] pool_state &pool_at(const pool_id &pool);
    [[nodiscard]] customer_index index_of(pool_state &pool, const customer_id &customer);
    [[nodiscard]] std::uint64_t request_digest(const active_task &task) const;
    [[nodiscard]] errc admit(const pool_id &pool, time_point deadline, time_point now) const;
    [[nodiscard]] bool start_allowed(const active_task &task, time_point now) const noexcept;
    void enqueue(task_handle handle, const active_task &task, time_point now);
    void start_waiting(pool_state &pool, time_point now, dispatch_effects &effects);
    void report(const active_task &task, submission::task_report state, errc code, std::string body, dispatch_effects &effects);
    void forget(task_handle handle, time_point now);
    [[nodiscard]] static std::string task_name(const active_task &task);

    dispatcher_settings m_settings;
    std::map<service_id, pool_id> m_service_pools;
    std::map<pool_id, pool_state> m_pools;
    std::unordered_map<std::uint64_t, active_task> m_tasks;
    std::map<task_origin, std::vector<task_handle>> m_jobs;
    std::map<task_key, time_point> m_seen_attempts;
    std::vector<std::pair<time_point, task_key>> m_seen_attempts_order;
    /// Targets that are shutting down, with the time until which they are left out.
    std::map<target_id, time_point> m_leaving;
    std::uint64_t m_next_handle{1};
};

} // namespace heathermoor::placement
