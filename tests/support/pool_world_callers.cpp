#include "support/pool_world_host.hpp"

#include "heathermoor/core/event.hpp"
#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace heathermoor::test {

namespace {

/// Time after which a caller without an answer sends its request again.
constexpr duration resubmission_delay = milliseconds{1'300};

/// Requests that a caller sends for a job in all.
constexpr std::uint32_t max_attempts = 3;

/// Time that a job needs beside its longest run: two intervals of the timer until it is placed and its end is seen, and messages.
constexpr duration job_overhead = 2 * tick_interval + 4 * latency;

} // namespace

job::definition pool_world::draw_definition(const job_id &id) {
    job::definition definition;
    definition.id = id;
    job::step one;
    one.tasks = 1 + static_cast<std::uint32_t>(m_random() % 8);
    one.need = {5'000 + static_cast<std::int64_t>(m_random() % 3'000), 64, 0};
    one.estimate = milliseconds{150};
    if(m_options.light_jobs > 0 && m_sent % m_options.light_jobs < 2) {
        one.need = {0, m_sent % m_options.light_jobs == 0 ? 0 : one.need.memory_mb, 0};
    }
    if(m_options.labelled_jobs > 0 && m_sent % m_options.labelled_jobs == 0) {
        one.required_label = std::string{"a"};
    }
    definition.steps.push_back(one);
    return definition;
}

void pool_world::send_job() {
    const job_id id{fmt::format("{:016x}", m_sent++)};
    m_jobs[id].definition = draw_definition(id);
    submit(id, 1);
    if(m_options.repeated > 0 && std::uniform_real_distribution<double>{}(m_random) < m_options.repeated) {
        repeat_at_random(id);
    }
}

void pool_world::repeat_at_random(const job_id &job) {
    const auto draw = [this](milliseconds latest) {
        return microseconds{static_cast<std::int64_t>(m_random() % (static_cast<std::uint64_t>(microseconds{latest}.count()) + 1))};
    };
    const auto repeat = draw(m_options.latest_repeat);
    at(repeat, [this, job] { submit(job, max_attempts); });
    if(m_options.latest_break > milliseconds{0}) {
        const bool latest = m_random() % 2 == 0;
        at(repeat + draw(m_options.latest_break), [this, job, latest] { break_connection(job, latest); });
    }
}

void pool_world::break_connection(const job_id &job, bool latest) {
    const auto of_job = [&job](const auto &item) { return item.second.job == job; };
    const auto first = std::find_if(m_callers.begin(), m_callers.end(), of_job);
    if(first == m_callers.end()) {
        return;
    }
    const auto last = std::prev(std::find_if(m_callers.rbegin(), m_callers.rend(), of_job).base());
    const auto [request, call] = latest ? *last : *first;
    m_callers.erase(request);
    ++m_outcomes[3];
    auto &known = m_jobs.at(job);
    --known.attempts_open;
    known.answered_unrefused = true;
    on_host(call.host, call.process, [request = request](member::member &host) { host.abandon(gateway::request_token{request}); });
}

void pool_world::send_job_of(const job_kind &kind) {
    const job_id id{fmt::format("{:016x}", m_sent++)};
    auto drawn = draw_job(kind, id, m_job_random);
    auto &job = m_jobs[id];
    job.definition = std::move(drawn.definition);
    job.run_times = std::move(drawn.run_times);
    job.sent_at = m_now;
    job.record.kind = kind.name;
    job.record.work = drawn.work;
    job.record.tasks = job.definition.steps.front().tasks;
    job.record.longest_run = *std::max_element(job.run_times.begin(), job.run_times.end());
    const auto fastest = *std::max_element(m_options.target_speeds.begin(), m_options.target_speeds.end());
    job.record.servable = to_ms(job.record.longest_run) / fastest < to_ms(m_options.caller_deadline - job_overhead);
    job.entry_host = static_cast<std::size_t>(m_job_random() % m_hosts.size());
    job.queue.name = queue_id{kind.name};
    job.queue.priority = kind.priority;
    submit(id, 1);
}

std::vector<job_record> pool_world::job_records() const {
    std::vector<job_record> records;
    for(const auto &[id, job]: m_jobs) {
        if(!job.run_times.empty()) {
            records.push_back(job.record);
        }
    }
    return records;
}

void pool_world::submit(const job_id &job, std::uint32_t attempt) {
    auto &known = m_jobs.at(job);
    auto index = known.run_times.empty() ? static_cast<std::size_t>(m_random() % m_hosts.size()) : known.entry_host;
    if(m_options.crest > 0 && std::uniform_real_distribution<double>{}(m_random) < m_options.crest) {
        index = static_cast<std::size_t>(m_random() % m_options.hosts_per_domain);
    }
    submit_to(index, job, attempt);
}

void pool_world::submit_to(std::size_t index, const job_id &job, std::uint32_t attempt) {
    auto &known = m_jobs.at(job);
    log_event(log_level::debug, "world", "submitted",
              {{"job", job}, {"host", index}, {"attempt", attempt}, {"at_ms", m_now.time_since_epoch()}});
    known.record.host = index;
    known.record.domain = domain_of(index);
    auto &state = *m_hosts[index];
    if(!state.running) {
        return;
    }
    ++known.attempts_open;
    const auto request = m_next_request++;
    m_callers[request] = {job, index, state.process, attempt};
    job::queue_policy queue = known.queue;
    if(known.run_times.empty()) {
        queue.name = queue_id{fmt::format("q{}", std::hash<job_id>{}(job) % 3)};
        queue.priority = static_cast<std::uint32_t>(std::hash<job_id>{}(job) % 3);
    }
    queue.service = service_id{"service"};
    queue.max_attempts = 3;
    queue.stretch = 1.6;
    queue.target_latency = milliseconds{60};
    on_host(index, state.process,
            [request, definition = known.definition, queue, deadline = m_options.caller_deadline](member::member &host) {
                host.submit_job(gateway::request_token{request}, definition, queue, deadline);
            });
}

void pool_world::reply(gateway::request_token request, const job::answer &answer) {
    const auto found = m_callers.find(raw(request));
    if(found == m_callers.end()) {
        m_violations.push_back("an answer without a request");
        return;
    }
    const auto call = found->second;
    m_callers.erase(found);
    if(answer.result == job::outcome::unknown) {
        retry_call(call);
        return;
    }
    ++m_outcomes[static_cast<std::size_t>(answer.result)];
    auto &job = m_jobs.at(call.job);
    job.record.served = answer.result == job::outcome::completed && m_now - job.sent_at <= m_options.caller_deadline;
    --job.attempts_open;
    job.any_refused = job.any_refused || answer.result == job::outcome::refused;
    job.answered_unrefused = job.answered_unrefused || answer.result != job::outcome::refused;
    if(answer.result == job::outcome::refused && job.started && !job.answered_unrefused && job.attempts_open == 0) {
        m_violations.push_back(fmt::format("{} was refused though it had run", call.job.str()));
    }
}

void pool_world::retry_call(const open_call &call) {
    ++m_outcomes[3];
    auto &job = m_jobs.at(call.job);
    --job.attempts_open;
    job.answered_unrefused = true;
    if(!job.run_times.empty()) {
        // Its caller's deadline passes before it would be sent again.
        return;
    }
    if(call.attempt < max_attempts) {
        at(resubmission_delay, [this, id = call.job, attempt = call.attempt] { submit(id, attempt + 1); });
    }
}

} // namespace heathermoor::test
