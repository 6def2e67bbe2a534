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

/// Growth of the longest of several tasks over their mean, for each doubling of
/// the logarithm; fits run times that spread by about 40%.
constexpr double widest_growth = 0.35;

/// Part of the objective's slack that may be spent on waiting; the rest covers
/// tasks that run longer than expected.
constexpr double waiting_share = 0.9;

/// Share of all room that has to be free for work to go to the fastest targets
/// first; with less, they are kept for the jobs that need them.
constexpr double plentiful_share = 0.4;

/// Margin on the speed that a job needs to meet its objective.
constexpr double speed_margin = 1.25;

/// Time within which room on a fast target is to be expected, while work ends all the time.
constexpr milliseconds fast_room_time{60};

} // namespace internal

bool scheduler::step_ready(const open_job &job, std::uint32_t step) const {
    const auto &after = job.job.steps[step].after;
    return std::all_of(job.slots.begin(), job.slots.end(), [&](const task_slot &slot) {
        return slot.state == slot_state::done || std::find(after.begin(), after.end(), slot.step) == after.end();
    });
}

duration scheduler::expected_run(const open_job &job) const {
    const auto hint = job.job.steps.empty() ? milliseconds{0} : job.job.steps.front().estimate;
    return m_run_times.predict(job.queue.name, hint);
}

duration scheduler::longest_run(const open_job &job) const {
    const auto width = std::max<std::size_t>(1, job.slots.size());
    return from_ms(to_ms(expected_run(job)) * (1.0 + internal::widest_growth * std::log(static_cast<double>(width))));
}

duration scheduler::objective(const open_job &job) const {
    return from_ms(to_ms(longest_run(job)) * job.queue.stretch) + job.queue.target_latency;
}

bool scheduler::usable(const held_target &target, time_point now) {
    if(target.state != hold_state::held || target.silent || target.removed || target.leaving || target.entry.draining ||
       m_holder.recently_published_idle(target.entry.id, now)) {
        return false;
    }
    constexpr std::uint32_t unlimited = 1'000;
    return target.ledger.runs().size() < m_target_states[target.entry.id].health.limit(unlimited, now);
}

std::vector<scheduler::candidate> scheduler::candidates(time_point now) {
    std::vector<candidate> room;
    for(const auto &[id, target]: m_holder.targets()) {
        if(!usable(target, now)) {
            continue;
        }
        const auto free = target.ledger.free();
        room.push_back({&target, free, m_speeds.speed(id)});
    }
    return room;
}

time_point scheduler::latest_start(const open_job &job) const {
    const auto longest = longest_run(job);
    const auto by_objective = job.sent_at + objective(job) - longest;
    const auto by_deadline = job.deadline - from_ms(to_ms(longest) / std::max(1.0, m_fastest));
    return std::min(by_objective, by_deadline);
}

double scheduler::needed_speed(const open_job &job, time_point now) const {
    const auto limit = std::min(job.sent_at + objective(job), job.deadline);
    const auto left_ms = to_ms(limit - now);
    return left_ms > 0 ? to_ms(longest_run(job)) * internal::speed_margin / left_ms : 0;
}

double scheduler::bearable_speed(const open_job &job, time_point now) const {
    const auto run_ms = to_ms(expected_run(job));
    const auto left_ms = to_ms(job.deadline - now);
    const auto needed = left_ms > 0 ? run_ms / left_ms : 0;
    const bool worth_waiting = to_ms(job.deadline - now - internal::fast_room_time) * m_fastest > run_ms;
    return worth_waiting ? std::min(needed, m_fastest * (1 - internal::equal_speed)) : 0;
}

scheduler::candidate *scheduler::choose(const open_job &job, const task_slot &slot, const speed_range &speeds,
                                        std::vector<candidate> &room) const {
    const auto &step = job.job.steps[slot.step];
    const auto least_speed = speeds.wanted;
    candidate *best = nullptr;
    double best_speed = 0;
    std::int64_t best_left = 0;
    for(auto &one: room) {
        if(one.target->entry.service != job.queue.service || !step.need.fits(one.free) ||
           one.speed < std::max(speeds.bearable, std::min(slot.least_speed, m_fastest)) || !suits(job, slot, one)) {
            continue;
        }
        const auto &labels = one.target->entry.labels;
        const bool near = step.preferred_rack.empty() || std::find(labels.begin(), labels.end(), step.preferred_rack) != labels.end();
        const auto speed = near ? one.speed : one.speed / 2;
        const auto left = one.free.cpu_millicores - step.need.cpu_millicores;
        if(best == nullptr || better({speed, left}, {best_speed, best_left}, least_speed)) {
            best = &one;
            best_speed = speed;
            best_left = left;
        }
    }
    return best;
}

