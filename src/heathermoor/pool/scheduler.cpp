#include "heathermoor/pool/scheduler.hpp"

#include "heathermoor/core/event.hpp"
#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace heathermoor::pool {

namespace internal {

/// Time for which the answer of an ended job is kept for a resubmission.
constexpr seconds past_answer_time{30};

/// Most answers kept.
constexpr std::size_t most_past_answers = 4'096;

/// Time in which an entry host hands its jobs to a new scheduler; runs that
/// belong to no known job are stopped after it.
constexpr milliseconds orphan_time{450};

/// Step by which a run's number rises after a target rejected it as too low.
constexpr std::uint64_t run_number_step = 16;

/// Growth of the longest of several tasks over their mean, for each doubling of
/// the logarithm; fits run times that spread by about 40%.
constexpr double widest_growth = 0.35;

/// Part of the objective's slack that may be spent on waiting; the rest covers
/// tasks that run longer than expected.
constexpr double waiting_share = 0.9;

/// Share of all room that has to be free for work to go to the fastest targets
/// first; with less, they are kept for the jobs that need them.
constexpr double plentiful_share = 0.4;

/// Speeds within this share count as equal; the tighter fit decides then.
constexpr double equal_speed = 0.08;

/// Margin on the speed that a job needs to meet its objective.
constexpr double speed_margin = 1.25;

/// Progress below which a run's pace says too little of its end.
constexpr std::int64_t least_percent = 1;

/// Time for which a run's pace is watched before it counts.
constexpr milliseconds pace_time{100};

/// Multiple of the expected run time from which a run's pace counts for its
/// target's speed before it ends.
constexpr double slow_pace = 2.0;

/// Margin by which a run must miss its job's deadline to count as hopeless.
constexpr double hopeless_margin = 1.3;

/// Ratio of speeds from which a run that would miss its deadline is moved.
constexpr double worthwhile_gain = 1.3;

/// Time for stopping a run and starting it elsewhere.
constexpr milliseconds move_time{60};

/// Time before a job's deadline in which its answer has to leave.
constexpr milliseconds answer_margin{20};

/// Progress is expected to change within this time.
constexpr milliseconds stall_time{700};

/// Time for which another scheduler's word on its idle targets holds.
constexpr milliseconds idle_word_time{800};

/// Time in which all targets can be asked what they run for an earlier scheduler.
constexpr milliseconds proof_time{250};

/// Multiple of the expected run time from which a task may count as stalled.
constexpr double stall_run_factor = 3.0;

/// Shortest retry time given with a refusal.
constexpr milliseconds least_retry{500};

} // namespace internal

void scheduler::set_targets(const std::vector<scoped_target> &targets, std::set<target_id> known, log_offset catalog_next) {
    m_holder.set_targets(targets, std::move(known));
    m_catalog_next = catalog_next;
    m_place_due = true;
}

void scheduler::resign() {
    m_holder.release_all();
    m_jobs.clear();
    m_orphans.clear();
    m_orphan_ends.clear();
    m_vouched.clear();
    m_past.clear();
}

void scheduler::submit(submission work, time_point now) {
    const auto known = m_jobs.find(work.job.id);
    if(known != m_jobs.end()) {
        auto &job = known->second;
        if(job.closing) {
            job.next = std::move(work);
        } else {
            join(job, work, now);
        }
        return;
    }
    const auto past = m_past.find(work.job.id);
    if(past != m_past.end()) {
        m_answers.answer(work.from, work.job.id, past->second.answer);
        return;
    }
    open(std::move(work), now);
}

void scheduler::join(open_job &job, const submission &work, time_point now) {
    if(std::find(job.hosts.begin(), job.hosts.end(), work.from) == job.hosts.end()) {
        job.hosts.push_back(work.from);
    }
    job.ever_started = job.ever_started || work.may_have_run;
    if(work.clear_in > duration::zero()) {
        // Another scheduler had the job meanwhile.
        job.opened_at = now;
        job.clear_at = std::max(job.clear_at, now + work.clear_in);
        job.earlier = work.earlier;
        m_holder.prove_all(now);
    }
}

