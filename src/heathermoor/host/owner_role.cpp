#include "heathermoor/host/owner_role.hpp"

#include "heathermoor/host/convert.hpp"
#include <algorithm>
#include <google/protobuf/util/json_util.h>
#include <map>

namespace heathermoor::host {

namespace internal {

constexpr unsigned shard_shift = 48;
constexpr unsigned key_shift = 32;
constexpr std::uint64_t first_token = 1ULL << 32U;
constexpr std::size_t max_journal_keys = 5'000;
constexpr std::size_t max_unwritten_keys = 500'000;
constexpr std::uint32_t max_attempts = 4;
constexpr duration transfer_timeout = seconds{1};
constexpr double default_expected_ms = 200.0;

[[nodiscard]] bool worth_retrying(errc code) noexcept {
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

bool owner_role::accepts(const submission::parsed_id &place, time_point now) const {
    if(place.kind == submission::id_kind::host_minted) {
        return place.host == m_options.host && place.issuer == m_options.process;
    }
    return place.domain == m_options.domain && m_control.may_admit(place.slice, now);
}

bool owner_role::expired(const submission::parsed_id &place) const {
    if(!place.created) {
        return false;
    }
    if(place.kind == submission::id_kind::host_minted) {
        const auto age = std::chrono::duration_cast<milliseconds>(m_ports.clock.now() - m_started);
        return age - *place.created > m_options.mint_validity;
    }
    const auto age = m_ports.clock.unix_now() - *place.created;
    return age > std::chrono::duration_cast<milliseconds>(m_options.table.key_retention) - m_options.clock_skew;
}

submission::admission owner_role::conditions(const submission::job_spec &spec, const submission::parsed_id &place, time_point now) const {
    submission::admission result;
    result.place = place;
    result.expired = expired(place);
    if(place.kind == submission::id_kind::host_minted) {
        result.record = submission::record_rule::none;
    } else {
        result.may_have_run = m_control.has_gap(place.slice, now);
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
    const auto place = submission::parse_id(spec.customer.str(), spec.id.str(), m_options.domains, error);
    if(error || !accepts(place, now) || !m_control.configured()) {
        reply_not_owner(message);
        return;
    }
    const auto terms = conditions(spec, place, now);
    const submission::waiter to{host_id{message.from()}, static_cast<correlation>(message.correlation())};
    auto &part = shard_of(spec.customer, spec.id);
    submission::owner_effects effects;
    {
        const std::lock_guard lock{part.mutex};
        part.table.submit(std::move(spec), terms, to, now, effects);
    }
    carry_out(part, std::move(effects), now);
}

void owner_role::find(const wire::envelope &message, time_point now) {
    const auto &query = message.find_job();
    const customer_id customer{query.customer()};
    const submission_id id{query.id()};
    std::error_code error;
    const auto place = submission::parse_id(query.customer(), query.id(), m_options.domains, error);
    if(error || !accepts(place, now)) {
        reply_not_owner(message);
        return;
    }
    const submission::waiter to{host_id{message.from()}, static_cast<correlation>(message.correlation())};
    auto &part = shard_of(customer, id);
    submission::owner_effects effects;
    {
        const std::lock_guard lock{part.mutex};
        if(query.cancel()) {
            part.table.cancel(customer, id, to, now, effects);
        } else {
            part.table.lookup(customer, id, milliseconds{query.wait_ms()}, to, now, effects);
        }
    }
    carry_out(part, std::move(effects), now);
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
        submission::parsed_id place;
        place.kind = submission::id_kind::plain;
        place.domain = m_options.domain;
        place.slice = job.slice;
        const auto owner = m_control.find_owner(place);
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
        entry->set_partition(raw(job.slice));
        *entry->mutable_result() = to_wire(job.result);
        m_out.send(to, std::move(out));
    }
}

void owner_role::carry_out(shard &part, submission::owner_effects effects, time_point now) {
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
        place_tasks(part, effects.placements, now);
    }
}

void owner_role::record(const std::vector<submission::record_request> &records, time_point now) {
    const auto peer = m_control.witness();
    wire::envelope out;
    {
        const std::lock_guard lock{m_record_mutex};
        for(const auto &request: records) {
            m_pending_records.emplace(raw(request.job), pending_record{request.key, request.slice, now, !peer});
            m_journal_batch.push_back(peer ? submission::record_request{{}, request.key, request.slice} : request);
            if(peer) {
                auto &witness = *out.mutable_remember();
                witness.add_keys(request.key);
                witness.add_jobs(raw(request.job));
                witness.add_partitions(raw(request.slice));
                witness.add_epochs(raw(m_control.epoch_of(request.slice)));
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

void owner_role::place_tasks(shard &part, const std::vector<submission::placement_request> &requests, time_point now) {
    std::map<std::pair<host_id, std::uint64_t>, wire::envelope> messages;
    submission::owner_effects effects;
    const auto policy = m_control.policy();
    {
        const std::lock_guard lock{part.mutex};
        for(const auto &request: requests) {
            const auto *spec = part.table.find(request.job);
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
                const auto *id = part.table.place(request.job);
                place.set_epoch(id->kind == submission::id_kind::host_minted ? 0 : raw(m_control.epoch_of(id->slice)));
                const auto left = std::chrono::duration_cast<milliseconds>(part.table.deadline(request.job) - now).count();
                place.set_deadline_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0)));
                auto *out = place.add_tasks();
                out->set_index(request.index);
                out->set_attempt(request.attempt);
                out->set_request(task.request.str());
                out->set_size_hint_ms(static_cast<std::uint32_t>(task.size_hint.count()));
                out->set_body(task.body);
            }
            part.table.placed(request, to, errc::no_target, now, effects);
        }
    }
    for(auto &[key, message]: messages) {
        m_out.send(key.first, std::move(message));
    }
    if(!effects.answers.empty() || !effects.cancels.empty() || !effects.settled.empty()) {
        carry_out(part, std::move(effects), now);
    }
}

void owner_role::placed(const wire::envelope &message, time_point now) {
    const auto job = static_cast<job_handle>(message.placed().job());
    auto &part = shard_of(job);
    submission::owner_effects effects;
    for(const auto &in: message.placed().results()) {
        constexpr auto last_report = static_cast<std::uint32_t>(submission::task_report::not_started);
        submission::task_result result{in.index(), in.attempt(), static_cast<submission::task_report>(std::min(in.state(), last_report)),
                                       to_errc(in.code()), in.body()};
        auto retry = false;
        if(result.report == submission::task_report::not_started && internal::worth_retrying(result.code) &&
           result.attempt + 1 < internal::max_attempts) {
            const std::lock_guard lock{m_retry_mutex};
            retry = m_retries.spend();
        } else if(result.report == submission::task_report::done) {
            const std::lock_guard lock{m_retry_mutex};
            m_retries.first_attempt();
        }
        const std::lock_guard lock{part.mutex};
        part.table.task_ended(job, std::move(result), retry, now, effects);
    }
    carry_out(part, std::move(effects), now);
}

void owner_role::remember(const wire::envelope &message, time_point now) {
    const auto &in = message.remember();
    wire::envelope out;
    auto &ack = *out.mutable_remembered();
    out.set_to_incarnation(message.incarnation());
    {
        const std::lock_guard lock{m_witness_mutex};
        for(int index = 0; index < std::min(in.keys_size(), std::min(in.partitions_size(), in.epochs_size())); ++index) {
            const auto slice = in.partitions(index);
            if(slice >= submission::partition_count || in.epochs(index) < m_fence.at(slice)) {
                ack.set_refused(true);
                continue;
            }
            m_witnessed.at(slice).push_back({in.keys(index), now});
            ack.add_jobs(in.jobs(index));
        }
    }
    m_out.send(host_id{message.from()}, std::move(out));
}

void owner_role::confirm(const std::vector<job_handle> &jobs, time_point now) {
    for(const auto job: jobs) {
        pending_record entry;
        {
            const std::lock_guard lock{m_record_mutex};
            const auto found = m_pending_records.find(raw(job));
            if(found == m_pending_records.end()) {
                continue;
            }
            entry = found->second;
            m_pending_records.erase(found);
        }
        const auto allowed = m_control.may_start(entry.slice, m_ports.clock.now());
        auto &part = shard_of(job);
        submission::owner_effects effects;
        {
            const std::lock_guard lock{part.mutex};
            part.table.recorded(job, allowed, now, effects);
        }
        carry_out(part, std::move(effects), now);
    }
}

void owner_role::refuse(const std::vector<job_handle> &jobs, time_point now) {
    for(const auto job: jobs) {
        {
            const std::lock_guard lock{m_record_mutex};
            m_pending_records.erase(raw(job));
        }
        auto &part = shard_of(job);
        submission::owner_effects effects;
        {
            const std::lock_guard lock{part.mutex};
            part.table.record_failed(job, effects);
        }
        carry_out(part, std::move(effects), now);
    }
}

void owner_role::remembered(const wire::envelope &message, time_point now) {
    std::vector<job_handle> jobs;
    for(const auto job: message.remembered().jobs()) {
        jobs.push_back(static_cast<job_handle>(job));
    }
    confirm(jobs, now);
}

void owner_role::recall(const wire::envelope &message) {
    const auto &in = message.ask_recall();
    wire::envelope out;
    auto &reply = *out.mutable_recalled();
    reply.set_epoch(in.epoch());
    out.set_to_incarnation(message.incarnation());
    {
        const std::lock_guard lock{m_witness_mutex};
        for(const auto slice: in.partitions()) {
            if(slice >= submission::partition_count) {
                continue;
            }
            m_fence.at(slice) = std::max(m_fence.at(slice), in.epoch());
            for(const auto &seen: m_witnessed.at(slice)) {
                reply.add_keys(seen.key);
                reply.add_key_partitions(slice);
            }
        }
    }
    m_out.send(host_id{message.from()}, std::move(out));
}

void owner_role::add_barred(std::uint64_t key, time_point now) {
    auto &part = shard_of_key(key);
    const std::lock_guard lock{part.mutex};
    part.table.add_lost(key, now);
}

void owner_role::recalled(const wire::envelope &message, time_point now) {
    for(const auto key: message.recalled().keys()) {
        add_barred(key, now);
    }
    m_control.recalled(host_id{message.from()}, static_cast<epoch>(message.recalled().epoch()));
}

void owner_role::recall_own(const std::vector<partition> &slices, time_point now) {
    std::vector<std::uint64_t> keys;
    {
        const std::lock_guard lock{m_witness_mutex};
        for(const auto slice: slices) {
            m_fence.at(raw(slice)) = std::max(m_fence.at(raw(slice)), raw(m_control.epoch_of(slice)));
            for(const auto &seen: m_witnessed.at(raw(slice))) {
                keys.push_back(seen.key);
            }
        }
    }
    for(const auto key: keys) {
        add_barred(key, now);
    }
}

void owner_role::journal_read(const std::vector<wire::record> &records, time_point now) {
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    for(const auto &record: records) {
        wire::journal_record entry;
        if(!google::protobuf::util::JsonStringToMessage(record.data(), &entry, options).ok() ||
           (entry.host() == m_options.host.str() && entry.incarnation() == raw(m_options.process))) {
            continue;
        }
        for(const auto key: unpack_keys(entry.packed_keys())) {
            add_barred(key, now);
        }
    }
}

void owner_role::transfer(const ownership::transfer_plan &plan, time_point now) {
    std::uint64_t serial{};
    {
        const std::lock_guard lock{m_transfer_mutex};
        serial = m_next_serial++;
        m_transfer = transfer_state{plan, serial, now, false, {}};
    }
    constexpr std::size_t entries_per_message = 200;
    std::vector<wire::envelope> messages(1);
    std::uint64_t total{};
    const auto current = [&]() -> wire::handover & {
        if(total > 0 && total % entries_per_message == 0) {
            messages.emplace_back();
        }
        ++total;
        auto &table = *messages.back().mutable_table();
        table.set_serial(serial);
        return table;
    };
    for(const auto &part: m_shards) {
        const std::lock_guard lock{part->mutex};
        for(const auto slice: plan.slices) {
            for(auto &entry: part->table.export_partition(slice, now)) {
                auto *out = current().add_entries();
                out->set_key(entry.key);
                out->set_customer(std::move(entry.customer));
                out->set_id(std::move(entry.id));
                out->set_digest(entry.digest);
                out->set_partition(raw(entry.slice));
                out->set_running(entry.running);
                out->set_age_ms(static_cast<std::uint32_t>(to_ms(entry.age)));
                *out->mutable_result() = to_wire(entry.result);
            }
        }
        for(const auto key: part->table.barred_keys()) {
            current().add_keys(key);
        }
    }
    auto &last = *messages.back().mutable_table();
    last.set_serial(serial);
    last.set_last(true);
    last.set_total(total);
    for(const auto slice: plan.slices) {
        last.add_partitions(raw(slice));
    }
    for(auto &message: messages) {
        message.set_to_incarnation(raw(plan.to_process));
        m_out.send(plan.to, std::move(message));
    }
}

void owner_role::table_received(const wire::envelope &message, time_point now) {
    const auto &in = message.table();
    const host_id from{message.from()};
    for(const auto &moved: in.entries()) {
        submission::transferred_entry entry{moved.key(),
                                            moved.customer(),
                                            moved.id(),
                                            moved.digest(),
                                            static_cast<partition>(moved.partition()),
                                            moved.running(),
                                            from_wire(moved.result()),
                                            milliseconds{moved.age_ms()}};
        auto &part = shard_of_key(moved.key());
        submission::owner_effects effects;
        {
            const std::lock_guard lock{part.mutex};
            part.table.import_entry(std::move(entry), from, now, effects);
        }
        carry_out(part, std::move(effects), now);
    }
    for(const auto key: in.keys()) {
        add_barred(key, now);
    }
    if(in.serial() == 0) {
        return;
    }
    std::uint64_t received{};
    {
        const std::lock_guard lock{m_transfer_mutex};
        auto &count = m_received[{from, in.serial()}];
        count += static_cast<std::uint64_t>(in.entries_size()) + static_cast<std::uint64_t>(in.keys_size());
        received = count;
        if(in.last()) {
            m_received.erase({from, in.serial()});
        }
    }
    if(!in.last() || received != in.total()) {
        return;
    }
    std::vector<partition> slices;
    for(const auto slice: in.partitions()) {
        slices.push_back(static_cast<partition>(slice));
    }
    m_control.received_table(slices, from, static_cast<incarnation>(message.incarnation()));
    wire::envelope out;
    out.mutable_table_ack()->set_serial(in.serial());
    out.set_to_incarnation(message.incarnation());
    m_out.send(from, std::move(out));
}

void owner_role::table_acknowledged(const wire::envelope &message, time_point now) {
    {
        const std::lock_guard lock{m_transfer_mutex};
        if(!m_transfer || m_transfer->serial != message.table_ack().serial()) {
            return;
        }
        m_transfer->acknowledged = true;
        m_transfer->append_at = now;
    }
    drive_transfer(now);
}

void owner_role::drive_transfer(time_point now) {
    std::optional<ownership::transfer_plan> append;
    auto abandon = false;
    {
        const std::lock_guard lock{m_transfer_mutex};
        if(!m_transfer) {
            return;
        }
        if(!m_transfer->acknowledged) {
            abandon = now - m_transfer->sent > internal::transfer_timeout;
            if(abandon) {
                m_transfer.reset();
            }
        } else if(now >= m_transfer->append_at) {
            m_transfer->append_at = now + internal::transfer_timeout;
            append = m_transfer->plan;
        }
    }
    if(abandon) {
        m_control.abandon_transfer();
    }
    if(!append) {
        return;
    }
    if(const auto record = m_control.transfer_record(*append)) {
        std::string text;
        (void)google::protobuf::util::MessageToJsonString(*record, &text);
        m_ports.log.append(port::log_stream::ownership, std::move(text), static_cast<port::append_token>(0));
    } else {
        const std::lock_guard lock{m_transfer_mutex};
        m_transfer.reset();
    }
}

void owner_role::flush_journal(time_point now) {
    wire::journal_record entry;
    std::vector<std::uint64_t> keys;
    std::uint64_t token{};
    {
        const std::lock_guard lock{m_record_mutex};
        m_journal_due = now + m_options.journal_interval;
        if(m_journal_batch.empty() || !m_journal_waits.empty()) {
            return;
        }
        token = m_next_token++;
        const auto count = std::min(m_journal_batch.size(), internal::max_journal_keys);
        auto &waits = m_journal_waits[token];
        for(std::size_t index = 0; index < count; ++index) {
            const auto &request = m_journal_batch[index];
            keys.push_back(request.key);
            waits.push_back(request);
        }
        m_journal_batch.erase(m_journal_batch.begin(), m_journal_batch.begin() + static_cast<std::ptrdiff_t>(count));
        m_journal_urgent = std::any_of(m_journal_batch.begin(), m_journal_batch.end(), [](const auto &r) { return raw(r.job) != 0; });
    }
    entry.set_packed_keys(pack_keys(keys));
    entry.set_domain(m_options.domain.str());
    entry.set_host(m_options.host.str());
    entry.set_incarnation(raw(m_options.process));
    std::string text;
    (void)google::protobuf::util::MessageToJsonString(entry, &text);
    m_ports.log.append(port::log_stream::journal, std::move(text), static_cast<port::append_token>(token));
}

bool owner_role::appended(port::append_token token, std::error_code error, time_point now) {
    std::vector<job_handle> jobs;
    auto more = false;
    {
        const std::lock_guard lock{m_record_mutex};
        const auto found = m_journal_waits.find(raw(token));
        if(found == m_journal_waits.end()) {
            return false;
        }
        for(const auto &request: found->second) {
            if(raw(request.job) != 0) {
                jobs.push_back(request.job);
            } else if(error && m_journal_batch.size() < internal::max_unwritten_keys) {
                m_journal_batch.push_back(request);
            }
        }
        m_journal_waits.erase(found);
        more = m_journal_urgent && !error;
    }
    if(error) {
        refuse(jobs, now);
    } else {
        confirm(jobs, now);
    }
    if(more) {
        flush_journal(now);
    }
    return true;
}

void owner_role::host_lost(const host_id &host, time_point now) {
    for(const auto &part: m_shards) {
        submission::owner_effects effects;
        {
            const std::lock_guard lock{part->mutex};
            part->table.host_lost(host, now, effects);
            part->table.fail_imported(host, now, effects);
        }
        carry_out(*part, std::move(effects), now);
    }
}

void owner_role::fall_back_to_journal(time_point now) {
    auto urgent = false;
    {
        const std::lock_guard lock{m_record_mutex};
        for(auto &[job, entry]: m_pending_records) {
            if(!entry.in_journal && now - entry.asked > m_options.witness_timeout) {
                entry.in_journal = true;
                m_journal_batch.push_back({static_cast<job_handle>(job), entry.key, entry.slice});
                m_journal_urgent = true;
            }
        }
        urgent = m_journal_urgent || (now >= m_journal_due && !m_journal_batch.empty());
    }
    if(urgent) {
        flush_journal(now);
    }
}

void owner_role::tick(time_point now) {
    for(const auto &part: m_shards) {
        submission::owner_effects effects;
        {
            const std::lock_guard lock{part->mutex};
            part->table.tick(now, effects);
        }
        carry_out(*part, std::move(effects), now);
    }
    fall_back_to_journal(now);
    drive_transfer(now);
    const std::lock_guard lock{m_witness_mutex};
    for(auto &seen: m_witnessed) {
        const auto old =
            std::find_if(seen.begin(), seen.end(), [&](const auto &entry) { return entry.at + m_options.table.key_retention > now; });
        seen.erase(seen.begin(), old);
    }
}

std::size_t owner_role::running() const {
    std::size_t count{};
    for(const auto &part: m_shards) {
        const std::lock_guard lock{part->mutex};
        count += part->table.running();
    }
    return count;
}

std::size_t owner_role::size() const {
    std::size_t count{};
    for(const auto &part: m_shards) {
        const std::lock_guard lock{part->mutex};
        count += part->table.size();
    }
    return count;
}

std::size_t owner_role::bytes() const {
    std::size_t count{};
    for(const auto &part: m_shards) {
        const std::lock_guard lock{part->mutex};
        count += part->table.bytes();
    }
    return count;
}

} // namespace heathermoor::host
