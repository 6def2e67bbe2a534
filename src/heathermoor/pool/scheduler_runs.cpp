#include "heathermoor/pool/scheduler.hpp"

#include "heathermoor/core/event.hpp"
#include "heathermoor/pool/policy.hpp"
#include <algorithm>
#include <cmath>
#include <utility>

namespace heathermoor::pool {

namespace internal {

/// Time in which gateways submit their jobs to a new scheduler; runs that
/// belong to no known job are stopped after it.
constexpr milliseconds orphan_grace_time{450};

/// Lower bound of a run time, in milliseconds, before taking the logarithm.
constexpr double min_run_ms = 0.5;

/// Increment of a task's run number after a start that was not carried out; a target
/// rejects a number that is not above those it has seen stopped or ended.
constexpr std::uint64_t run_number_step = 16;

} // namespace internal

task_slot *scheduler::find_slot(open_job &job, const job::task_ref &task) {
    for(auto &slot: job.slots) {
        if(slot.step == task.step && slot.index == task.index) {
            return &slot;
        }
    }
    return nullptr;
}

unwanted_run *scheduler::find_unwanted_run(task_slot &slot, const target_id &target) {
    const auto found = std::find_if(slot.unwanted_runs.begin(), slot.unwanted_runs.end(),
                                    [&](const unwanted_run &unwanted) { return unwanted.target == target; });
    return found == slot.unwanted_runs.end() ? nullptr : &*found;
}

void scheduler::observe_run_time(open_job &job, task_slot &slot, duration elapsed, double speed) {
    slot.run_time = from_ms(to_ms(elapsed) * speed);
    double earlier_sum = 0;
    std::size_t earlier = 0;
    for(const auto &other: job.slots) {
        if(&other != &slot && other.run_time > duration::zero()) {
            earlier_sum += std::log(to_ms(other.run_time));
            ++earlier;
        }
    }
    if(earlier > 0) {
        m_run_times.observe_within_job(job.queue.name, slot.run_time, earlier_sum / static_cast<double>(earlier), earlier);
    }
    slot.sample = run_time_sample{std::log(std::max(internal::min_run_ms, to_ms(slot.run_time))), 0};
    refresh_forecast(job);
}

void scheduler::run_ended(const target_id &target, const lease::ended_run &end, time_point now) {
    m_place_due = true;
    if(end.how == lease::run_end::lease_expired || end.how == lease::run_end::lost) {
        ++m_counts.runs_lost;
    }
    const auto orphan = m_orphans.find(end.task);
    if(orphan != m_orphans.end() && orphan->second.target == target) {
        m_orphans.erase(orphan);
    }
    const auto found = m_jobs.find(end.task.job);
    if(found == m_jobs.end()) {
        if(end.how == lease::run_end::done && !end.ordered_here) {
            m_orphan_ends[end.task] = {end.run, now};
        }
        return;
    }
    auto &job = found->second;
    auto *slot = find_slot(job, end.task);
    if(slot == nullptr) {
        return;
    }
    log_event(end.how == lease::run_end::done ? log_level::debug : log_level::info, "pool", "run_ended",
              {{"job", end.task.job},
               {"step", end.task.step},
               {"index", end.task.index},
               {"run", end.run},
               {"target", target},
               {"how", lease::name_of(end.how)},
               {"elapsed_ms", end.elapsed},
               {"closing", job.closing}});
    std::erase_if(slot->unwanted_runs, [&target](const unwanted_run &unwanted) { return unwanted.target == target; });
    const bool current = slot->state == slot_state::placed && slot->target == target && slot->last_run == raw(end.run);
    if(!current) {
        if(end.how == lease::run_end::done && slot->state == slot_state::waiting && !job.closing) {
            slot->state = slot_state::done;
            finish_if_done(job, now);
        }
        update_queue(job, now);
        erase_if_closed(end.task.job, now);
        return;
    }
    slot->state = slot_state::waiting;
    const auto expected = predicted_run(job);
    switch(end.how) {
    case lease::run_end::done:
        slot->state = slot_state::done;
        m_target_states[target].health.succeeded();
        if(end.ordered_here) {
            observe_run_time(job, *slot, end.elapsed, m_speeds.speed(target));
            m_run_times.observe(job.queue.name, job.job.steps[slot->step].estimate, end.elapsed, m_speeds.speed(target));
            if(!slot->pace_observed) {
                m_speeds.observe(target, end.elapsed, expected);
            }
        }
        break;
    case lease::run_end::failed:
        ++slot->failures;
        ++m_counts.runs_failed;
        m_target_states[target].health.failed(now, false);
        break;
    case lease::run_end::not_started:
        slot->last_run += internal::run_number_step - 1;
        break;
    default:
        break;
    }
    if(!job.closing) {
        if(slot->failures >= std::max<std::uint32_t>(1, job.queue.max_attempts)) {
            finish(job, {job::outcome::failed, errc::attempts_exhausted, {}}, now);
        } else {
            finish_if_done(job, now);
        }
    }
    update_queue(job, now);
    erase_if_closed(end.task.job, now);
}

void scheduler::run_found(const target_id &target, const lease::found_run &run, time_point now) {
    const auto found = m_jobs.find(run.task.job);
    auto *slot = found == m_jobs.end() ? nullptr : find_slot(found->second, run.task);
    if(slot == nullptr) {
        auto &orphan = m_orphans[run.task];
        if(orphan.run <= run.run) {
            orphan = {target, run.run, now};
        }
        log_event(log_level::debug, "pool", "orphan_found",
                  {{"job", run.task.job}, {"step", run.task.step}, {"index", run.task.index}, {"run", run.run}, {"target", target}});
        return;
    }
    auto &job = found->second;
    log_event(log_level::debug, "pool", "run_found",
              {{"job", run.task.job}, {"step", run.task.step}, {"index", run.task.index}, {"run", run.run}, {"target", target}});
    m_holder.adopt(target, run.task, job.job.steps[run.task.step].need);
    // The run with the higher number was ordered after the lower one had ended.
    const bool newer = slot->state == slot_state::placed && slot->target != target && raw(run.run) > slot->last_run;
    const bool wanted = !job.closing && (slot->state == slot_state::waiting || slot->state == slot_state::out_of_reach || newer);
    if(!wanted) {
        slot->unwanted_runs.push_back({target, std::nullopt});
        m_holder.stop(target, run.task, now);
        return;
    }
    if(newer) {
        slot->unwanted_runs.push_back({slot->target, std::nullopt});
        m_holder.stop(slot->target, run.task, now);
    }
    slot->state = slot_state::placed;
    slot->target = target;
    slot->last_run = std::max(slot->last_run, raw(run.run));
    slot->placed_at = now;
    job.ever_started = true;
    update_queue(job, now);
}

void scheduler::target_taken(const target_id &target, const std::vector<job::task_ref> &runs, time_point lapse, time_point now) {
    m_settling_until = now + internal::settling_time;
    for(const auto &task: runs) {
        m_orphans.erase(task);
        const auto found = m_jobs.find(task.job);
        if(found == m_jobs.end()) {
            continue;
        }
        auto *slot = find_slot(found->second, task);
        if(slot != nullptr && slot->state == slot_state::placed && slot->target == target) {
            slot->state = slot_state::out_of_reach;
            slot->lapse_at = lapse;
        }
        auto *unwanted = slot == nullptr ? nullptr : find_unwanted_run(*slot, target);
        if(unwanted != nullptr) {
            unwanted->lapse_at = lapse;
        }
        erase_if_closed(task.job, now);
    }
}

bool scheduler::may_renew(const std::unordered_map<job::task_ref, lease::run_entry> &runs, time_point now) const {
    return std::all_of(runs.begin(), runs.end(), [&](const auto &item) {
        const auto found = m_jobs.find(item.first.job);
        return found == m_jobs.end() || found->second.closing || has_confirmed_gateway(found->second, now);
    });
}

void scheduler::target_restarted(const target_id &target) {
    m_speeds.forget(target);
    m_target_states.erase(target);
}

void scheduler::start_answered(const order_answer &answer, time_point now) {
    if(answer.outcome == lease::order_outcome::unavailable) {
        m_target_states[answer.target].health.failed(now, false);
    }
    m_holder.start_answered(answer, now);
}

void scheduler::stop_answered(const order_answer &answer, time_point now) {
    m_holder.stop_answered(answer, now);
}

void scheduler::report_answered(const report_answer &answer, time_point now) {
    m_holder.report_answered(answer, now);
    m_place_due = true;
}

void scheduler::requeue_lapsed(time_point now) {
    std::vector<job_id> closed;
    for(auto &[id, job]: m_jobs) {
        for(auto &slot: job.slots) {
            const auto lapsed = std::erase_if(
                slot.unwanted_runs, [now](const unwanted_run &unwanted) { return unwanted.lapse_at && now >= *unwanted.lapse_at; });
            if(slot.state == slot_state::out_of_reach && now >= slot.lapse_at) {
                slot.state = slot_state::waiting;
            } else if(lapsed == 0) {
                continue;
            }
            update_queue(job, now);
            if(job.closing) {
                closed.push_back(id);
            }
        }
    }
    for(const auto &id: closed) {
        erase_if_closed(id, now);
    }
}

void scheduler::stop_orphans(time_point now) {
    std::vector<std::pair<target_id, job::task_ref>> due;
    for(auto &[task, orphan]: m_orphans) {
        if(now - orphan.found_at >= internal::orphan_grace_time) {
            due.emplace_back(orphan.target, task);
            orphan.found_at = now;
        }
    }
    for(const auto &[target, task]: due) {
        m_holder.stop(target, task, now);
    }
}

} // namespace heathermoor::pool
