#include "heathermoor/host/owner_role.hpp"

#include "heathermoor/host/convert.hpp"
#include <google/protobuf/util/json_util.h>

namespace heathermoor::host {

namespace internal {

/// Time after which an unacknowledged transfer is cancelled, or the record of an acknowledged one is appended again.
constexpr duration transfer_timeout = seconds{1};

} // namespace internal

void owner_role::transfer(const ownership::transfer_plan &plan, time_point now) {
    std::uint64_t serial{};
    {
        const std::lock_guard lock{m_transfer_mutex};
        serial = m_next_serial++;
        m_transfer = transfer_state{plan, serial, now, false, {}};
    }
    // Entries and keys in one message; the receiver acknowledges the table when the count of the last message is reached.
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
    for(const auto &table_shard: m_shards) {
        const std::lock_guard lock{table_shard->mutex};
        for(const auto partition: plan.partitions) {
            for(auto &entry: table_shard->table.export_partition(partition, now)) {
                auto *out = current().add_entries();
                out->set_key(entry.key);
                out->set_customer(std::move(entry.customer));
                out->set_id(std::move(entry.id));
                out->set_digest(entry.digest);
                out->set_partition(raw(entry.partition));
                out->set_running(entry.running);
                out->set_age_ms(static_cast<std::uint32_t>(to_ms(entry.age)));
                *out->mutable_result() = to_wire(entry.result);
            }
        }
        for(const auto key: table_shard->table.barred_keys()) {
            current().add_keys(key);
        }
    }
    auto &last = *messages.back().mutable_table();
    last.set_serial(serial);
    last.set_last(true);
    last.set_total(total);
    for(const auto partition: plan.partitions) {
        last.add_partitions(raw(partition));
    }
    for(auto &message: messages) {
        message.set_to_incarnation(raw(plan.to_process));
        m_out.send(plan.to, std::move(message));
    }
}

void owner_role::handle_transfer_table(const wire::envelope &message, time_point now) {
    const auto &in = message.table();
    const host_id from{message.from()};
    for(const auto &moved: in.entries()) {
        submission::transferred_entry entry{moved.key(),
                                            moved.customer(),
                                            moved.id(),
                                            moved.digest(),
                                            static_cast<partition_id>(moved.partition()),
                                            moved.running(),
                                            from_wire(moved.result()),
                                            milliseconds{moved.age_ms()}};
        auto &table_shard = shard_of_key(moved.key());
        submission::owner_effects effects;
        {
            const std::lock_guard lock{table_shard.mutex};
            table_shard.table.import_entry(std::move(entry), from, now, effects);
        }
        apply_effects(table_shard, std::move(effects), now);
    }
    for(const auto key: in.keys()) {
        add_rejected_key(key, now);
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
    std::vector<partition_id> partitions;
    for(const auto partition: in.partitions()) {
        partitions.push_back(static_cast<partition_id>(partition));
    }
    m_control.received_table(partitions, from, static_cast<incarnation>(message.incarnation()));
    wire::envelope out;
    out.mutable_table_ack()->set_serial(in.serial());
    out.set_to_incarnation(message.incarnation());
    m_out.send(from, std::move(out));
}

void owner_role::handle_transfer_ack(const wire::envelope &message, time_point now) {
    {
        const std::lock_guard lock{m_transfer_mutex};
        if(!m_transfer || m_transfer->serial != message.table_ack().serial()) {
            return;
        }
        m_transfer->acknowledged = true;
        m_transfer->append_at = now;
    }
    advance_transfer(now);
}

void owner_role::advance_transfer(time_point now) {
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
} // namespace heathermoor::host
