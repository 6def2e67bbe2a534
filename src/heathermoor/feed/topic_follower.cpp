#include "heathermoor/feed/topic_follower.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heathermoor::feed {

namespace internal {

/// Retry delay after the first failed read; doubles with each further failure.
constexpr milliseconds first_retry_delay{250};

/// Maximum retry delay: after the store is back, changes must take effect within the operators' limit.
constexpr milliseconds max_retry_delay{1'000};

} // namespace internal

void topic_follower::set_timing(poll_timing timing) noexcept {
    const bool shorter = timing.interval < m_timing.interval;
    m_timing = timing;
    if(shorter && m_has_snapshot && m_failures == 0) {
        m_due = std::min(m_due, m_answered_at + timing.interval);
    }
}

void topic_follower::tick(time_point now) {
    if(m_reading || now < m_due) {
        return;
    }
    m_reading = true;
    if(m_has_snapshot) {
        m_store.read_from(m_next, m_timing.wait);
    } else {
        m_store.read_newest(m_after);
    }
}

void topic_follower::begin_snapshot() {
    m_has_snapshot = false;
    m_after.clear();
    m_snapshot_records.clear();
}

void topic_follower::answered(topic_page page, time_point now) {
    m_reading = false;
    m_answered_at = now;
    m_listener.topic_reachable(page.result != read_result::failed);
    if(page.result == read_result::failed) {
        m_due = now + std::min(internal::max_retry_delay, internal::first_retry_delay * (1 << std::min(m_failures, 4U)));
        ++m_failures;
        return;
    }
    m_failures = 0;
    m_due = now;
    if(page.result == read_result::history_lost) {
        begin_snapshot();
        return;
    }
    if(m_has_snapshot) {
        m_due = now + m_timing.interval;
        if(!page.records.empty()) {
            m_next = log_offset{raw(page.records.back().offset) + 1};
            m_due = m_next < page.end ? now : m_due;
        }
        m_listener.topic_changed(page.records, m_next, false);
        return;
    }
    if(m_after.empty()) {
        m_next = page.end;
    }
    std::move(page.records.begin(), page.records.end(), std::back_inserter(m_snapshot_records));
    m_after = page.next_key;
    if(m_after.empty()) {
        m_has_snapshot = true;
        m_due = now + m_timing.interval;
        m_listener.topic_changed(m_snapshot_records, m_next, true);
        m_snapshot_records.clear();
    }
}

} // namespace heathermoor::feed
