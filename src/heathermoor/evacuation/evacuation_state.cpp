#include "heathermoor/evacuation/evacuation_state.hpp"

#include <algorithm>
#include <utility>

namespace heathermoor::evacuation {

void evacuation_state::begin(const evacuation_request &request, std::vector<evacuation_change> &changes) {
    const auto [known, added] = m_in_force.try_emplace(request.domain, request.offset);
    known->second = std::max(known->second, request.offset);
    if(added) {
        changes.push_back({request.domain, request.offset, true});
    }
}

std::vector<evacuation_change> evacuation_state::apply(const std::vector<evacuation_request> &records, log_offset next) {
    std::vector<evacuation_change> changes;
    for(const auto &record: records) {
        const auto found = m_in_force.find(record.domain);
        const bool outdated = record.offset < m_next || (found != m_in_force.end() && record.offset < found->second);
        if(outdated) {
            continue;
        }
        if(record.in_force) {
            begin(record, changes);
        } else if(found != m_in_force.end()) {
            m_in_force.erase(found);
            changes.push_back({record.domain, record.offset, false});
        }
    }
    m_next = std::max(m_next, next);
    m_known = true;
    return changes;
}

std::vector<evacuation_change> evacuation_state::merge(const std::vector<evacuation_request> &requests, log_offset next) {
    std::vector<evacuation_change> changes;
    std::set<failure_domain_id> named;
    for(const auto &request: requests) {
        named.insert(request.domain);
        // What a list says of offsets that are known already is no news.
        if(request.offset >= m_next) {
            begin(request, changes);
        }
    }
    if(next > m_next) {
        std::erase_if(m_in_force, [&](const auto &item) {
            const bool over = item.second < next && !named.contains(item.first);
            if(over) {
                changes.push_back({item.first, next, false});
            }
            return over;
        });
    }
    m_next = std::max(m_next, next);
    m_known = true;
    return changes;
}

bool evacuation_state::may_be_next(log_offset next) const noexcept {
    return next <= max_offset && (!m_known || raw(next) <= raw(m_next) + max_advance);
}

std::set<failure_domain_id> evacuation_state::domains() const {
    std::set<failure_domain_id> result;
    for(const auto &[domain, offset]: m_in_force) {
        result.insert(domain);
    }
    return result;
}

std::vector<evacuation_request> evacuation_state::requests() const {
    std::vector<evacuation_request> result;
    result.reserve(m_in_force.size());
    for(const auto &[domain, offset]: m_in_force) {
        result.push_back({domain, offset, true});
    }
    return result;
}

bool plausible(const std::vector<evacuation_request> &requests) {
    if(requests.size() > max_evacuations) {
        return false;
    }
    return std::all_of(requests.begin(), requests.end(), [](const evacuation_request &one) {
        return !one.domain.empty() && one.domain.str().size() <= max_domain_name && one.offset <= max_offset;
    });
}

} // namespace heathermoor::evacuation
