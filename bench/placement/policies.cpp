#include "placement/policies.hpp"

#include "heathermoor/core/hash.hpp"
#include "heathermoor/core/rendezvous.hpp"
#include <algorithm>
#include <fmt/format.h>

namespace heathermoor::bench {

using namespace placement;

void early_binding::set_target(target_index target, std::uint32_t slots) {
    const auto index = static_cast<std::size_t>(target);
    m_targets.resize(std::max(m_targets.size(), index + 1));
    m_targets[index].slots = slots;
    m_open.push_back(index);
}

void early_binding::close_target(target_index target) {
    std::erase(m_open, static_cast<std::size_t>(target));
    auto moved = std::move(m_targets[static_cast<std::size_t>(target)].queue);
    m_targets[static_cast<std::size_t>(target)].queue.clear();
    for(const auto &task: moved) {
        enqueue(task);
    }
}

std::size_t early_binding::choose() {
    const auto pick = [&] { return m_open[m_random() % m_open.size()]; };
    if(m_choice == choice::random) {
        return pick();
    }
    if(m_choice == choice::power_of_two) {
        const auto a = pick();
        const auto b = pick();
        return outstanding(a) <= outstanding(b) ? a : b;
    }
    return *std::min_element(m_open.begin(), m_open.end(), [&](auto a, auto b) { return outstanding(a) < outstanding(b); });
}

void early_binding::enqueue(const queued_task &task) {
    const auto index = choose();
    m_targets[index].queue.push_back(task);
    m_waiting[static_cast<std::uint64_t>(task.handle)] = index;
    m_ready.push_back(index);
}

bool early_binding::remove(task_handle task) {
    const auto found = m_waiting.find(static_cast<std::uint64_t>(task));
    if(found == m_waiting.end()) {
        return false;
    }
    std::erase_if(m_targets[found->second].queue, [&](const auto &item) { return item.handle == task; });
    m_waiting.erase(found);
    return true;
}

std::optional<assignment> early_binding::next(time_point /*now*/) {
    while(!m_ready.empty()) {
        const auto index = m_ready.back();
        auto &target = m_targets[index];
        if(target.queue.empty() || target.running >= target.slots) {
            m_ready.pop_back();
            continue;
        }
        const auto task = target.queue.front();
        target.queue.pop_front();
        m_waiting.erase(static_cast<std::uint64_t>(task.handle));
        ++target.running;
        m_running[static_cast<std::uint64_t>(task.handle)] = index;
        return assignment{task.handle, static_cast<target_index>(index)};
    }
    return std::nullopt;
}

void early_binding::ended(task_handle task, task_end /*end*/, time_point /*now*/) {
    const auto index = m_running.at(static_cast<std::uint64_t>(task));
    m_running.erase(static_cast<std::uint64_t>(task));
    --m_targets[index].running;
    m_ready.push_back(index);
}

std::vector<task_handle> early_binding::expire(time_point /*now*/) {
    return {};
}

void clairvoyant::set_target(target_index target, std::uint32_t slots) {
    const auto index = static_cast<std::size_t>(target);
    const auto size = std::max(m_slots.size(), index + 1);
    m_slots.resize(size);
    m_used.resize(size);
    m_open.resize(size);
    m_slots[index] = slots;
    m_open[index] = !m_load.targets[index].fails_all;
    if(m_open[index]) {
        m_free.emplace(-m_load.targets[index].speed, index);
    }
}

void clairvoyant::close_target(target_index target) {
    const auto index = static_cast<std::size_t>(target);
    m_open[index] = false;
    m_free.erase({-m_load.targets[index].speed, index});
}

void clairvoyant::enqueue(const queued_task &task) {
    const auto index = static_cast<std::uint64_t>(task.handle);
    m_waiting.emplace(m_load.tasks[index].work, index);
}

bool clairvoyant::remove(task_handle task) {
    const auto index = static_cast<std::uint64_t>(task);
    return m_waiting.erase({m_load.tasks[index].work, index}) > 0;
}

std::optional<assignment> clairvoyant::next(time_point /*now*/) {
    if(m_waiting.empty() || m_free.empty()) {
        return std::nullopt;
    }
    const auto task = m_waiting.begin()->second;
    const auto target = m_free.begin()->second;
    m_waiting.erase(m_waiting.begin());
    m_running[task] = target;
    if(++m_used[target] >= m_slots[target]) {
        m_free.erase(m_free.begin());
    }
    return assignment{static_cast<task_handle>(task), static_cast<target_index>(target)};
}

void clairvoyant::ended(task_handle task, task_end end, time_point /*now*/) {
    const auto target = m_running.at(static_cast<std::uint64_t>(task));
    if(end == task_end::unreachable) {
        close_target(static_cast<target_index>(target));
    }
    m_running.erase(static_cast<std::uint64_t>(task));
    --m_used[target];
    if(m_open[target]) {
        m_free.emplace(-m_load.targets[target].speed, target);
    }
}

std::vector<task_handle> clairvoyant::expire(time_point now) {
    std::vector<task_handle> expired;
    std::erase_if(m_waiting, [&](const auto &entry) {
        const auto late = m_load.tasks[entry.second].deadline <= now;
        if(late) {
            expired.push_back(static_cast<task_handle>(entry.second));
        }
        return late;
    });
    return expired;
}

namespace {

/// Interval of the load reports between hosts.
constexpr duration summary_interval = milliseconds{200};
constexpr duration rebalance_interval = milliseconds{10};
/// Minimum waiting time before a task may be moved.
constexpr duration min_wait = milliseconds{20};
constexpr std::size_t max_attempts = 4;

const pool_id bench_pool{"pool"};

[[nodiscard]] host_id name_of(std::size_t host) {
    return host_id{fmt::format("h{}", host)};
}

} // namespace

sharded::sharded(std::size_t hosts, scheduler_settings settings) : m_load_balancers(hosts), m_refreshed(hosts, time_point::min()) {
    for(std::size_t index = 0; index < hosts; ++index) {
        m_hosts.push_back(std::make_unique<scheduler>(settings));
    }
}

std::size_t sharded::host_of(target_index target) const {
    const auto index = static_cast<std::size_t>(target);
    const auto domains = std::max<std::size_t>(m_hosts.size() / 2, 1);
    const auto first = m_hosts.size() == 1 ? 0 : (index % domains) * 2;
    const auto key = hash64(fmt::format("t{}", index));
    const auto second = std::min(first + 1, m_hosts.size() - 1);
    return rendezvous_score(name_of(first).str(), 1.0, key) > rendezvous_score(name_of(second).str(), 1.0, key) ? first : second;
}

void sharded::set_target(target_index target, std::uint32_t slots) {
    m_hosts[host_of(target)]->set_target(target, slots);
}

void sharded::close_target(target_index target) {
    m_hosts[host_of(target)]->close_target(target);
}

void sharded::set_customer(customer_index customer, customer_share share) {
    for(const auto &host: m_hosts) {
        host->set_customer(customer, share);
    }
}

void sharded::refresh(std::size_t entry, time_point now) {
    if(now - m_published_at >= summary_interval || m_published_at == time_point::min()) {
        m_published.assign(m_hosts.size(), {});
        for(std::size_t host = 0; host < m_hosts.size(); ++host) {
            const auto load = m_hosts[host]->load();
            for(std::size_t reader = 0; reader < m_hosts.size(); ++reader) {
                m_published[reader].push_back(
                    {name_of(host), host / 2 == reader / 2, load.capacity, load.backlog_ms, load.slots, load.free_slots});
            }
        }
        m_published_at = now;
    }
    if(m_refreshed[entry] != m_published_at) {
        m_refreshed[entry] = m_published_at;
        m_load_balancers[entry].update(bench_pool, m_published[entry]);
    }
    const auto own = m_hosts[entry]->load();
    m_load_balancers[entry].refresh(bench_pool, {name_of(entry), true, own.capacity, own.backlog_ms, own.slots, own.free_slots});
}

void sharded::enqueue(const queued_task &task) {
    const auto entry = m_next_entry++ % m_hosts.size();
    refresh(entry, task.queued_at);
    const auto expected = to_ms(m_hosts[entry]->estimate(task.request, task.size_hint));
    const auto chosen = m_load_balancers[entry].choose(bench_pool, expected, {});
    const auto host = static_cast<std::size_t>(std::stoul(chosen.str().substr(1)));
    m_placed[static_cast<std::uint64_t>(task.handle)] = {host, entry, 1};
    m_tasks[static_cast<std::uint64_t>(task.handle)] = task;
    m_hosts[host]->enqueue(task);
}

bool sharded::remove(task_handle task) {
    return m_hosts[m_placed.at(static_cast<std::uint64_t>(task)).host]->remove(task);
}

void sharded::rebalance(time_point now) {
    for(std::size_t host = 0; host < m_hosts.size(); ++host) {
        const auto own = m_hosts[host]->load();
        if(own.queued == 0 || own.free_slots > 0) {
            continue;
        }
        std::size_t free_elsewhere{};
        for(const auto &load: m_published[host]) {
            free_elsewhere += load.host == name_of(host) ? 0 : load.free_slots;
        }
        for(const auto handle: m_hosts[host]->longest_waiting(min_wait, free_elsewhere / m_hosts.size(), now)) {
            auto &placed = m_placed.at(static_cast<std::uint64_t>(handle));
            if(placed.attempts >= max_attempts || !m_hosts[host]->remove(handle)) {
                continue;
            }
            ++m_moved;
            const auto &task = m_tasks.at(static_cast<std::uint64_t>(handle));
            const auto expected = to_ms(m_hosts[host]->estimate(task.request, task.size_hint));
            const auto chosen = m_load_balancers[placed.entry].choose(bench_pool, expected, name_of(host));
            placed.host = static_cast<std::size_t>(std::stoul(chosen.str().substr(1)));
            ++placed.attempts;
            m_hosts[placed.host]->enqueue(task);
        }
    }
}

std::optional<assignment> sharded::next(time_point now) {
    if(now >= m_next_rebalance && m_hosts.size() > 1) {
        m_next_rebalance = now + rebalance_interval;
        rebalance(now);
    }
    for(const auto &host: m_hosts) {
        if(const auto chosen = host->next(now)) {
            return chosen;
        }
    }
    return std::nullopt;
}

void sharded::ended(task_handle task, task_end end, time_point now) {
    const auto [host, entry, attempts] = m_placed.at(static_cast<std::uint64_t>(task));
    m_hosts[host]->ended(task, end, now);
    const auto load = m_hosts[host]->load();
    m_load_balancers[entry].refresh(bench_pool,
                                    {name_of(host), host / 2 == entry / 2, load.capacity, load.backlog_ms, load.slots, load.free_slots});
}

std::vector<task_handle> sharded::expire(time_point now) {
    std::vector<task_handle> expired;
    for(const auto &host: m_hosts) {
        const auto some = host->expire(now);
        expired.insert(expired.end(), some.begin(), some.end());
    }
    return expired;
}

} // namespace heathermoor::bench
