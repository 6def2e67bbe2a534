#include "heathermoor/placement/scheduler.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace heathermoor::placement {

namespace internal {

constexpr double speed_gain = 0.1;
constexpr double max_log_speed = 3.0;
constexpr duration full_hold = milliseconds{50};
constexpr double max_log_error = 1.4;

[[nodiscard]] std::size_t bucket_of(duration expected, std::size_t count) noexcept {
    const auto ms = static_cast<std::uint64_t>(std::max(to_ms(expected), 0.0));
    return std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(ms)), count - 1);
}

} // namespace internal

scheduler::scheduler(scheduler_settings settings) : m_settings{settings} {}

scheduler::target_state &scheduler::target_at(target_index target) {
    const auto index = static_cast<size_type>(target);
    if(index >= m_targets.size()) {
        m_targets.resize(index + 1);
    }
    return m_targets[index];
}

scheduler::customer_state &scheduler::customer_at(customer_index customer) {
    const auto index = static_cast<size_type>(customer);
    if(index >= m_customers.size()) {
        m_customers.resize(index + 1);
    }
    return m_customers[index];
}

bool scheduler::fails_open() const noexcept {
    return m_ejected_targets > m_settings.fail_open_share * m_open_targets;
}

void scheduler::relist(std::uint32_t index, time_point now) {
    auto &target = m_targets[index];
    if(target.listed) {
        m_free.erase({-target.listed_speed, index});
        target.listed = false;
    }
    if(!target.open) {
        return;
    }
    auto limit = target.health.limit(target.slots, now);
    if(limit == 0) {
        m_wakeups.emplace(target.health.ejected_until(), index);
        limit = fails_open() ? 1 : 0;
    }
    if(now < target.full_until) {
        m_wakeups.emplace(target.full_until, index);
        return;
    }
    if(target.running < limit) {
        target.listed = true;
        target.listed_speed = std::exp(target.log_speed);
        m_free.emplace(-target.listed_speed, index);
    }
}

void scheduler::wake_targets(time_point now) {
    while(!m_wakeups.empty() && m_wakeups.begin()->first <= now) {
        const auto index = m_wakeups.begin()->second;
        m_wakeups.erase(m_wakeups.begin());
        auto &target = m_targets[index];
        const auto was_ejected = target.health.current() == target_health::state::ejected;
        relist(index, now);
        if(was_ejected && target.open && target.health.current() != target_health::state::ejected) {
            --m_ejected_targets;
        }
    }
}

void scheduler::set_target(target_index target, std::uint32_t slots) {
    auto &state = target_at(target);
    const auto speed = std::exp(state.log_speed);
    if(state.open) {
        m_slots -= state.slots;
        m_capacity -= state.slots * speed;
    } else {
        ++m_open_targets;
        state.health = {};
    }
    state.open = true;
    state.slots = slots;
    m_slots += slots;
    m_capacity += slots * speed;
    relist(static_cast<std::uint32_t>(target), time_point::min());
}

void scheduler::close_target(target_index target) {
    auto &state = target_at(target);
    if(!state.open) {
        return;
    }
    state.open = false;
    --m_open_targets;
    if(state.health.current() == target_health::state::ejected) {
        --m_ejected_targets;
    }
    m_slots -= state.slots;
    m_capacity -= state.slots * std::exp(state.log_speed);
    relist(static_cast<std::uint32_t>(target), time_point::min());
}

void scheduler::set_customer(customer_index customer, customer_share share) {
    auto &state = customer_at(customer);
    state.share = share;
    state.share.weight = std::max(share.weight, 0.01);
    state.known = true;
}

void scheduler::activate(std::uint32_t index) {
    auto &customer = m_customers[index];
    customer.virtual_time = std::max(customer.virtual_time, m_virtual_time);
    m_order.emplace(customer.virtual_time, index);
}

