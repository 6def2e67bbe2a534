#include "heathermoor/gateway/gateway.hpp"

#include "heathermoor/core/event.hpp"
#include <algorithm>

namespace heathermoor::gateway {

namespace internal {

/// Time after the last heartbeat to a scheduler in which runs that it ordered
/// may still be at work: its patience with a silent entry host, the lease of a
/// target it cannot reach, the clock's slowness and the end of the run.
constexpr milliseconds horizon{450 + 765 + 60};

/// Time after which a job without an answer is asked for, and between such questions.
constexpr milliseconds query_interval{300};

/// Longest wait for a new scheduler; covers its detection and choice.
constexpr milliseconds leaderless_patience{900};

/// Time for which the answer of an ended job is kept for a resubmission.
constexpr seconds past_time{30};

/// Retry time given while no host schedules the pool.
constexpr milliseconds leaderless_retry{1'000};

} // namespace internal

void gateway::submit(request_token request, job::definition job, const job::queue_policy &queue, duration limit, time_point now) {
    ++m_counts.submitted;
    const auto id = job.id;
    const auto past = m_past.find(id);
    if(past != m_past.end()) {
        m_callers.reply(request, id, past->second.answer);
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
        hand(stored, now);
    }
}

void gateway::hand(open_job &job, time_point now) {
    pool::submission work;
    work.may_have_run = job.ever_handed;
    job.handed_again = job.ever_handed;
    job.handed = true;
    job.ever_handed = true;
    job.asked_at = now;
    work.job = job.job;
    work.queue = job.queue;
    work.from = m_self;
    work.age = now - job.arrived;
    work.remaining = job.deadline - now;
    work.earlier_runs_end_in = std::max(duration::zero(), job.earlier_runs_end_at - now);
    log_event(job.earlier_runs_end_at > now ? log_level::info : log_level::debug, "gateway", "job_handed",
              {{"job", job.job.id}, {"leader", m_leader->host}, {"term", m_leader->term}, {"clear_in_ms", work.earlier_runs_end_in}});
    work.earlier = job.several_leaders ? host_id{} : job.earlier;
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
        if(m_leader && entry->second.ever_handed) {
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
    if(m_leader && entry->second.ever_handed) {
        m_schedulers.cancel(*m_leader, id);
    }
    end(id, {job::outcome::failed, errc::cancelled, {}}, now);
    return true;
}

void gateway::answered(const leader_ref &from, const job_id &id, const job::answer &answer, time_point now) {
    const auto entry = m_jobs.find(id);
    if(entry == m_jobs.end()) {
        return;
    }
    const bool final = job::is_final(answer.result);
    const bool current = m_leader && *m_leader == from;
    if(!final && !current) {
        return;
    }
    const bool untold = answer.result == job::outcome::refused && entry->second.handed_again;
    end(id, untold ? job::answer{job::outcome::unknown, errc::leader_lost, {}} : answer, now);
}

void gateway::not_known(const leader_ref &from, const job_id &id, time_point now) {
    const auto entry = m_jobs.find(id);
    if(entry != m_jobs.end() && m_leader && *m_leader == from) {
        hand(entry->second, now);
    }
}

void gateway::set_leader(const std::optional<leader_ref> &leader, time_point now) {
    if(leader == m_leader) {
        return;
    }
    if(m_leader) {
        m_leaderless_since = now;
        for(auto &[id, job]: m_jobs) {
            if(job.handed) {
                job.handed = false;
                job.several_leaders = job.several_leaders || !job.earlier.empty();
                job.earlier = m_leader->host;
                job.earlier_runs_end_at = now + internal::horizon;
            }
        }
    }
    m_leader = leader;
    if(!m_leader) {
        return;
    }
    for(auto &[id, job]: m_jobs) {
        m_counts.handed_over += job.ever_handed ? 1 : 0;
        hand(job, now);
    }
}

void gateway::end(const job_id &id, const job::answer &answer, time_point now) {
    const auto entry = m_jobs.find(id);
    const auto requests = std::move(entry->second.requests);
    m_jobs.erase(entry);
    m_counts.ended.add(answer.result);
    const bool whole = answer.result == job::outcome::completed;
    log_event(whole ? log_level::debug : log_level::info, "gateway", "job_ended",
              {{"job", id}, {"outcome", job::name_of(answer.result)}, {"reason", code_name(answer.reason)}, {"callers", requests.size()}});
    if(job::is_final(answer.result)) {
        m_past[id] = {answer, now};
    }
    for(const auto request: requests) {
        m_requests.erase(request);
        m_callers.reply(request, id, answer);
    }
}

std::optional<job::answer> gateway::past(const job_id &id) const {
    const auto found = m_past.find(id);
    return found == m_past.end() ? std::nullopt : std::optional{found->second.answer};
}

void gateway::tick(time_point now) {
    std::vector<job_id> overdue;
    std::vector<job_id> silent;
    const bool leaderless = !m_leader && now - m_leaderless_since > internal::leaderless_patience;
    for(auto &[id, job]: m_jobs) {
        if(now >= job.deadline || (leaderless && !job.handed)) {
            overdue.push_back(id);
        } else if(m_leader && now - job.asked_at >= internal::query_interval) {
            job.asked_at = now;
            silent.push_back(id);
        }
    }
    for(const auto &id: overdue) {
        const auto &job = m_jobs.at(id);
        const auto reason = now >= job.deadline ? errc::deadline_exceeded : errc::no_leader;
        const auto result = job.ever_handed ? job::outcome::unknown : job::outcome::refused;
        if(m_leader && job.ever_handed) {
            m_schedulers.cancel(*m_leader, id);
        }
        end(id, {result, reason, internal::leaderless_retry}, now);
    }
    if(!silent.empty()) {
        m_schedulers.query(*m_leader, silent);
    }
    std::erase_if(m_past, [now](const auto &item) { return now - item.second.at > internal::past_time; });
}

} // namespace heathermoor::gateway
