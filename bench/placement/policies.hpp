#pragma once

#include "heathermoor/placement/load_balancer.hpp"
#include "heathermoor/placement/scheduler.hpp"
#include "placement/workload.hpp"
#include <deque>
#include <memory>
#include <random>
#include <unordered_map>

namespace heathermoor::bench {

/// @brief Baseline that assigns each task to a target on arrival and queues it there in FIFO order.
class early_binding : public placement::scheduling_policy {
  public:
    /// @brief Algorithm that chooses the target.
    enum class choice : std::uint8_t { random, least_outstanding, power_of_two };

    /// @brief Creates a baseline without targets.
    /// @param algorithm Algorithm that chooses the target.
    /// @param seed Seed of the random choices.
    early_binding(choice algorithm, std::uint64_t seed) : m_choice{algorithm}, m_random{seed} {}

    void set_target(placement::target_index target, std::uint32_t slots) override;
    void close_target(placement::target_index target) override;
    void set_customer(placement::customer_index /*customer*/, placement::customer_share /*share*/) override {}
    void enqueue(const placement::queued_task &task) override;
    bool remove(placement::task_handle task) override;
    [[nodiscard]] std::optional<placement::assignment> next(time_point now) override;
    void ended(placement::task_handle task, placement::task_end end, time_point now) override;
    [[nodiscard]] std::vector<placement::task_handle> expire(time_point now) override;
    [[nodiscard]] placement::pool_load load() const override { return {}; }

  private:
    struct target_state {
        std::uint32_t slots{};
        std::uint32_t running{};
        std::deque<placement::queued_task> queue;
    };

    [[nodiscard]] std::size_t choose();
    [[nodiscard]] std::size_t outstanding(std::size_t index) const { return m_targets[index].running + m_targets[index].queue.size(); }

    choice m_choice;
    std::mt19937_64 m_random;
    std::vector<target_state> m_targets;
    std::vector<std::size_t> m_open;
    std::unordered_map<std::uint64_t, std::size_t> m_running;
    std::unordered_map<std::uint64_t, std::size_t> m_waiting;
    std::vector<std::size_t> m_ready;
};

/// @brief Reference with perfect knowledge of run times and speeds: runs the shortest task on the fastest free slot.
class clairvoyant : public placement::scheduling_policy {
  public:
    /// @brief Creates the reference for one workload.
    /// @param load Workload, which must outlive the policy; task handles are indices into it.
    explicit clairvoyant(const workload &load) : m_load{load} {}

    void set_target(placement::target_index target, std::uint32_t slots) override;
    void close_target(placement::target_index target) override;
    void set_customer(placement::customer_index /*customer*/, placement::customer_share /*share*/) override {}
    void enqueue(const placement::queued_task &task) override;
    bool remove(placement::task_handle task) override;
    [[nodiscard]] std::optional<placement::assignment> next(time_point now) override;
    void ended(placement::task_handle task, placement::task_end end, time_point now) override;
    [[nodiscard]] std::vector<placement::task_handle> expire(time_point now) override;
    [[nodiscard]] placement::pool_load load() const override { return {}; }

  private:
    const workload &m_load;
    std::set<std::pair<duration, std::uint64_t>> m_waiting;
    std::set<std::pair<double, std::uint64_t>> m_free;
    std::unordered_map<std::uint64_t, std::uint64_t> m_running;
    std::vector<std::uint32_t> m_slots;
    std::vector<std::uint32_t> m_used;
    std::vector<bool> m_open;
};

/// @brief The production scheduler on several hosts, each with its own targets, with load balancing on delayed load reports.
class sharded : public placement::scheduling_policy {
  public:
    /// @brief Creates hosts without targets.
    /// @param hosts Number of hosts; two consecutive hosts form a failure domain.
    /// @param settings Parameters of each host's scheduler.
    sharded(std::size_t hosts, placement::scheduler_settings settings);

    /// @brief Number of times a waiting task was moved to another host.
    [[nodiscard]] std::size_t moved() const noexcept { return m_moved; }

    void set_target(placement::target_index target, std::uint32_t slots) override;
    void close_target(placement::target_index target) override;
    void set_customer(placement::customer_index customer, placement::customer_share share) override;
    void enqueue(const placement::queued_task &task) override;
    bool remove(placement::task_handle task) override;
    [[nodiscard]] std::optional<placement::assignment> next(time_point now) override;
    void ended(placement::task_handle task, placement::task_end end, time_point now) override;
    [[nodiscard]] std::vector<placement::task_handle> expire(time_point now) override;
    [[nodiscard]] placement::pool_load load() const override { return {}; }

  private:
    void rebalance(time_point now);
    [[nodiscard]] std::size_t host_of(placement::target_index target) const;
    void refresh(std::size_t entry, time_point now);

    std::vector<std::unique_ptr<placement::scheduler>> m_hosts;
    std::vector<placement::load_balancer> m_load_balancers;
    std::vector<time_point> m_refreshed;
    std::vector<std::vector<placement::host_load>> m_published;
    time_point m_published_at{time_point::min()};
    /// Host on which a task is placed, and the host that placed it.
    struct placed_task {
        std::size_t host{};
        std::size_t entry{};
        std::size_t attempts{};
    };
    std::unordered_map<std::uint64_t, placed_task> m_placed;
    std::unordered_map<std::uint64_t, placement::queued_task> m_tasks;
    std::size_t m_next_entry{};
    std::size_t m_moved{};
    time_point m_next_rebalance{};
};

} // namespace heathermoor::bench
