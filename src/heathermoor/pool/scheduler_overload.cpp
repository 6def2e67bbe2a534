#include "heathermoor/core/event.hpp"
#include "heathermoor/pool/scheduler.hpp"
#include <algorithm>
#include <utility>

namespace heathermoor::pool {

namespace internal {

/// Time reserved before the caller's deadline for the answer to get back.
constexpr milliseconds withdrawn_answer_margin{20};

} // namespace internal

job_need scheduler::total_need(const open_job &job) {
    job_need need;
    for(const auto &slot: job.slots) {
        if(slot.state == slot_state::waiting) {
            const auto cpu = job.job.steps[slot.step].need.cpu_millicores;
            need.total_cpu_millicores += cpu;
            need.largest_cpu_millicores = std::max(need.largest_cpu_millicores, cpu);
        }
    }
    return need;
}

overloaded_job scheduler::describe_overload(const open_job &job, const backlog &found) {
    const auto &steps = job.job.steps;
    overloaded_job result;
    result.id = job.job.id;
    result.service = job.queue.service;
    result.need = total_need(job);
    result.gateways = job.gateways;
    result.retry_after = found.retry_after;
    result.ahead_ms = found.ahead_ms;
    result.slack_ms = found.slack_ms;
    result.refusable = found.refusable;
    result.lendable = !job.next && std::all_of(steps.begin(), steps.end(), [](const job::step &one) { return one.required_label.empty(); });
    return result;
}

std::vector<submission> scheduler::withdraw(const job_id &id, time_point now) {
    const auto found = m_jobs.find(id);
    if(found == m_jobs.end() || found->second.closing || found->second.ever_started || found->second.next ||
       !earlier_runs_ended(found->second, now)) {
        return {};
    }
    auto &job = found->second;
    if(std::any_of(job.slots.begin(), job.slots.end(), [](const task_slot &slot) { return may_be_active(slot); })) {
        return {};
    }
    std::vector<submission> result;
    for(const auto &gateway: job.gateways) {
        submission work;
        work.job = job.job;
        work.queue = job.queue;
        work.from = gateway;
        work.age = now - job.sent_at;
        work.remaining = job.deadline + internal::withdrawn_answer_margin - now;
        result.push_back(std::move(work));
    }
    close(job, now);
    erase_if_closed(id, now);
    return result;
}

void scheduler::refuse(const job_id &id, milliseconds retry_after, time_point now) {
    const auto found = m_jobs.find(id);
    if(found == m_jobs.end() || found->second.closing || found->second.ever_started) {
        return;
    }
    finish(found->second, {job::outcome::refused, errc::overloaded, retry_after}, now);
    erase_if_closed(id, now);
}

std::map<service_id, free_room> scheduler::find_free_room(time_point now) {
    std::map<service_id, free_room> result;
    for(const auto &[id, target]: m_holder.targets()) {
        if(!target.entry_applies() || target.ledger.has_foreign_run() || !usable(target, now)) {
            continue;
        }
        const auto free = target.ledger.free().cpu_millicores;
        auto &room = result[target.entry.service];
        room.cpu_millicores += free;
        room.largest_cpu_millicores = std::max(room.largest_cpu_millicores, free);
    }
    for(const auto &[position, job]: m_queue) {
        const auto room = result.find(job->queue.service);
        if(room != result.end()) {
            room->second.cpu_millicores -= total_need(*job).total_cpu_millicores;
        }
    }
    std::erase_if(result, [](const auto &item) { return item.second.cpu_millicores <= 0; });
    return result;
}

} // namespace heathermoor::pool
