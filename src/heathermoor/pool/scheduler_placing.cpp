#include "heathermoor/pool/scheduler.hpp"

#include "heathermoor/core/event.hpp"
#include "heathermoor/pool/policy.hpp"
#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace heathermoor::pool {

namespace internal {

/// Share of the time until the latest start that may pass in the queue; the rest
/// covers tasks that run longer than expected.
constexpr double waiting_share = 0.9;

/// Share of the processor capacity above which free capacity counts as ample, so that tasks
/// go to the fastest targets first; below it, those are kept for the jobs that need them.
constexpr double ample_capacity_share = 0.4;

/// Chance with which a target should meet the latency objective to be preferred.
constexpr double objective_chance = 0.9;

/// Largest loss in the chance of meeting the deadline for which a job starts on a slow target at once instead of waiting for a fast one.
constexpr double tolerated_loss = 0.05;

/// Chance of meeting the deadline at the latest start of a job; a job that would start later is refused.
constexpr double worthwhile_chance = 0.2;

/// Expected wait for free capacity on a fast target under steady load.
constexpr milliseconds fast_target_wait{60};

} // namespace internal

bool scheduler::step_ready(const open_job &job, std::uint32_t step) const {
    const auto &after = job.job.steps[step].after;
    return std::all_of(job.slots.begin(), job.slots.end(), [&](const task_slot &slot) {
        return slot.state == slot_state::done || std::find(after.begin(), after.end(), slot.step) == after.end();
    });
}

duration scheduler::predicted_run(const open_job &job) const {
    const auto hint = job.job.steps.empty() ? milliseconds{0} : job.job.steps.front().estimate;
    return m_run_times.predict(job.queue.name, hint);
}

void scheduler::refresh_forecast(open_job &job) {
    job.forecast = job_forecast{job.prediction};
    for(const auto &slot: job.slots) {
        if(slot.sample) {
            job.forecast.observe(*slot.sample);
        }
    }
}

std::size_t scheduler::unfinished(const open_job &job) {
    return static_cast<std::size_t>(
        std::count_if(job.slots.begin(), job.slots.end(), [](const task_slot &slot) { return slot.state != slot_state::done; }));
}

duration scheduler::objective(const open_job &job) {
    return from_ms(to_ms(job.forecast.longest(job.slots.size())) * job.queue.stretch) + job.queue.target_latency;
}

bool scheduler::usable(const held_target &target, time_point now) {
    if(target.state != hold_state::held || target.silent || target.removed || target.leaving || target.entry.draining ||
       m_holder.recently_published_idle(target.entry.id, now)) {
        return false;
    }
    constexpr std::uint32_t unlimited = 1'000;
    return target.ledger.runs().size() < m_target_states[target.entry.id].health.limit(unlimited, now);
}

bool scheduler::available_soon(const held_target &target, time_point now) {
    if(target.state == hold_state::held) {
        return usable(target, now);
    }
    const bool claimed_soon = target.state == hold_state::idle || target.state == hold_state::claiming;
    return claimed_soon && !target.silent && !target.removed && !target.leaving && !target.entry.draining;
}

bool scheduler::counts_as_room(const held_target &target, time_point now) {
    const bool may_serve = !target.silent && !target.removed && !target.leaving && !target.entry.draining;
    return available_soon(target, now) || (may_serve && m_settling_until && now < *m_settling_until);
}

void scheduler::update_settling(time_point now) {
    if(!m_settling_until && !m_holder.targets().empty()) {
        m_settling_until = now + internal::settling_time;
    }
}

std::vector<scheduler::candidate> scheduler::find_candidates(time_point now) {
    std::vector<candidate> candidates;
    for(const auto &[id, target]: m_holder.targets()) {
        if(!usable(target, now)) {
            continue;
        }
        const auto free = target.ledger.free();
        candidates.push_back({&target, free, m_speeds.speed(id)});
    }
    return candidates;
}

time_point scheduler::latest_start(const open_job &job) const {
    const auto fastest = std::max(1.0, m_fastest);
    const auto typical = from_ms(to_ms(job.forecast.longest(job.slots.size())) / fastest);
    const auto least = from_ms(to_ms(job.forecast.time_for(internal::worthwhile_chance, unfinished(job))) / fastest);
    return std::min(job.sent_at + objective(job) - typical, job.deadline - least);
}

