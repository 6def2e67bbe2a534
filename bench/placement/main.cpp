#include "placement/policies.hpp"
#include "placement/workload.hpp"
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <queue>

namespace {

using namespace heathermoor;
using namespace heathermoor::bench;
using namespace heathermoor::placement;

/// Simulated delays: network round trip, time to a failure result, and time to a refused connection.
constexpr duration network = microseconds{500};
constexpr duration failure_time = milliseconds{1};
constexpr duration connect_refused = microseconds{300};
/// Interval at which expired tasks are collected.
constexpr duration expiry_step = milliseconds{10};

enum class event_kind : std::uint8_t { arrival, end, target_change, cancel, expiry };

struct event {
    time_point at;
    std::uint64_t order{};
    event_kind kind{};
    std::uint64_t index{};
    task_end end{};
    bool operator<(const event &other) const noexcept { return std::pair{other.at, other.order} < std::pair{at, order}; }
};

struct run_result {
    std::vector<double> response_ms;
    std::vector<bool> served;
    /// Starts at targets that refused the connection.
    std::uint64_t wasted{};
    /// Starts at targets that fail every task.
    std::uint64_t failed_at_bad{};
    /// Mean time spent in the policy per arriving task, in microseconds.
    double decision_us{};
    double peak_work_in_deadline_ms{};
    double peak_capacity_ms{};
};

/// Simulates one policy on one workload in virtual time.
class driver {
  public:
    driver(const workload &load, scheduling_policy &policy) : m_load{load}, m_policy{policy} {}

    run_result run() {
        m_result.response_ms.assign(m_load.tasks.size(), 0.0);
        m_result.served.assign(m_load.tasks.size(), false);
        prepare();
        while(!m_events.empty()) {
            const auto next = m_events.top();
            m_events.pop();
            m_now = next.at;
            handle(next);
            start_all();
        }
        m_result.decision_us = m_decisions == 0 ? 0.0 : m_spent_us / static_cast<double>(m_decisions);
        return std::move(m_result);
    }

  private:
    void push(time_point at, event_kind kind, std::uint64_t index, task_end end = task_end::done) {
        m_events.push({at, ++m_order, kind, index, end});
    }

    void prepare() {
        for(std::size_t index = 0; index < m_load.customers.size(); ++index) {
            m_policy.set_customer(static_cast<customer_index>(index), m_load.customers[index]);
        }
        for(std::size_t index = 0; index < m_load.targets.size(); ++index) {
            const auto &target = m_load.targets[index];
            m_policy.set_target(static_cast<target_index>(index), target.slots);
            if(target.leaves_at != time_point::max()) {
                push(target.leaves_at, event_kind::target_change, index);
            }
            if(target.crashes_at != time_point::max()) {
                // A crashed target is removed from the target list after 3 s.
                push(target.crashes_at + seconds{3}, event_kind::target_change, index);
            }
        }
        auto peak = false;
        for(std::size_t index = 0; index < m_load.tasks.size(); ++index) {
            push(m_load.tasks[index].arrival, event_kind::arrival, index);
            if(m_load.tasks[index].cancelled_at != time_point::max()) {
                push(m_load.tasks[index].cancelled_at, event_kind::cancel, index);
            }
            peak = peak || m_load.tasks[index].in_peak;
        }
        if(peak) {
            push(time_point{} + expiry_step, event_kind::expiry, 0);
        }
    }

    void handle(const event &next) {
        const auto handle = static_cast<task_handle>(next.index);
        switch(next.kind) {
        case event_kind::arrival: {
            const auto &task = m_load.tasks[next.index];
            timed([&] { m_policy.enqueue({handle, task.customer, task.request, task.size_hint, task.deadline, m_now}); });
            ++m_decisions;
            break;
        }
        case event_kind::end:
            timed([&] { m_policy.ended(handle, next.end, m_now); });
            finish(next);
            break;
        case event_kind::target_change:
            m_policy.close_target(static_cast<target_index>(next.index));
            break;
        case event_kind::cancel:
            (void)m_policy.remove(handle);
            break;
        case event_kind::expiry:
            (void)m_policy.expire(m_now);
            if(m_now < m_load.tasks.back().deadline) {
                push(m_now + expiry_step, event_kind::expiry, 0);
            }
            break;
        }
    }

