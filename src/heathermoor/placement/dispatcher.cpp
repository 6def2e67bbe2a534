#include "heathermoor/placement/dispatcher.hpp"

#include "heathermoor/core/hash.hpp"
#include <algorithm>
#include <fmt/format.h>

namespace heathermoor::placement {

using submission::task_report;

dispatcher::dispatcher(dispatcher_settings settings) : m_settings{settings} {}

dispatcher::pool_state &dispatcher::pool_at(const pool_id &pool) {
    auto &state = m_pools[pool];
    if(!state.policy) {
        state.policy = std::make_unique<scheduler>();
    }
    return state;
}

customer_index dispatcher::index_of(pool_state &pool, const customer_id &customer) {
    const auto next = static_cast<customer_index>(pool.customers.size());
    const auto [position, added] = pool.customers.emplace(customer, next);
    if(added) {
        pool.policy->set_customer(next, {});
    }
    return position->second;
}

std::uint64_t dispatcher::request_digest(const active_task &task) const {
    return hash64(task.order.request.str(), hash64(task.service.str()));
}

std::string dispatcher::task_name(const active_task &task) {
    return fmt::format("{}/{}/{}", task.customer.str(), task.submission.str(), task.order.index);
}

errc dispatcher::admit(const pool_id &pool, time_point deadline, time_point now) const {
    const auto found = m_pools.find(pool);
    if(found == m_pools.end()) {
        return errc::no_target;
    }
    const auto load = found->second.policy->load();
    if(load.slots == 0) {
        return errc::no_target;
    }
    if(load.queued >= m_settings.max_queue) {
        return errc::overloaded;
    }
    return now >= deadline ? errc::deadline_exceeded : errc::ok;
}

void dispatcher::report(const active_task &task, task_report state, errc code, std::string body, dispatch_effects &effects) {
    effects.reports.push_back({task.origin, {task.order.index, task.order.attempt, state, code, std::move(body)}});
}

void dispatcher::enqueue(task_handle handle, const active_task &task, time_point now) {
    auto &pool = pool_at(task.pool);
    pool.policy->enqueue({handle, index_of(pool, task.customer), request_digest(task), task.order.size_hint, task.deadline, now});
}

void dispatcher::place(job_placement order, time_point now, dispatch_effects &effects) {
    const auto service = m_service_pools.find(order.service);
    const auto pool = service == m_service_pools.end() ? pool_id{} : service->second;
    for(auto &item: order.tasks) {
        const task_key key{order.origin, (static_cast<std::uint64_t>(item.index) << 32U) | item.attempt};
        if(!m_seen_attempts.emplace(key, now).second) {
            continue;
        }
        m_seen_attempts_order.emplace_back(now, key);
        active_task task{
            order.origin, std::move(item), order.customer, order.service, order.submission, order.owner_epoch, order.deadline, pool, {},
            false};
        if(const auto refusal = admit(pool, order.deadline, now); refusal != errc::ok) {
            report(task, task_report::not_started, refusal, {}, effects);
            continue;
        }
        const auto handle = static_cast<task_handle>(m_next_handle++);
        pool_at(pool).retries.first_attempt();
        enqueue(handle, task, now);
        m_jobs[order.origin].push_back(handle);
        m_tasks.emplace(static_cast<std::uint64_t>(handle), std::move(task));
    }
    if(!pool.empty()) {
        start_waiting(pool_at(pool), now, effects);
    }
}

bool dispatcher::start_allowed(const active_task &task, time_point now) const noexcept {
    return !task.started && now < task.deadline;
}

void dispatcher::start_waiting(pool_state &pool, time_point now, dispatch_effects &effects) {
    while(const auto next = pool.policy->next(now)) {
        auto &task = m_tasks.at(static_cast<std::uint64_t>(next->handle));
        if(!start_allowed(task, now)) {
            pool.policy->ended(next->handle, task_end::stopped, now);
            report(task, task_report::not_started, errc::deadline_exceeded, {}, effects);
            forget(next->handle, now);
            continue;
        }
        const auto &target = pool.listed.at(static_cast<std::size_t>(next->target));
        task.started = true;
        task.address = target.address;
        effects.starts.push_back({next->handle, target.id, target.address, task_name(task), task.customer, task.order.request,
                                  task.order.body, task.deadline - now + m_settings.lease_margin, task.owner_epoch});
    }
}

void dispatcher::forget(task_handle handle, time_point /*now*/) {
    const auto found = m_tasks.find(static_cast<std::uint64_t>(handle));
    if(found == m_tasks.end()) {
        return;
    }
    const auto job = m_jobs.find(found->second.origin);
    if(job != m_jobs.end()) {
        std::erase(job->second, handle);
        if(job->second.empty()) {
            m_jobs.erase(job);
        }
    }
    m_tasks.erase(found);
}

void dispatcher::cancel(const task_origin &origin, time_point now, dispatch_effects &effects) {
    const auto job = m_jobs.find(origin);
    if(job == m_jobs.end()) {
        return;
    }
    const auto handles = job->second;
    for(const auto handle: handles) {
        auto &task = m_tasks.at(static_cast<std::uint64_t>(handle));
        if(task.started) {
            effects.stops.push_back({task.address, task_name(task)});
        } else if(pool_at(task.pool).policy->remove(handle)) {
            report(task, task_report::not_started, errc::cancelled, {}, effects);
            forget(handle, now);
        }
    }
}

void dispatcher::owner_lost(const host_id &owner, incarnation process) {
    std::vector<task_handle> dropped;
    for(const auto &[handle, task]: m_tasks) {
        if(task.origin.owner == owner && task.origin.process == process && !task.started) {
            dropped.push_back(static_cast<task_handle>(handle));
        }
    }
    for(const auto handle: dropped) {
        if(pool_at(m_tasks.at(static_cast<std::uint64_t>(handle)).pool).policy->remove(handle)) {
            forget(handle, {});
        }
    }
}

void dispatcher::decline_waiting(time_point now, dispatch_effects &effects) {
    std::vector<task_handle> waiting;
    for(const auto &[handle, task]: m_tasks) {
        if(!task.started) {
            waiting.push_back(static_cast<task_handle>(handle));
        }
    }
    for(const auto handle: waiting) {
        const auto &task = m_tasks.at(static_cast<std::uint64_t>(handle));
        if(pool_at(task.pool).policy->remove(handle)) {
            report(task, task_report::not_started, errc::draining, {}, effects);
            forget(handle, now);
        }
    }
}

void dispatcher::rebalance(const std::map<pool_id, std::uint32_t> &free_elsewhere, time_point now, dispatch_effects &effects) {
    for(auto &[name, pool]: m_pools) {
        const auto found = free_elsewhere.find(name);
        const auto load = pool.policy->load();
        if(found == free_elsewhere.end() || load.queued == 0 || load.free_slots > 0) {
            continue;
        }
        const auto max_count = found->second / m_settings.rebalance_divisor;
        for(const auto handle: pool.policy->longest_waiting(m_settings.rebalance_min_wait, max_count, now)) {
            const auto &task = m_tasks.at(static_cast<std::uint64_t>(handle));
            if(task.order.attempt + 1 < m_settings.max_attempts && pool.policy->remove(handle)) {
                report(task, task_report::not_started, errc::overloaded, {}, effects);
                forget(handle, now);
            }
        }
    }
}

void dispatcher::answered(target_answer answer, time_point now, dispatch_effects &effects) {
    const auto found = m_tasks.find(static_cast<std::uint64_t>(answer.handle));
    if(found == m_tasks.end() || !found->second.started) {
        return;
    }
    auto &task = found->second;
    auto &pool = pool_at(task.pool);
    if(answer.end == task_end::refused_leaving) {
        for(const auto &target: pool.listed) {
            if(target.address == task.address) {
                m_leaving[target.id] = now + m_settings.leaving_hold;
            }
        }
    }
    pool.policy->ended(answer.handle, answer.end, now);
    // In these cases the target did not start the task, so starting it again is safe.
    const auto not_started =
        answer.end == task_end::unreachable || answer.end == task_end::refused_full || answer.end == task_end::refused_leaving;
    if(not_started && now < task.deadline && pool.retries.spend()) {
        task.started = false;
        enqueue(answer.handle, task, now);
        start_waiting(pool, now, effects);
        return;
    }
    const auto state = not_started                      ? task_report::not_started
                       : answer.end == task_end::done   ? task_report::done
                       : answer.end == task_end::failed ? task_report::failed
                                                        : task_report::unknown;
    report(task, state, answer.code, std::move(answer.body), effects);
    forget(answer.handle, now);
    start_waiting(pool, now, effects);
}

void dispatcher::set_targets(const std::vector<target_info> &targets, time_point now, dispatch_effects &effects) {
    std::map<pool_id, std::map<target_id, target_info>> wanted;
    std::erase_if(m_leaving, [now](const auto &entry) { return entry.second <= now; });
    for(const auto &target: targets) {
        if(!m_leaving.contains(target.id)) {
            wanted[target.pool].emplace(target.id, target);
        }
    }
    for(auto &[name, pool]: m_pools) {
        for(const auto &[id, index]: pool.targets) {
            if(!wanted[name].contains(id)) {
                pool.policy->close_target(index);
                pool.listed.at(static_cast<std::size_t>(index)).slots = 0;
            }
        }
    }
    for(const auto &[name, list]: wanted) {
        if(list.empty()) {
            continue;
        }
        auto &pool = pool_at(name);
        for(const auto &[id, target]: list) {
            const auto next = static_cast<target_index>(pool.targets.size());
            const auto [position, added] = pool.targets.emplace(id, next);
            if(added) {
                pool.listed.push_back({});
            }
            auto &listed = pool.listed.at(static_cast<std::size_t>(position->second));
            if(listed != target) {
                listed = target;
                pool.policy->set_target(position->second, target.slots);
            }
        }
        start_waiting(pool, now, effects);
    }
}

void dispatcher::set_policy(const config::policy &current) {
    m_service_pools.clear();
    for(const auto &[name, service]: current.services) {
        m_service_pools[name] = service->pool;
        auto &pool = pool_at(service->pool);
        for(const auto &[customer, claims]: service->customers) {
            pool.policy->set_customer(index_of(pool, customer), {claims.share, claims.cap});
        }
        pool.policy->set_long_tasks(service->long_task, service->long_slots_percent / 100.0);
    }
}

void dispatcher::tick(time_point now, dispatch_effects &effects) {
    for(auto &[name, pool]: m_pools) {
        for(const auto handle: pool.policy->expire(now)) {
            report(m_tasks.at(static_cast<std::uint64_t>(handle)), task_report::not_started, errc::deadline_exceeded, {}, effects);
            forget(handle, now);
        }
        start_waiting(pool, now, effects);
    }
    const auto old = std::find_if(m_seen_attempts_order.begin(), m_seen_attempts_order.end(),
                                  [&](const auto &entry) { return entry.first + m_settings.attempt_retention > now; });
    for(auto position = m_seen_attempts_order.begin(); position != old; ++position) {
        m_seen_attempts.erase(position->second);
    }
    m_seen_attempts_order.erase(m_seen_attempts_order.begin(), old);
}

std::map<pool_id, pool_load> dispatcher::load() const {
    std::map<pool_id, pool_load> loads;
    for(const auto &[name, pool]: m_pools) {
        const auto load = pool.policy->load();
        if(load.slots > 0) {
            loads.emplace(name, load);
        }
    }
    return loads;
}

} // namespace heathermoor::placement