void scheduler::open(submission work, time_point now) {
    open_job job;
    job.queue = std::move(work.queue);
    job.hosts.push_back(work.from);
    job.sent_at = now - work.age;
    job.deadline = now + work.remaining - internal::answer_margin;
    job.opened_at = now;
    job.clear_at = now + work.clear_in;
    job.earlier = work.earlier;
    job.ever_started = work.may_have_run;
    job.job = std::move(work.job);
    for(std::uint32_t step = 0; step < job.job.steps.size(); ++step) {
        for(std::uint32_t index = 0; index < job.job.steps[step].tasks; ++index) {
            task_slot slot;
            slot.step = step;
            slot.index = index;
            job.slots.push_back(slot);
        }
    }
    const auto id = job.job.id;
    auto &stored = m_jobs.insert_or_assign(id, std::move(job)).first->second;
    log_event(log_level::debug, "pool", "job_opened",
              {{"job", id},
               {"queue", stored.queue.name},
               {"from", stored.hosts.front()},
               {"tasks", stored.slots.size()},
               {"age_ms", now - stored.sent_at},
               {"clear_in_ms", stored.clear_at - now},
               {"earlier", stored.earlier}});
    if(stored.clear_at > now) {
        m_holder.prove_all(now);
    }
    adopt_orphans(stored, now);
    m_place_due = true;
}

void scheduler::note_other(const host_id &host, std::set<target_id> idle, log_offset catalog_next, time_point now) {
    m_others[host] = {std::move(idle), catalog_next, now};
}

bool scheduler::vouched(const open_job &job, time_point now) const {
    return std::any_of(job.hosts.begin(), job.hosts.end(), [&](const host_id &host) {
        const auto known = m_vouched.find(host);
        return known != m_vouched.end() && now < known->second;
    });
}

bool scheduler::never_clear(const open_job &job, time_point now) const {
    if(now - job.opened_at < internal::proof_time || job.clear_at + expected_run(job) < job.deadline || clear(job, now)) {
        return false;
    }
    return std::none_of(job.slots.begin(), job.slots.end(), [](const task_slot &slot) { return slot.state == slot_state::placed; });
}

bool scheduler::clear(const open_job &job, time_point now) const {
    if(now >= job.clear_at) {
        return true;
    }
    const auto other = m_others.find(job.earlier);
    if(other == m_others.end() || other->second.catalog_next > m_catalog_next) {
        return false;
    }
    if(now - other->second.heard_at > internal::idle_word_time) {
        return m_holder.proved(job.opened_at, {});
    }
    return m_holder.proved(job.opened_at, other->second.idle);
}

void scheduler::adopt_orphans(open_job &job, time_point now) {
    for(auto &slot: job.slots) {
        const job::task_ref task{job.job.id, slot.step, slot.index};
        const auto ended = m_orphan_ends.find(task);
        if(ended != m_orphan_ends.end()) {
            slot.state = slot_state::done;
            slot.last_run = raw(ended->second.run);
            job.ever_started = true;
            m_orphan_ends.erase(ended);
        }
        const auto running = m_orphans.find(task);
        if(running != m_orphans.end()) {
            const auto target = running->second.target;
            slot.last_run = std::max(slot.last_run, raw(running->second.run));
            job.ever_started = true;
            if(slot.state == slot_state::waiting) {
                slot.state = slot_state::placed;
                slot.target = target;
                slot.placed_at = now;
                m_holder.adopt(target, task, job.job.steps[slot.step].need);
            } else {
                m_holder.stop(target, task, now);
            }
            m_orphans.erase(running);
        }
    }
    if(std::all_of(job.slots.begin(), job.slots.end(), [](const task_slot &slot) { return slot.state == slot_state::done; })) {
        finish(job, {job::outcome::completed, errc::ok, {}}, now);
        erase_if_closed(job.job.id, now);
    }
}

void scheduler::cancel(const host_id &from, const job_id &id, time_point now) {
    const auto found = m_jobs.find(id);
    if(found == m_jobs.end()) {
        return;
    }
    auto &job = found->second;
    if(job.next && job.next->from == from) {
        job.next.reset();
        return;
    }
    std::erase(job.hosts, from);
    if(job.hosts.empty() && !job.closing) {
        ++m_counts.cancelled;
        close(job, now);
        erase_if_closed(id, now);
    }
}

void scheduler::vouch(const host_id &host, time_point until) {
    auto &known = m_vouched[host];
    known = std::max(known, until);
}

