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

/// The same for the chance of meeting the latency objective: a late answer is worth something too, and a target left idle is lost.
constexpr double tolerated_objective_loss = 0.4;

/// Chance of meeting the deadline at the latest start of a job; a job that would start later is refused.
constexpr double worthwhile_chance = 0.2;

/// Expected wait for free capacity on a fast target under steady load.
constexpr milliseconds fast_target_wait{60};

/// Share of a job's slack that the work ahead of it may take before room elsewhere is asked for.
constexpr double pressed_share = 0.5;

/// Time for which the speeds that a job needs are not computed again.
constexpr milliseconds speeds_validity{10};

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
    if(target.state != hold_state::held || !target.may_serve() || m_holder.recently_published_idle(target.entry.id, now)) {
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
    return claimed_soon && target.may_serve();
}

bool scheduler::counts_as_room(const held_target &target, time_point now) {
    return available_soon(target, now) || (target.may_serve() && m_settling_until && now < *m_settling_until);
}

void scheduler::update_settling(time_point now) {
    if(!m_settling_until && !m_holder.targets().empty()) {
        m_settling_until = now + internal::settling_time;
    }
}

std::int64_t scheduler::least_cpu_needed() const {
    auto least = std::numeric_limits<std::int64_t>::max();
    for(const auto &[position, job]: m_queue) {
        least = std::min(least, least_need(*job).cpu_millicores);
    }
    return least;
}

room_found scheduler::find_candidates(time_point now) {
    room_found found;
    std::int64_t free_cpu = 0;
    std::int64_t cpu = 0;
    found.least_cpu = least_cpu_needed();
    for(const auto &[id, target]: m_holder.targets()) {
        if(target.state != hold_state::held || target.silent || target.evacuated || !target.entry_applies()) {
            continue;
        }
        const auto free = target.ledger.free();
        free_cpu += free.cpu_millicores;
        cpu += target.entry.capacity.cpu_millicores;
        // Beside a run of an unknown job, a start would extend a lease that another scheduler relies on to end.
        if(free.cpu_millicores >= found.least_cpu && !target.ledger.has_foreign_run() && usable(target, now)) {
            const auto row = m_rows.find(id);
            found.candidates.push_back(
                {&target, free, m_speeds.speed(id), std::nullopt, row == m_rows.end() ? std::nullopt : std::optional{row->second}});
        }
    }
    found.ample = static_cast<double>(free_cpu) > internal::ample_capacity_share * static_cast<double>(cpu);
    return found;
}

time_point scheduler::latest_start(const open_job &job) const {
    const auto fastest = std::max(1.0, m_fastest);
    const auto typical = from_ms(to_ms(job.forecast.longest(job.slots.size())) / fastest);
    return std::min(job.sent_at + objective(job) - typical, latest_useful_start(job));
}

time_point scheduler::latest_useful_start(const open_job &job) const {
    const auto fastest = std::max(1.0, m_fastest);
    const auto least = from_ms(to_ms(job.forecast.time_for(internal::worthwhile_chance, unfinished(job))) / fastest);
    return job.deadline - least;
}

double scheduler::objective_speed(const open_job &job, time_point now) const {
    const auto limit = std::min(job.sent_at + objective(job), job.deadline);
    const auto left_ms = to_ms(limit - now);
    return left_ms > 0 ? to_ms(job.forecast.time_for(internal::objective_chance, unfinished(job))) / left_ms : 0;
}

double scheduler::least_speed(const open_job &job, time_point now) const {
    const auto for_deadline = speed_unless_waiting(job, job.deadline, internal::fast_target_wait, internal::tolerated_loss, now);
    // Who has waited for long will probably wait for as long again.
    const auto wait = std::max<duration>(internal::fast_target_wait, now - job.sent_at);
    const auto objective_end = std::min(job.sent_at + objective(job), job.deadline);
    const auto for_objective = speed_unless_waiting(job, objective_end, wait, internal::tolerated_objective_loss, now);
    return std::max(std::min(for_deadline, m_fastest * (1 - internal::speed_tolerance)),
                    std::min(for_objective, m_fastest / internal::worthwhile_speedup));
}

double scheduler::speed_unless_waiting(const open_job &job, time_point limit, duration wait, double tolerated_loss, time_point now) const {
    const auto tasks = unfinished(job);
    const auto left = limit - now;
    const auto chance = job.forecast.chance(tasks, left - wait, m_fastest) - tolerated_loss;
    return chance > 0 ? to_ms(job.forecast.time_for(chance, tasks)) / to_ms(left) : 0;
}

