#include "heathermoor/pool/scheduler.hpp"

#include "heathermoor/core/event.hpp"
#include "heathermoor/pool/policy.hpp"
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace heathermoor::pool {

namespace internal {

/// Chance with which a task ends within the time that counts against a reservation.
constexpr double cautious_chance = 0.8;

/// Time in which a stopped run gives back its room.
constexpr milliseconds stop_time{20};

} // namespace internal

duration scheduler::expected_run(const job::task_ref &task, const target_id &target) const {
    const auto found = m_jobs.find(task.job);
    if(found == m_jobs.end()) {
        return duration::zero();
    }
    const auto &job = found->second;
    const auto speed = m_speeds.speed(target);
    for(const auto &slot: job.slots) {
        if(slot.step == task.step && slot.index == task.index && slot.sample) {
            return from_ms(std::exp(slot.sample->log_ms) / speed);
        }
    }
    return from_ms(to_ms(job.forecast.typical()) / speed);
}

reservation::room_profile scheduler::find_profile(time_point now) {
    reservation::room_profile room{now};
    m_rows.clear();
    for(const auto &[id, target]: m_holder.targets()) {
        const bool able = target.state == hold_state::held && target.may_serve() && m_target_states[id].health.limit(1, now) > 0;
        if(!able || !target.entry_applies() || target.ledger.has_foreign_run()) {
            continue;
        }
        std::vector<reservation::release> releases;
        for(const auto &[task, run]: target.ledger.runs()) {
            const auto end = run.state == lease::run_state::stopping
                                 ? now + internal::stop_time
                                 : reservation::predicted_end(run.ordered_at, expected_run(task, id), now);
            releases.push_back({end, run.need});
        }
        if(usable(target, now)) {
            m_rows.emplace(id, room.add(target.ledger.free(), std::move(releases)));
        } else if(!releases.empty()) {
            // It has as many runs as it may have for now.
            const auto by_time = [](const auto &left, const auto &right) { return left.at < right.at; };
            const auto first = std::min_element(releases.begin(), releases.end(), by_time)->at;
            releases.push_back({first, target.ledger.free()});
            m_rows.emplace(id, room.add({}, std::move(releases)));
        }
    }
    return room;
}

ready_tasks scheduler::find_ready(const open_job &job) const {
    ready_tasks ready;
    std::uint32_t step = 0;
    for(const auto &slot: job.slots) {
        if(slot.state != slot_state::waiting || !slot.unwanted_runs.empty() || !step_ready(job, slot.step)) {
            continue;
        }
        if(ready.step == nullptr) {
            step = slot.step;
            ready.step = &job.job.steps[step];
        }
        ready.count += slot.step == step ? 1 : 0;
    }
    return ready;
}

std::optional<reservation::request> scheduler::request_of(open_job &job, time_point now) const {
    const auto ready = find_ready(job);
    if(ready.count == 0) {
        return std::nullopt;
    }
    const auto least_speed = speeds_for(job, now).least;
    reservation::request wanted;
    wanted.job = job.job.id;
    wanted.need = ready.step->need;
    wanted.tasks = ready.count;
    wanted.max_per_target = ready.step->max_per_target;
    wanted.run = job.forecast.longest(ready.count);
    wanted.latest = latest_start(job);
    wanted.begun = job.ever_started;
    const auto &label = ready.step->required_label;
    for(const auto &[id, target]: m_holder.targets()) {
        const auto row = m_rows.find(id);
        const auto &labels = target.entry.labels;
        if(row == m_rows.end() || target.entry.service != job.queue.service || !wanted.need.fits(target.entry.capacity) ||
           m_speeds.speed(id) < least_speed || (!label.empty() && std::find(labels.begin(), labels.end(), label) == labels.end())) {
            continue;
        }
        wanted.rows.push_back(row->second);
    }
    return wanted;
}

void scheduler::update_reservations(time_point now) {
    m_plan.reset();
    m_reserved.clear();
    m_rows.clear();
    // While claims settle, most of the targets are yet to be known.
    if(m_backfill->depth() == 0 || m_queue.empty() || (m_settling_until && now < *m_settling_until)) {
        return;
    }
    auto room = find_profile(now);
    std::vector<reservation::request> waiting;
    for(const auto &[position, job]: m_queue) {
        if(waiting.size() >= m_backfill->depth()) {
            break;
        }
        auto wanted = may_start(*job, now) ? request_of(*job, now) : std::nullopt;
        if(wanted) {
            waiting.push_back(std::move(*wanted));
        }
    }
    m_plan = m_backfill->arrange(std::move(room), waiting);
    m_reserved.reserve(m_plan->bookings().size());
    for(const auto &[id, made]: m_plan->bookings()) {
        m_reserved.push_back(*m_jobs.at(id).queued);
    }
    std::sort(m_reserved.begin(), m_reserved.end());
    refuse_late_reservations(now);
    for(const auto &id: m_book.update(*m_plan, now)) {
        log_reservation(m_jobs.at(id), "reservation_made", *m_book.find(id), now);
    }
}

void scheduler::refuse_late_reservations(time_point now) {
    std::vector<std::pair<job_id, milliseconds>> refused;
    for(const auto &[id, made]: m_plan->bookings()) {
        const auto &job = m_jobs.at(id);
        if(job.ever_started || made.start <= latest_useful_start(job)) {
            continue;
        }
        log_event(log_level::info, "pool", "job_refused",
                  {{"job", id},
                   {"reserved_in_ms", made.start - now},
                   {"useful_in_ms", latest_useful_start(job) - now},
                   {"targets", m_rows.size()},
                   {"predicted_ms", job.forecast.typical()},
                   {"fastest_speed", m_fastest}});
        refused.emplace_back(id, std::max(internal::min_retry_after, std::chrono::ceil<milliseconds>(made.start - now)));
    }
    for(const auto &[id, retry]: refused) {
        m_book.refused();
        m_plan->drop(id);
        finish(m_jobs.at(id), {job::outcome::refused, errc::overloaded, retry}, now);
        erase_if_closed(id, now);
    }
}

void scheduler::log_reservation(const open_job &job, std::string_view event, const reservation::promise &made, time_point now) const {
    log_event(event == "reservation_missed" ? log_level::info : log_level::debug, "pool", event,
              {{"job", job.job.id},
               {"strategy", m_backfill->name()},
               {"made_ms_ago", now - made.made_at},
               {"start_in_ms", made.start - now},
               {"latest_in_ms", made.latest - now},
               {"left_ms", job.deadline - now},
               {"tasks", job.slots.size()},
               {"predicted_ms", job.forecast.typical()},
               {"waiting", m_queue.size()},
               {"targets", m_rows.size()}});
}

void scheduler::end_reservation(const open_job &job, reservation::reservation_end how, time_point now) {
    const auto made = m_book.end(job.job.id, how);
    if(m_plan) {
        m_plan->drop(job.job.id);
    }
    if(made && how != reservation::reservation_end::dropped) {
        log_reservation(job, how == reservation::reservation_end::met ? "reservation_met" : "reservation_missed", *made, now);
    }
}

std::size_t scheduler::reservations_ahead(const open_job &job) const {
    if(!m_plan || !job.queued) {
        return 0;
    }
    return static_cast<std::size_t>(std::lower_bound(m_reserved.begin(), m_reserved.end(), *job.queued) - m_reserved.begin());
}

duration scheduler::cautious_run(const open_job &job) const {
    return job.forecast.time_for(internal::cautious_chance, 1);
}

resources scheduler::room_beside(const candidate &one, duration run, std::size_t ahead, time_point now) const {
    if(ahead == 0 || !one.row) {
        return one.free;
    }
    return m_plan->room_beside(*one.row, one.free, now + from_ms(to_ms(run) / one.speed), ahead);
}

std::uint32_t scheduler::count_places(const open_job &job, const ready_tasks &ready, const speed_range &speeds,
                                      std::vector<candidate> &candidates, time_point now) const {
    const auto ahead = reservations_ahead(job);
    const auto run = cautious_run(job);
    const auto &step = *ready.step;
    const auto most = step.max_per_target == 0 ? ready.count : std::min(ready.count, step.max_per_target);
    std::uint32_t count = 0;
    for(auto &one: candidates) {
        const auto &labels = one.target->entry.labels;
        const bool labelled = step.required_label.empty() || std::find(labels.begin(), labels.end(), step.required_label) != labels.end();
        if(one.target->entry.service != job.queue.service || one.speed < speeds.least || !labelled) {
            continue;
        }
        const auto here = std::min<std::int64_t>(most, pieces(step.need, room_beside(one, run, ahead, now)));
        if(here > 0 && renewable(one, now)) {
            count += static_cast<std::uint32_t>(here);
        }
        if(count >= ready.count) {
            break;
        }
    }
    return std::min(count, ready.count);
}

bool scheduler::place_or_hold(open_job &job, const speed_range &speeds, std::vector<candidate> &candidates, time_point now) {
    if(!m_plan) {
        return place_job(job, speeds, candidates, now);
    }
    const auto *own = m_plan->find(job.job.id);
    const bool has_reservation = own != nullptr;
    const bool begun = job.ever_started;
    if(!begun && !(has_reservation && own->in_pieces)) {
        const auto ready = find_ready(job);
        const auto places = ready.count == 0 ? 0 : count_places(job, ready, speeds, candidates, now);
        if(places < ready.count || ready.count == 0) {
            if(places > 0) {
                m_book.hold(job.job.id);
                m_held_back.emplace_back(&job, speeds);
            }
            return false;
        }
    }
    const bool passes = !begun && reservations_ahead(job) > 0;
    const bool started = place_job(job, speeds, candidates, now);
    if(started && passes) {
        m_book.backfilled();
    }
    return started;
}

std::vector<open_job *> scheduler::place_held_back(std::vector<candidate> &candidates, time_point now) {
    std::vector<open_job *> placed;
    for(const auto &[job, speeds]: std::exchange(m_held_back, {})) {
        if(place_job(*job, speeds, candidates, now)) {
            placed.push_back(job);
        }
    }
    return placed;
}

void scheduler::record_start(const open_job &job, const candidate &chosen, const resources &need, time_point now) {
    if(!m_plan) {
        return;
    }
    if(chosen.row) {
        m_plan->started(*chosen.row, need, now + from_ms(to_ms(job.forecast.typical()) / chosen.speed));
    }
    if(find_ready(job).count == 0) {
        const auto *made = m_book.find(job.job.id);
        const bool in_time = made != nullptr && now <= made->latest;
        end_reservation(job, in_time ? reservation::reservation_end::met : reservation::reservation_end::missed, now);
    }
}

std::size_t scheduler::most_tries() const {
    return m_plan ? m_backfill->depth() : std::numeric_limits<std::size_t>::max();
}

} // namespace heathermoor::pool