bool scheduler::resolve(const host_id &from, const job_id &id) {
    const auto past = m_past.find(id);
    if(past != m_past.end()) {
        m_answers.answer(from, id, past->second.answer);
        return true;
    }
    const auto known = m_jobs.find(id);
    if(known == m_jobs.end()) {
        return false;
    }
    const auto &job = known->second;
    if(job.closing) {
        return job.next && job.next->from == from;
    }
    return std::find(job.hosts.begin(), job.hosts.end(), from) != job.hosts.end();
}

std::map<queue_id, std::uint32_t> scheduler::waiting() const {
    std::map<queue_id, std::uint32_t> result;
    for(const auto &[id, job]: m_jobs) {
        if(!job.ever_started && !job.closing) {
            ++result[job.queue.name];
        }
    }
    return result;
}

std::uint32_t scheduler::waiting(const queue_id &queue) const {
    const auto all = waiting();
    const auto found = all.find(queue);
    return found == all.end() ? 0 : found->second;
}

void scheduler::log_answer(const open_job &job, const job::answer &answer, time_point now) const {
    std::size_t done = 0;
    std::uint32_t failures = 0;
    std::uint64_t last_run = 0;
    duration last_start{};
    for(const auto &slot: job.slots) {
        done += slot.state == slot_state::done ? 1 : 0;
        failures += slot.failures;
        last_run = std::max(last_run, slot.last_run);
        last_start = std::max(last_start, slot.placed_at == time_point{} ? duration{} : slot.placed_at - job.sent_at);
    }
    log_event(log_level::info, "pool", "job_answered",
              {{"job", job.job.id},
               {"queue", job.queue.name},
               {"priority", job.queue.priority},
               {"outcome", job::name_of(answer.result)},
               {"reason", code_name(answer.reason)},
               {"age_ms", now - job.sent_at},
               {"objective_ms", objective(job)},
               {"left_ms", job.deadline - now},
               {"last_start_ms", last_start},
               {"tasks", job.slots.size()},
               {"done", done},
               {"failures", failures},
               {"last_run", last_run},
               {"retry_after_ms", duration{answer.retry_after}}});
}

void scheduler::finish(open_job &job, const job::answer &answer, time_point now) {
    log_answer(job, answer, now);
    for(const auto &host: job.hosts) {
        m_answers.answer(host, job.job.id, answer);
    }
    switch(answer.result) {
    case job::outcome::completed:
        ++m_counts.completed;
        break;
    case job::outcome::failed:
        ++m_counts.failed;
        break;
    case job::outcome::refused:
        ++m_counts.refused;
        break;
    case job::outcome::unknown:
        ++m_counts.unknown;
        break;
    }
    if(answer.result == job::outcome::completed || answer.result == job::outcome::failed) {
        if(m_past.size() >= internal::most_past_answers) {
            m_past.erase(m_past.begin());
        }
        m_past[job.job.id] = {answer, now};
    }
    close(job, now);
}

void scheduler::close(open_job &job, time_point now) {
    job.closing = true;
    job.hosts.clear();
    for(const auto &slot: job.slots) {
        if(slot.state == slot_state::placed) {
            m_holder.stop(slot.target, {job.job.id, slot.step, slot.index}, now);
        }
    }
}

void scheduler::erase_if_closed(const job_id &id, time_point now) {
    const auto found = m_jobs.find(id);
    if(found == m_jobs.end() || !found->second.closing) {
        return;
    }
    const auto &slots = found->second.slots;
    if(std::any_of(slots.begin(), slots.end(),
                   [](const task_slot &slot) { return slot.state == slot_state::placed || slot.state == slot_state::out_of_reach; })) {
        return;
    }
    auto next = std::move(found->second.next);
    m_jobs.erase(found);
    if(next) {
        submit(std::move(*next), now);
    }
}

scheduler::task_slot *scheduler::find_slot(open_job &job, const job::task_ref &task) {
    for(auto &slot: job.slots) {
        if(slot.step == task.step && slot.index == task.index) {
            return &slot;
        }
    }
    return nullptr;
}

