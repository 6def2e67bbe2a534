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
    /// Time after the last short task during which more are expected.
    duration short_task_window{seconds{5}};
    /// Milliseconds of expected run time that one millisecond of waiting makes up for.
    double aging{0.05};
    /// Learned run times of a target below this share of the median are avoided.
    double slow_share{0.5};
    /// Least run of failures over the targets at which ejections are ignored.
    double fail_open_share{0.5};
};

/// @brief Fair between customers, short before long, fast targets first.
///
/// Customers take turns by start-time fair queueing: each start advances the
/// customer's virtual time by expected run time over weight. Within a customer
/// the waiting tasks stand in one queue per power of two of expected run time;
/// the queue with the least expected run time less aged waiting goes first. A
/// queue whose oldest task has used up half its time is served newest first,
/// so that the slots go to tasks that can still meet their deadlines.
class scheduler final : public scheduling_policy {
  public:
    using size_type = std::size_t;

    /// @brief Scheduler without targets or customers.
    /// @param settings Parameters.
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

    /// @brief Sets which tasks are long and how many slots they may hold.
    /// @param long_task Expected run time from which a task is long.
    /// @param slot_share Share of the slots that long tasks may hold while short ones are expected.
    void set_long_tasks(duration long_task, double slot_share) noexcept;

    /// @brief Tasks that have waited longest, for another host to take.
    /// @param waited Least time that a task must have waited.
    /// @param most Most tasks wanted.
    /// @param now Current time.
    /// @return Handles; the tasks stay in the queue.
    [[nodiscard]] std::vector<task_handle> longest_waiting(duration waited, size_type most, time_point now) const;

    /// @brief Learned speed of a target against the others.
    /// @param target Index of the target.
    /// @return Speed; 1 until something was learned.
    [[nodiscard]] double speed(target_index target) const;

    /// @brief Expected run time of a request on a target of speed 1.
    /// @param request Digest of service and request.
    /// @param size_hint Declared run time.
    /// @return Expected run time.
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
        double virtual_time{};
        bool known{};
    };

    struct target_state {
        std::uint32_t slots{};
        std::uint32_t running{};
        double log_speed{};
        std::uint32_t samples{};
        target_health health;
        time_point full_until{};
        bool open{};
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
    void relist(std::uint32_t index, time_point now);
    void wake_targets(time_point now);
    [[nodiscard]] bool long_allowed(time_point now) const;
    [[nodiscard]] task_list *best_bucket(customer_state &customer, bool allow_long, time_point now) const;
    [[nodiscard]] task_list::iterator best_task(task_list &bucket, time_point now) const;
    [[nodiscard]] bool can_finish(const waiting_task &task, std::uint32_t target, time_point now) const;
    void start(task_list &bucket, task_list::iterator position, std::uint32_t target, time_point now);
    void note_overdue(time_point now);
    void activate(std::uint32_t index);
    void erase_waiting(task_list &bucket, task_list::iterator position);
    void charge_difference(const running_task &task, time_point now);
    void learn_speed(target_state &target, const running_task &task, time_point now);

    scheduler_settings m_settings;
    run_time_model m_model;
    std::vector<customer_state> m_customers;
    std::vector<target_state> m_targets;
    customer_order m_order;
    target_order m_free;
    std::set<std::pair<time_point, std::uint32_t>> m_wakeups;
    std::unordered_map<std::uint64_t, std::pair<std::uint32_t, task_list::iterator>> m_waiting;
    std::unordered_map<std::uint64_t, running_task> m_running;
    time_queue m_deadlines;
    time_queue m_expected_ends;
    std::vector<task_handle> m_expired;
    std::uint32_t m_overdue{};
    double m_virtual_time{};
    double m_fastest{1.0};
    double m_backlog_ms{};
    double m_short_backlog_ms{};
    double m_capacity{};
    std::uint32_t m_slots{};
    std::uint32_t m_open_targets{};
    std::uint32_t m_ejected_targets{};
    std::uint32_t m_running_long{};
    time_point m_last_short{time_point::min()};
};

} // namespace heathermoor::placement
