#include "heathermoor/host/owner_role.hpp"

#include "heathermoor/host/convert.hpp"
#include <algorithm>
#include <map>

namespace heathermoor::host {

namespace internal {

/// The upper 16 bits of a job handle hold the index of its shard plus 1.
constexpr unsigned shard_shift = 48;
/// Keys are spread over the shards by their upper half.
constexpr unsigned key_shift = 32;
/// Appends of this role have tokens from here on, those of other roles token 0.
constexpr std::uint64_t first_token = 1ULL << 32U;
/// Attempts for each task, the first one included.
constexpr std::uint32_t max_attempts = 4;
/// Expected run time of a task without a size hint.
constexpr double default_expected_ms = 200.0;

/// Whether a task that was not started for this reason may start at another host.
[[nodiscard]] bool is_retryable(errc code) noexcept {
    switch(code) {
    case errc::no_target:
    case errc::overloaded:
    case errc::draining:
    case errc::stale_message:
    case errc::target_refused:
    case errc::target_unreachable:
        return true;
    default:
        return false;
    }
}

} // namespace internal

owner_role::owner_role(const settings &options, control_role &control, const port::port_set &ports, messenger &out)
    : m_options{options}, m_control{control}, m_ports{ports}, m_out{out}, m_next_token{internal::first_token}, m_started{
                                                                                                                   ports.clock.now()} {
    const auto count = std::max<std::size_t>(options.owner_shards, 1);
    auto table = options.table;
    table.max_bytes /= count;
    table.max_keys /= count;
    for(std::size_t index = 0; index < count; ++index) {
        m_shards.push_back(std::make_unique<shard>(table, ((index + 1) << internal::shard_shift) + 1));
    }
}

owner_role::shard &owner_role::shard_of_key(std::uint64_t key) const {
    return *m_shards[(key >> internal::key_shift) % m_shards.size()];
}

owner_role::shard &owner_role::shard_of(const customer_id &customer, const submission_id &id) const {
    return shard_of_key(submission::submission_key(customer.str(), id.str()));
}

owner_role::shard &owner_role::shard_of(job_handle job) const {
    const auto index = (raw(job) >> internal::shard_shift) - 1;
    return *m_shards[index % m_shards.size()];
}

void owner_role::reply_not_owner(const wire::envelope &message) {
    wire::envelope out;
    out.set_correlation(message.correlation());
    out.set_to_incarnation(message.incarnation());
    out.mutable_reply()->set_not_owner(true);
    m_out.send(host_id{message.from()}, std::move(out));
}

bool owner_role::accepts(const submission::parsed_id &parsed, time_point now) const {
    if(parsed.kind == submission::id_kind::host_issued) {
        return parsed.host == m_options.host && parsed.issuer == m_options.process;
    }
    return parsed.domain == m_options.domain && m_control.may_admit(parsed.partition, now);
}

bool owner_role::expired(const submission::parsed_id &parsed) const {
    if(!parsed.created) {
        return false;
    }
    if(parsed.kind == submission::id_kind::host_issued) {
        const auto age = std::chrono::duration_cast<milliseconds>(m_ports.clock.now() - m_started);
        return age - *parsed.created > m_options.mint_validity;
    }
    const auto age = m_ports.clock.unix_now() - *parsed.created;
    return age > std::chrono::duration_cast<milliseconds>(m_options.table.key_retention) - m_options.clock_skew;
}

submission::admission owner_role::make_admission(const submission::job_spec &spec, const submission::parsed_id &parsed,
                                                 time_point now) const {
    submission::admission result;
    result.parsed = parsed;
    result.expired = expired(parsed);
    if(parsed.kind == submission::id_kind::host_issued) {
        result.record = submission::record_rule::none;
    } else {
        result.may_have_run = m_control.has_gap(parsed.partition, now);
    }
    const auto policy = m_control.policy();
    const auto service = policy->services.find(spec.service);
    if(service == policy->services.end()) {
        return result;
    }
    const auto wait = m_control.expected_wait(service->second->pool);
    if(wait == duration::max()) {
        result.refusal = errc::no_target;
        result.retry_after = m_control.pool_exists(service->second->pool) ? milliseconds{1000} : milliseconds{0};
    } else if(wait >= spec.deadline) {
        result.refusal = errc::deadline_unreachable;
        result.retry_after = std::chrono::duration_cast<milliseconds>(wait - spec.deadline) + milliseconds{1};
    }
    return result;
}

void owner_role::submit(const wire::envelope &message, time_point now) {
    auto spec = from_wire(message.submit_job().job());
    std::error_code error;
    const auto parsed = submission::parse_id(spec.customer.str(), spec.id.str(), m_options.domains, error);
    if(error || !accepts(parsed, now) || !m_control.configured()) {
        reply_not_owner(message);
        return;
    }
    const auto terms = make_admission(spec, parsed, now);
    const submission::waiter to{host_id{message.from()}, static_cast<correlation>(message.correlation())};
    auto &table_shard = shard_of(spec.customer, spec.id);
    submission::owner_effects effects;
    {
        const std::lock_guard lock{table_shard.mutex};
        table_shard.table.submit(std::move(spec), terms, to, now, effects);
    }
    apply_effects(table_shard, std::move(effects), now);
}

void owner_role::find(const wire::envelope &message, time_point now) {
    const auto &query = message.find_job();
    const customer_id customer{query.customer()};
    const submission_id id{query.id()};
    std::error_code error;
    const auto parsed = submission::parse_id(query.customer(), query.id(), m_options.domains, error);
    if(error || !accepts(parsed, now)) {
        reply_not_owner(message);
        return;
    }
    const submission::waiter to{host_id{message.from()}, static_cast<correlation>(message.correlation())};
    auto &table_shard = shard_of(customer, id);
    submission::owner_effects effects;
    {
        const std::lock_guard lock{table_shard.mutex};
        if(query.cancel()) {
            table_shard.table.cancel(customer, id, to, now, effects);
        } else {
            table_shard.table.lookup(customer, id, milliseconds{query.wait_ms()}, to, now, effects);
        }
    }
    apply_effects(table_shard, std::move(effects), now);
}

void owner_role::send_answers(std::vector<submission::answer> &answers) {
    for(auto &answer: answers) {
        wire::envelope out;
        out.set_correlation(raw(answer.to.request));
        *out.mutable_reply()->mutable_result() = to_wire(answer.result);
        out.mutable_reply()->set_running(answer.running);
        m_out.send(answer.to.host, std::move(out));
    }
}

void owner_role::send_settled(const std::vector<submission::settled_job> &settled) {
    for(const auto &job: settled) {
        submission::parsed_id parsed;
        parsed.kind = submission::id_kind::unscoped;
        parsed.domain = m_options.domain;
        parsed.partition = job.partition;
        const auto owner = m_control.find_owner(parsed);
        host_id to = owner.host;
        if(to == m_options.host) {
            const std::lock_guard lock{m_transfer_mutex};
            if(!m_transfer) {
                continue;
            }
            to = m_transfer->plan.to;
        }
        wire::envelope out;
        auto *entry = out.mutable_table()->add_entries();
        entry->set_key(job.key);
        entry->set_customer(job.customer.str());
        entry->set_id(job.id.str());
        entry->set_digest(job.digest);
        entry->set_partition(raw(job.partition));
        *entry->mutable_result() = to_wire(job.result);
        m_out.send(to, std::move(out));
    }
}

void owner_role::apply_effects(shard &table_shard, submission::owner_effects effects, time_point now) {
    send_answers(effects.answers);
    send_settled(effects.settled);
    for(const auto &request: effects.cancels) {
        wire::envelope out;
        out.mutable_cancel()->set_job(raw(request.job));
        m_out.send(request.host, std::move(out));
    }
    if(!effects.records.empty()) {
        record(effects.records, now);
    }
    if(!effects.placements.empty()) {
        place_tasks(table_shard, effects.placements, now);
    }
}

void owner_role::record(const std::vector<submission::record_request> &records, time_point now) {
    const auto peer = m_control.witness();
    wire::envelope out;
    {
        const std::lock_guard lock{m_record_mutex};
        for(const auto &request: records) {
            m_pending_records.emplace(raw(request.job), pending_record{request.key, request.partition, now, !peer});
            m_journal_batch.push_back(peer ? submission::record_request{{}, request.key, request.partition} : request);
            if(peer) {
                auto &witness = *out.mutable_remember();
                witness.add_keys(request.key);
                witness.add_jobs(raw(request.job));
                witness.add_partitions(raw(request.partition));
                witness.add_epochs(raw(m_control.epoch_of(request.partition)));
            }
        }
        m_journal_urgent = m_journal_urgent || !peer;
    }
    if(peer) {
        m_out.send(*peer, std::move(out));
    } else {
        flush_journal(now);
    }
}

void owner_role::place_tasks(shard &table_shard, const std::vector<submission::placement_request> &requests, time_point now) {
    std::map<std::pair<host_id, std::uint64_t>, wire::envelope> messages;
    submission::owner_effects effects;
    const auto policy = m_control.policy();
    {
        const std::lock_guard lock{table_shard.mutex};
        for(const auto &request: requests) {
            const auto *spec = table_shard.table.find(request.job);
            if(spec == nullptr || request.index >= spec->tasks.size()) {
                continue;
            }
            const auto service = policy->services.find(spec->service);
            const auto &task = spec->tasks[request.index];
            const auto expected = task.size_hint > milliseconds{0} ? to_ms(task.size_hint) : internal::default_expected_ms;
            const auto to =
                service == policy->services.end() ? host_id{} : m_control.choose_host(service->second->pool, expected, request.declined_by);
            if(!to.empty()) {
                auto &place = *messages[{to, raw(request.job)}].mutable_place();
                place.set_customer(spec->customer.str());
                place.set_service(spec->service.str());
                place.set_id(spec->id.str());
                place.set_job(raw(request.job));
                const auto *id = table_shard.table.parsed(request.job);
                place.set_epoch(id->kind == submission::id_kind::host_issued ? 0 : raw(m_control.epoch_of(id->partition)));
                const auto left = std::chrono::duration_cast<milliseconds>(table_shard.table.deadline(request.job) - now).count();
                place.set_deadline_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0)));
                auto *out = place.add_tasks();
                out->set_index(request.index);
                out->set_attempt(request.attempt);
                out->set_request(task.request.str());
                out->set_size_hint_ms(static_cast<std::uint32_t>(task.size_hint.count()));
                out->set_body(task.body);
            }
            table_shard.table.placed(request, to, errc::no_target, now, effects);
        }
    }
    for(auto &[key, message]: messages) {
        m_out.send(key.first, std::move(message));
    }
    if(!effects.answers.empty() || !effects.cancels.empty() || !effects.settled.empty()) {
        apply_effects(table_shard, std::move(effects), now);
    }
}

