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

/// Time beyond its wait in which a read is usually answered, also by a slow store.
constexpr milliseconds overdue_margin{400};

} // namespace internal

void topic_follower::set_timing(poll_timing timing) noexcept {
    const bool shorter = timing.interval < m_timing.interval;
    m_timing = timing;
    if(shorter && m_has_snapshot && m_failures == 0) {
        m_due = std::min(m_due, m_answered_at + timing.interval);
    }
}

void topic_follower::tick(time_point now) {
    if(!m_overdue && overdue(now)) {
        m_overdue = true;
        m_listener.topic_unanswered(read_problem::overdue);
    }
    if(m_reading || now < m_due) {
        return;
    }
    m_reading = true;
    m_overdue = false;
    m_read_started = now;
    m_read_wait = m_has_snapshot ? m_timing.wait : milliseconds{0};
    if(m_has_snapshot) {
        m_store.read_from(m_next, m_timing.wait);
        return;
    }
    if(m_after.empty()) {
        m_snapshot_started = now;
    }
    m_store.read_newest(m_after);
}

bool topic_follower::overdue(time_point now) const noexcept {
    return m_reading && now - m_read_started > m_read_wait + internal::overdue_margin;
}

time_point topic_follower::as_of(const topic_page &page, time_point now) const noexcept {
    const auto wait_over = m_read_started + m_read_wait;
    return page.records.empty() && now >= wait_over ? wait_over : m_read_started;
}

void topic_follower::begin_snapshot() {
    m_has_snapshot = false;
    m_after.clear();
    m_snapshot_records.clear();
}

void topic_follower::answered(topic_page page, time_point now) {
    m_reading = false;
    m_answered_at = now;
    if(page.result == read_result::failed) {
        m_listener.topic_unanswered(read_problem::failed);
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
        if(m_next >= page.end) {
            m_listener.topic_confirmed(as_of(page, now));
        }
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
        m_listener.topic_confirmed(m_snapshot_started);
        m_snapshot_records.clear();
    }
}

} // namespace heathermoor::feed
