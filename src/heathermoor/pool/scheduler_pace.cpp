#include "heathermoor/pool/scheduler.hpp"

#include "heathermoor/core/event.hpp"
#include "heathermoor/pool/policy.hpp"
#include <algorithm>
#include <cmath>
#include <functional>
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

/// The fastest speed is the highest one after leaving out one target in so many: of many estimates the highest are too high.
constexpr std::size_t targets_per_outlier = 10;

/// Minimum gain in the chance of meeting the deadline for moving a run.
constexpr double worthwhile_gain = 0.2;

/// Mean and standard deviation of the part of a percent by which a reported progress is rounded down.
constexpr double percent_mean = 0.5;
constexpr double percent_deviation = 0.29;

/// Chances are logged in percent.
constexpr double per_cent = 100.0;

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
            const auto expected = from_ms(to_ms(predicted_run(found->second)) * internal::stall_run_factor);
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
    std::vector<double> speeds;
    for(const auto &[id, target]: m_holder.targets()) {
        if(counts_as_room(target, now)) {
            speeds.push_back(m_speeds.speed(id));
        }
    }
    if(speeds.empty()) {
        return 0;
    }
    const auto nth = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / internal::targets_per_outlier);
    std::nth_element(speeds.begin(), nth, speeds.end(), std::greater<>{});
    return *nth;
}

void scheduler::observe_progress(open_job &job, task_slot &slot, const held_target &target, const lease::run_entry &entry) {
    if(slot.sampled_at == entry.progress_at) {
        return;
    }
    slot.sampled_at = entry.progress_at;
    constexpr double whole = 100.0;
    const auto percent = static_cast<double>(entry.percent) + internal::percent_mean;
    const auto total_ms = to_ms(entry.progress_at - entry.ordered_at) * whole / percent;
    if(!slot.pace_observed && total_ms > to_ms(predicted_run(job)) * internal::slow_pace) {
        slot.pace_observed = true;
        m_speeds.observe(target.entry.id, from_ms(total_ms), predicted_run(job));
    }
    const auto deviation = internal::percent_deviation / percent;
    slot.sample = run_time_sample{std::log(total_ms * m_speeds.speed(target.entry.id)), deviation * deviation};
    refresh_forecast(job);
}

scheduler::run_outlook scheduler::outlook(const open_job &job, const task_slot &slot, const held_target &target,
                                          const lease::run_entry &entry, time_point now) const {
    const auto left = job.deadline - now - internal::move_time;
    run_outlook chances;
    chances.here = job_forecast::chance_here(*slot.sample, job.deadline - entry.ordered_at, m_speeds.speed(target.entry.id));
    chances.moved = job.forecast.chance_again(*slot.sample, left, m_fastest);
    return chances;
}

void scheduler::check_pace(const held_target &target, const job::task_ref &task, const lease::run_entry &entry, time_point now,
                           std::vector<job_id> &unreachable) {
    const auto found = m_jobs.find(task.job);
    const auto elapsed = entry.progress_at - entry.ordered_at;
    // For a run that another scheduler ordered, the time of its order is unknown.
    if(found == m_jobs.end() || found->second.closing || entry.state != lease::run_state::running || !entry.ordered_here ||
       entry.percent < internal::min_percent || elapsed < internal::pace_time) {
        return;
    }
    auto &job = found->second;
    auto *slot = find_slot(job, task);
    if(slot == nullptr || slot->state != slot_state::placed || slot->target != target.entry.id) {
        return;
    }
    observe_progress(job, *slot, target, entry);
    const auto chances = outlook(job, *slot, target, entry, now);
    const bool faster_exists = m_fastest > m_speeds.speed(target.entry.id) * internal::worthwhile_speedup;
    if(faster_exists && chances.moved > chances.here + internal::worthwhile_gain) {
        ++job.moves;
        log_pace("run_moved", job, task, target, entry, chances, now);
        m_holder.stop(target.entry.id, task, now);
    } else if(std::max(chances.here, chances.moved) < internal::hopeless_chance) {
        log_pace("run_too_slow", job, task, target, entry, chances, now);
        unreachable.push_back(task.job);
    }
}

void scheduler::log_pace(std::string_view event, const open_job &job, const job::task_ref &task, const held_target &target,
                         const lease::run_entry &entry, const run_outlook &chances, time_point now) const {
    log_event(log_level::info, "pool", event,
              {{"job", task.job},
               {"index", task.index},
               {"target", target.entry.id},
               {"percent", entry.percent},
               {"elapsed_ms", entry.progress_at - entry.ordered_at},
               {"predicted_ms", job.predicted_run_time},
               {"expected_ms", job.forecast.typical()},
               {"left_ms", job.deadline - now},
               {"speed", m_speeds.speed(target.entry.id)},
               {"fastest_speed", m_fastest},
               {"chance_here_percent", chances.here * internal::per_cent},
               {"chance_moved_percent", chances.moved * internal::per_cent}});
}

void scheduler::end_unreachable_jobs(time_point now) {
    std::vector<job_id> unreachable;
    for(const auto &[id, target]: m_holder.targets()) {
        for(const auto &[task, entry]: target.ledger.runs()) {
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
