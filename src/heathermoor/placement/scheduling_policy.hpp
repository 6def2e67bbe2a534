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

/// @brief Names a queued or running task within one scheduler.
enum class task_handle : std::uint64_t {};

/// @brief Index of a customer within one scheduler.
enum class customer_index : std::uint32_t {};

/// @brief Index of a target within one scheduler.
enum class target_index : std::uint32_t {};

/// @brief Claims of a customer on the slots of a pool.
struct customer_share {
    /// Weight against the other customers; the guaranteed number of slots.
    double weight{1.0};
    /// Most slots that the customer may hold; zero for no bound.
    std::uint32_t cap{};
};

/// @brief Task that waits for a slot.
struct queued_task {
    task_handle handle{};
    customer_index customer{};
    std::uint64_t request{};
    milliseconds size_hint{};
    time_point deadline{};
    time_point queued_at{};
};

/// @brief Decision to start a task at a target.
struct assignment {
    task_handle handle{};
    target_index target{};
};

/// @brief What became of a started task, as far as the scheduler learns from it.
enum class task_end : std::uint8_t { done, failed, unreachable, refused_full, refused_leaving, ambiguous, stopped };

/// @brief Load of a pool on one host.
struct pool_load {
    /// Sum of the speeds of all usable slots.
    double capacity{};
    double backlog_ms{};
    double short_backlog_ms{};
    std::uint32_t slots{};
    std::uint32_t free_slots{};
    std::size_t queued{};
};

/// @brief Chooses which waiting task starts next and at which target.
class scheduling_policy : public interface {
  public:
    /// @brief Adds a target or changes its slots.
    /// @param target Index of the target.
    /// @param slots Slots that the target declares.
    virtual void set_target(target_index target, std::uint32_t slots) = 0;

    /// @brief Gives a target no more tasks.
    /// @param target Index of the target.
    virtual void close_target(target_index target) = 0;

    /// @brief Sets what a customer may claim.
    /// @param customer Index of the customer.
    /// @param share Weight and cap.
    virtual void set_customer(customer_index customer, customer_share share) = 0;

    /// @brief Adds a task to the queue.
    /// @param task Task; its handle must not be in use.
    virtual void enqueue(const queued_task &task) = 0;

    /// @brief Takes a task out of the queue.
    /// @param task Handle of the task.
    /// @return False if the task is not waiting.
    virtual bool remove(task_handle task) = 0;

    /// @brief Next task to start.
    /// @param now Current time.
    /// @return Decision, or nothing if no task can start now.
    [[nodiscard]] virtual std::optional<assignment> next(time_point now) = 0;

    /// @brief Learns that a started task has ended and frees its slot.
    /// @param task Handle of the task.
    /// @param end What became of it.
    /// @param now Current time.
    virtual void ended(task_handle task, task_end end, time_point now) = 0;

    /// @brief Removes waiting tasks that can no longer end before their deadline.
    /// @param now Current time.
    /// @return Handles of the removed tasks.
    [[nodiscard]] virtual std::vector<task_handle> expire(time_point now) = 0;

    /// @brief Summary of the load.
    /// @return Capacity and backlog.
    [[nodiscard]] virtual pool_load load() const = 0;
};

} // namespace heathermoor::placement
