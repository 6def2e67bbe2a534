#include "heathermoor/cancellation/cancel_desk.hpp"

#include <algorithm>

namespace heathermoor::cancellation {

void cancel_desk::ask(gateway::request_token request, const job_id &id, bool known, duration limit, time_point now) {
    auto &one = m_entries[id];
    one.requests.push_back({request, now + limit});
    one.asked_at = now;
    one.sent_at.reset();
    one.known = one.known || known;
    m_unconfirmed.insert(id);
    m_order.push_back({id, now});
    forget_old(now);
}

void cancel_desk::keep(const notice &received, time_point now) {
    const auto [found, is_new] = m_entries.try_emplace(received.id);
    if(!is_new) {
        return;
    }
    found->second.asked_at = now - received.age;
    found->second.known = received.known;
    m_unconfirmed.insert(received.id);
    m_order.push_back({received.id, found->second.asked_at});
    forget_old(now);
}

void cancel_desk::abandon(gateway::request_token request) {
    for(const auto &id: m_unconfirmed) {
        std::erase_if(m_entries.at(id).requests, [request](const waiting_request &one) { return one.request == request; });
    }
}

void cancel_desk::leader_changed() {
    for(auto &[id, one]: m_entries) {
        one.sent_at.reset();
        m_unconfirmed.insert(id);
    }
}

void cancel_desk::confirmed(const notice &confirmed) {
    const auto found = m_entries.find(confirmed.id);
    if(found == m_entries.end() || m_unconfirmed.erase(confirmed.id) == 0) {
        return;
    }
    auto &one = found->second;
    one.known = one.known || confirmed.known;
    answer(confirmed.id, one, one.known ? gateway::cancel_result::cancelled : gateway::cancel_result::not_found);
}

void cancel_desk::answer(const job_id &id, entry &one, gateway::cancel_result result) {
    for(const auto &[request, deadline]: one.requests) {
        m_answers.push_back({request, id, result});
    }
    one.requests.clear();
}

void cancel_desk::tick(time_point now) {
    for(const auto &id: m_unconfirmed) {
        std::erase_if(m_entries.at(id).requests, [&](const waiting_request &one) {
            const bool overdue = now >= one.deadline;
            if(overdue) {
                m_answers.push_back({one.request, id, gateway::cancel_result::unknown});
            }
            return overdue;
        });
    }
    forget_old(now);
}

void cancel_desk::end_all() {
    for(const auto &id: m_unconfirmed) {
        answer(id, m_entries.at(id), gateway::cancel_result::unknown);
    }
}

void cancel_desk::forget_old(time_point now) {
    while(!m_order.empty() && (now - m_order.front().asked_at >= retention || m_order.size() > max_remembered)) {
        const auto oldest = std::move(m_order.front());
        m_order.pop_front();
        const auto found = m_entries.find(oldest.id);
        if(found != m_entries.end() && found->second.asked_at == oldest.asked_at) {
            answer(oldest.id, found->second, gateway::cancel_result::unknown);
            m_unconfirmed.erase(oldest.id);
            m_entries.erase(found);
        }
    }
}

std::vector<notice> cancel_desk::take_due(time_point now) {
    std::vector<notice> result;
    for(const auto &id: m_unconfirmed) {
        auto &one = m_entries.at(id);
        if(one.sent_at && now - *one.sent_at < retry_interval) {
            continue;
        }
        if(result.size() == max_notices) {
            break;
        }
        one.sent_at = now;
        result.push_back({id, now - one.asked_at, one.known});
    }
    return result;
}

} // namespace heathermoor::cancellation