void scheduler::enqueue(const queued_task &task) {
    auto &customer = customer_at(task.customer);
    const auto index = static_cast<std::uint32_t>(task.customer);
    const auto expected = m_model.estimate(run_time_model::classify(task.request, task.size_hint), task.size_hint);
    const auto bucket = internal::bucket_of(expected, bucket_count);
    const auto is_long = expected >= m_settings.long_task;
    auto &list = customer.buckets.at(bucket);
    list.push_back({task, expected, bucket, is_long});
    m_waiting.emplace(static_cast<std::uint64_t>(task.handle), std::pair{index, std::prev(list.end())});
    m_deadlines.emplace(task.deadline, static_cast<std::uint64_t>(task.handle));
    m_backlog_ms += to_ms(expected);
    if(!is_long) {
        m_short_backlog_ms += to_ms(expected);
        m_last_short = task.queued_at;
    }
    if(customer.waiting++ == 0) {
        activate(index);
    }
}

void scheduler::erase_waiting(task_list &bucket, task_list::iterator position) {
    const auto index = static_cast<std::uint32_t>(position->task.customer);
    auto &customer = m_customers[index];
    m_backlog_ms = std::max(0.0, m_backlog_ms - to_ms(position->expected));
    if(!position->is_long) {
        m_short_backlog_ms = std::max(0.0, m_short_backlog_ms - to_ms(position->expected));
    }
    m_waiting.erase(static_cast<std::uint64_t>(position->task.handle));
    bucket.erase(position);
    if(--customer.waiting == 0) {
        m_order.erase({customer.virtual_time, index});
    }
}

bool scheduler::remove(task_handle task) {
    const auto found = m_waiting.find(static_cast<std::uint64_t>(task));
    if(found == m_waiting.end()) {
        return false;
    }
    const auto [index, position] = found->second;
    erase_waiting(m_customers[index].buckets.at(position->bucket), position);
    return true;
}

bool scheduler::long_allowed(time_point now) const {
    const auto short_expected = m_last_short != time_point::min() && now - m_last_short <= m_settings.short_memory;
    if(!short_expected) {
        return true;
    }
    return m_running_long < std::max(1.0, std::floor(m_settings.long_slot_share * m_slots));
}

scheduler::task_list *scheduler::best_bucket(customer_state &customer, bool allow_long, time_point now) const {
    task_list *best = nullptr;
    auto best_rank = 0.0;
    for(auto &bucket : customer.buckets) {
        if(bucket.empty() || (bucket.front().is_long && !allow_long)) {
            continue;
        }
        const auto &head = bucket.front();
        const auto rank = to_ms(head.expected) - m_settings.aging * to_ms(now - head.task.queued_at);
        if(best == nullptr || rank < best_rank) {
            best = &bucket;
            best_rank = rank;
        }
    }
    return best;
}

std::optional<std::uint32_t> scheduler::pick_target(const waiting_task & /*task*/, time_point /*now*/) const {
    if(m_free.empty()) {
        return std::nullopt;
    }
    return m_free.begin()->second;
}

std::optional<assignment> scheduler::next(time_point now) {
    wake_targets(now);
    if(m_free.empty() || m_order.empty()) {
        return std::nullopt;
    }
    const auto allow_long = long_allowed(now);
    for(const auto &[virtual_time, index] : m_order) {
        auto &customer = m_customers[index];
        if(customer.share.cap != 0 && customer.running >= customer.share.cap) {
            continue;
        }
        auto *bucket = best_bucket(customer, allow_long, now);
        if(bucket == nullptr) {
            continue;
        }
        const auto target = pick_target(bucket->front(), now);
        if(!target) {
            return std::nullopt;
        }
        const auto chosen = bucket->front();
        m_virtual_time = std::max(m_virtual_time, virtual_time);
        const auto old_time = customer.virtual_time;
        erase_waiting(*bucket, bucket->begin());
        m_order.erase({old_time, index});
        customer.virtual_time = old_time + std::max(to_ms(chosen.expected), 1.0) / customer.share.weight;
        if(customer.waiting > 0) {
            m_order.emplace(customer.virtual_time, index);
        }
        ++customer.running;
        ++m_targets[*target].running;
        m_running_long += chosen.is_long ? 1U : 0U;
        m_running.emplace(static_cast<std::uint64_t>(chosen.task.handle),
                          running_task{chosen.task, static_cast<target_index>(*target), now, chosen.expected, chosen.is_long});
        relist(*target, now);
        return assignment{chosen.task.handle, static_cast<target_index>(*target)};
    }
    return std::nullopt;
}

