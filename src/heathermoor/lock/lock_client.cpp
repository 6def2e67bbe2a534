#include "heathermoor/lock/lock_client.hpp"

#include "heathermoor/core/event.hpp"
#include "heathermoor/lease/run_bounds.hpp"
#include <algorithm>
#include <utility>

namespace heathermoor::lock {

namespace internal {

/// Longest time for which a job waits for a home that does not answer.
constexpr milliseconds lock_timeout{100};

/// Interval at which a request without a reply is repeated.
constexpr milliseconds retry_interval{25};

/// Interval at which a home is asked again that has said that another cell has the lock.
constexpr milliseconds held_retry_interval{100};

/// Interval at which a home that does not answer is asked again.
constexpr milliseconds slow_retry_interval{300};

/// Time since the last message to a home after which its silence counts no longer.
constexpr milliseconds silence_validity{1'000};

[[nodiscard]] duration left(duration time, duration waited) {
    return std::max(duration::zero(), time - waited);
}

} // namespace internal

bool lock_client::is_silent(const host_id &host, time_point now) const {
    const auto found = m_health.find(host);
    if(found == m_health.end() || !found->second.unanswered_since) {
        return false;
    }
    return now - *found->second.unanswered_since >= internal::lock_timeout && now - found->second.sent_at < internal::silence_validity;
}

void lock_client::submit(pool::submission work, time_point now) {
    const auto id = work.job.id;
    auto &job = m_jobs[id];
    const auto runs_end_in = std::max<duration>(work.remaining + lease::longest_unreachable_run, work.earlier_runs_end_in);
    job.needed_until = std::max(job.needed_until, now + runs_end_in);
    job.strict_until = std::max(job.strict_until, now + work.lock_wait);
    if(job.scheduled && job.answer) {
        // It is being given up, or its lock is not free yet.
        m_ended.push_back({work.from, id, *job.answer});
        return;
    }
    if(job.release_at) {
        job.runs_end_floor = *job.release_at;
        job.may_have_run = job.may_have_run || job.release.may_have_run;
        job.release_at.reset();
    }
    if(job.scheduled) {
        m_ready.push_back(std::move(work));
        return;
    }
    job.waiting.push_back({std::move(work), now});
    add_homes(id, job, now);
    ask(id, job, now);
    schedule_if_locked(id, job, now);
}

void lock_client::add_homes(const job_id &id, locked_job &job, time_point now) {
    for(const auto &home: m_homes.of(id, now)) {
        const auto known = std::any_of(job.homes.begin(), job.homes.end(), [&home](const home_lock &one) { return one.home == home; });
        if(!known) {
            home_lock added;
            added.home = home;
            added.waited_since = now;
            job.homes.push_back(std::move(added));
        }
    }
    std::sort(job.homes.begin(), job.homes.end(), [](const home_lock &left, const home_lock &right) { return left.home < right.home; });
}

void lock_client::ask(const job_id &id, locked_job &job, time_point now) {
    for(auto &lock: job.homes) {
        if(lock.state == request_state::granted) {
            continue;
        }
        auto interval = internal::retry_interval;
        if(is_silent(lock.asked, now)) {
            interval = internal::slow_retry_interval;
        } else if(now < lock.held_until) {
            interval = internal::held_retry_interval;
        }
        if(lock.state == request_state::unasked || now - lock.asked_at >= interval) {
            ask_home(id, job, lock, now);
        }
        if(!job.scheduled && blocks(job, lock, now)) {
            // Homes are asked in the same order everywhere, so that two cells do not wait for each other.
            return;
        }
    }
}

void lock_client::ask_home(const job_id &id, const locked_job &job, home_lock &lock, time_point now) {
    const auto leader = m_leaders.find(lock.home);
    if(leader == m_leaders.end()) {
        return;
    }
    if(lock.state == request_state::unasked) {
        lock.state = request_state::asked;
        lock.waited_since = now;
    }
    lock.asked = leader->second.host;
    lock.asked_at = now;
    m_outgoing[lock.asked].acquires.push_back({id, internal::left(job.needed_until - now, duration::zero()), job.scheduled});
}

bool lock_client::blocks(const locked_job &job, const home_lock &lock, time_point now) const {
    if(lock.state == request_state::granted) {
        return false;
    }
    if(now < lock.held_until || now < job.strict_until) {
        return true;
    }
    if(lock.state == request_state::unasked) {
        const auto since = m_leaderless_since.find(lock.home);
        return since != m_leaderless_since.end() && now - since->second < internal::lock_timeout;
    }
    return !is_silent(lock.asked, now) && now - lock.waited_since < internal::lock_timeout;
}

void lock_client::schedule_if_locked(const job_id &id, locked_job &job, time_point now) {
    if(job.scheduled || job.waiting.empty()) {
        return;
    }
    if(std::any_of(job.homes.begin(), job.homes.end(), [&](const home_lock &lock) { return blocks(job, lock, now); })) {
        return;
    }
    const auto missing =
        std::find_if(job.homes.begin(), job.homes.end(), [](const home_lock &lock) { return lock.state != request_state::granted; });
    if(missing != job.homes.end()) {
        ++m_counts.missing;
        log_event(log_level::info, "lock", "lock_missing",
                  {{"job", id},
                   {"home", missing->home.domain},
                   {"index", missing->home.index},
                   {"asked", missing->asked},
                   {"waited_ms", now - job.waiting.front().arrived}});
    }
    job.scheduled = true;
    for(auto &[work, arrived]: job.waiting) {
        const auto waited = now - arrived;
        work.age += waited;
        work.remaining = internal::left(work.remaining, waited);
        work.earlier_runs_end_in = internal::left(work.earlier_runs_end_in, waited);
        work.may_have_run = work.may_have_run || job.may_have_run;
        m_ready.push_back(std::move(work));
    }
    job.waiting.clear();
}

bool lock_client::scheduled(const job_id &id) const {
    const auto found = m_jobs.find(id);
    return found != m_jobs.end() && found->second.scheduled;
}

void lock_client::hold_back(const job_id &id, std::vector<pool::submission> submissions, time_point now) {
    const auto found = m_jobs.find(id);
    if(found == m_jobs.end() || found->second.release_at) {
        return;
    }
    auto &job = found->second;
    ++m_counts.taken_back;
    job.scheduled = false;
    for(auto &work: submissions) {
        job.waiting.push_back({std::move(work), now});
    }
    if(job.answer) {
        answer_waiting(id, job);
    }
    erase_if_unused(id);
}

void lock_client::cancel(const pool::gateway_ref &from, const job_id &id) {
    const auto found = m_jobs.find(id);
    if(found == m_jobs.end()) {
        return;
    }
    std::erase_if(found->second.waiting,
                  [&from](const held_back &one) { return one.work.from.process == from.process && one.work.from.session <= from.session; });
    erase_if_unused(id);
}

void lock_client::end(const job_id &id, const job::answer &answer) {
    const auto found = m_jobs.find(id);
    if(found == m_jobs.end()) {
        return;
    }
    auto &job = found->second;
    job.answer = answer;
    if(!job.scheduled) {
        answer_waiting(id, job);
        erase_if_unused(id);
    } else if(!job.release_at) {
        m_conflicts.push_back(id);
    }
}

bool lock_client::waits(const pool::gateway_ref &from, const job_id &id) const {
    const auto found = m_jobs.find(id);
    return found != m_jobs.end() && std::any_of(found->second.waiting.begin(), found->second.waiting.end(),
                                                [&from](const held_back &one) { return one.work.from == from; });
}

void lock_client::erase_if_unused(const job_id &id) {
    const auto found = m_jobs.find(id);
    if(found == m_jobs.end() || found->second.scheduled || !found->second.waiting.empty()) {
        return;
    }
    release({id, false, {}}, found->second);
    m_jobs.erase(found);
}

void lock_client::closed(const release_request &request, time_point runs_end_at, time_point now) {
    const auto found = m_jobs.find(request.id);
    if(found == m_jobs.end() || !found->second.scheduled) {
        return;
    }
    auto &job = found->second;
    job.release = request;
    job.release.may_have_run = request.may_have_run || job.may_have_run;
    const auto end = std::max(runs_end_at, job.runs_end_floor);
    if(now < end && !request.answer) {
        job.release_at = end;
        job.needed_until = std::max(job.needed_until, end);
        return;
    }
    release(job.release, job);
    m_jobs.erase(found);
}

void lock_client::release_due(time_point now) {
    std::erase_if(m_jobs, [&](const auto &item) {
        const auto &job = item.second;
        const bool due = job.release_at && now >= *job.release_at;
        if(due) {
            release(job.release, job);
        }
        return due;
    });
}

void lock_client::release(const release_request &request, const locked_job &job) {
    for(const auto &lock: job.homes) {
        if(lock.state != request_state::unasked) {
            m_outgoing[lock.asked].releases.push_back(request);
        }
    }
}

void lock_client::heard(const host_id &host) {
    const auto found = m_health.find(host);
    if(found != m_health.end()) {
        found->second.unanswered_since.reset();
    }
}

void lock_client::answered(const host_id &from, const lock_reply &reply, time_point now) {
    heard(from);
    const auto found = m_jobs.find(reply.id);
    if(found == m_jobs.end()) {
        if(reply.state == lock_state::granted) {
            m_outgoing[from].releases.push_back({reply.id, false, {}});
        }
        return;
    }
    auto &job = found->second;
    bool was_asked = false;
    for(auto &lock: job.homes) {
        if(lock.asked == from && lock.state != request_state::unasked) {
            take_reply(lock, reply.state, now);
            was_asked = true;
        }
    }
    if(!was_asked) {
        // An earlier leader of the home; the job asks the present one.
        if(reply.state == lock_state::granted) {
            m_outgoing[from].releases.push_back({reply.id, false, {}});
        }
        return;
    }
    job.may_have_run = job.may_have_run || reply.may_have_run;
    if(reply.state == lock_state::ended) {
        job.answer = reply.answer;
    }
    const bool elsewhere = reply.state == lock_state::held || reply.state == lock_state::ended;
    if(job.scheduled) {
        if(elsewhere && !job.release_at) {
            m_conflicts.push_back(reply.id);
        }
        return;
    }
    if(job.answer) {
        answer_waiting(reply.id, job);
        erase_if_unused(reply.id);
        return;
    }
    if(reply.state == lock_state::held && !std::exchange(job.has_waited, true)) {
        ++m_counts.waited;
        log_event(log_level::info, "lock", "lock_held_elsewhere", {{"job", reply.id}, {"home", from}});
    }
    ask(reply.id, job, now);
    schedule_if_locked(reply.id, job, now);
}

void lock_client::take_reply(home_lock &lock, lock_state state, time_point now) {
    switch(state) {
    case lock_state::granted:
        lock.state = request_state::granted;
        lock.held_until = {};
        break;
    case lock_state::held:
        lock.state = request_state::asked;
        lock.held_until = now + holder_silence_limit;
        break;
    case lock_state::undecided:
        lock.state = request_state::asked;
        lock.waited_since = now;
        break;
    case lock_state::ended:
        lock.state = request_state::asked;
        break;
    }
}

void lock_client::answer_waiting(const job_id &id, locked_job &job) {
    for(const auto &one: job.waiting) {
        ++m_counts.answered;
        m_ended.push_back({one.work.from, id, *job.answer});
    }
    job.waiting.clear();
}

void lock_client::set_cells(const std::vector<cell::cell_id> &cells, time_point now) {
    m_homes.set_cells(cells, now);
    for(const auto &cell: cells) {
        if(!m_leaders.contains(cell)) {
            m_leaderless_since.try_emplace(cell, now);
        }
    }
    for(auto &[id, job]: m_jobs) {
        add_homes(id, job, now);
        ask(id, job, now);
    }
}

void lock_client::set_leader(const cell::cell_id &cell, const std::optional<gateway::leader_ref> &leader, time_point now) {
    if(!leader) {
        m_leaders.erase(cell);
        m_leaderless_since.try_emplace(cell, now);
        return;
    }
    const auto known = m_leaders.find(cell);
    if(known != m_leaders.end() && known->second == *leader) {
        return;
    }
    m_leaders.insert_or_assign(cell, *leader);
    m_leaderless_since.erase(cell);
    for(auto &[id, job]: m_jobs) {
        for(auto &lock: job.homes) {
            if(lock.home == cell) {
                lock.state = request_state::unasked;
                lock.asked = {};
            }
        }
        ask(id, job, now);
    }
}

std::optional<gateway::leader_ref> lock_client::leader_of(const cell::cell_id &cell) const {
    const auto found = m_leaders.find(cell);
    return found == m_leaders.end() ? std::nullopt : std::optional{found->second};
}

bool lock_client::answers(const cell::cell_id &cell, time_point now) const {
    const auto leader = m_leaders.find(cell);
    return leader != m_leaders.end() && !is_silent(leader->second.host, now);
}

std::vector<cell::cell_id> lock_client::cells_without_answer(time_point now) const {
    std::vector<cell::cell_id> result;
    for(const auto &cell: m_homes.cells()) {
        if(!answers(cell, now)) {
            result.push_back(cell);
        }
    }
    return result;
}

void lock_client::drop_expired(locked_job &job, time_point now) {
    std::erase_if(job.waiting, [now](const held_back &one) { return now - one.arrived >= one.work.remaining; });
}

void lock_client::tick(time_point now) {
    release_due(now);
    std::vector<job_id> unused;
    for(auto &[id, job]: m_jobs) {
        ask(id, job, now);
        drop_expired(job, now);
        schedule_if_locked(id, job, now);
        if(!job.scheduled && job.waiting.empty()) {
            unused.push_back(id);
        }
    }
    for(const auto &id: unused) {
        erase_if_unused(id);
    }
    for(const auto &[host, health]: m_health) {
        // A list without locks makes up for a lost release.
        if(now - health.listed_at >= keepalive_interval && now - health.used_at < holder_silence_limit) {
            list_locks(host, now);
        }
    }
}

void lock_client::list_locks(const host_id &host, time_point now) {
    lock_batch list;
    list.complete = true;
    for(const auto &[id, job]: m_jobs) {
        const auto asked_there = [&host](const home_lock &lock) { return lock.asked == host && lock.state != request_state::unasked; };
        if(std::any_of(job.homes.begin(), job.homes.end(), asked_there)) {
            const auto floor = job.scheduled ? duration{lease::longest_unreachable_run} : duration::zero();
            list.acquires.push_back({id, std::max(job.needed_until - now, floor), job.scheduled});
        }
    }
    auto &batch = m_outgoing[host];
    list.releases = std::move(batch.releases);
    batch = std::move(list);
}

void lock_client::clear() {
    m_jobs.clear();
    m_outgoing.clear();
    m_ready.clear();
    m_ended.clear();
    m_conflicts.clear();
    m_health.clear();
}

std::map<host_id, lock_batch> lock_client::take_requests(bool all, time_point now) {
    std::map<host_id, lock_batch> result;
    for(auto item = m_outgoing.begin(); item != m_outgoing.end();) {
        const auto &releases = item->second.releases;
        const bool urgent = !item->second.acquires.empty() ||
                            std::any_of(releases.begin(), releases.end(), [](const release_request &one) { return !one.answer; });
        if(!all && !urgent) {
            ++item;
            continue;
        }
        auto &health = m_health[item->first];
        if(now - health.sent_at >= internal::silence_validity) {
            health.unanswered_since.reset();
        }
        health.sent_at = now;
        if(!item->second.acquires.empty() || !releases.empty()) {
            health.used_at = now;
        }
        if(!item->second.acquires.empty() && !health.unanswered_since) {
            health.unanswered_since = now;
        }
        if(item->second.complete) {
            health.listed_at = now;
        }
        result.insert(m_outgoing.extract(item++));
    }
    return result;
}

} // namespace heathermoor::lock
