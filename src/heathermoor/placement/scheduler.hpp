#pragma once

#include "heathermoor/placement/scheduling_policy.hpp"
#include "heathermoor/placement/target_health.hpp"
#include <array>
#include <list>
#include <queue>
#include <set>
#include <unordered_map>

namespace heathermoor::placement {

/// @brief Parameters of the scheduler.
struct scheduler_settings {
    /// Expected run time from which a task counts as long.
    duration long_task{seconds{1}};
    /// Share of the slots that long tasks may hold while short ones are expected.
    double long_slot_share{0.6};
    /// Time after the last short task was queued during which more are expected and long tasks stay limited.
    duration short_task_window{seconds{5}};
    /// Milliseconds by which each millisecond of waiting reduces a task's expected run time in the queue order.
    double aging{0.05};
    /// Share of the median speed below which a target counts as slow; not evaluated at present.
    double slow_share{0.5};
    /// Share of ejected targets above which ejected targets still get one task at a time.
    double fail_open_share{0.5};
};

/// @brief Fair queueing between customers, short tasks first, fastest targets first.
///
/// Customers are served by start-time fair queueing: each start advances the
/// customer's virtual time by expected run time over weight. Within a customer,
/// waiting tasks are kept in one bucket per power of two of expected run time.
/// The bucket whose oldest task has the least expected run time, reduced by
/// aging, is served first. A bucket whose oldest task has used up half the time
/// to its deadline is served newest first, so that slots go to tasks that can
/// still meet their deadlines.
class scheduler final : public scheduling_policy {
  public:
    using size_type = std::size_t;

    /// @brief Creates a scheduler without targets or customers.
    /// @param settings Initial parameters; `set_long_tasks` replaces two of them.
    explicit scheduler(scheduler_settings settings = {});

    void set_target(target_index target, std::uint32_t slots) override;
    void close_target(target_index target) override;
    void set_customer(customer_index customer, customer_share share) override;
    void enqueue(const queued_task &task) override;
    bool remove(task_handle task) override;
    [[nodiscard]] std::optional<assignment> next(time_point now) override;
    void ended(task_handle task, task_end end, time_point now) override;
    [[nodiscard]] std::vector<task_handle> expire(time_point now) override;
    [[nodiscard]] pool_load load() const override;

    /// @brief Sets which tasks are long and how many slots they may hold; tasks already queued keep their class.
    /// @param long_task Expected run time from which a task is long.
    /// @param slot_share Share of the slots, from 0 to 1, that long tasks may hold while short ones are expected; at least one slot.
    void set_long_tasks(duration long_task, double slot_share) noexcept;

    /// @brief Selects tasks that have waited long, for placement on another host.
    ///
    /// Customers are scanned in the order in which they are served, until `max_count` tasks are found.
    /// @param waited Minimum waiting time of a task.
    /// @param max_count Number of tasks at which the scan stops.
    /// @param now Monotonic time of the call.
    /// @return Handles, oldest task first; the tasks stay in the queue.
    [[nodiscard]] std::vector<task_handle> longest_waiting(duration waited, size_type max_count, time_point now) const;

    /// @brief Learned relative speed of a target.
    /// @param target Index of the target; may be unknown.
    /// @return Speed factor; 1 until a task has completed there.
    [[nodiscard]] double speed(target_index target) const;

    /// @brief Expected run time of a request on a target of speed 1.
    /// @param request Digest of service and request.
    /// @param size_hint Run time declared by the client; zero if none.
    /// @return Learned run time, or the declared or default one until enough tasks have completed.
    [[nodiscard]] duration estimate(std::uint64_t request, milliseconds size_hint) const;

  private:
    static constexpr size_type bucket_count = 20;

    struct waiting_task {
        queued_task task;
        duration expected{};
        size_type bucket{};
        bool is_long{};
    };
    using task_list = std::list<waiting_task>;

    struct customer_state {
        customer_share share;
        std::array<task_list, bucket_count> buckets;
        size_type waiting{};
        std::uint32_t running{};
        /// Expected run time of the started tasks over weight, in milliseconds.
        double virtual_time{};
        bool known{};
    };

    struct target_state {
        std::uint32_t slots{};
        std::uint32_t running{};
        /// Natural logarithm of the learned speed.
        double log_speed{};
        std::uint32_t samples{};
        target_health health;
        time_point full_until{};
        bool open{};
        /// Whether `m_free_targets` holds the target, under the key `listed_speed`.
        bool listed{};
        double listed_speed{};
    };

    struct running_task {
        queued_task task;
        target_index target{};
        time_point started{};
        duration expected{};
        bool is_long{};
        bool is_overdue{};
    };

    using timed_handle = std::pair<time_point, std::uint64_t>;
    using time_queue = std::priority_queue<timed_handle, std::vector<timed_handle>, std::greater<>>;
    using customer_order = std::set<std::pair<double, std::uint32_t>>;
    using target_order = std::set<std::pair<double, std::uint32_t>>;

    [[nodiscard]] target_state &target_at(target_index target);
    [[nodiscard]] customer_state &customer_at(customer_index customer);
    [[nodiscard]] bool fails_open() const noexcept;
    void update_free_list(std::uint32_t index, time_point now);
    void recheck_targets(time_point now);
    [[nodiscard]] bool long_allowed(time_point now) const;
    [[nodiscard]] task_list *best_bucket(customer_state &customer, bool allow_long, time_point now) const;
    [[nodiscard]] task_list::iterator best_task(task_list &bucket, time_point now) const;
    [[nodiscard]] bool can_finish(const waiting_task &task, std::uint32_t target, time_point now) const;
    void start(task_list &bucket, task_list::iterator position, std::uint32_t target, time_point now);
    void mark_overdue(time_point now);
    void add_to_order(std::uint32_t index);
    void erase_waiting(task_list &bucket, task_list::iterator position);
    void adjust_charge(const running_task &task, time_point now);
    void learn_speed(target_state &target, const running_task &task, time_point now);

    scheduler_settings m_settings;
    run_time_model m_model;
    std::vector<customer_state> m_customers;
    std::vector<target_state> m_targets;
    /// Customers with waiting tasks, by virtual time.
    customer_order m_customer_order;
    /// Targets that may get a task, by negated speed, so that the fastest comes first.
    target_order m_free_targets;
    /// Times at which targets must be checked again: after an ejection, or after a refusal because they were full.
    std::set<std::pair<time_point, std::uint32_t>> m_recheck_times;
    std::unordered_map<std::uint64_t, std::pair<std::uint32_t, task_list::iterator>> m_waiting;
    std::unordered_map<std::uint64_t, running_task> m_running;
    /// Latest start times of waiting tasks; entries of removed tasks stay until their time.
    time_queue m_deadlines;
    /// Times at which running tasks count as overdue; entries of ended tasks stay until their time.
    time_queue m_expected_ends;
    /// Tasks that `next` has dropped and `expire` has not returned yet.
    std::vector<task_handle> m_expired;
    std::uint32_t m_overdue_count{};
    /// Largest virtual time at which a task was started; a customer that becomes active starts from it.
    double m_virtual_time{};
    double m_fastest{1.0};
    double m_backlog_ms{};
    double m_short_backlog_ms{};
    /// Sum of slots times speed over the open targets.
    double m_capacity{};
    std::uint32_t m_slots{};
    std::uint32_t m_open_targets{};
    std::uint32_t m_ejected_targets{};
    std::uint32_t m_running_long{};
    time_point m_last_short{time_point::min()};
};

} // namespace heathermoor::placement