    void finish(const event &next) {
        const auto &task = m_load.tasks[next.index];
        if(next.end == task_end::unreachable) {
            ++m_result.wasted;
            m_policy.enqueue({static_cast<task_handle>(next.index), task.customer, task.request, task.size_hint, task.deadline, m_now});
        } else if(next.end == task_end::done) {
            m_result.response_ms[next.index] = to_ms(m_now - task.arrival);
            m_result.served[next.index] = true;
        }
    }

    void start_all() {
        std::optional<assignment> chosen;
        while(true) {
            timed([&] { chosen = m_policy.next(m_now); });
            if(!chosen) {
                return;
            }
            const auto index = static_cast<std::uint64_t>(chosen->handle);
            const auto &target = m_load.targets[static_cast<std::size_t>(chosen->target)];
            if(m_now >= target.crashes_at) {
                push(m_now + connect_refused, event_kind::end, index, task_end::unreachable);
            } else if(target.fails_all) {
                ++m_result.failed_at_bad;
                push(m_now + failure_time, event_kind::end, index, task_end::failed);
            } else {
                const auto run = duration{static_cast<std::int64_t>(static_cast<double>(m_load.tasks[index].work.count()) / target.speed)};
                push(m_now + run + network, event_kind::end, index, task_end::done);
            }
        }
    }

    template <typename Action>
    void timed(Action action) {
        const auto begun = std::chrono::steady_clock::now();
        action();
        m_spent_us += std::chrono::duration<double, std::micro>{std::chrono::steady_clock::now() - begun}.count();
    }

