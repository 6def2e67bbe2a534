#include "heathermoor/submission/owner_table.hpp"

#include <algorithm>

namespace heathermoor::submission {

namespace internal {

/// Estimated bookkeeping per entry and per task, in bytes, beyond the texts counted below.
constexpr std::size_t entry_overhead = 512;
constexpr std::size_t task_overhead = 128;
/// Retry delay suggested to clients whose job was dropped because its id could not be recorded or the lease was lost.
constexpr milliseconds record_retry{500};

[[nodiscard]] std::size_t size_of(const job_spec &spec) noexcept {
    // Customer and id are held twice: in the specification and in the map key.
    std::size_t bytes = entry_overhead + 2 * (spec.id.str().size() + spec.customer.str().size());
    for(const auto &task: spec.tasks) {
        bytes += task_overhead + task.body.size();
    }
    return bytes;
}

[[nodiscard]] std::size_t size_of(const outcome &result) noexcept {
    std::size_t bytes{};
    for(const auto &body: result.results) {
        bytes += sizeof(std::string) + body.size();
    }
    return bytes;
}

[[nodiscard]] outcome unknown_outcome(errc code, milliseconds retry_after = {}) {
    return {outcome_kind::unknown, code, {}, retry_after};
}

} // namespace internal

owner_table::owner_table(owner_table_settings settings, std::uint64_t first_handle) : m_settings{settings}, m_next_handle{first_handle} {}

std::string owner_table::key_text(const customer_id &customer, const submission_id &id) {
    return customer.str() + '\n' + id.str();
}

owner_table::entry *owner_table::find_entry(const customer_id &customer, const submission_id &id) {
    const auto found = m_entries.find(key_text(customer, id));
    return found == m_entries.end() ? nullptr : found->second.get();
}

owner_table::entry *owner_table::find_job(job_handle job) const {
    const auto found = m_jobs.find(raw(job));
    return found == m_jobs.end() ? nullptr : found->second;
}

const job_spec *owner_table::find(job_handle job) const {
    const auto *found = find_job(job);
    return found == nullptr ? nullptr : &found->spec;
}

time_point owner_table::deadline(job_handle job) const {
    const auto *found = find_job(job);
    return found == nullptr ? time_point{} : found->deadline;
}

const parsed_id *owner_table::parsed(job_handle job) const {
    const auto *found = find_job(job);
    return found == nullptr ? nullptr : &found->parsed;
}

void owner_table::add_timer(entry &job, time_point at) {
    m_timers.erase({job.timer_at, raw(job.handle)});
    job.timer_at = at;
    m_timers.emplace(at, raw(job.handle));
}

void owner_table::bar_key(std::uint64_t key, errc code, time_point now) {
    if(m_barred.emplace(key, code).second) {
        m_barred_order.emplace_back(now, key);
    }
}

void owner_table::mark_may_have_run(std::uint64_t key, time_point now) {
    bar_key(key, errc::outcome_lost, now);
}

void owner_table::join(entry &job, std::uint64_t digest, const waiter &to, owner_effects &effects) const {
    if(digest != job.spec.digest) {
        effects.answers.push_back({to, internal::unknown_outcome(errc::submission_conflict), false});
    } else if(job.state == job_state::finished) {
        effects.answers.push_back({to, job.result, false});
    } else if(std::find(job.waiters.begin(), job.waiters.end(), to) == job.waiters.end()) {
        job.waiters.push_back(to);
    }
}

owner_table::entry &owner_table::add_entry(job_spec spec, parsed_id parsed, std::uint64_t key, time_point now) {
    auto created = std::make_unique<entry>();
    auto &job = *created;
    job.bytes = internal::size_of(spec);
    job.spec = std::move(spec);
    job.parsed = std::move(parsed);
    job.key = key;
    job.handle = static_cast<job_handle>(m_next_handle++);
    job.changed = now;
    m_bytes += job.bytes;
    m_entries.emplace(key_text(job.spec.customer, job.spec.id), std::move(created));
    return job;
}

void owner_table::submit(job_spec spec, const admission &conditions, const waiter &to, time_point now, owner_effects &effects) {
    if(auto *known = find_entry(spec.customer, spec.id); known != nullptr) {
        if(spec.refusal != errc::ok) {
            effects.answers.push_back({to, internal::unknown_outcome(spec.refusal), false});
        } else {
            join(*known, spec.digest, to, effects);
        }
        return;
    }
    const auto key = submission_key(spec.customer.str(), spec.id.str());
    if(const auto barred = m_barred.find(key); barred != m_barred.end()) {
        effects.answers.push_back({to, internal::unknown_outcome(barred->second), false});
        return;
    }
    if(conditions.expired || conditions.may_have_run) {
        const auto code = conditions.expired ? errc::submission_expired : errc::outcome_lost;
        effects.answers.push_back({to, internal::unknown_outcome(code), false});
        return;
    }
    if(m_bytes + internal::size_of(spec) > m_settings.max_bytes) {
        effects.answers.push_back({to, internal::unknown_outcome(errc::table_full, conditions.retry_after), false});
        return;
    }
    const auto refusal = spec.refusal != errc::ok ? spec.refusal : conditions.refusal;
    const auto deadline = now + spec.deadline;
    auto &job = add_entry(std::move(spec), conditions.parsed, key, now);
    job.deadline = deadline;
    job.waiters.push_back(to);
    job.tasks.resize(job.spec.tasks.size());
    job.unfinished_tasks = job.tasks.size();
    ++m_running;
    m_jobs.emplace(raw(job.handle), &job);
    job.refusal = refusal;
    job.retry_after = conditions.retry_after;
    add_timer(job, deadline);
    if(conditions.record == record_rule::none) {
        proceed(job, now, effects);
    } else {
        effects.records.push_back({job.handle, key, job.parsed.partition});
    }
}

void owner_table::proceed(entry &job, time_point now, owner_effects &effects) {
    if(job.refusal != errc::ok) {
        finish(job, {outcome_kind::not_run, job.refusal, {}, job.retry_after}, now, effects);
    } else {
        start(job, effects);
    }
}

void owner_table::forget(entry &job, errc code, owner_effects &effects) {
    for(auto &to: job.waiters) {
        effects.answers.push_back({std::move(to), internal::unknown_outcome(code, internal::record_retry), false});
    }
    m_timers.erase({job.timer_at, raw(job.handle)});
    m_jobs.erase(raw(job.handle));
    m_bytes -= job.bytes;
    --m_running;
    m_entries.erase(key_text(job.spec.customer, job.spec.id));
}

void owner_table::start(entry &job, owner_effects &effects) {
    job.state = job_state::running;
    for(std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        effects.placements.push_back({job.handle, index, 0, {}});
    }
}

void owner_table::recorded(job_handle handle, bool allowed, time_point now, owner_effects &effects) {
    auto *job = find_job(handle);
    if(job == nullptr || job->state != job_state::recording) {
        return;
    }
    if(allowed) {
        proceed(*job, now, effects);
    } else {
        forget(*job, errc::owner_unavailable, effects);
    }
}

void owner_table::record_failed(job_handle handle, owner_effects &effects) {
    auto *job = find_job(handle);
    if(job != nullptr && job->state == job_state::recording) {
        forget(*job, errc::record_unavailable, effects);
    }
}

void owner_table::placed(const placement_request &request, const host_id &host, errc code, time_point now, owner_effects &effects) {
    auto *job = find_job(request.job);
    if(job == nullptr || request.index >= job->tasks.size()) {
        return;
    }
    auto &task = job->tasks[request.index];
    if(task.state != task_state::waiting || task.attempt != request.attempt) {
        return;
    }
    if(host.empty()) {
        task.state = task_state::not_started;
        --job->unfinished_tasks;
        fail(*job, code, now, effects);
        return;
    }
    task.state = task_state::placed;
    task.host = host;
}

void owner_table::task_ended(job_handle handle, task_result result, bool retry, time_point now, owner_effects &effects) {
    auto *job = find_job(handle);
    if(job == nullptr || result.index >= job->tasks.size()) {
        return;
    }
    auto &task = job->tasks[result.index];
    if(task.state != task_state::placed || task.attempt != result.attempt) {
        return;
    }
    if(result.report == task_report::not_started && retry && job->state == job_state::running) {
        task.state = task_state::waiting;
        ++task.attempt;
        effects.placements.push_back({handle, result.index, task.attempt, task.host});
        return;
    }
    --job->unfinished_tasks;
    switch(result.report) {
    case task_report::done:
        task.state = task_state::done;
        task.result = std::move(result.body);
        break;
    case task_report::failed:
        task.state = task_state::failed;
        break;
    case task_report::unknown:
        task.state = task_state::unknown;
        break;
    case task_report::not_started:
        task.state = task_state::not_started;
        break;
    }
    if(result.report == task_report::done) {
        finish_if_settled(*job, now, effects);
    } else {
        fail(*job, result.code, now, effects);
    }
}

void owner_table::finish_if_settled(entry &job, time_point now, owner_effects &effects) {
    if(job.unfinished_tasks == 0 || (job.state == job_state::cancelling && now >= job.timer_at)) {
        finish(job, make_outcome(job), now, effects);
    }
}

void owner_table::fail(entry &job, errc code, time_point now, owner_effects &effects) {
    if(job.first_error == errc::ok) {
        job.first_error = code;
    }
    if(job.state != job_state::cancelling) {
        job.state = job_state::cancelling;
        std::vector<host_id> hosts;
        for(auto &task: job.tasks) {
            if(task.state == task_state::waiting) {
                task.state = task_state::not_started;
                --job.unfinished_tasks;
            } else if(task.state == task_state::placed && std::find(hosts.begin(), hosts.end(), task.host) == hosts.end()) {
                hosts.push_back(task.host);
            }
        }
        for(auto &host: hosts) {
            effects.cancels.push_back({std::move(host), job.handle});
        }
        add_timer(job, now + m_settings.cancel_grace);
    }
    // Once a task may have run, the answer cannot become `not_run`: it is sent without waiting for the other tasks.
    const auto ran = std::any_of(job.tasks.begin(), job.tasks.end(), [](const auto &task) {
        return task.state == task_state::done || task.state == task_state::failed || task.state == task_state::unknown;
    });
    if(ran) {
        finish(job, make_outcome(job), now, effects);
    } else {
        finish_if_settled(job, now, effects);
    }
}

outcome owner_table::make_outcome(const entry &job) const {
    const auto count = [&job](task_state state) {
        return std::count_if(job.tasks.begin(), job.tasks.end(), [state](const auto &task) { return task.state == state; });
    };
    const auto all = static_cast<std::ptrdiff_t>(job.tasks.size());
    if(count(task_state::done) == all) {
        outcome result{outcome_kind::complete, errc::ok, {}, {}};
        for(const auto &task: job.tasks) {
            result.results.push_back(task.result);
        }
        return result;
    }
    const auto code = job.first_error == errc::ok ? errc::deadline_exceeded : job.first_error;
    if(count(task_state::not_started) == all) {
        return {outcome_kind::not_run, code, {}, milliseconds{500}};
    }
    const auto known = count(task_state::done) + count(task_state::failed);
    const auto ambiguous = count(task_state::unknown) > 0 || known == 0;
    return {ambiguous ? outcome_kind::unknown : outcome_kind::failed, code, {}, {}};
}

void owner_table::finish(entry &job, outcome result, time_point now, owner_effects &effects) {
    if(job.state == job_state::finished) {
        return;
    }
    m_timers.erase({job.timer_at, raw(job.handle)});
    m_jobs.erase(raw(job.handle));
    --m_running;
    job.state = job_state::finished;
    job.result = std::move(result);
    job.changed = now;
    for(auto &to: job.waiters) {
        effects.answers.push_back({std::move(to), job.result, false});
    }
    if(job.exported) {
        effects.settled.push_back({job.key, job.spec.customer, job.spec.id, job.spec.digest, job.parsed.partition, job.result});
    }
    m_bytes -= job.bytes;
    job.waiters = {};
    job.tasks = {};
    job.spec.tasks = {};
    job.bytes = internal::size_of(job.spec) + internal::size_of(job.result);
    m_bytes += job.bytes;
    m_retained.emplace_back(now, key_text(job.spec.customer, job.spec.id));
}

void owner_table::host_lost(const host_id &host, time_point now, owner_effects &effects) {
    std::vector<std::pair<job_handle, task_result>> lost;
    for(const auto &[handle, job]: m_jobs) {
        for(std::uint32_t index = 0; index < job->tasks.size(); ++index) {
            const auto &task = job->tasks[index];
            if(task.state == task_state::placed && task.host == host) {
                lost.push_back({job->handle, {index, task.attempt, task_report::unknown, errc::task_outcome_unknown, {}}});
            }
        }
    }
    std::sort(lost.begin(), lost.end(), [](const auto &a, const auto &b) { return raw(a.first) < raw(b.first); });
    for(auto &[handle, result]: lost) {
        task_ended(handle, std::move(result), false, now, effects);
    }
}

void owner_table::cancel(const customer_id &customer, const submission_id &id, const waiter &to, time_point now, owner_effects &effects) {
    auto *job = find_entry(customer, id);
    if(job == nullptr) {
        effects.answers.push_back({to, internal::unknown_outcome(errc::not_found), false});
        return;
    }
    if(job->state == job_state::finished) {
        effects.answers.push_back({to, job->result, false});
        return;
    }
    job->waiters.push_back(to);
    if(job->state == job_state::recording) {
        job->refusal = errc::cancelled;
    } else if(job->state == job_state::running) {
        fail(*job, errc::cancelled, now, effects);
    }
}

void owner_table::lookup(const customer_id &customer, const submission_id &id, duration wait, const waiter &to, time_point now,
                         owner_effects &effects) {
    auto *job = find_entry(customer, id);
    if(job == nullptr) {
        const auto barred = m_barred.find(submission_key(customer.str(), id.str()));
        const auto code = barred == m_barred.end() ? errc::not_found : barred->second;
        effects.answers.push_back({to, internal::unknown_outcome(code), false});
    } else if(job->state == job_state::finished) {
        effects.answers.push_back({to, job->result, false});
    } else if(wait <= duration{}) {
        effects.answers.push_back({to, internal::unknown_outcome(errc::still_running), true});
    } else {
        job->waiters.push_back(to);
        m_lookups.push_back({now + wait, key_text(customer, id), to});
    }
}

void owner_table::tick(time_point now, owner_effects &effects) {
    while(!m_timers.empty() && m_timers.begin()->first <= now) {
        const auto handle = static_cast<job_handle>(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        auto *job = find_job(handle);
        if(job == nullptr) {
            continue;
        }
        if(job->state == job_state::cancelling) {
            finish(*job, make_outcome(*job), now, effects);
        } else if(job->state == job_state::recording) {
            forget(*job, errc::record_unavailable, effects);
        } else {
            fail(*job, errc::deadline_exceeded, now, effects);
        }
    }
    std::erase_if(m_lookups, [&](const timed_waiter &lookup) {
        if(lookup.at > now) {
            return false;
        }
        const auto found = m_entries.find(lookup.key);
        if(found != m_entries.end() && found->second->state != job_state::finished) {
            std::erase_if(found->second->waiters, [&](const waiter &w) { return w == lookup.to; });
            effects.answers.push_back({lookup.to, internal::unknown_outcome(errc::still_running), true});
        }
        return true;
    });
    while(!m_retained.empty() && m_retained.front().first + m_settings.retention <= now) {
        const auto found = m_entries.find(m_retained.front().second);
        m_retained.pop_front();
        if(found != m_entries.end()) {
            bar_key(found->second->key, errc::submission_expired, now);
            m_bytes -= found->second->bytes;
            m_entries.erase(found);
        }
    }
    while(!m_barred_order.empty() &&
          (m_barred_order.front().first + m_settings.key_retention <= now || m_barred_order.size() > m_settings.max_keys)) {
        m_barred.erase(m_barred_order.front().second);
        m_barred_order.pop_front();
    }
}

std::vector<transferred_entry> owner_table::export_partition(partition_id partition, time_point now) {
    std::vector<transferred_entry> entries;
    for(const auto &[text, job]: m_entries) {
        if(job->parsed.kind == id_kind::host_issued || job->parsed.partition != partition) {
            continue;
        }
        job->exported = job->state != job_state::finished;
        entries.push_back({job->key, job->spec.customer.str(), job->spec.id.str(), job->spec.digest, partition, job->exported, job->result,
                           now - job->changed});
    }
    std::sort(entries.begin(), entries.end(), [](const auto &a, const auto &b) { return a.key < b.key; });
    return entries;
}

std::vector<std::uint64_t> owner_table::barred_keys() const {
    std::vector<std::uint64_t> keys;
    keys.reserve(m_barred_order.size());
    for(const auto &[at, key]: m_barred_order) {
        keys.push_back(key);
    }
    return keys;
}

void owner_table::import_entry(transferred_entry moved, const host_id &from, time_point now, owner_effects &effects) {
    const customer_id customer{moved.customer};
    const submission_id id{moved.id};
    auto *known = find_entry(customer, id);
    if(known == nullptr) {
        // The kind of the id is not transferred; only the partition and the previous owner are needed here.
        parsed_id parsed;
        parsed.kind = id_kind::unscoped;
        parsed.partition = moved.partition;
        parsed.host = from;
        job_spec spec;
        spec.customer = customer;
        spec.id = id;
        spec.digest = moved.digest;
        known = &add_entry(std::move(spec), std::move(parsed), moved.key, now - moved.age);
        known->state = job_state::remote;
        ++m_running;
        m_jobs.emplace(raw(known->handle), known);
    }
    if(!moved.running && known->state == job_state::remote) {
        finish(*known, std::move(moved.result), now, effects);
    }
}

void owner_table::fail_imported(const host_id &from, time_point now, owner_effects &effects) {
    std::vector<entry *> lost;
    for(const auto &[handle, job]: m_jobs) {
        if(job->state == job_state::remote && job->parsed.host == from) {
            lost.push_back(job);
        }
    }
    for(auto *job: lost) {
        finish(*job, internal::unknown_outcome(errc::outcome_lost), now, effects);
    }
}

} // namespace heathermoor::submission