void scheduler::run_ended(const target_id &target, const lease::ended_run &end, time_point now) {
    m_place_due = true;
    if(end.how == lease::run_end::lapsed || end.how == lease::run_end::lost) {
        ++m_counts.runs_lost;
    }
    const auto orphan = m_orphans.find(end.task);
    if(orphan != m_orphans.end() && orphan->second.target == target) {
        m_orphans.erase(orphan);
    }
    const auto found = m_jobs.find(end.task.job);
    if(found == m_jobs.end()) {
        if(end.how == lease::run_end::done && !end.own) {
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
    const bool current = slot->state == slot_state::placed && slot->target == target && slot->last_run == raw(end.run);
    if(!current) {
        if(end.how == lease::run_end::done && slot->state == slot_state::waiting && !job.closing) {
            slot->state = slot_state::done;
        }
        return;
    }
    slot->state = slot_state::waiting;
    const auto expected = expected_run(job);
    switch(end.how) {
    case lease::run_end::done:
        slot->state = slot_state::done;
        m_target_states[target].health.succeeded();
        if(end.own) {
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
        } else if(std::all_of(job.slots.begin(), job.slots.end(), [](const task_slot &one) { return one.state == slot_state::done; })) {
            finish(job, {job::outcome::completed, errc::ok, {}}, now);
        }
    }
    erase_if_closed(end.task.job, now);
}

void scheduler::run_found(const target_id &target, const lease::found_run &run, time_point now) {
    const auto found = m_jobs.find(run.task.job);
    auto *slot = found == m_jobs.end() ? nullptr : find_slot(found->second, run.task);
    if(slot == nullptr) {
        m_orphans[run.task] = {target, run.run, now};
        log_event(log_level::debug, "pool", "orphan_found",
                  {{"job", run.task.job}, {"step", run.task.step}, {"index", run.task.index}, {"run", run.run}, {"target", target}});
        return;
    }
    auto &job = found->second;
    log_event(log_level::debug, "pool", "run_found",
              {{"job", run.task.job}, {"step", run.task.step}, {"index", run.task.index}, {"run", run.run}, {"target", target}});
    m_holder.adopt(target, run.task, job.job.steps[run.task.step].need);
    const bool wanted = !job.closing && (slot->state == slot_state::waiting || slot->state == slot_state::out_of_reach);
    if(!wanted) {
        m_holder.stop(target, run.task, now);
        return;
    }
    slot->state = slot_state::placed;
    slot->target = target;
    slot->last_run = std::max(slot->last_run, raw(run.run));
    slot->placed_at = now;
    job.ever_started = true;
}

void scheduler::target_taken(const target_id &target, const std::vector<job::task_ref> &runs, time_point lapse, time_point now) {
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
        erase_if_closed(task.job, now);
    }
}

void scheduler::start_answered(const order_answer &answer, time_point now) {
    if(answer.outcome == lease::order_outcome::unwell) {
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

void scheduler::tick(time_point now, milliseconds unix_now) {
    m_holder.tick(now, unix_now);
    drop_lost_hosts(now);
    return_lapsed(now);
    end_overdue(now);
    stop_orphans(now);
    stop_stalled(now);
    end_hopeless_runs(now);
    std::erase_if(m_past, [now](const auto &item) { return now - item.second.at > internal::past_answer_time; });
    std::erase_if(m_orphan_ends, [now](const auto &item) { return now - item.second.ended_at > internal::past_answer_time; });
    m_fastest = fastest_speed(now);
    m_place_due = true;
    place(now);
    refuse_hopeless(now);
}

void scheduler::drop_lost_hosts(time_point now) {
    std::vector<host_id> lost;
    std::erase_if(m_vouched, [&](const auto &item) {
        const bool silent = now >= item.second;
        if(silent) {
            lost.push_back(item.first);
        }
        return silent;
    });
    for(const auto &host: lost) {
        std::vector<job_id> affected;
        for(const auto &[id, job]: m_jobs) {
            if(std::find(job.hosts.begin(), job.hosts.end(), host) != job.hosts.end()) {
                affected.push_back(id);
            }
        }
        if(!affected.empty()) {
            log_event(log_level::info, "pool", "entry_host_silent", {{"host", host}, {"jobs", affected.size()}});
        }
        for(const auto &id: affected) {
            cancel(host, id, now);
        }
    }
}

void scheduler::end_overdue(time_point now) {
    std::vector<job_id> overdue;
    for(auto &[id, job]: m_jobs) {
        if(job.closing) {
            continue;
        }
        if(now >= job.deadline || never_clear(job, now)) {
            overdue.push_back(id);
        }
    }
    for(const auto &id: overdue) {
        auto &job = m_jobs.at(id);
        if(job.ever_started) {
            finish(job, {job::outcome::unknown, now >= job.deadline ? errc::deadline_exceeded : errc::leader_lost, {}}, now);
        } else {
            finish(job, {job::outcome::refused, errc::overloaded, internal::least_retry}, now);
        }
        erase_if_closed(id, now);
    }
}

void scheduler::return_lapsed(time_point now) {
    std::vector<job_id> closed;
    for(auto &[id, job]: m_jobs) {
        for(auto &slot: job.slots) {
            if(slot.state == slot_state::out_of_reach && now >= slot.lapse_at) {
                slot.state = slot_state::waiting;
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
        if(now - orphan.found_at >= internal::orphan_time) {
            due.emplace_back(orphan.target, task);
            orphan.found_at = now;
        }
    }
    for(const auto &[target, task]: due) {
        m_holder.stop(target, task, now);
    }
}

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
    if(target.state != hold_state::held || target.silent || target.removed || target.entry.draining ||
       m_holder.believed_idle(target.entry.id, now)) {
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

scheduler::candidate *scheduler::choose(const open_job &job, const task_slot &slot, double least_speed,
                                        std::vector<candidate> &room) const {
    const auto &step = job.job.steps[slot.step];
    candidate *best = nullptr;
    double best_speed = 0;
    std::int64_t best_left = 0;
    for(auto &one: room) {
        if(one.target->entry.service != job.queue.service || !step.need.fits(one.free) || one.speed < slot.least_speed ||
           !suits(job, slot, one)) {
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

void scheduler::place_job(open_job &job, double least_speed, std::vector<candidate> &room, time_point now) {
    for(auto &slot: job.slots) {
        if(slot.state != slot_state::waiting || !step_ready(job, slot.step)) {
            continue;
        }
        auto *chosen = choose(job, slot, least_speed, room);
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
        if(!job.closing && vouched(job, now) &&
           std::any_of(job.slots.begin(), job.slots.end(), [](const task_slot &slot) { return slot.state == slot_state::waiting; }) &&
           clear(job, now)) {
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
        place_job(*job, fastest ? std::numeric_limits<double>::infinity() : needed_speed(*job, now), room, now);
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

double scheduler::fastest_speed(time_point now) {
    double fastest = 0;
    for(const auto &[id, target]: m_holder.targets()) {
        if(usable(target, now)) {
            fastest = std::max(fastest, m_speeds.speed(id));
        }
    }
    return fastest;
}

void scheduler::judge_pace(const held_target &target, const job::task_ref &task, const lease::run_entry &entry, time_point now,
                           std::vector<job_id> &hopeless) {
    const auto found = m_jobs.find(task.job);
    const auto elapsed = entry.progress_at - entry.ordered_at;
    if(found == m_jobs.end() || found->second.closing || entry.state != lease::run_state::running ||
       entry.percent < internal::least_percent || elapsed < internal::pace_time) {
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
    const auto faster = m_fastest * (1 - internal::equal_speed);
    const auto again_ms = total_ms * speed / std::max(faster, speed);
    const bool rescue = faster > speed * internal::worthwhile_gain && now + internal::move_time + from_ms(again_ms) < job.deadline;
    if(slot != nullptr && rescue && slot->least_speed == 0) {
        slot->least_speed = faster;
        log_event(log_level::info, "pool", "run_moved",
                  {{"job", task.job},
                   {"index", task.index},
                   {"target", target.entry.id},
                   {"percent", entry.percent},
                   {"speed", speed},
                   {"to_speed", faster}});
        m_holder.stop(target.entry.id, task, now);
    } else if(total_ms > to_ms(job.deadline - entry.ordered_at) * internal::hopeless_margin) {
        hopeless.push_back(task.job);
    }
}

void scheduler::end_hopeless_runs(time_point now) {
    std::vector<job_id> hopeless;
    for(const auto &[id, target]: m_holder.targets()) {
        const auto runs = target.ledger.runs();
        for(const auto &[task, entry]: runs) {
            judge_pace(target, task, entry, now, hopeless);
        }
    }
    for(const auto &id: hopeless) {
        const auto found = m_jobs.find(id);
        if(found != m_jobs.end() && !found->second.closing) {
            finish(found->second, {job::outcome::unknown, errc::deadline_unreachable, {}}, now);
            erase_if_closed(id, now);
        }
    }
}

} // namespace heathermoor::pool
