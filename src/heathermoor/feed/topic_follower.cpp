#include "heathermoor/feed/topic_follower.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heathermoor::feed {

namespace internal {

/// Pause after a failed read; doubles up to the longest.
constexpr milliseconds first_pause{250};

/// Longest pause: keeps a change in force within the operators' bound after the store is back.
constexpr milliseconds longest_pause{1'000};

} // namespace internal

void topic_follower::set_timing(poll_timing pace) noexcept {
    const bool shorter = pace.interval < m_pace.interval;
    m_pace = pace;
    if(shorter && m_has_snapshot && m_failures == 0) {
        m_due = std::min(m_due, m_answered + pace.interval);
    }
}

void topic_follower::tick(time_point now) {
    if(m_reading || now < m_due) {
        return;
    }
    m_reading = true;
    if(m_has_snapshot) {
        m_store.read_from(m_next, m_pace.wait);
    } else {
        m_store.read_newest(m_after);
    }
}

void topic_follower::begin_snapshot() {
    m_has_snapshot = false;
    m_after.clear();
    m_pages.clear();
}

void topic_follower::answered(topic_page page, time_point now) {
    m_reading = false;
    m_answered = now;
    m_listener.topic_reachable(page.result != read_result::failed);
    if(page.result == read_result::failed) {
        m_due = now + std::min(internal::longest_pause, internal::first_pause * (1 << std::min(m_failures, 4U)));
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
        m_due = now + m_pace.interval;
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
    std::move(page.records.begin(), page.records.end(), std::back_inserter(m_pages));
    m_after = page.next_key;
    if(m_after.empty()) {
        m_has_snapshot = true;
        m_due = now + m_pace.interval;
        m_listener.topic_changed(m_pages, m_next, true);
        m_pages.clear();
    }
}

} // namespace heathermoor::feed