double scheduler::objective_speed(const open_job &job, time_point now) const {
    const auto limit = std::min(job.sent_at + objective(job), job.deadline);
    const auto left_ms = to_ms(limit - now);
    return left_ms > 0 ? to_ms(job.forecast.time_for(internal::objective_chance, unfinished(job))) / left_ms : 0;
}

double scheduler::deadline_speed(const open_job &job, time_point now) const {
    const auto tasks = unfinished(job);
    const auto left = job.deadline - now;
    const auto chance = job.forecast.chance(tasks, left - internal::fast_target_wait, m_fastest) - internal::tolerated_loss;
    if(chance <= 0) {
        return 0;
    }
    const auto needed = to_ms(job.forecast.time_for(chance, tasks)) / to_ms(left);
    return std::min(needed, m_fastest * (1 - internal::speed_tolerance));
}

scheduler::candidate *scheduler::choose_target(const open_job &job, const task_slot &slot, const speed_range &speeds,
                                               std::vector<candidate> &candidates) const {
    const auto &step = job.job.steps[slot.step];
    const auto preferred_speed = speeds.for_objective;
    candidate *best = nullptr;
    double best_speed = 0;
    std::int64_t best_left = 0;
    for(auto &one: candidates) {
        if(one.target->entry.service != job.queue.service || !step.need.fits(one.free) || one.speed < speeds.for_deadline ||
           !suits(job, slot, one)) {
            continue;
        }
        const auto &labels = one.target->entry.labels;
        const bool near = step.preferred_rack.empty() || std::find(labels.begin(), labels.end(), step.preferred_rack) != labels.end();
        const auto speed = near ? one.speed : one.speed / 2;
        const auto left = one.free.cpu_millicores - step.need.cpu_millicores;
        if(best == nullptr || better_fit({speed, left}, {best_speed, best_left}, preferred_speed)) {
            best = &one;
            best_speed = speed;
            best_left = left;
        }
    }
    return best;
}

scheduler::candidate *scheduler::choose_renewable_target(const open_job &job, const task_slot &slot, const speed_range &speeds,
                                                         std::vector<candidate> &candidates, time_point now) const {
    auto *chosen = choose_target(job, slot, speeds, candidates);
    while(chosen != nullptr && !may_renew(chosen->target->ledger.runs(), now)) {
        // A start also extends the lease of every other run on the target.
        chosen->free = {};
        chosen = choose_target(job, slot, speeds, candidates);
    }
    return chosen;
}

bool scheduler::suits(const open_job &job, const task_slot &slot, const candidate &one) {
    const auto &step = job.job.steps[slot.step];
    const auto &entry = one.target->entry;
    if(!step.required_label.empty() && std::find(entry.labels.begin(), entry.labels.end(), step.required_label) == entry.labels.end()) {
        return false;
    }
    if(step.max_per_target == 0) {
        return true;
    }
    const auto same = std::count_if(job.slots.begin(), job.slots.end(), [&](const task_slot &other) {
        return other.step == slot.step && other.state == slot_state::placed && other.target == entry.id;
    });
    return same < static_cast<std::ptrdiff_t>(step.max_per_target);
}

bool scheduler::better_fit(const target_fit &left, const target_fit &right, double preferred_speed) noexcept {
    const bool left_enough = left.speed >= preferred_speed;
    const bool right_enough = right.speed >= preferred_speed;
    if(left_enough != right_enough) {
        return left_enough;
    }
    const auto ratio = left.speed / right.speed;
    if(ratio > 1 - internal::speed_tolerance && ratio < 1 + internal::speed_tolerance) {
        return left.cpu_left < right.cpu_left;
    }
    return left_enough ? ratio < 1 : ratio > 1;
}

