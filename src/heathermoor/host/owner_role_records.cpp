#include "heathermoor/host/owner_role.hpp"

#include "heathermoor/host/convert.hpp"
#include <algorithm>
#include <google/protobuf/util/json_util.h>

namespace heathermoor::host {

namespace internal {

/// Keys in one journal record.
constexpr std::size_t max_journal_keys = 5'000;
/// Limit of the batch beyond which keys of a failed append are dropped; no job waits for them.
constexpr std::size_t max_unwritten_keys = 500'000;

} // namespace internal

void owner_role::handle_witness(const wire::envelope &message, time_point now) {
    const auto &in = message.remember();
    wire::envelope out;
    auto &ack = *out.mutable_remembered();
    out.set_to_incarnation(message.incarnation());
    {
        const std::lock_guard lock{m_witness_mutex};
        for(int index = 0; index < std::min(in.keys_size(), std::min(in.partitions_size(), in.epochs_size())); ++index) {
            const auto partition = in.partitions(index);
            if(partition >= submission::partition_count || in.epochs(index) < m_fences.at(partition)) {
                ack.set_refused(true);
                continue;
            }
            m_witnessed_ids.at(partition).push_back({in.keys(index), now});
            ack.add_jobs(in.jobs(index));
        }
    }
    m_out.send(host_id{message.from()}, std::move(out));
}

void owner_role::start_recorded(const std::vector<job_handle> &jobs, time_point now) {
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
        const auto allowed = m_control.may_start(entry.partition, m_ports.clock.now());
        auto &table_shard = shard_of(job);
        submission::owner_effects effects;
        {
            const std::lock_guard lock{table_shard.mutex};
            table_shard.table.recorded(job, allowed, now, effects);
        }
        apply_effects(table_shard, std::move(effects), now);
    }
}

void owner_role::fail_unrecorded(const std::vector<job_handle> &jobs, time_point now) {
    for(const auto job: jobs) {
        {
            const std::lock_guard lock{m_record_mutex};
            m_pending_records.erase(raw(job));
        }
        auto &table_shard = shard_of(job);
        submission::owner_effects effects;
        {
            const std::lock_guard lock{table_shard.mutex};
            table_shard.table.record_failed(job, effects);
        }
        apply_effects(table_shard, std::move(effects), now);
    }
}

void owner_role::handle_witness_ack(const wire::envelope &message, time_point now) {
    std::vector<job_handle> jobs;
    for(const auto job: message.remembered().jobs()) {
        jobs.push_back(static_cast<job_handle>(job));
    }
    start_recorded(jobs, now);
}

void owner_role::handle_recall(const wire::envelope &message) {
    const auto &in = message.ask_recall();
    wire::envelope out;
    auto &reply = *out.mutable_recalled();
    reply.set_epoch(in.epoch());
    out.set_to_incarnation(message.incarnation());
    {
        const std::lock_guard lock{m_witness_mutex};
        for(const auto partition: in.partitions()) {
            if(partition >= submission::partition_count) {
                continue;
            }
            m_fences.at(partition) = std::max(m_fences.at(partition), in.epoch());
            for(const auto &seen: m_witnessed_ids.at(partition)) {
                reply.add_keys(seen.key);
                reply.add_key_partitions(partition);
            }
        }
    }
    m_out.send(host_id{message.from()}, std::move(out));
}

void owner_role::add_rejected_key(std::uint64_t key, time_point now) {
    auto &table_shard = shard_of_key(key);
    const std::lock_guard lock{table_shard.mutex};
    table_shard.table.mark_may_have_run(key, now);
}

void owner_role::handle_recall_reply(const wire::envelope &message, time_point now) {
    for(const auto key: message.recalled().keys()) {
        add_rejected_key(key, now);
    }
    m_control.recall_answered(host_id{message.from()}, static_cast<epoch>(message.recalled().epoch()));
}

void owner_role::reject_witnessed_ids(const std::vector<partition_id> &partitions, time_point now) {
    std::vector<std::uint64_t> keys;
    {
        const std::lock_guard lock{m_witness_mutex};
        for(const auto partition: partitions) {
            m_fences.at(raw(partition)) = std::max(m_fences.at(raw(partition)), raw(m_control.epoch_of(partition)));
            for(const auto &seen: m_witnessed_ids.at(raw(partition))) {
                keys.push_back(seen.key);
            }
        }
    }
    for(const auto key: keys) {
        add_rejected_key(key, now);
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
            add_rejected_key(key, now);
        }
    }
}

void owner_role::flush_journal(time_point now) {
    wire::journal_record entry;
    std::vector<std::uint64_t> keys;
    std::uint64_t token{};
    {
        const std::lock_guard lock{m_record_mutex};
        m_journal_due = now + m_options.journal_interval;
        if(m_journal_batch.empty() || !m_inflight_appends.empty()) {
            return;
        }
        token = m_next_token++;
        const auto count = std::min(m_journal_batch.size(), internal::max_journal_keys);
        auto &in_flight = m_inflight_appends[token];
        for(std::size_t index = 0; index < count; ++index) {
            const auto &request = m_journal_batch[index];
            keys.push_back(request.key);
            in_flight.push_back(request);
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
        const auto found = m_inflight_appends.find(raw(token));
        if(found == m_inflight_appends.end()) {
            return false;
        }
        for(const auto &request: found->second) {
            if(raw(request.job) != 0) {
                jobs.push_back(request.job);
            } else if(error && m_journal_batch.size() < internal::max_unwritten_keys) {
                m_journal_batch.push_back(request);
            }
        }
        m_inflight_appends.erase(found);
        more = m_journal_urgent && !error;
    }
    if(error) {
        fail_unrecorded(jobs, now);
    } else {
        start_recorded(jobs, now);
    }
    if(more) {
        flush_journal(now);
    }
    return true;
}

void owner_role::fall_back_to_journal(time_point now) {
    auto urgent = false;
    {
        const std::lock_guard lock{m_record_mutex};
        for(auto &[job, entry]: m_pending_records) {
            if(!entry.in_journal && now - entry.asked > m_options.witness_timeout) {
                entry.in_journal = true;
                m_journal_batch.push_back({static_cast<job_handle>(job), entry.key, entry.partition});
                m_journal_urgent = true;
            }
        }
        urgent = m_journal_urgent || (now >= m_journal_due && !m_journal_batch.empty());
    }
    if(urgent) {
        flush_journal(now);
    }
}
} // namespace heathermoor::host
