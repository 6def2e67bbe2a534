#include "heathermoor/catalog/target_catalog.hpp"

#include <algorithm>

namespace heathermoor::catalog {

namespace internal {

/// Time in which an expired entry of a live target returns to the list: the platform
/// guarantees two seconds after the list is back.
constexpr milliseconds removal_grace{2'500};

/// Time for which a dropped target is remembered: it may still be running behind a
/// network partition, with tasks that another scheduler started.
constexpr seconds dropped_target_retention{60};

} // namespace internal

void target_catalog::apply(const catalog_record &record, time_point now) {
    const auto found = m_slots.find(record.id);
    if(found != m_slots.end() && record.offset < found->second.offset) {
        found->second.in_snapshot = true;
        return;
    }
    if(!record.entry) {
        if(found != m_slots.end() && !found->second.removed_at) {
            found->second.offset = record.offset;
            found->second.removed_at = now;
        }
        return;
    }
    auto &slot = m_slots[record.id];
    if(slot.entry != *record.entry) {
        ++m_revision;
    }
    slot.offset = record.offset;
    slot.entry = *record.entry;
    slot.removed_at.reset();
    slot.in_snapshot = true;
}

void target_catalog::read_to(log_offset next) noexcept {
    m_next = std::max(m_next, next);
}

void target_catalog::begin_snapshot() noexcept {
    for(auto &[id, slot]: m_slots) {
        slot.in_snapshot = false;
    }
}

void target_catalog::end_snapshot(time_point now) {
    for(auto &[id, slot]: m_slots) {
        if(!slot.in_snapshot && !slot.removed_at) {
            slot.removed_at = now;
        }
    }
}

bool target_catalog::expire(time_point now) {
    std::erase_if(m_dropped, [now](const auto &item) { return now - item.second.at >= internal::dropped_target_retention; });
    const auto count = std::erase_if(m_slots, [&](const auto &item) {
        const auto &removed_at = item.second.removed_at;
        const bool over = removed_at && now - *removed_at >= internal::removal_grace;
        if(over) {
            m_dropped[item.first] = {now, item.second.entry.domain};
        }
        return over;
    });
    m_revision += count;
    return count > 0;
}

std::map<target_id, failure_domain_id> target_catalog::known_domains() const {
    std::map<target_id, failure_domain_id> result;
    for(const auto &[id, slot]: m_slots) {
        result.emplace(id, slot.entry.domain);
    }
    for(const auto &[id, entry]: m_dropped) {
        result.emplace(id, entry.domain);
    }
    return result;
}

std::vector<target_entry> target_catalog::entries() const {
    std::vector<target_entry> result;
    result.reserve(m_slots.size());
    for(const auto &[id, slot]: m_slots) {
        result.push_back(slot.entry);
    }
    return result;
}

std::vector<catalog_record> target_catalog::records() const {
    std::vector<catalog_record> result;
    result.reserve(m_slots.size());
    for(const auto &[id, slot]: m_slots) {
        if(!slot.removed_at) {
            result.push_back({slot.offset, id, slot.entry});
        }
    }
    return result;
}

} // namespace heathermoor::catalog
