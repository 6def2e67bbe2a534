#include "heathermoor/pool/scheduler.hpp"

#include "heathermoor/core/event.hpp"
#include "heathermoor/pool/policy.hpp"
#include <algorithm>
#include <utility>

namespace heathermoor::pool {

namespace internal {

/// Minimum progress, in percent, for predicting a run's end from it.
constexpr std::int64_t min_percent = 1;

/// Minimum time between a run's order and its last progress for predicting its end.
constexpr milliseconds pace_time{100};

/// Ratio of predicted to expected run time above which a run already counts for its
/// target's speed before it has ended.
constexpr double slow_pace = 2.0;

/// Ratio of the predicted run time to the time between order and deadline above which the
/// deadline counts as unreachable.
constexpr double unreachable_margin = 1.3;

/// Minimum ratio of speeds for moving a run that would miss its deadline.
constexpr double worthwhile_gain = 1.3;

/// Time taken by stopping a run and starting it on another target.
constexpr milliseconds move_time{60};

/// Time without a change of progress after which a run may count as stalled.
constexpr milliseconds stall_time{700};

/// Multiple of the expected run time after which a run may count as stalled.
constexpr double stall_run_factor = 3.0;

} // namespace internal

void scheduler::stop_stalled(time_point now) {
    std::vector<std::pair<target_id, job::task_ref>> due;
    for(const auto &[id, target]: m_holder.targets()) {
        for(const auto &[task, entry]: target.ledger.runs()) {
            const auto found = m_jobs.find(task.job);
            if(found == m_jobs.end() || entry.state != lease::run_state::running || now - entry.progress_at < internal::stall_time) {
                continue;
            }
            const auto expected = from_ms(to_ms(expected_run(found->second)) * internal::stall_run_factor);
            if(now - entry.ordered_at > expected && !target.silent) {
                due.emplace_back(id, task);
            }
        }
    }
    for(const auto &[target, task]: due) {
        m_target_states[target].health.failed(now, false);
        m_holder.stop(target, task, now);
    }
}

double scheduler::fastest_speed(time_point now) {
    double fastest = 0;
    for(const auto &[id, target]: m_holder.targets()) {
        if(usable(target, now)) {
            fastest = std::max(fastest, m_speeds.speed(id));
        }
    }
    return fastest;
}

void scheduler::check_pace(const held_target &target, const job::task_ref &task, const lease::run_entry &entry, time_point now,
                           std::vector<job_id> &unreachable) {
    const auto found = m_jobs.find(task.job);
    const auto elapsed = entry.progress_at - entry.ordered_at;
    if(found == m_jobs.end() || found->second.closing || entry.state != lease::run_state::running ||
       entry.percent < internal::min_percent || elapsed < internal::pace_time) {
        return;
    }
    auto &job = found->second;
    constexpr double whole = 100.0;
    const auto total_ms = to_ms(elapsed) * whole / static_cast<double>(entry.percent + 1);
    auto *slot = find_slot(job, task);
    if(slot != nullptr && !slot->pace_observed && total_ms > to_ms(expected_run(job)) * internal::slow_pace) {
        slot->pace_observed = true;
        m_speeds.observe(target.entry.id, from_ms(total_ms), expected_run(job));
    }
    if(entry.ordered_at + from_ms(total_ms) <= job.deadline) {
        return;
    }
    const auto speed = m_speeds.speed(target.entry.id);
    const auto faster = m_fastest * (1 - internal::speed_tolerance);
    const auto rerun_ms = total_ms * speed / std::max(faster, speed);
    const bool can_move = faster > speed * internal::worthwhile_gain && now + internal::move_time + from_ms(rerun_ms) < job.deadline;
    if(slot != nullptr && can_move && slot->least_speed == 0) {
        slot->least_speed = faster;
        ++job.moves;
        log_pace("run_moved", job, task, target, entry, from_ms(total_ms), now);
        m_holder.stop(target.entry.id, task, now);
    } else if(total_ms > to_ms(job.deadline - entry.ordered_at) * internal::unreachable_margin) {
        log_pace("run_too_slow", job, task, target, entry, from_ms(total_ms), now);
        unreachable.push_back(task.job);
    }
}

void scheduler::log_pace(std::string_view event, const open_job &job, const job::task_ref &task, const held_target &target,
                         const lease::run_entry &entry, duration total, time_point now) const {
    log_event(log_level::info, "pool", event,
              {{"job", task.job},
               {"index", task.index},
               {"target", target.entry.id},
               {"percent", entry.percent},
               {"elapsed_ms", entry.progress_at - entry.ordered_at},
               {"total_ms", total},
               {"predicted_ms", expected_run(job)},
               {"left_ms", job.deadline - now},
               {"speed", m_speeds.speed(target.entry.id)},
               {"fastest_speed", m_fastest}});
}

void scheduler::end_unreachable_jobs(time_point now) {
    std::vector<job_id> unreachable;
    for(const auto &[id, target]: m_holder.targets()) {
        const auto runs = target.ledger.runs();
        for(const auto &[task, entry]: runs) {
            check_pace(target, task, entry, now, unreachable);
        }
    }
    for(const auto &id: unreachable) {
        const auto found = m_jobs.find(id);
        if(found != m_jobs.end() && !found->second.closing) {
            finish(found->second, {job::outcome::unknown, errc::deadline_unreachable, {}}, now);
            erase_if_closed(id, now);
        }
    }
}

} // namespace heathermoor::pool
