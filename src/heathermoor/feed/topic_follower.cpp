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

/// Time beyond its wait in which a read is usually answered, also by a slow store; doubles with
/// each further read that is not, to bound the calls to a store that answers none.
constexpr milliseconds first_overdue_margin{400};

/// Maximum of that time: after the store is back, changes must take effect within the operators' limit.
constexpr milliseconds max_overdue_margin{1'000};

/// Replaced reads whose answers are still accepted.
constexpr std::size_t max_replaced_reads = 4;

} // namespace internal

void topic_follower::set_timing(poll_timing timing) noexcept {
    const bool shorter = timing.interval < m_timing.interval;
    m_timing = timing;
    if(shorter && m_has_snapshot && m_failures == 0) {
        m_due = std::min(m_due, m_answered_at + timing.interval);
    }
}

void topic_follower::tick(time_point now) {
    const auto margin = std::min(internal::max_overdue_margin, internal::first_overdue_margin * (1 << std::min(m_unanswered, 4U)));
    if(m_current && now - m_current->started > m_current->wait + margin) {
        ++m_unanswered;
        replace_read(read_problem::overdue);
    }
    if(!m_current && now >= m_due) {
        start_read(now);
    }
}

void topic_follower::suspect_read(time_point now) {
    if(m_current && now - m_current->started > internal::max_overdue_margin) {
        m_due = now;
        replace_read(read_problem::suspected);
    }
}

void topic_follower::read_soon(time_point now) noexcept {
    if(!m_current && now - m_answered_at >= internal::max_retry_delay) {
        m_due = std::min(m_due, now);
    }
}

std::optional<time_point> topic_follower::pending_since() const noexcept {
    return m_current ? std::optional{m_current->started} : std::nullopt;
}

void topic_follower::replace_read(read_problem problem) {
    if(m_replaced.size() >= internal::max_replaced_reads) {
        m_replaced.erase(m_replaced.begin());
    }
    m_replaced.push_back(*m_current);
    m_current.reset();
    m_listener.topic_unanswered(problem);
}

void topic_follower::start_read(time_point now) {
    m_last_read = read_id{static_cast<std::uint64_t>(m_last_read) + 1};
    const auto wait = m_has_snapshot ? m_timing.wait : milliseconds{0};
    m_current = pending_read{m_last_read, now, wait, !m_has_snapshot};
    if(m_has_snapshot) {
        m_store.read_from(m_last_read, m_next, wait);
        return;
    }
    if(m_after.empty()) {
        m_snapshot_started = now;
    }
    m_store.read_newest(m_last_read, m_after);
}

void topic_follower::begin_snapshot() {
    m_has_snapshot = false;
    m_after.clear();
    m_snapshot_records.clear();
}

void topic_follower::answered(topic_page page, time_point now) {
    if(!m_current || m_current->id != page.read) {
        const auto found = std::find_if(m_replaced.begin(), m_replaced.end(), [&](const pending_read &one) { return one.id == page.read; });
        if(found == m_replaced.end()) {
            return;
        }
        const auto read = *found;
        m_replaced.erase(found);
        if(page.result == read_result::done && !read.snapshot && m_has_snapshot) {
            take_changes(read, page, now);
        }
        return;
    }
    const auto read = *std::exchange(m_current, std::nullopt);
    m_answered_at = now;
    if(page.result == read_result::failed) {
        read_failed(now);
        return;
    }
    m_failures = 0;
    m_unanswered = 0;
    m_due = now;
    if(page.result == read_result::history_lost) {
        begin_snapshot();
    } else if(read.snapshot) {
        take_snapshot(std::move(page), now);
    } else {
        m_due = now + m_timing.interval;
        take_changes(read, page, now);
    }
}

void topic_follower::read_failed(time_point now) {
    m_due = now + std::min(internal::max_retry_delay, internal::first_retry_delay * (1 << std::min(m_failures, 4U)));
    ++m_failures;
    m_listener.topic_unanswered(read_problem::failed);
}

void topic_follower::take_changes(const pending_read &read, const topic_page &page, time_point now) {
    if(!page.records.empty()) {
        if(page.records.front().offset > m_next) {
            return;
        }
        m_next = std::max(m_next, log_offset{raw(page.records.back().offset) + 1});
        m_due = m_next < page.end ? now : m_due;
    }
    m_listener.topic_changed(page.records, m_next, false);
    if(m_next >= page.end) {
        const auto wait_over = read.started + read.wait;
        m_listener.topic_confirmed(page.records.empty() && now >= wait_over ? wait_over : read.started);
    }
}

void topic_follower::take_snapshot(topic_page page, time_point now) {
    if(m_after.empty()) {
        m_next = page.end;
    }
    std::move(page.records.begin(), page.records.end(), std::back_inserter(m_snapshot_records));
    m_after = page.next_key;
    if(!m_after.empty()) {
        return;
    }
    m_has_snapshot = true;
    m_due = now + m_timing.interval;
    m_listener.topic_changed(m_snapshot_records, m_next, true);
    m_listener.topic_confirmed(m_snapshot_started);
    m_snapshot_records.clear();
}

} // namespace heathermoor::feed