void owner_role::placed(const wire::envelope &message, time_point now) {
    const auto job = static_cast<job_handle>(message.placed().job());
    auto &table_shard = shard_of(job);
    submission::owner_effects effects;
    for(const auto &in: message.placed().results()) {
        constexpr auto last_report = static_cast<std::uint32_t>(submission::task_report::not_started);
        submission::task_result result{in.index(), in.attempt(), static_cast<submission::task_report>(std::min(in.state(), last_report)),
                                       to_errc(in.code()), in.body()};
        auto retry = false;
        if(result.report == submission::task_report::not_started && internal::is_retryable(result.code) &&
           result.attempt + 1 < internal::max_attempts) {
            const std::lock_guard lock{m_retry_mutex};
            retry = m_retries.spend();
        } else if(result.report == submission::task_report::done) {
            const std::lock_guard lock{m_retry_mutex};
            m_retries.first_attempt();
        }
        const std::lock_guard lock{table_shard.mutex};
        table_shard.table.task_ended(job, std::move(result), retry, now, effects);
    }
    apply_effects(table_shard, std::move(effects), now);
}

void owner_role::host_lost(const host_id &host, time_point now) {
    for(const auto &table_shard: m_shards) {
        submission::owner_effects effects;
        {
            const std::lock_guard lock{table_shard->mutex};
            table_shard->table.host_lost(host, now, effects);
            table_shard->table.fail_imported(host, now, effects);
        }
        apply_effects(*table_shard, std::move(effects), now);
    }
}