candidate *scheduler::choose_target(const open_job &job, const task_slot &slot, const speed_range &speeds,
                                    std::vector<candidate> &candidates, time_point now) {
    const auto &step = job.job.steps[slot.step];
    const auto preferred_speed = speeds.for_objective;
    const auto ahead = reservations_ahead(job);
    const auto run = ahead > 0 ? cautious_run(job) : duration{};
    candidate *best = nullptr;
    target_fit best_fit;
    for(auto &one: candidates) {
        ++m_counts.targets_compared;
        if(one.target->entry.service != job.queue.service || !step.need.fits(one.free) || one.speed < speeds.least ||
           !suits(job, slot, one) || !step.need.fits(room_beside(one, run, ahead, now))) {
            continue;
        }
        const auto &labels = one.target->entry.labels;
        const bool near = step.preferred_rack.empty() || std::find(labels.begin(), labels.end(), step.preferred_rack) != labels.end();
        const target_fit fit{near ? one.speed : one.speed / 2, one.free.cpu_millicores - step.need.cpu_millicores};
        const bool better = best == nullptr || better_fit(fit, best_fit, preferred_speed);
        if(better && renewable(one, now)) {
            best = &one;
            best_fit = fit;
        }
    }
    return best;
}

bool scheduler::renewable(candidate &one, time_point now) const {
    if(!one.renewable) {
        one.renewable = may_renew(one.target->ledger.runs(), now);
    }
    return *one.renewable;
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

bool scheduler::place_job(open_job &job, const speed_range &speeds, std::vector<candidate> &candidates, time_point now) {
    bool started = false;
    for(auto &slot: job.slots) {
        if(slot.state != slot_state::waiting || !slot.unwanted_runs.empty() || !step_ready(job, slot.step)) {
            continue;
        }
        auto *chosen = choose_target(job, slot, speeds, candidates, now);
        if(chosen == nullptr) {
            return started;
        }
        const auto &need = job.job.steps[slot.step].need;
        chosen->free -= need;
        started = true;
        slot.state = slot_state::placed;
        slot.target = chosen->target->entry.id;
        slot.placed_at = now;
        slot.placed_speed = chosen->speed;
        ++slot.last_run;
        slot.pace_observed = false;
        record_start(job, *chosen, need, now);
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
    return started;
}

queue_position scheduler::position_of(const open_job &job, time_point now) const {
    queue_position position;
    position.priority = job.queue.priority;
    position.latest_start = job.queued ? job.queued->latest_start : latest_start(job);
    position.overdue = now > position.latest_start;
    position.id = job.job.id;
    const auto another_run = from_ms(to_ms(job.forecast.longest(unfinished(job))) / std::max(1.0, m_fastest));
    position.at_risk = job.ever_started && now + another_run > latest_useful_start(job);
    return position;
}

void scheduler::update_queue(open_job &job, time_point now) {
    const bool waits = !job.closing && std::any_of(job.slots.begin(), job.slots.end(),
                                                   [](const task_slot &slot) { return slot.state == slot_state::waiting; });
    const auto position = waits ? std::optional{position_of(job, now)} : std::nullopt;
    if(job.queued) {
        m_queue.erase(*job.queued);
    }
    job.queued = position;
    if(position) {
        m_queue.emplace(*position, &job);
    }
}

void scheduler::reorder_queue(time_point now) {
    std::vector<open_job *> moved;
    for(const auto &[position, job]: m_queue) {
        const auto present = position_of(*job, now);
        if(present.overdue != position.overdue || present.at_risk != position.at_risk) {
            moved.push_back(job);
        }
    }
    for(auto *job: moved) {
        update_queue(*job, now);
    }
}

bool scheduler::may_start(const open_job &job, time_point now) const {
    return has_confirmed_gateway(job, now) && earlier_runs_ended(job, now);
}

resources scheduler::least_need(const open_job &job) {
    const auto &steps = job.job.steps;
    if(steps.size() == 1) {
        return steps.front().need;
    }
    auto least = resources{std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::max(),
                           std::numeric_limits<std::int64_t>::max()};
    for(const auto &slot: job.slots) {
        if(slot.state == slot_state::waiting) {
            const auto &need = steps[slot.step].need;
            least.cpu_millicores = std::min(least.cpu_millicores, need.cpu_millicores);
            least.memory_mb = std::min(least.memory_mb, need.memory_mb);
            least.gpus = std::min(least.gpus, need.gpus);
        }
    }
    return least;
}

std::map<service_id, resources> scheduler::largest_free(const std::vector<candidate> &candidates) {
    std::map<service_id, resources> largest;
    for(const auto &one: candidates) {
        auto &free = largest[one.target->entry.service];
        free.cpu_millicores = std::max(free.cpu_millicores, one.free.cpu_millicores);
        free.memory_mb = std::max(free.memory_mb, one.free.memory_mb);
        free.gpus = std::max(free.gpus, one.free.gpus);
    }
    return largest;
}

const speed_range &scheduler::speeds_for(open_job &job, time_point now) const {
    if(now - job.speeds_at >= internal::speeds_validity || job.speeds_fastest != m_fastest) {
        job.speeds = {objective_speed(job, now), least_speed(job, now)};
        job.speeds_at = now;
        job.speeds_fastest = m_fastest;
    }
    return job.speeds;
}

void scheduler::place(time_point now) {
    if(!m_place_due || m_resuming || m_uninformed) {
        return;
    }
    m_place_due = false;
    if(m_queue.empty()) {
        return;
    }
    auto [candidates, least_cpu, prefer_fastest] = find_candidates(now);
    if(candidates.empty()) {
        return;
    }
    auto largest = largest_free(candidates);
    std::vector<open_job *> placed;
    auto tries = most_tries();
    for(const auto &[position, waiting]: m_queue) {
        auto &job = *waiting;
        ++m_counts.jobs_examined;
        const auto free = largest.find(job.queue.service);
        if(free == largest.end() || !least_need(job).fits(free->second) || !may_start(job, now)) {
            continue;
        }
        auto speeds = speeds_for(job, now);
        speeds.for_objective = prefer_fastest ? std::numeric_limits<double>::infinity() : speeds.for_objective;
        ++m_counts.jobs_tried;
        if(!place_or_hold(job, speeds, candidates, now)) {
            if(--tries == 0) {
                break;
            }
            continue;
        }
        placed.push_back(&job);
        std::erase_if(candidates, [least = least_cpu](const candidate &one) { return one.free.cpu_millicores < least; });
        if(candidates.empty()) {
            break;
        }
        largest = largest_free(candidates);
    }
    const auto late = place_held_back(candidates, now);
    placed.insert(placed.end(), late.begin(), late.end());
    for(auto *job: placed) {
        update_queue(*job, now);
    }
}

target_room scheduler::find_room(time_point now) {
    target_room room;
    for(const auto &[id, target]: m_holder.targets()) {
        if(counts_as_room(target, now)) {
            room.add(target.entry.service, target.entry.capacity);
        }
    }
    return room;
}

double scheduler::work_of_waiting(const open_job &job, std::int64_t places) {
    const auto waiting =
        std::count_if(job.slots.begin(), job.slots.end(), [](const task_slot &slot) { return slot.state == slot_state::waiting; });
    return to_ms(job.forecast.typical()) * static_cast<double>(waiting) / std::max(1.0, static_cast<double>(places));
}

backlog scheduler::find_backlog(const open_job &job, const target_room &room, double ahead_ms, time_point now) const {
    backlog found;
    found.ahead_ms = ahead_ms;
    found.slack_ms = std::max(0.0, to_ms(latest_start(job) - now) * internal::waiting_share);
    found.places = room.places(job.queue.service, job.job.steps.front().need);
    found.evacuated = m_holder.evacuated() > 0 && only_on_evacuated(job);
    found.refusable = !job.ever_started && (found.evacuated || found.ahead_ms > found.slack_ms);
    const auto least_retry = found.evacuated ? internal::evacuated_retry_after : internal::min_retry_after;
    found.retry_after = std::max(least_retry, milliseconds{static_cast<std::int64_t>(ahead_ms)});
    return found;
}

void scheduler::report_overload(const open_job &job, const backlog &found) {
    m_overload.crowded = m_overload.crowded || found.ahead_ms > found.slack_ms * internal::pressed_share;
    m_overload.pressed = m_overload.crowded || m_overload.pressed || found.places == 0;
    if(found.refusable || found.places == 0) {
        m_overload.jobs.push_back(describe_overload(job, found));
    }
}

void scheduler::log_refused(const open_job &job, const backlog &found) const {
    log_event(log_level::info, "pool", "job_refused",
              {{"job", job.job.id},
               {"ahead_ms", found.ahead_ms},
               {"slack_ms", found.slack_ms},
               {"places", found.places},
               {"targets", m_holder.targets().size()},
               {"evacuated", found.evacuated},
               {"predicted_ms", job.forecast.typical()},
               {"fastest_speed", m_fastest}});
}

void scheduler::refuse_overload(time_point now) {
    std::vector<std::pair<job_id, milliseconds>> refused;
    m_overload = {};
    const auto room = find_room(now);
    double ahead_ms = 0;
    for(const auto &[position, job]: m_queue) {
        if(!may_start(*job, now)) {
            continue;
        }
        const auto found = find_backlog(*job, room, ahead_ms, now);
        if(m_lending && !job->ever_started) {
            report_overload(*job, found);
        }
        if(!found.refusable) {
            ahead_ms += work_of_waiting(*job, found.places);
        } else if(!m_lending) {
            log_refused(*job, found);
            refused.emplace_back(job->job.id, found.retry_after);
        }
    }
    for(const auto &[id, retry]: refused) {
        refuse(id, retry, now);
    }
}

} // namespace heathermoor::pool
