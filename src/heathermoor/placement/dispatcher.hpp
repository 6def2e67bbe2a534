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

/// @brief Target that belongs to this host's share.
struct target_info {
    target_id id;
    pool_id pool;
    std::string address;
    std::uint32_t slots{};

    friend bool operator==(const target_info &, const target_info &) = default;
};

/// @brief Job that placed tasks here.
struct task_origin {
    host_id owner;
    incarnation process{};
    job_handle job{};

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the defaulted comparison for a null pointer
    friend auto operator<=>(const task_origin &, const task_origin &) = default;
};

/// @brief Task as its owner sent it.
struct task_placement {
    std::uint32_t index{};
    std::uint32_t attempt{};
    request_name request;
    milliseconds size_hint{};
    std::string body;
};

/// @brief Tasks of one job for this host.
struct job_placement {
    task_origin origin;
    customer_id customer;
    service_id service;
    submission_id submission;
    epoch owner_epoch{};
    time_point deadline;
    std::vector<task_placement> tasks;
};

/// @brief Task to be started at a target now.
struct start_request {
    task_handle handle{};
    target_id target;
    std::string address;
    std::string task_name;
    customer_id customer;
    request_name request;
    std::string body;
    duration lease{};
    epoch owner_epoch{};
};

/// @brief Started task that its target should stop.
struct stop_request {
    std::string address;
    std::string task_name;
};

/// @brief Result on its way to the owner of a job.
struct owner_report {
    task_origin origin;
    submission::task_result result;
};

/// @brief What the dispatcher wants done.
struct dispatch_effects {
    std::vector<start_request> starts;
    std::vector<stop_request> stops;
    std::vector<owner_report> reports;
};

/// @brief What a target answered.
struct target_answer {
    task_handle handle{};
    task_end end{};
    errc code{errc::ok};
    std::string body;
};

/// @brief Bounds of a dispatcher.
struct dispatcher_settings {
    /// Most waiting tasks of one pool.
    std::size_t max_queue{20'000};
    /// Time for which the name of an ended task is remembered.
    duration ended_task_retention{seconds{30}};
    /// Time beyond its deadline after which a started task is given up.
    duration lease_margin{milliseconds{500}};
    /// Time that a task must have waited before it is given back.
    duration rebalance_min_wait{milliseconds{20}};
    /// Share of the other hosts' free slots that one host may count on.
    std::uint32_t rebalance_divisor{4};
    /// Most placements of one task.
    std::uint32_t max_attempts{3};
    /// Time for which a target that said it is leaving is not listed again.
    duration leaving_hold{seconds{30}};
};

/// @brief Queues and starts tasks on this host's share of the targets.
///
/// `start_allowed` is the only decision to start a task, and `start_waiting`
/// the only caller of the start action.
class dispatcher {
  public:
    /// @brief Dispatcher without targets.
    /// @param settings Bounds.
    explicit dispatcher(dispatcher_settings settings = {});

    /// @brief Takes tasks into the queue or declines them.
    /// @param order Tasks of one job.
    /// @param now Current time.
    /// @param effects What is to be done.
    void place(job_placement order, time_point now, dispatch_effects &effects);

    /// @brief Removes the waiting tasks of a job and stops the started ones.
    /// @param origin Job.
    /// @param now Current time.
    /// @param effects What is to be done.
    void cancel(const task_origin &origin, time_point now, dispatch_effects &effects);

    /// @brief Drops the waiting tasks of a process that is gone.
    /// @param owner Host of the process.
    /// @param process Incarnation of the process.
    void owner_lost(const host_id &owner, incarnation process);

    /// @brief Declines all waiting tasks, so that their owners place them elsewhere.
    /// @param now Current time.
    /// @param effects What is to be done.
    void decline_waiting(time_point now, dispatch_effects &effects);

    /// @brief Declines tasks that wait here while other hosts have free slots.
    /// @param free_elsewhere Free slots on the other hosts.
    /// @param now Current time.
    /// @param effects What is to be done.
    void rebalance(const std::map<pool_id, std::uint32_t> &free_elsewhere, time_point now, dispatch_effects &effects);

    /// @brief Takes the answer of a target.
    /// @param answer Answer; unknown or repeated ones are ignored.
    /// @param now Current time.
    /// @param effects What is to be done.
    void answered(target_answer answer, time_point now, dispatch_effects &effects);

    /// @brief Sets this host's share of the targets.
    /// @param targets All targets of the share that are not leaving.
    /// @param now Current time.
    /// @param effects What is to be done.
    void set_targets(const std::vector<target_info> &targets, time_point now, dispatch_effects &effects);

    /// @brief Sets the customers' claims.
    /// @param current Configuration.
    void set_policy(const config::policy &current);

    /// @brief Drops expired tasks and starts what may start.
    /// @param now Current time.
    /// @param effects What is to be done.
    void tick(time_point now, dispatch_effects &effects);

    /// @brief Load per pool.
    /// @return Summary of each pool with a target.
    [[nodiscard]] std::map<pool_id, pool_load> load() const;

    /// @brief Number of tasks that wait or run.
    /// @return Tasks.
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
        std::vector<target_info> listed;
        retry_budget retries;
    };

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
    std::map<task_key, time_point> m_seen;
    std::vector<std::pair<time_point, task_key>> m_seen_order;
    std::map<target_id, time_point> m_leaving;
    std::uint64_t m_next_handle{1};
};

} // namespace heathermoor::placement