void scheduler::place_job(open_job &job, const speed_range &speeds, std::vector<candidate> &candidates, time_point now) {
    for(auto &slot: job.slots) {
        if(slot.state != slot_state::waiting || !slot.unwanted_runs.empty() || !step_ready(job, slot.step)) {
            continue;
        }
        auto *chosen = choose_renewable_target(job, slot, speeds, candidates, now);
        if(chosen == nullptr) {
            return;
        }
        const auto &need = job.job.steps[slot.step].need;
        chosen->free -= need;
        slot.state = slot_state::placed;
        slot.target = chosen->target->entry.id;
        slot.placed_at = now;
        slot.placed_speed = chosen->speed;
        ++slot.last_run;
        slot.pace_observed = false;
        job.ever_started = true;
        ++m_counts.starts;
        log_event(log_level::debug, "pool", "run_ordered",
                  {{"job", job.job.id},
                   {"step", slot.step},
                   {"index", slot.index},
                   {"run", slot.last_run},
                   {"target", slot.target},
                   {"speed", chosen->speed},
                   {"waited_ms", now - job.sent_at}});
        m_holder.start(slot.target, {job.job.id, slot.step, slot.index}, run_number{slot.last_run}, need, job.job.payload, now);
    }
    log_placed(job, speeds, now);
}

std::vector<scheduler::open_job *> scheduler::waiting_in_order(time_point now) {
    std::vector<open_job *> result;
    for(auto &[id, job]: m_jobs) {
        if(!job.closing && has_confirmed_host(job, now) &&
           std::any_of(job.slots.begin(), job.slots.end(), [](const task_slot &slot) { return slot.state == slot_state::waiting; }) &&
           earlier_runs_ended(job, now)) {
            result.push_back(&job);
        }
    }
    std::sort(result.begin(), result.end(), [](const open_job *left, const open_job *right) {
        return std::tuple{!left->ever_started, left->queue.priority, left->sent_at} <
               std::tuple{!right->ever_started, right->queue.priority, right->sent_at};
    });
    return result;
}

bool scheduler::has_ample_capacity(const std::vector<candidate> &candidates) {
    resources free;
    resources capacity;
    for(const auto &one: candidates) {
        free += one.free;
        capacity += one.target->entry.capacity;
    }
    return static_cast<double>(free.cpu_millicores) > internal::ample_capacity_share * static_cast<double>(capacity.cpu_millicores);
}

void scheduler::place(time_point now) {
    if(!m_place_due) {
        return;
    }
    m_place_due = false;
    auto candidates = find_candidates(now);
    if(candidates.empty()) {
        return;
    }
    const bool prefer_fastest = has_ample_capacity(candidates);
    for(auto *job: waiting_in_order(now)) {
        const auto preferred_speed = prefer_fastest ? std::numeric_limits<double>::infinity() : objective_speed(*job, now);
        place_job(*job, {preferred_speed, deadline_speed(*job, now)}, candidates, now);
        std::erase_if(candidates, [](const candidate &one) { return one.free.cpu_millicores <= 0; });
        if(candidates.empty()) {
            break;
        }
    }
}

double scheduler::task_capacity(const resources &need, const service_id &service, time_point now) {
    std::int64_t places = 0;
    for(const auto &[id, target]: m_holder.targets()) {
        if(target.entry.service == service && counts_as_room(target, now)) {
            places += pieces(need, target.entry.capacity);
        }
    }
    return static_cast<double>(places);
}

void scheduler::refuse_overload(time_point now) {
    std::vector<std::pair<job_id, milliseconds>> refused;
    double ahead_ms = 0;
    for(const auto *job: waiting_in_order(now)) {
        const auto waiting =
            std::count_if(job->slots.begin(), job->slots.end(), [](const task_slot &slot) { return slot.state == slot_state::waiting; });
        const auto places = std::max(1.0, task_capacity(job->job.steps.front().need, job->queue.service, now));
        const auto work_ms = to_ms(job->forecast.typical()) * static_cast<double>(waiting) / places;
        const auto slack_ms = to_ms(latest_start(*job) - now) * internal::waiting_share;
        if(!job->ever_started && ahead_ms > std::max(0.0, slack_ms)) {
            log_event(log_level::info, "pool", "job_refused",
                      {{"job", job->job.id},
                       {"ahead_ms", ahead_ms},
                       {"slack_ms", slack_ms},
                       {"places", places},
                       {"targets", m_holder.targets().size()},
                       {"predicted_ms", job->forecast.typical()},
                       {"fastest_speed", m_fastest}});
            refused.emplace_back(job->job.id, std::max(internal::min_retry_after, milliseconds{static_cast<std::int64_t>(ahead_ms)}));
            continue;
        }
        ahead_ms += work_ms;
    }
    for(const auto &[id, retry]: refused) {
        finish(m_jobs.at(id), {job::outcome::refused, errc::overloaded, retry}, now);
        erase_if_closed(id, now);
    }
}

} // namespace heathermoor::pool