scheduler::candidate *scheduler::choose_startable(const open_job &job, const task_slot &slot, const speed_range &speeds,
                                                  std::vector<candidate> &room, time_point now) const {
    auto *chosen = choose(job, slot, speeds, room);
    while(chosen != nullptr && !may_renew(chosen->target->ledger.runs(), now)) {
        // A start would extend the lease of everything on the target.
        chosen->free = {};
        chosen = choose(job, slot, speeds, room);
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

bool scheduler::better(const fit &left, const fit &right, double least_speed) noexcept {
    const bool left_enough = left.speed >= least_speed;
    const bool right_enough = right.speed >= least_speed;
    if(left_enough != right_enough) {
        return left_enough;
    }
    const auto ratio = left.speed / right.speed;
    if(ratio > 1 - internal::equal_speed && ratio < 1 + internal::equal_speed) {
        return left.cpu_left < right.cpu_left;
    }
    return left_enough ? ratio < 1 : ratio > 1;
}

void scheduler::place_job(open_job &job, const speed_range &speeds, std::vector<candidate> &room, time_point now) {
    for(auto &slot: job.slots) {
        if(slot.state != slot_state::waiting || !slot.strays.empty() || !step_ready(job, slot.step)) {
            continue;
        }
        auto *chosen = choose_startable(job, slot, speeds, room, now);
        if(chosen == nullptr) {
            return;
        }
        const auto &need = job.job.steps[slot.step].need;
        chosen->free -= need;
        slot.state = slot_state::placed;
        slot.target = chosen->target->entry.id;
        slot.placed_at = now;
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

bool scheduler::plentiful(const std::vector<candidate> &room) {
    resources free;
    resources capacity;
    for(const auto &one: room) {
        free += one.free;
        capacity += one.target->entry.capacity;
    }
    return static_cast<double>(free.cpu_millicores) > internal::plentiful_share * static_cast<double>(capacity.cpu_millicores);
}

void scheduler::place(time_point now) {
    if(!m_place_due) {
        return;
    }
    m_place_due = false;
    auto room = candidates(now);
    if(room.empty()) {
        return;
    }
    const bool fastest = plentiful(room);
    for(auto *job: waiting_in_order(now)) {
        const auto wanted = fastest ? std::numeric_limits<double>::infinity() : needed_speed(*job, now);
        place_job(*job, {wanted, bearable_speed(*job, now)}, room, now);
        std::erase_if(room, [](const candidate &one) { return one.free.cpu_millicores <= 0; });
        if(room.empty()) {
            break;
        }
    }
}

double scheduler::task_places(const resources &need, const service_id &service) const {
    std::int64_t places = 0;
    for(const auto &[id, target]: m_holder.targets()) {
        if(target.entry.service == service && target.state == hold_state::held && !target.silent && !target.entry.draining) {
            places += pieces(need, target.entry.capacity);
        }
    }
    return static_cast<double>(places);
}

void scheduler::refuse_hopeless(time_point now) {
    std::vector<std::pair<job_id, milliseconds>> refused;
    double ahead_ms = 0;
    for(const auto *job: waiting_in_order(now)) {
        const auto waiting =
            std::count_if(job->slots.begin(), job->slots.end(), [](const task_slot &slot) { return slot.state == slot_state::waiting; });
        const auto places = std::max(1.0, task_places(job->job.steps.front().need, job->queue.service));
        const auto work_ms = to_ms(expected_run(*job)) * static_cast<double>(waiting) / places;
        const auto slack_ms = to_ms(latest_start(*job) - now) * internal::waiting_share;
        if(!job->ever_started && ahead_ms > std::max(0.0, slack_ms)) {
            refused.emplace_back(job->job.id, std::max(internal::least_retry, milliseconds{static_cast<std::int64_t>(ahead_ms)}));
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
