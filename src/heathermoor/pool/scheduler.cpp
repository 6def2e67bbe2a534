#include "heathermoor/pool/scheduler.hpp"

#include "heathermoor/core/event.hpp"
#include "heathermoor/lease/run_bounds.hpp"
#include "heathermoor/pool/policy.hpp"
#include <algorithm>
#include <tuple>
#include <utility>

namespace heathermoor::pool {

namespace internal {

/// How long answers, and ends of runs without a known job, are kept for resubmissions.
constexpr seconds recent_answer_time{30};

/// Maximum number of answers kept; beyond it the one with the lowest job id is dropped.
constexpr std::size_t max_recent_answers = 4'096;

/// Time reserved before the caller's deadline for the answer to get back.
constexpr milliseconds answer_margin{20};

/// How long another scheduler's list of idle targets is valid.
constexpr milliseconds idle_list_time{1'000};

/// Time in which every target can report what it runs for an earlier scheduler.
constexpr milliseconds report_collection_time{250};

/// Grace period for a gateway without a confirmation before its jobs are cancelled.
/// Meanwhile nothing is started for it and no lease renewed, so the grace period does not delay the end of its runs.
constexpr milliseconds gateway_grace_time{300};

} // namespace internal

void scheduler::set_targets(const std::vector<scoped_target> &targets, std::set<target_id> known, log_offset catalog_next) {
    m_holder.set_targets(targets, std::move(known));
    for(const auto &[entry, pause]: targets) {
        const auto restored = m_restored_targets.find(entry.id);
        // Statistics of another boot are kept: the entry of that boot may not have been read yet.
        if(restored == m_restored_targets.end() || restored->second.boot != entry.boot) {
            continue;
        }
        m_speeds.restore(restored->second);
        m_restored_targets.erase(restored);
    }
    m_catalog_next = catalog_next;
    m_place_due = true;
}

run_statistics scheduler::learned() const {
    run_statistics result;
    result.queues = m_run_times.learned();
    for(const auto &[id, target]: m_holder.targets()) {
        if(auto known = m_speeds.learned(id)) {
            known->boot = target.boot.value_or(target.entry.boot);
            result.targets.push_back(std::move(*known));
        }
    }
    return result;
}

void scheduler::restore(const run_statistics &earlier) {
    for(const auto &queue: earlier.queues) {
        m_run_times.restore(queue);
    }
    m_restored_targets.clear();
    for(const auto &target: earlier.targets) {
        m_restored_targets[target.target] = target;
    }
}

void scheduler::resign() {
    m_holder.release_all();
    m_jobs.clear();
    m_queue.clear();
    m_orphans.clear();
    m_orphan_ends.clear();
    m_gateways_confirmed_until.clear();
    m_recent_answers.clear();
    m_closed.clear();
    m_overload = {};
    m_reports_due.clear();
    m_settling_until.reset();
    m_plan.reset();
    m_reserved.clear();
    m_rows.clear();
    m_book.clear();
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
    const auto past = m_recent_answers.find(work.job.id);
    if(past != m_recent_answers.end()) {
        m_answers.answer(work.from, work.job.id, past->second.answer);
        return;
    }
    open(std::move(work), now);
}

void scheduler::join(open_job &job, const submission &work, time_point now) {
    add_gateway(job, work.from);
    job.deadline = std::max(job.deadline, now + work.remaining - internal::answer_margin);
    job.ever_started = job.ever_started || work.may_have_run;
    update_queue(job, now);
    if(work.earlier_runs_end_in > duration::zero()) {
        // Another scheduler had the job in the meantime and may have started runs.
        set_earlier_runs(job, work, now);
    }
}

void scheduler::add_gateway(open_job &job, const gateway_ref &gateway) {
    const auto known = std::find_if(job.gateways.begin(), job.gateways.end(),
                                    [&gateway](const gateway_ref &one) { return one.process == gateway.process; });
    if(known == job.gateways.end()) {
        job.gateways.push_back(gateway);
    } else {
        known->session = std::max(known->session, gateway.session);
    }
}

void scheduler::set_earlier_runs(open_job &job, const submission &work, time_point now) {
    job.earlier = work.earlier;
    job.earlier_runs_end_at = std::max(job.earlier_runs_end_at, now + work.earlier_runs_end_in);
    job.earlier_starts_end_at = std::max(now, job.earlier_runs_end_at - lease::longest_unreachable_run);
    if(job.earlier_runs_end_at > now) {
        m_reports_due.insert(job.earlier_starts_end_at);
        request_due_reports(now);
    }
}

void scheduler::request_due_reports(time_point now) {
    const auto later = m_reports_due.upper_bound(now);
    if(later == m_reports_due.begin()) {
        return;
    }
    m_reports_due.erase(m_reports_due.begin(), later);
    m_holder.request_reports(now);
}

void scheduler::open(submission work, time_point now) {
    open_job job;
    job.queue = std::move(work.queue);
    job.gateways.push_back(work.from);
    job.sent_at = now - work.age;
    job.deadline = now + work.remaining - internal::answer_margin;
    job.ever_started = work.may_have_run;
    set_earlier_runs(job, work, now);
    job.job = std::move(work.job);
    for(std::uint32_t step = 0; step < job.job.steps.size(); ++step) {
        for(std::uint32_t index = 0; index < job.job.steps[step].tasks; ++index) {
            task_slot slot;
            slot.step = step;
            slot.index = index;
            job.slots.push_back(slot);
        }
    }
    const auto estimate = job.job.steps.empty() ? milliseconds{0} : job.job.steps.front().estimate;
    job.prediction = m_run_times.predict_job(job.queue.name, estimate);
    refresh_forecast(job);
    job.predicted_run_time = job.forecast.typical();
    job.size = m_sizes.add(job.queue.name, predicted_work(job));
    const auto id = job.job.id;
    auto &stored = m_jobs.insert_or_assign(id, std::move(job)).first->second;
    log_opened(stored, now);
    adopt_orphans(stored, now);
    if(const auto known = m_jobs.find(id); known != m_jobs.end()) {
        update_queue(known->second, now);
    }
    m_place_due = true;
}

void scheduler::update_other_scheduler(const host_id &host, std::set<target_id> idle, log_offset catalog_next, time_point as_of) {
    m_others[host] = {std::move(idle), catalog_next, as_of};
}

bool scheduler::has_confirmed_gateway(const open_job &job, time_point now) const {
    return std::any_of(job.gateways.begin(), job.gateways.end(), [&](const gateway_ref &gateway) { return is_confirmed(gateway, now); });
}

bool scheduler::is_confirmed(const gateway_ref &gateway, time_point now) const {
    const auto known = m_gateways_confirmed_until.find(gateway);
    return known != m_gateways_confirmed_until.end() && now < known->second;
}

bool scheduler::cannot_start_in_time(const open_job &job, time_point now) const {
    if(now >= job.earlier_runs_end_at) {
        return false;
    }
    const auto run_time = predicted_run(job);
    const bool reports_due =
        now < job.earlier_starts_end_at + internal::report_collection_time && job.earlier_starts_end_at + run_time < job.deadline;
    if(reports_due || job.earlier_runs_end_at + run_time < job.deadline || earlier_runs_ended(job, now)) {
        return false;
    }
    return std::none_of(job.slots.begin(), job.slots.end(), [](const task_slot &slot) { return slot.state == slot_state::placed; });
}

bool scheduler::earlier_runs_ended(const open_job &job, time_point now) const {
    if(now >= job.earlier_runs_end_at) {
        return true;
    }
    if(now < job.earlier_starts_end_at) {
        return false;
    }
    const auto since = reported_since(job.earlier, now);
    return since && *since >= job.earlier_starts_end_at;
}

std::optional<time_point> scheduler::reported_since(const host_id &earlier, time_point now) const {
    const auto other = m_others.find(earlier);
    if(other == m_others.end() || other->second.catalog_next > m_catalog_next) {
        return std::nullopt;
    }
    static const std::set<target_id> none;
    const bool recent = now - other->second.as_of <= internal::idle_list_time;
    return m_holder.all_reported_since(recent ? other->second.idle : none);
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
    finish_if_done(job, now);
    erase_if_closed(job.job.id, now);
}

void scheduler::cancel(const gateway_ref &from, const job_id &id, time_point now) {
    const auto found = m_jobs.find(id);
    if(found == m_jobs.end()) {
        return;
    }
    auto &job = found->second;
    const auto ends = [&from](const gateway_ref &one) { return one.process == from.process && one.session <= from.session; };
    if(job.next && ends(job.next->from)) {
        job.next.reset();
        return;
    }
    std::erase_if(job.gateways, ends);
    if(job.gateways.empty() && !job.closing) {
        ++m_counts.cancelled;
        close(job, now);
        erase_if_closed(id, now);
    }
}

void scheduler::confirm_gateway(const gateway_ref &gateway, time_point until) {
    auto &known = m_gateways_confirmed_until[gateway];
    known = std::max(known, until);
}

bool scheduler::answer_query(const gateway_ref &from, const job_id &id) {
    const auto past = m_recent_answers.find(id);
    if(past != m_recent_answers.end()) {
        m_answers.answer(from, id, past->second.answer);
        return true;
    }
    const auto known = m_jobs.find(id);
    if(known == m_jobs.end()) {
        return false;
    }
    return waits(from, known->second);
}

bool scheduler::waits(const gateway_ref &gateway, const open_job &job) {
    const bool next = job.next && job.next->from == gateway;
    return next || std::find(job.gateways.begin(), job.gateways.end(), gateway) != job.gateways.end();
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

std::vector<job_id> scheduler::unanswered_jobs() const {
    std::vector<job_id> result;
    for(const auto &[id, job]: m_jobs) {
        if(!job.closing) {
            result.push_back(id);
        }
    }
    return result;
}

void scheduler::finish(open_job &job, const job::answer &answer, time_point now) {
    log_answer(job, answer, now);
    count_outcome(job, answer, now);
    for(const auto &gateway: job.gateways) {
        m_answers.answer(gateway, job.job.id, answer);
    }
    m_counts.ended.add(answer.result);
    if(job::is_final(answer.result)) {
        if(m_recent_answers.size() >= internal::max_recent_answers) {
            m_recent_answers.erase(m_recent_answers.begin());
        }
        m_recent_answers[job.job.id] = {answer, now};
    }
    end_reservation(job, reservation::reservation_end::missed, now);
    close(job, now);
}

void scheduler::finish_if_done(open_job &job, time_point now) {
    if(std::all_of(job.slots.begin(), job.slots.end(), [](const task_slot &slot) { return slot.state == slot_state::done; })) {
        finish(job, {job::outcome::completed, errc::ok, {}}, now);
    }
}

void scheduler::close(open_job &job, time_point now) {
    job.closing = true;
    end_reservation(job, reservation::reservation_end::dropped, now);
    update_queue(job, now);
    job.gateways.clear();
    for(const auto &slot: job.slots) {
        if(slot.state == slot_state::placed) {
            m_holder.stop(slot.target, {job.job.id, slot.step, slot.index}, now);
        }
    }
}

bool scheduler::may_be_active(const task_slot &slot) noexcept {
    return slot.state == slot_state::placed || slot.state == slot_state::out_of_reach || !slot.unwanted_runs.empty();
}

void scheduler::erase_if_closed(const job_id &id, time_point now) {
    const auto found = m_jobs.find(id);
    if(found == m_jobs.end() || !found->second.closing) {
        return;
    }
    const auto &slots = found->second.slots;
    if(std::any_of(slots.begin(), slots.end(), [](const task_slot &slot) { return may_be_active(slot); })) {
        return;
    }
    const auto &job = found->second;
    const auto earlier_runs_end_at = earlier_runs_ended(job, now) ? now : job.earlier_runs_end_at;
    m_closed.push_back({id, job.ever_started, past_answer(id), earlier_runs_end_at});
    auto next = std::move(found->second.next);
    m_jobs.erase(found);
    if(next) {
        submit(std::move(*next), now);
    }
}

std::optional<job::answer> scheduler::past_answer(const job_id &id) const {
    const auto past = m_recent_answers.find(id);
    return past == m_recent_answers.end() ? std::nullopt : std::optional{past->second.answer};
}

std::vector<submission> scheduler::give_up(const job_id &id, time_point now) {
    const auto found = m_jobs.find(id);
    if(found == m_jobs.end()) {
        return {};
    }
    auto &job = found->second;
    std::vector<submission> result;
    if(job.closing) {
        if(auto next = std::exchange(job.next, std::nullopt)) {
            result.push_back(std::move(*next));
        }
        return result;
    }
    for(const auto &gateway: job.gateways) {
        submission work;
        work.job = job.job;
        work.queue = job.queue;
        work.from = gateway;
        work.age = now - job.sent_at;
        work.remaining = job.deadline + internal::answer_margin - now;
        work.earlier_runs_end_in = std::max(duration::zero(), job.earlier_runs_end_at - now);
        work.may_have_run = true;
        work.earlier = job.earlier;
        result.push_back(std::move(work));
    }
    log_event(log_level::info, "pool", "job_given_up", {{"job", id}, {"callers", result.size()}});
    close(job, now);
    erase_if_closed(id, now);
    return result;
}

void scheduler::tick(time_point now, milliseconds unix_now) {
    request_due_reports(now);
    m_holder.tick(now, unix_now);
    drop_lost_gateways(now);
    requeue_lapsed(now);
    end_overdue(now);
    stop_orphans(now);
    stop_stalled(now);
    update_settling(now);
    m_fastest = fastest_speed(now);
    end_unreachable_jobs(now);
    reorder_queue(now);
    std::erase_if(m_recent_answers, [now](const auto &item) { return now - item.second.at > internal::recent_answer_time; });
    std::erase_if(m_orphan_ends, [now](const auto &item) { return now - item.second.ended_at > internal::recent_answer_time; });
    update_reservations(now);
    m_place_due = true;
    place(now);
    refuse_overload(now);
}

void scheduler::drop_lost_gateways(time_point now) {
    std::vector<gateway_ref> lost;
    std::erase_if(m_gateways_confirmed_until, [&](const auto &item) {
        const bool silent = now >= item.second + internal::gateway_grace_time;
        if(silent) {
            lost.push_back(item.first);
        }
        return silent;
    });
    for(const auto &gateway: lost) {
        std::vector<job_id> affected;
        for(const auto &[id, job]: m_jobs) {
            if(waits(gateway, job)) {
                affected.push_back(id);
            }
        }
        if(!affected.empty()) {
            log_event(log_level::info, "pool", "entry_host_silent",
                      {{"host", gateway.process.host},
                       {"process", gateway.process.process},
                       {"session", gateway.session},
                       {"jobs", affected.size()}});
        }
        for(const auto &id: affected) {
            cancel(gateway, id, now);
        }
    }
}

void scheduler::end_overdue(time_point now) {
    std::vector<job_id> overdue;
    for(auto &[id, job]: m_jobs) {
        if(job.closing) {
            continue;
        }
        if(now >= job.deadline || cannot_start_in_time(job, now)) {
            overdue.push_back(id);
        }
    }
    for(const auto &id: overdue) {
        auto &job = m_jobs.at(id);
        if(job.ever_started) {
            finish(job, {job::outcome::unknown, now >= job.deadline ? errc::deadline_exceeded : errc::leader_lost, {}}, now);
        } else {
            finish(job, {job::outcome::refused, errc::overloaded, internal::min_retry_after}, now);
        }
        erase_if_closed(id, now);
    }
}

} // namespace heathermoor::pool