void scheduler::learn_speed(target_state &target, const running_task &task, time_point now) {
    const auto observed = std::max(to_ms(now - task.started), 0.1);
    const auto kind = run_time_model::classify(task.task.request, task.task.size_hint);
    const auto expected = std::max(to_ms(m_model.estimate(kind, task.task.size_hint)), 0.1);
    const auto error = std::clamp(std::log(expected / observed) - target.log_speed, -internal::max_log_error, internal::max_log_error);
    ++target.samples;
    const auto gain = std::max(internal::speed_gain, 0.5 / target.samples);
    const auto old_speed = std::exp(target.log_speed);
    target.log_speed = std::clamp(target.log_speed + gain * error, -internal::max_log_speed, internal::max_log_speed);
    if(target.open) {
        m_capacity += target.slots * (std::exp(target.log_speed) - old_speed);
    }
    m_model.observe(kind, now - task.started, std::exp(target.log_speed));
}

void scheduler::ended(task_handle handle, task_end end, time_point now) {
    const auto found = m_running.find(static_cast<std::uint64_t>(handle));
    if(found == m_running.end()) {
        return;
    }
    const auto task = found->second;
    m_running.erase(found);
    auto &target = m_targets[static_cast<size_type>(task.target)];
    --target.running;
    --m_customers[static_cast<size_type>(task.task.customer)].running;
    m_running_long -= task.is_long ? 1U : 0U;
    const auto was_ejected = target.health.current() == target_health::state::ejected;
    switch(end) {
    case task_end::done:
        target.health.succeeded();
        learn_speed(target, task, now);
        break;
    case task_end::failed:
    case task_end::ambiguous:
        target.health.failed(now, false);
        break;
    case task_end::unreachable:
        target.health.failed(now, true);
        break;
    case task_end::refused_full:
        target.full_until = now + internal::full_hold;
        break;
    case task_end::refused_leaving:
        close_target(task.target);
        break;
    case task_end::stopped:
        break;
    }
    const auto is_ejected = target.health.current() == target_health::state::ejected;
    if(target.open && is_ejected != was_ejected) {
        is_ejected ? ++m_ejected_targets : --m_ejected_targets;
    }
    relist(static_cast<std::uint32_t>(task.target), now);
}

std::vector<task_handle> scheduler::expire(time_point now) {
    std::vector<task_handle> expired;
    while(!m_deadlines.empty() && m_deadlines.top().first <= now) {
        const auto handle = static_cast<task_handle>(m_deadlines.top().second);
        m_deadlines.pop();
        if(remove(handle)) {
            expired.push_back(handle);
        }
    }
    return expired;
}

pool_load scheduler::load() const {
    const auto running = static_cast<std::uint32_t>(m_running.size());
    return {m_capacity, m_backlog_ms, m_short_backlog_ms, m_slots, m_slots > running ? m_slots - running : 0, m_waiting.size()};
}

void scheduler::set_long_tasks(duration long_task, double slot_share) noexcept {
    m_settings.long_task = long_task;
    m_settings.long_slot_share = slot_share;
}

double scheduler::speed(target_index target) const {
    const auto index = static_cast<size_type>(target);
    return index < m_targets.size() ? std::exp(m_targets[index].log_speed) : 1.0;
}

duration scheduler::estimate(std::uint64_t request, milliseconds size_hint) const {
    return m_model.estimate(run_time_model::classify(request, size_hint), size_hint);
}

} // namespace heathermoor::placement
