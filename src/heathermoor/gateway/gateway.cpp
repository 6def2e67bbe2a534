#include "heathermoor/gateway/gateway.hpp"

#include "heathermoor/core/event.hpp"
#include "heathermoor/lease/run_bounds.hpp"
#include <algorithm>

namespace heathermoor::gateway {

namespace internal {

/// Time without an answer after which the scheduler is queried about a job, and between queries.
constexpr milliseconds query_interval{300};

/// Longest wait for a new leader; covers failure detection and election.
constexpr milliseconds leaderless_timeout{900};

/// Time for which the answer of an ended job is kept, so that a resubmission gets the same answer.
constexpr seconds answer_retention{30};

/// Retry-after value of jobs that the gateway itself ends.
constexpr milliseconds retry_after{1'000};

} // namespace internal

void gateway::submit(request_token request, job::definition job, const job::queue_policy &queue, duration limit, time_point now) {
    ++m_counts.submitted;
    const auto id = job.id;
    const auto ended = m_ended.find(id);
    if(ended != m_ended.end()) {
        m_callers.reply(request, id, ended->second.answer);
        return;
    }
    if(m_closed) {
        m_callers.reply(request, id, {job::outcome::refused, errc::draining, internal::retry_after});
        return;
    }
    m_requests[request] = id;
    const auto known = m_jobs.find(id);
    if(known != m_jobs.end()) {
        known->second.requests.push_back(request);
        known->second.deadline = std::max(known->second.deadline, now + limit);
        return;
    }
    open_job entry;
    entry.job = std::move(job);
    entry.queue = queue;
    entry.requests.push_back(request);
    entry.arrived = now;
    entry.deadline = now + limit;
    entry.earlier_runs_end_at = now;
    auto &stored = m_jobs.emplace(id, std::move(entry)).first->second;
    if(m_leader) {
        submit_to_leader(stored, now);
    }
}

void gateway::submit_to_leader(open_job &job, time_point now) {
    if(!job.several_previous_leaders && job.previous_leader == m_leader) {
        // The leader knows all runs that were started for the job: its own.
        job.previous_leader.reset();
        job.earlier_runs_end_at = now;
    }
    pool::submission work;
    work.may_have_run = job.ever_submitted;
    job.resubmitted = job.ever_submitted;
    job.submitted = true;
    job.ever_submitted = true;
    job.last_query_at = now;
    work.job = job.job;
    work.queue = job.queue;
    work.from = self();
    work.age = now - job.arrived;
    work.remaining = job.deadline - now;
    work.earlier_runs_end_in = std::max(duration::zero(), job.earlier_runs_end_at - now);
    log_event(job.earlier_runs_end_at > now ? log_level::info : log_level::debug, "gateway", "job_handed",
              {{"job", job.job.id}, {"leader", m_leader->host}, {"term", m_leader->term}, {"clear_in_ms", work.earlier_runs_end_in}});
    work.earlier = job.several_previous_leaders || !job.previous_leader ? host_id{} : job.previous_leader->host;
    m_schedulers.submit(*m_leader, std::move(work));
}

void gateway::abandon(request_token request, time_point now) {
    const auto found = m_requests.find(request);
    if(found == m_requests.end()) {
        return;
    }
    const auto id = found->second;
    m_requests.erase(found);
    const auto entry = m_jobs.find(id);
    if(entry == m_jobs.end()) {
        return;
    }
    std::erase(entry->second.requests, request);
    if(entry->second.requests.empty()) {
        ++m_counts.abandoned;
        if(m_leader && entry->second.ever_submitted) {
            m_schedulers.cancel(*m_leader, id);
        }
        m_jobs.erase(entry);
    }
    (void)now;
}

bool gateway::cancel(const job_id &id, time_point now) {
    const auto entry = m_jobs.find(id);
    if(entry == m_jobs.end()) {
        return false;
    }
    if(m_leader && entry->second.ever_submitted) {
        m_schedulers.cancel(*m_leader, id);
    }
    end(id, {job::outcome::failed, errc::cancelled, {}}, now);
    return true;
}

void gateway::answered(const answer_origin &from, const job_id &id, const job::answer &answer, time_point now) {
    const auto entry = m_jobs.find(id);
    if(entry == m_jobs.end()) {
        return;
    }
    const bool final = job::is_final(answer.result);
    const bool current = is_current(from);
    if(!final && !current) {
        return;
    }
    if(!current && m_leader && entry->second.submitted) {
        // Otherwise the present leader would not learn that the job has ended, and run it again.
        m_schedulers.cancel(*m_leader, id);
    }
    const bool uncertain = answer.result == job::outcome::refused && entry->second.resubmitted;
    end(id, uncertain ? job::answer{job::outcome::unknown, errc::leader_lost, {}} : answer, now);
}

void gateway::not_known(const answer_origin &from, const job_id &id, time_point now) {
    const auto entry = m_jobs.find(id);
    if(entry != m_jobs.end() && is_current(from)) {
        submit_to_leader(entry->second, now);
    }
}

bool gateway::note_lending(const answer_origin &from, const job_id &id) {
    const auto entry = m_jobs.find(id);
    if(entry == m_jobs.end() || !is_current(from)) {
        return false;
    }
    entry->second.may_be_lent = true;
    return true;
}

void gateway::set_leader(const std::optional<leader_ref> &leader, time_point earlier_starts_end_at, time_point now) {
    if(leader == m_leader) {
        return;
    }
    if(m_leader) {
        m_leaderless_since = now;
        for(auto &[id, job]: m_jobs) {
            if(job.submitted) {
                job.submitted = false;
                job.several_previous_leaders = job.several_previous_leaders || job.previous_leader.has_value();
                job.previous_leader = m_leader;
                job.earlier_runs_end_at = std::max(job.earlier_runs_end_at, earlier_starts_end_at + lease::longest_unreachable_run);
                if(job.may_be_lent) {
                    // Reports of the next leader's targets do not show that it has ended.
                    job.several_previous_leaders = true;
                    job.earlier_runs_end_at = std::max(job.earlier_runs_end_at, now + lease::longest_lent_run_without_gateway);
                }
            }
        }
    }
    m_leader = leader;
    m_session = gateway_session{raw(m_session) + 1};
    if(!m_leader) {
        return;
    }
    for(auto &[id, job]: m_jobs) {
        m_counts.handed_over += job.ever_submitted ? 1 : 0;
        submit_to_leader(job, now);
    }
}

void gateway::end(const job_id &id, const job::answer &answer, time_point now) {
    const auto entry = m_jobs.find(id);
    const auto requests = std::move(entry->second.requests);
    m_jobs.erase(entry);
    m_counts.ended.add(answer.result);
    const bool completed = answer.result == job::outcome::completed;
    log_event(completed ? log_level::debug : log_level::info, "gateway", "job_ended",
              {{"job", id}, {"outcome", job::name_of(answer.result)}, {"reason", code_name(answer.reason)}, {"callers", requests.size()}});
    if(job::is_final(answer.result)) {
        m_ended[id] = {answer, now};
    }
    for(const auto request: requests) {
        m_requests.erase(request);
        m_callers.reply(request, id, answer);
    }
}

std::optional<job::answer> gateway::past(const job_id &id) const {
    const auto found = m_ended.find(id);
    return found == m_ended.end() ? std::nullopt : std::optional{found->second.answer};
}

void gateway::give_up(const job_id &id, errc reason, time_point now) {
    const auto &job = m_jobs.at(id);
    const auto result = job.ever_submitted ? job::outcome::unknown : job::outcome::refused;
    if(m_leader && job.ever_submitted) {
        m_schedulers.cancel(*m_leader, id);
    }
    end(id, {result, reason, internal::retry_after}, now);
}

void gateway::end_all(time_point now) {
    m_closed = true;
    std::vector<job_id> open;
    for(const auto &[id, job]: m_jobs) {
        open.push_back(id);
    }
    for(const auto &id: open) {
        give_up(id, errc::draining, now);
    }
}

void gateway::tick(time_point now) {
    std::vector<job_id> overdue;
    std::vector<job_id> unanswered;
    const bool leaderless = !m_leader && now - m_leaderless_since > internal::leaderless_timeout;
    for(auto &[id, job]: m_jobs) {
        if(now >= job.deadline || (leaderless && !job.submitted)) {
            overdue.push_back(id);
        } else if(m_leader && now - job.last_query_at >= internal::query_interval) {
            job.last_query_at = now;
            unanswered.push_back(id);
        }
    }
    for(const auto &id: overdue) {
        give_up(id, now >= m_jobs.at(id).deadline ? errc::deadline_exceeded : errc::no_leader, now);
    }
    if(!unanswered.empty()) {
        m_schedulers.query(*m_leader, unanswered);
    }
    std::erase_if(m_ended, [now](const auto &item) { return now - item.second.at > internal::answer_retention; });
}

} // namespace heathermoor::gateway
