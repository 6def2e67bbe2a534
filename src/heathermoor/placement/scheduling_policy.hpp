#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/interface.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/placement/run_time_model.hpp"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace heathermoor::placement {

/// @brief Identifies a queued or running task within one scheduler.
enum class task_handle : std::uint64_t {};

/// @brief Index of a customer within one scheduler.
enum class customer_index : std::uint32_t {};

/// @brief Index of a target within one scheduler.
enum class target_index : std::uint32_t {};

/// @brief Share of a pool's slots that a customer may use.
struct customer_share {
    /// Weight in fair queueing, relative to the other customers.
    double weight{1.0};
    /// Maximum number of slots in use by the customer; zero for no limit.
    std::uint32_t cap{};
};

/// @brief Task that waits for a slot.
struct queued_task {
    task_handle handle{};
    customer_index customer{};
    /// Digest of service and request.
    std::uint64_t request{};
    /// Run time declared by the client; zero if none.
    milliseconds size_hint{};
    time_point deadline{};
    time_point queued_at{};
};

/// @brief Decision to start a task at a target.
struct assignment {
    task_handle handle{};
    target_index target{};
};

/// @brief How a started task ended, as the scheduler distinguishes it.
enum class task_end : std::uint8_t { done, failed, unreachable, refused_full, refused_leaving, ambiguous, stopped };

/// @brief Load of a pool on one host.
struct pool_load {
    /// Sum of the speeds of all slots, less those held by overdue tasks.
    double capacity{};
    /// Expected run time of all waiting tasks at speed 1.
    double backlog_ms{};
    /// The part of `backlog_ms` that comes from short tasks.
    double short_backlog_ms{};
    std::uint32_t slots{};
    std::uint32_t free_slots{};
    std::size_t queued{};
};

/// @brief Interface of scheduling algorithms: chooses which waiting task starts next and at which target.
class scheduling_policy : public interface {
  public:
    /// @brief Adds or reopens a target, or changes its slots.
    /// @param target Index of the target.
    /// @param slots Number of tasks that the target runs at once.
    virtual void set_target(target_index target, std::uint32_t slots) = 0;

    /// @brief Stops starting tasks at a target; its running tasks continue.
    /// @param target Index of the target.
    virtual void close_target(target_index target) = 0;

    /// @brief Adds a customer or changes its share.
    /// @param customer Index of the customer.
    /// @param share New weight and cap.
    virtual void set_customer(customer_index customer, customer_share share) = 0;

    /// @brief Adds a task to the queue.
    /// @param task Task with a handle that no waiting or running task uses.
    virtual void enqueue(const queued_task &task) = 0;

    /// @brief Removes a task from the queue.
    /// @param task Handle of the task; may be unknown.
    /// @return False if the task is not waiting.
    virtual bool remove(task_handle task) = 0;

    /// @brief Chooses the next task and counts it as started.
    /// @param now Monotonic time of the call.
    /// @return Task and target, or empty if no task can start now.
    [[nodiscard]] virtual std::optional<assignment> next(time_point now) = 0;

    /// @brief Frees the slot of a started task.
    /// @param task Handle returned by `next`.
    /// @param end How the task ended.
    /// @param now Monotonic time of the call.
    virtual void ended(task_handle task, task_end end, time_point now) = 0;

    /// @brief Removes waiting tasks that can no longer meet their deadlines.
    /// @param now Monotonic time of the call.
    /// @return Handles of the tasks removed since the last call.
    [[nodiscard]] virtual std::vector<task_handle> expire(time_point now) = 0;

    /// @brief Current load, for load balancing between hosts.
    /// @return Load of all open targets and waiting tasks.
    [[nodiscard]] virtual pool_load load() const = 0;
};

} // namespace heathermoor::placement