    const workload &m_load;
    scheduling_policy &m_policy;
    std::priority_queue<event> m_events;
    std::uint64_t m_order{};
    std::uint64_t m_decisions{};
    double m_spent_us{};
    time_point m_now{};
    run_result m_result;
};

[[nodiscard]] double quantile(std::vector<double> values, double q) {
    if(values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

[[nodiscard]] std::vector<double> pick(const workload &load, const run_result &result, bool is_short, double median_speed) {
    std::vector<double> values;
    for(std::size_t index = 0; index < load.tasks.size(); ++index) {
        const auto &task = load.tasks[index];
        if(result.served[index] && task.is_short == is_short && static_cast<std::int64_t>(task.customer) != load.flooding_customer) {
            const auto own = to_ms(task.work) / median_speed + to_ms(network);
            values.push_back(median_speed > 0.0 ? result.response_ms[index] / own : result.response_ms[index]);
        }
    }
    return values;
}

[[nodiscard]] std::vector<double> responses(const workload &load, const run_result &result, bool is_short) {
    std::vector<double> values;
    for(std::size_t index = 0; index < load.tasks.size(); ++index) {
        const auto &task = load.tasks[index];
        if(result.served[index] && task.is_short == is_short && static_cast<std::int64_t>(task.customer) != load.flooding_customer) {
            values.push_back(result.response_ms[index]);
        }
    }
    return values;
}

/// Share of the peak's tasks that were answered within their deadline.
[[nodiscard]] double peak_share(const workload &load, const run_result &result) {
    std::size_t total{};
    std::size_t good{};
    for(std::size_t index = 0; index < load.tasks.size(); ++index) {
        const auto &task = load.tasks[index];
        if(task.in_peak) {
            ++total;
            good += result.served[index] && task.arrival + from_ms(result.response_ms[index]) <= task.deadline ? 1U : 0U;
        }
    }
    return total == 0 ? 1.0 : static_cast<double>(good) / static_cast<double>(total);
}

/// Work of the peak's tasks answered within their deadline, relative to the capacity during the peak.
[[nodiscard]] double peak_goodput(const workload &load, const run_result &result) {
    auto work = 0.0;
    auto first = time_point::max();
    auto last = time_point::min();
    for(std::size_t index = 0; index < load.tasks.size(); ++index) {
        const auto &task = load.tasks[index];
        if(task.in_peak) {
            first = std::min(first, task.arrival);
            last = std::max(last, task.arrival);
            work += result.served[index] && task.arrival + from_ms(result.response_ms[index]) <= task.deadline ? to_ms(task.work) : 0.0;
        }
    }
    auto capacity = 0.0;
    for(const auto &target: load.targets) {
        capacity += target.slots * target.speed;
    }
    return first > last ? 1.0 : work / (capacity * to_ms(last - first));
}

/// Jain's fairness index over the customers' mean response times.
[[nodiscard]] double fairness(const workload &load, const run_result &result) {
    std::vector<double> sums(load.customers.size());
    std::vector<double> counts(load.customers.size());
    for(std::size_t index = 0; index < load.tasks.size(); ++index) {
        const auto customer = static_cast<std::size_t>(load.tasks[index].customer);
        if(result.served[index] && static_cast<std::int64_t>(customer) != load.flooding_customer) {
            sums[customer] += result.response_ms[index];
            counts[customer] += 1.0;
        }
    }
    auto sum = 0.0;
    auto squares = 0.0;
    auto n = 0.0;
    for(std::size_t customer = 0; customer < sums.size(); ++customer) {
        if(counts[customer] > 0.0) {
            const auto mean = sums[customer] / counts[customer];
            sum += mean;
            squares += mean * mean;
            n += 1.0;
        }
    }
    return squares == 0.0 ? 1.0 : sum * sum / (n * squares);
}

[[nodiscard]] std::unique_ptr<scheduling_policy> make_policy(const std::string &name, const workload &load, std::uint64_t seed) {
    if(name == "ideal") {
        return std::make_unique<clairvoyant>(load);
    }
    if(name == "random") {
        return std::make_unique<early_binding>(early_binding::choice::random, seed);
    }
    if(name == "least") {
        return std::make_unique<early_binding>(early_binding::choice::least_outstanding, seed);
    }
    if(name == "two") {
        return std::make_unique<early_binding>(early_binding::choice::power_of_two, seed);
    }
    scheduler_settings settings;
    if(name == "one-share") {
        return std::make_unique<sharded>(1, settings);
    }
    return std::make_unique<sharded>(6, settings);
}

} // namespace

int main(int argc, char **argv) {
    CLI::App app{"Runs the scheduler and its baselines over the same seeded workloads in virtual time."};
    std::uint64_t seed = 1;
    std::string only;
    std::string data;
    app.add_option("--seed", seed, "Seed of the workloads")->capture_default_str();
    app.add_option("--only", only, "Part of the name of the workloads to run");
    app.add_option("--data", data, "File for the figures of the plot");
    CLI11_PARSE(app, argc, argv);

    std::ofstream plot;
    if(!data.empty()) {
        plot.open(data);
    }
    fmt::print("seed={}\n", seed);
    fmt::print("{:<32} {:<10} | {:>7} {:>7} {:>7} | {:>7} {:>7} | {:>6} {:>6} | {:>7} {:>7} {:>6} {:>6} {:>6} {:>7}\n", "workload",
               "policy", "s p50/i", "s p99/i", "s p999/i", "l p50/i", "l p99/i", "s50/b", "s99/b", "crest", "goodput", "wasted", "badtgt",
               "jain", "us/task");
    for(const auto &load: make_workloads(seed)) {
        if(load.name.find(only) == std::string::npos) {
            continue;
        }
        std::vector<double> speeds;
        for(const auto &target: load.targets) {
            speeds.push_back(target.speed);
        }
        const auto median_speed = quantile(speeds, 0.5);
        run_result ideal;
        for(const auto *name: {"ideal", "random", "least", "two", "one-share", "six-hosts"}) {
            const auto policy = make_policy(name, load, seed);
            auto result = driver{load, *policy}.run();
            if(std::string_view{name} == "ideal") {
                ideal = result;
            }
            const auto over = [&](bool is_short, double q) {
                const auto bound = quantile(responses(load, ideal, is_short), q);
                return bound == 0.0 ? 0.0 : quantile(responses(load, result, is_short), q) / bound;
            };
            const auto own = pick(load, result, true, median_speed);
            const auto *hosts = dynamic_cast<const sharded *>(policy.get());
            const auto moved = hosts == nullptr ? 0 : hosts->moved();
            const auto wasted = static_cast<double>(result.wasted + 2 * moved) / static_cast<double>(load.tasks.size());
            fmt::print("{:<32} {:<10} | {:>7.2f} {:>7.2f} {:>8.2f} | {:>7.2f} {:>7.2f} | {:>6.2f} {:>6.2f} | {:>7.3f} {:>7.3f} {:>6.3f} "
                       "{:>6} {:>6.3f} {:>7.2f}\n",
                       load.name, name, over(true, 0.5), over(true, 0.99), over(true, 0.999), over(false, 0.5), over(false, 0.99),
                       quantile(own, 0.5), quantile(own, 0.99), peak_share(load, result), peak_goodput(load, result), wasted,
                       result.failed_at_bad, fairness(load, result), result.decision_us);
            if(plot.is_open()) {
                plot << fmt::format("\"{}\"\t\"{}\"\t{:.3f}\n", load.name, name, over(true, 0.99));
            }
        }
    }
    return 0;
}
