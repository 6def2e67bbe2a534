#include "heathermoor/pool/target_room.hpp"

#include <algorithm>

namespace heathermoor::pool {

void target_room::add(const service_id &service, const resources &capacity) {
    const auto known = std::find_if(m_groups.begin(), m_groups.end(),
                                    [&](const group &one) { return one.capacity == capacity && one.service == service; });
    if(known == m_groups.end()) {
        m_groups.push_back({service, capacity, 1});
    } else {
        ++known->targets;
    }
}

std::int64_t target_room::places(const service_id &service, const resources &need) const {
    std::int64_t sum = 0;
    for(const auto &one: m_groups) {
        if(one.service == service) {
            sum += one.targets * pieces(need, one.capacity);
        }
    }
    return sum;
}

} // namespace heathermoor::pool
