#include "heathermoor/placement/scheduler.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace heathermoor::placement {

namespace internal {

/// Minimum weight of a new sample in a target's learned speed.
constexpr double speed_gain = 0.1;
/// Bounds learned speeds to factors from 1/20 to 20.
constexpr double max_log_speed = 3.0;
/// Pause before a target that refused a task because it was full gets another.
constexpr duration full_hold = milliseconds{50};
/// Bounds the effect of one sample, so that a straggler (beyond about 4 times the expected run time) does not distort the speed.
constexpr double max_log_error = 1.4;
/// Factor by which the highest known speed decays with each completed task.
constexpr double fastest_decay = 0.9999;
/// Maximum extra charge for a task that ran longer than expected, as a multiple of its expected run time.
constexpr double max_charge_factor = 1.0;
/// Safety margin on expected run times in the check whether a task can meet its deadline.
constexpr double run_time_margin = 1.2;
/// Multiple of the expected run time after which a running task counts as overdue.
constexpr double overdue_factor = 3.0;
/// Minimum share of the capacity that is reported even if all slots are held by overdue tasks.
constexpr double min_available_share = 0.05;

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

// Ejected targets get one task at a time when too many are ejected, so that the pool does not stop altogether.
bool scheduler::fails_open() const noexcept {
    return m_ejected_targets > m_settings.fail_open_share * m_open_targets;
}

void scheduler::update_free_list(std::uint32_t index, time_point now) {
    auto &target = m_targets[index];
    if(target.listed) {
        m_free_targets.erase({-target.listed_speed, index});
        target.listed = false;
    }
    if(!target.open) {
        return;
    }
    auto limit = target.health.limit(target.slots, now);
    if(limit == 0) {
        m_recheck_times.emplace(target.health.ejected_until(), index);
        limit = fails_open() ? 1 : 0;
    }
    if(now < target.full_until) {
        m_recheck_times.emplace(target.full_until, index);
        return;
    }
    if(target.running < limit) {
        target.listed = true;
        target.listed_speed = std::exp(target.log_speed);
        m_free_targets.emplace(-target.listed_speed, index);
    }
}

void scheduler::recheck_targets(time_point now) {
    while(!m_recheck_times.empty() && m_recheck_times.begin()->first <= now) {
        const auto index = m_recheck_times.begin()->second;
        m_recheck_times.erase(m_recheck_times.begin());
        auto &target = m_targets[index];
        const auto was_ejected = target.health.current() == target_health::state::ejected;
        update_free_list(index, now);
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
    update_free_list(static_cast<std::uint32_t>(target), time_point::min());
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
    update_free_list(static_cast<std::uint32_t>(target), time_point::min());
}

void scheduler::set_customer(customer_index customer, customer_share share) {
    auto &state = customer_at(customer);
    state.share = share;
    state.share.weight = std::max(share.weight, 0.01);
    state.known = true;
}

void scheduler::add_to_order(std::uint32_t index) {
    auto &customer = m_customers[index];
    // A customer without waiting tasks earns no credit for its idle time.
    customer.virtual_time = std::max(customer.virtual_time, m_virtual_time);
    m_customer_order.emplace(customer.virtual_time, index);
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
    const auto fastest = std::max(m_fastest, 1.0);
    // No target known so far can end the task in less time.
    const auto shortest_run = duration{static_cast<std::int64_t>(static_cast<double>(expected.count()) / fastest)};
    m_deadlines.emplace(task.deadline - shortest_run, static_cast<std::uint64_t>(task.handle));
    m_backlog_ms += to_ms(expected);
    if(!is_long) {
        m_short_backlog_ms += to_ms(expected);
        m_last_short = task.queued_at;
    }
    if(customer.waiting++ == 0) {
        add_to_order(index);
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
        m_customer_order.erase({customer.virtual_time, index});
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
    const auto short_expected = m_last_short != time_point::min() && now - m_last_short <= m_settings.short_task_window;
    if(!short_expected) {
        return true;
    }
    return m_running_long < std::max(1.0, std::floor(m_settings.long_slot_share * m_slots));
}

scheduler::task_list *scheduler::best_bucket(customer_state &customer, bool allow_long, time_point now) const {
    task_list *best = nullptr;
    auto best_rank = 0.0;
    for(auto &bucket: customer.buckets) {
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

scheduler::task_list::iterator scheduler::best_task(task_list &bucket, time_point now) const {
    const auto &oldest = bucket.front().task;
    const auto overloaded = now - oldest.queued_at > (oldest.deadline - oldest.queued_at) / 2;
    return overloaded ? std::prev(bucket.end()) : bucket.begin();
}

bool scheduler::can_finish(const waiting_task &task, std::uint32_t target, time_point now) const {
    const auto run_ms = to_ms(task.expected) * internal::run_time_margin / std::exp(m_targets[target].log_speed);
    // A task that was queued at this very moment is started even if its estimate exceeds its deadline.
    return now + from_ms(run_ms) <= task.task.deadline || task.task.queued_at == now;
}

void scheduler::mark_overdue(time_point now) {
    while(!m_expected_ends.empty() && m_expected_ends.top().first <= now) {
        const auto found = m_running.find(m_expected_ends.top().second);
        m_expected_ends.pop();
        if(found != m_running.end()) {
            found->second.is_overdue = true;
            ++m_overdue_count;
        }
    }
}

void scheduler::start(task_list &bucket, task_list::iterator position, std::uint32_t target, time_point now) {
    const auto chosen = *position;
    const auto index = static_cast<std::uint32_t>(chosen.task.customer);
    auto &customer = m_customers[index];
    const auto old_time = customer.virtual_time;
    m_virtual_time = std::max(m_virtual_time, old_time);
    erase_waiting(bucket, position);
    m_customer_order.erase({old_time, index});
    customer.virtual_time = old_time + std::max(to_ms(chosen.expected), 1.0) / customer.share.weight;
    if(customer.waiting > 0) {
        m_customer_order.emplace(customer.virtual_time, index);
    }
    ++customer.running;
    ++m_targets[target].running;
    m_running_long += chosen.is_long ? 1U : 0U;
    const auto handle = static_cast<std::uint64_t>(chosen.task.handle);
    m_running.emplace(handle, running_task{chosen.task, static_cast<target_index>(target), now, chosen.expected, chosen.is_long, false});
    const auto late_ms = to_ms(chosen.expected) * internal::overdue_factor / std::exp(m_targets[target].log_speed);
    m_expected_ends.emplace(now + from_ms(late_ms), handle);
    update_free_list(target, now);
}

std::optional<assignment> scheduler::next(time_point now) {
    recheck_targets(now);
    mark_overdue(now);
    const auto allow_long = long_allowed(now);
    for(auto position = m_customer_order.begin(); position != m_customer_order.end() && !m_free_targets.empty();) {
        auto &customer = m_customers[position->second];
        auto *bucket = customer.share.cap != 0 && customer.running >= customer.share.cap ? nullptr : best_bucket(customer, allow_long, now);
        if(bucket == nullptr) {
            ++position;
            continue;
        }
        const auto target = m_free_targets.begin()->second;
        const auto task = best_task(*bucket, now);
        if(!can_finish(*task, target, now)) {
            m_expired.push_back(task->task.handle);
            erase_waiting(*bucket, task);
            position = m_customer_order.begin();
            continue;
        }
        const auto handle = task->task.handle;
        start(*bucket, task, target, now);
        return assignment{handle, static_cast<target_index>(target)};
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
    m_fastest = std::max(m_fastest * internal::fastest_decay, std::exp(target.log_speed));
    if(target.open) {
        m_capacity += target.slots * (std::exp(target.log_speed) - old_speed);
    }
    m_model.observe(kind, now - task.started, std::exp(target.log_speed));
}

// Corrects the charge made at the start, from the expected run time to the observed one at speed 1.
void scheduler::adjust_charge(const running_task &task, time_point now) {
    const auto index = static_cast<std::uint32_t>(task.task.customer);
    auto &customer = m_customers[index];
    const auto speed = std::exp(m_targets[static_cast<size_type>(task.target)].log_speed);
    const auto expected = to_ms(task.expected);
    const auto difference = std::min(to_ms(now - task.started) * speed - expected, internal::max_charge_factor * expected);
    if(customer.waiting > 0) {
        m_customer_order.erase({customer.virtual_time, index});
    }
    customer.virtual_time += difference / customer.share.weight;
    if(customer.waiting > 0) {
        m_customer_order.emplace(customer.virtual_time, index);
    }
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
    m_overdue_count -= task.is_overdue ? 1U : 0U;
    adjust_charge(task, now);
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
    update_free_list(static_cast<std::uint32_t>(task.target), now);
}

std::vector<task_handle> scheduler::expire(time_point now) {
    auto expired = std::move(m_expired);
    m_expired.clear();
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
    // Slots held by overdue tasks are not expected to become free soon.
    const auto available_share = m_slots == 0 ? 0.0 : 1.0 - static_cast<double>(std::min(m_overdue_count, m_slots)) / m_slots;
    return {m_capacity * std::max(available_share, internal::min_available_share),
            m_backlog_ms,
            m_short_backlog_ms,
            m_slots,
            m_slots > running ? m_slots - running : 0,
            m_waiting.size()};
}

void scheduler::set_long_tasks(duration long_task, double slot_share) noexcept {
    m_settings.long_task = long_task;
    m_settings.long_slot_share = slot_share;
}

std::vector<task_handle> scheduler::longest_waiting(duration waited, size_type max_count, time_point now) const {
    std::vector<std::pair<time_point, task_handle>> found;
    for(const auto &[virtual_time, index]: m_customer_order) {
        for(const auto &bucket: m_customers[index].buckets) {
            for(const auto &waiting: bucket) {
                if(found.size() >= max_count || now - waiting.task.queued_at < waited) {
                    break;
                }
                found.emplace_back(waiting.task.queued_at, waiting.task.handle);
            }
        }
    }
    std::sort(found.begin(), found.end());
    std::vector<task_handle> handles;
    for(const auto &[at, handle]: found) {
        handles.push_back(handle);
    }
    return handles;
}

double scheduler::speed(target_index target) const {
    const auto index = static_cast<size_type>(target);
    return index < m_targets.size() ? std::exp(m_targets[index].log_speed) : 1.0;
}

duration scheduler::estimate(std::uint64_t request, milliseconds size_hint) const {
    return m_model.estimate(run_time_model::classify(request, size_hint), size_hint);
}

} // namespace heathermoor::placement