void owner_role::tick(time_point now) {
    for(const auto &table_shard: m_shards) {
        submission::owner_effects effects;
        {
            const std::lock_guard lock{table_shard->mutex};
            table_shard->table.tick(now, effects);
        }
        apply_effects(*table_shard, std::move(effects), now);
    }
    fall_back_to_journal(now);
    advance_transfer(now);
    const std::lock_guard lock{m_witness_mutex};
    for(auto &seen: m_witnessed_ids) {
        const auto first_kept =
            std::find_if(seen.begin(), seen.end(), [&](const auto &entry) { return entry.at + m_options.table.key_retention > now; });
        seen.erase(seen.begin(), first_kept);
    }
}

std::size_t owner_role::running() const {
    std::size_t count{};
    for(const auto &table_shard: m_shards) {
        const std::lock_guard lock{table_shard->mutex};
        count += table_shard->table.running();
    }
    return count;
}

std::size_t owner_role::size() const {
    std::size_t count{};
    for(const auto &table_shard: m_shards) {
        const std::lock_guard lock{table_shard->mutex};
        count += table_shard->table.size();
    }
    return count;
}

std::size_t owner_role::bytes() const {
    std::size_t count{};
    for(const auto &table_shard: m_shards) {
        const std::lock_guard lock{table_shard->mutex};
        count += table_shard->table.bytes();
    }
    return count;
}
} // namespace heathermoor::host
