#include "model/target.hpp"

#include "heathermoor/core/event.hpp"
#include <algorithm>

namespace heathermoor::model {

namespace internal {

/// Longest lease that a target grants.
constexpr duration max_lease = milliseconds{1'000};

/// Longest time from a stop to the end of the run.
constexpr duration stop_delay = milliseconds{30};

/// Rate of a target's clock relative to real time; within the 2 % by which it may run slow.
constexpr double clock_rate = 0.985;

} // namespace internal

lease::target_time target::clock(time_point now) const {
    return lease::target_time{static_cast<std::int64_t>(to_ms(now - m_booted) * internal::clock_rate)};
}

void target::extend(std::optional<lease::target_time> until, time_point now) {
    if(until) {
        const auto longest = clock(now) + milliseconds{static_cast<std::int64_t>(to_ms(internal::max_lease))};
        m_lease_until = std::max(m_lease_until, std::min(*until, longest));
    }
}

resources target::used() const {
    resources sum;
    for(const auto &[task, entry]: m_runs) {
        sum += entry.need;
    }
    return sum;
}

void target::end(const job::task_ref &task, lease::run_end how) {
    log_event(log_level::debug, "model", "ended",
              {{"job", task.job}, {"index", task.index}, {"target", m_entry.id}, {"how", lease::name_of(how)}});
    const auto found = m_runs.find(task);
    m_ended.push_back({end_number{m_next_end++}, task, found->second.number, how});
    auto &closed_run = m_highest_closed_run[task];
    closed_run = std::max(closed_run, found->second.number);
    m_runs.erase(found);
}

void target::advance(time_point now) {
    std::vector<std::pair<job::task_ref, lease::run_end>> ended;
    for(const auto &[task, entry]: m_runs) {
        if(clock(now) > m_lease_until) {
            ended.emplace_back(task, lease::run_end::lease_expired);
        } else if(now >= entry.ends) {
            const auto own_end = entry.fails ? lease::run_end::failed : lease::run_end::done;
            ended.emplace_back(task, entry.stopped ? lease::run_end::stopped : own_end);
        }
    }
    for(const auto &[task, how]: ended) {
        end(task, how);
    }
}

void target::reboot(time_point now) {
    m_booted = now;
    m_entry.boot = target_boot{now.time_since_epoch().count()};
    m_fence = {};
    m_lease_until = {};
    m_runs.clear();
    m_highest_closed_run.clear();
    m_ended.clear();
    m_next_end = 1;
}

void target::reboot_as(const resources &capacity, std::vector<std::string> labels, time_point now) {
    m_entry.capacity = capacity;
    m_entry.labels = std::move(labels);
    reboot(now);
}

lease::order_outcome target::start(const pool::start_order &order, const resources &need, duration work, bool fails, time_point now) {
    if(order.to.token < m_fence) {
        return lease::order_outcome::fenced;
    }
    m_fence = order.to.token;
    const auto running = m_runs.find(order.task);
    if(running != m_runs.end() && running->second.number == order.run) {
        extend(order.until, now);
        return lease::order_outcome::done;
    }
    const auto closed_run = m_highest_closed_run.find(order.task);
    if((closed_run != m_highest_closed_run.end() && order.run <= closed_run->second) || running != m_runs.end()) {
        extend(order.until, now);
        return lease::order_outcome::stale_run;
    }
    if(order.until <= clock(now)) {
        return lease::order_outcome::too_late;
    }
    extend(order.until, now);
    m_runs[order.task] = {order.run, need, now, now + from_ms(to_ms(work) / m_speed), fails, false};
    return lease::order_outcome::done;
}

lease::order_outcome target::stop(const pool::stop_order &order, time_point now) {
    if(order.to.token < m_fence) {
        return lease::order_outcome::fenced;
    }
    m_fence = order.to.token;
    const auto running = m_runs.find(order.task);
    if(running != m_runs.end() && running->second.number <= order.run) {
        if(now + internal::stop_delay < running->second.ends) {
            running->second.ends = now + internal::stop_delay;
            running->second.stopped = true;
        }
    }
    auto &closed_run = m_highest_closed_run[order.task];
    closed_run = std::max(closed_run, order.run);
    return lease::order_outcome::done;
}

lease::order_outcome target::hold(const pool::report_order &order, time_point now) {
    if(order.to.token < m_fence) {
        return lease::order_outcome::fenced;
    }
    m_fence = order.to.token;
    extend(order.until, now);
    std::erase_if(m_ended, [&](const lease::reported_end &one) { return one.number <= order.last_end; });
    return lease::order_outcome::done;
}

lease::target_report target::report(time_point now) const {
    lease::target_report result;
    result.boot = m_entry.boot;
    result.clock = clock(now);
    for(const auto &[task, entry]: m_runs) {
        const auto share = to_ms(now - entry.started) / std::max(1.0, to_ms(entry.ends - entry.started));
        result.running.push_back({task, entry.number, static_cast<std::int64_t>(share * 100)});
    }
    result.ended = m_ended;
    return result;
}

} // namespace heathermoor::model
