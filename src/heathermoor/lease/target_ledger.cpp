#include "heathermoor/lease/target_ledger.hpp"

#include <algorithm>
#include <utility>

namespace heathermoor::lease {

namespace internal {

/// Time that a target may need to end a run after its lease has expired.
constexpr milliseconds expiry_margin{60};

/// Longest lease that a target grants to any scheduler; set by the platform.
constexpr milliseconds max_lease{1'000};

/// Time by which a reading of the clock must be behind the latest report to show a restart; answers arrive out of order, but not by
/// as much.
constexpr milliseconds restart_margin{1'000};

/// Ended runs to remember, to recognise them in reports that arrive out of order.
constexpr std::size_t max_recent_ends = 64;

/// Most ends in one report. A full list may be cut off, so no run is removed on its account.
constexpr std::size_t max_ends_per_report = 500;

/// Minimum time from the confirmation of a run to the sending of a call whose
/// report must list it; covers calls that arrive out of order.
constexpr milliseconds reordering_margin{20};

[[nodiscard]] ended_run make_end(const job::task_ref &task, const run_entry &entry, run_end how, time_point now) {
    return {task, entry.run, how, now - entry.ordered_at, entry.ordered_here};
}

} // namespace internal

std::string_view name_of(run_end how) noexcept {
    switch(how) {
    case run_end::done:
        return "done";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lease_expired:
        return "lapsed";
    case run_end::not_started:
        return "not_started";
    case run_end::lost:
        break;
    }
    return "lost";
}

resources target_ledger::free() const noexcept {
    if(m_runs_without_need > 0) {
        return {};
    }
    auto room = m_capacity;
    for(const auto &[task, entry]: m_runs) {
        room -= entry.need;
    }
    return room;
}

const run_entry *target_ledger::find(const job::task_ref &task) const noexcept {
    const auto found = m_runs.find(task);
    return found == m_runs.end() ? nullptr : &found->second;
}

void target_ledger::order_start(const job::task_ref &task, run_number run, const resources &need, target_time until, time_point now) {
    run_entry entry;
    entry.run = run;
    entry.need = need;
    entry.ordered_at = now;
    entry.progress_at = now;
    m_runs.insert_or_assign(task, entry);
    order_lease(until);
}

std::optional<ended_run> target_ledger::start_answered(const job::task_ref &task, run_number run, order_outcome result, time_point now) {
    const auto found = m_runs.find(task);
    if(found == m_runs.end() || found->second.run != run) {
        return std::nullopt;
    }
    auto &entry = found->second;
    switch(result) {
    case order_outcome::done:
        if(entry.state == run_state::ordered || entry.state == run_state::unconfirmed) {
            entry.state = run_state::running;
            entry.confirmed_at = now;
        }
        return std::nullopt;
    case order_outcome::unanswered:
    case order_outcome::fenced:
        if(entry.state == run_state::ordered) {
            entry.state = run_state::unconfirmed;
        }
        if(result == order_outcome::unanswered) {
            return std::nullopt;
        }
        break;
    default:
        break;
    }
    auto ended = internal::make_end(task, entry, run_end::not_started, now);
    m_runs.erase(found);
    return ended;
}

void target_ledger::order_stop(const job::task_ref &task, time_point now) noexcept {
    const auto found = m_runs.find(task);
    if(found != m_runs.end()) {
        found->second.state = found->second.state == run_state::unconfirmed ? run_state::unconfirmed : run_state::stopping;
        found->second.stop_sent_at = now;
    }
}

void target_ledger::stop_answered(const job::task_ref &task, run_number run, time_point now) noexcept {
    const auto found = m_runs.find(task);
    if(found != m_runs.end() && found->second.run == run) {
        found->second.stop_answered_at = now;
        found->second.cannot_start_since = now;
    }
}

bool target_ledger::shows_restart(target_time reading) const noexcept {
    return reading + internal::restart_margin < m_latest_report;
}

void target_ledger::order_lease(target_time until) noexcept {
    m_latest_until = std::max(m_latest_until, until);
}

void target_ledger::lease_confirmed(target_time until) noexcept {
    m_confirmed_until = std::max(m_confirmed_until, until);
}

milliseconds target_ledger::lease_left(time_point now) const noexcept {
    return milliseconds{static_cast<std::int64_t>(m_confirmed_until) - static_cast<std::int64_t>(m_clock.earliest(now))};
}

void target_ledger::set_need(const job::task_ref &task, const resources &need) noexcept {
    const auto found = m_runs.find(task);
    if(found != m_runs.end() && !found->second.job_known) {
        found->second.need = need;
        found->second.job_known = true;
        --m_runs_without_need;
    }
}

ledger_changes target_ledger::apply_report(const target_report &report, time_point call_sent_at, time_point now) {
    ledger_changes changes;
    if(m_boot && *m_boot != report.boot) {
        restart(report, call_sent_at, now, changes);
    }
    m_boot = report.boot;
    if(report.clock < m_latest_report) {
        return changes;
    }
    m_latest_report = report.clock;
    m_clock.observe(report.clock, now);
    apply_ends(report, now, changes);
    apply_running(report, now, changes);
    if(report.ended.size() < internal::max_ends_per_report) {
        remove_unlisted(report, call_sent_at, now, changes);
    }
    m_runs_without_need =
        static_cast<std::uint32_t>(std::count_if(m_runs.begin(), m_runs.end(), [](const auto &run) { return !run.second.job_known; }));
    return changes;
}

void target_ledger::fence_raised(time_point call_sent_at) noexcept {
    for(auto &[task, entry]: m_runs) {
        if(entry.state == run_state::unconfirmed || entry.state == run_state::ordered) {
            entry.cannot_start_since = call_sent_at - duration{1};
        }
    }
}

void target_ledger::restart(const target_report &report, time_point call_sent_at, time_point now, ledger_changes &changes) {
    changes.restarted = true;
    for(auto run = m_runs.begin(); run != m_runs.end();) {
        auto &entry = run->second;
        const bool confirmed_before_call =
            entry.confirmed_at != time_point{} && entry.confirmed_at + internal::reordering_margin < call_sent_at;
        if(confirmed_before_call) {
            changes.ended.push_back(internal::make_end(run->first, entry, run_end::lost, now));
            run = m_runs.erase(run);
            continue;
        }
        entry.state = run_state::unconfirmed;
        entry.before_restart = true;
        entry.cannot_start_since.reset();
        ++run;
    }
    m_clock.reset();
    m_latest_until = report.clock + internal::max_lease;
    m_confirmed_until = target_time{};
    m_last_end = end_number{};
    m_latest_report = target_time{};
    m_recent_ends.clear();
    m_boot = report.boot;
}

void target_ledger::remember_end(const job::task_ref &task, run_number run) {
    m_recent_ends.emplace_back(task, run);
    if(m_recent_ends.size() > internal::max_recent_ends) {
        m_recent_ends.pop_front();
    }
}

bool target_ledger::has_ended(const job::task_ref &task, run_number run) const {
    return std::any_of(m_recent_ends.begin(), m_recent_ends.end(), [&](const auto &end) { return end.first == task && end.second >= run; });
}

void target_ledger::apply_ends(const target_report &report, time_point now, ledger_changes &changes) {
    for(const auto &end: report.ended) {
        if(end.number <= m_last_end) {
            continue;
        }
        m_last_end = end.number;
        remember_end(end.task, end.run);
        const auto found = m_runs.find(end.task);
        if(found != m_runs.end() && found->second.run == end.run) {
            auto ended = internal::make_end(end.task, found->second, end.how, now);
            changes.ended.push_back(ended);
            m_runs.erase(found);
        } else {
            changes.ended.push_back({end.task, end.run, end.how, {}, false});
        }
    }
}

void target_ledger::apply_running(const target_report &report, time_point now, ledger_changes &changes) {
    for(const auto &listed: report.running) {
        auto found = m_runs.find(listed.task);
        if(found != m_runs.end() && found->second.run < listed.run) {
            // Another scheduler has started a later run of the task.
            changes.ended.push_back(internal::make_end(listed.task, found->second, run_end::lost, now));
            m_runs.erase(found);
            found = m_runs.end();
        }
        if(found == m_runs.end()) {
            if(has_ended(listed.task, listed.run)) {
                continue;
            }
            run_entry entry;
            entry.run = listed.run;
            entry.state = run_state::running;
            entry.ordered_at = now;
            entry.confirmed_at = now;
            entry.progress_at = now;
            entry.percent = listed.percent;
            entry.ordered_here = false;
            entry.job_known = false;
            m_runs.emplace(listed.task, entry);
            order_lease(report.clock + internal::max_lease);
            changes.found.push_back({listed.task, listed.run});
            continue;
        }
        auto &entry = found->second;
        if(entry.run != listed.run) {
            continue;
        }
        entry.before_restart = false;
        if(entry.state == run_state::ordered || entry.state == run_state::unconfirmed) {
            entry.state = entry.stop_answered_at ? run_state::stopping : run_state::running;
            entry.confirmed_at = now;
        }
        if(entry.percent != listed.percent) {
            entry.percent = listed.percent;
            entry.progress_at = now;
        }
    }
}

void target_ledger::remove_unlisted(const target_report &report, time_point call_sent_at, time_point now, ledger_changes &changes) {
    for(auto run = m_runs.begin(); run != m_runs.end();) {
        const auto &[task, entry] = *run;
        const bool listed = std::any_of(report.running.begin(), report.running.end(),
                                        [&](const reported_run &one) { return one.task == run->first && one.run == run->second.run; });
        const bool confirmed = entry.state == run_state::running || entry.state == run_state::stopping;
        const bool confirmed_before_call =
            confirmed && entry.confirmed_at != time_point{} && entry.confirmed_at + internal::reordering_margin < call_sent_at;
        const bool cannot_start = entry.cannot_start_since && *entry.cannot_start_since < call_sent_at;
        if(!listed && (confirmed_before_call || cannot_start)) {
            changes.ended.push_back(
                internal::make_end(task, entry, confirmed && confirmed_before_call ? run_end::lost : run_end::not_started, now));
            run = m_runs.erase(run);
        } else {
            ++run;
        }
    }
}

time_point target_ledger::latest_expiry(time_point now) const noexcept {
    const auto left =
        static_cast<std::int64_t>(m_latest_until) + internal::expiry_margin.count() - static_cast<std::int64_t>(m_clock.earliest(now));
    return now + milliseconds{std::max<std::int64_t>(0, left) * 100 / (100 - max_clock_slowdown_percent) + 1};
}

std::vector<ended_run> target_ledger::expire_leases(time_point now) {
    std::vector<ended_run> ended;
    if(m_runs.empty() || !m_clock.known()) {
        return ended;
    }
    const auto passed = m_clock.earliest(now) > m_latest_until + internal::expiry_margin;
    if(!passed) {
        return ended;
    }
    std::erase_if(m_runs, [&](const auto &run) {
        if(run.second.before_restart) {
            return false;
        }
        ended.push_back(internal::make_end(run.first, run.second, run_end::lease_expired, now));
        return true;
    });
    m_runs_without_need = 0;
    return ended;
}

} // namespace heathermoor::lease
