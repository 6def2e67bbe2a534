#include "heathermoor/cancellation/cancel_relay.hpp"

#include <algorithm>

namespace heathermoor::cancellation {

namespace internal {

/// Difference from which a notice is that of a later request, and no copy that took longer on its way.
constexpr seconds renewal_step{1};

/// Time without a confirmation after which other hosts of a home's cell are asked for its leader.
constexpr milliseconds silence_limit{200};

} // namespace internal

void cancel_relay::submit(const process_ref &from, const notice &received, time_point now) {
    const auto cancelled_at = now - received.age;
    const auto [found, is_new] = m_entries.try_emplace(received.id);
    auto &one = found->second;
    if(is_new || cancelled_at >= one.cancelled_at + internal::renewal_step) {
        one.cancelled_at = cancelled_at;
        one.homes.clear();
        one.homes_current = false;
        m_order.push_back({received.id, cancelled_at});
        m_open.insert(received.id);
    }
    one.known = one.known || received.known;
    one.gateways.insert(from);
    if(!m_open.contains(received.id)) {
        finish_if_confirmed(received.id, one);
    }
    forget_old(now);
}

void cancel_relay::confirmed(const host_id &from, const notice &confirmed) {
    const auto found = m_entries.find(confirmed.id);
    if(found == m_entries.end()) {
        return;
    }
    auto &one = found->second;
    for(auto &home: one.homes) {
        home.confirmed = home.confirmed || (home.asked && home.asked->host == from);
    }
    one.known = one.known || confirmed.known;
    if(m_open.contains(confirmed.id)) {
        finish_if_confirmed(confirmed.id, one);
    }
}

void cancel_relay::finish_if_confirmed(const job_id &id, entry &one) {
    const bool all = std::all_of(one.homes.begin(), one.homes.end(), [](const home_state &home) { return home.confirmed; });
    if(!all || one.homes.empty()) {
        return;
    }
    m_open.erase(id);
    for(const auto &gateway: one.gateways) {
        m_confirmed.push_back({gateway, {id, {}, one.known}});
    }
    one.gateways.clear();
}

void cancel_relay::tick(const lock::lock_client &locks, time_point now) {
    forget_old(now);
    std::map<cell::cell_id, std::optional<gateway::leader_ref>> leaders;
    for(const auto &cell: locks.cells()) {
        leaders[cell] = locks.leader_of(cell);
    }
    if(leaders == m_leaders) {
        return;
    }
    m_leaders = std::move(leaders);
    for(auto &[id, one]: m_entries) {
        one.homes_current = false;
        m_open.insert(id);
    }
}

void cancel_relay::add_homes(const job_id &id, entry &one, const lock::lock_client &locks, time_point now) const {
    if(one.homes_current) {
        return;
    }
    one.homes_current = true;
    for(const auto &cell: locks.homes_of(id, now)) {
        const auto known = std::any_of(one.homes.begin(), one.homes.end(), [&cell](const home_state &home) { return home.cell == cell; });
        if(!known) {
            home_state added;
            added.cell = cell;
            added.waited_since = now;
            one.homes.push_back(std::move(added));
        }
    }
    // A cell that is no more has no leader, and keeps no locks.
    std::erase_if(one.homes, [this](const home_state &home) { return !m_leaders.empty() && !m_leaders.contains(home.cell); });
}

std::map<host_id, std::vector<notice>> cancel_relay::take_due(const lock::lock_client &locks, time_point now) {
    std::map<host_id, std::vector<notice>> result;
    const std::vector<job_id> open{m_open.begin(), m_open.end()};
    for(const auto &id: open) {
        auto &one = m_entries.at(id);
        add_homes(id, one, locks, now);
        for(auto &home: one.homes) {
            const auto leader = locks.leader_of(home.cell);
            const bool changed = home.asked != leader;
            if(!leader || (!changed && (home.confirmed || now - home.asked_at < retry_interval))) {
                continue;
            }
            auto &notices = result[leader->host];
            if(notices.size() == max_notices) {
                continue;
            }
            notices.push_back({id, now - one.cancelled_at, one.known});
            home.waited_since = changed ? now : home.waited_since;
            home.confirmed = home.confirmed && !changed;
            home.asked = leader;
            home.asked_at = now;
        }
        finish_if_confirmed(id, one);
    }
    return result;
}

std::set<cell::cell_id> cancel_relay::silent_homes(time_point now) const {
    std::set<cell::cell_id> result;
    for(const auto &id: m_open) {
        for(const auto &home: m_entries.at(id).homes) {
            if(!home.confirmed && now - home.waited_since >= internal::silence_limit) {
                result.insert(home.cell);
            }
        }
    }
    return result;
}

void cancel_relay::forget_old(time_point now) {
    while(!m_order.empty() && (now - m_order.front().cancelled_at >= retention || m_order.size() > max_remembered)) {
        const auto oldest = std::move(m_order.front());
        m_order.pop_front();
        const auto found = m_entries.find(oldest.id);
        if(found != m_entries.end() && found->second.cancelled_at == oldest.cancelled_at) {
            m_open.erase(oldest.id);
            m_entries.erase(found);
        }
    }
}

void cancel_relay::clear() {
    m_entries.clear();
    m_open.clear();
    m_order.clear();
    m_confirmed.clear();
    m_leaders.clear();
}

} // namespace heathermoor::cancellation
