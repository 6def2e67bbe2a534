#include "heathermoor/host/control_role.hpp"

#include "heathermoor/core/rendezvous.hpp"
#include "heathermoor/host/convert.hpp"
#include <algorithm>
#include <google/protobuf/util/json_util.h>

namespace heathermoor::host {

namespace internal {

/// Configuration records kept for relaying; a peer that lacks older ones gets a snapshot.
constexpr std::size_t max_recent_records = 512;
constexpr std::size_t max_relayed_records = 64;
/// Members of a failure domain that exchange heartbeats with a given host of another one.
constexpr std::ptrdiff_t gateways_per_domain = 2;

[[nodiscard]] time_point to_time(std::int64_t us) noexcept {
    return time_point{duration{us}};
}

/// Whether heartbeats, and with them loads, are exchanged with a failure domain.
[[nodiscard]] bool is_neighbour(const settings &options, const failure_domain_id &domain) {
    const auto &listed = options.neighbours;
    return listed.empty() || std::find(listed.begin(), listed.end(), domain) != listed.end();
}

/// Whether a host is among those of its failure domain that rendezvous hashing pairs with a host of another domain.
[[nodiscard]] bool is_gateway(const host_id &host, const std::map<host_id, ownership::member> &members, const host_id &elsewhere) {
    const auto key = hash64(elsewhere.str());
    const auto own = rendezvous_score(host.str(), 1.0, key);
    const auto better = std::count_if(members.begin(), members.end(),
                                      [&](const auto &entry) { return rendezvous_score(entry.first.str(), 1.0, key) > own; });
    return better < gateways_per_domain;
}

[[nodiscard]] std::int64_t to_us(time_point value) noexcept {
    return value.time_since_epoch().count();
}

} // namespace internal

control_role::control_role(const settings &options, time_point now)
    : m_options{options}, m_peers{options.domain, options.heartbeat_timeout, options.heartbeat_timeout * options.far_heartbeat_every},
      m_partition_manager{{options.host, options.process, options.peer_address, options.http_address, options.weight},
                          options.domain,
                          options.partition_manager,
                          now},
      m_lease{options.partition_manager.lease_period} {}

bool control_role::accept_message(const wire::envelope &message, time_point now, control_effects &effects) {
    const std::lock_guard lock{m_mutex};
    if(message.to_incarnation() != 0 && message.to_incarnation() != raw(m_options.process)) {
        return false;
    }
    const host_id from{message.from()};
    if(from == m_options.host) {
        return message.incarnation() == raw(m_options.process);
    }
    const auto process = static_cast<incarnation>(message.incarnation());
    if(const auto *known = m_peers.find(from); known != nullptr && raw(known->process) > raw(process)) {
        return false;
    }
    // Only a heartbeat introduces a peer; other messages of unknown senders are handled without recording it.
    if(m_peers.find(from) == nullptr && !message.has_beat()) {
        return true;
    }
    const auto was_alive = m_peers.alive(from);
    auto replaced = m_peers.record_contact(from, failure_domain_id{message.domain()}, process, internal::to_time(message.sent_us()), now);
    if(replaced) {
        effects.lost.push_back(*replaced);
    }
    effects.targets_changed = effects.targets_changed || !was_alive || replaced.has_value();
    return true;
}

void control_role::handle_heartbeat(const wire::envelope &message, time_point now) {
    const std::lock_guard lock{m_mutex};
    const host_id from{message.from()};
    auto *peer = m_peers.find(from);
    if(peer == nullptr) {
        return;
    }
    const auto &heartbeat = message.beat();
    peer->draining = heartbeat.draining();
    peer->config_offset = heartbeat.config_offset();
    if(heartbeat.weight() > 0.0) {
        peer->config_hash = heartbeat.config_hash();
        peer->http_address = heartbeat.http_address();
        peer->weight = heartbeat.weight();
        m_seeds[from] = heartbeat.peer_address();
    }
    peer->load.clear();
    for(const auto &load: heartbeat.load()) {
        peer->load.push_back(from_wire(load));
    }
    const auto asked = internal::to_time(message.echo_us());
    if(message.to_incarnation() != raw(m_options.process) || asked == time_point{} || asked > now) {
        return;
    }
    if(heartbeat.no_claim() && peer->domain == m_options.domain) {
        m_lease.promised(from, asked);
    }
    // A peer's log read renews the own lease only if this host has applied at least as much of the stream as the peer.
    const auto current = heartbeat.ownership_offset() <= raw(m_map.next_offset());
    if(heartbeat.log_evidence() && current && m_ownership_read) {
        m_lease.log_read(asked - milliseconds{heartbeat.log_age_ms()});
    }
}

void control_role::fill_header(const host_id &to, wire::envelope &message, time_point now) const {
    const std::lock_guard lock{m_mutex};
    message.set_from(m_options.host.str());
    message.set_incarnation(raw(m_options.process));
    message.set_domain(m_options.domain.str());
    message.set_sent_us(internal::to_us(now));
    if(to == m_options.host) {
        message.set_to_incarnation(raw(m_options.process));
    } else if(const auto *peer = m_peers.find(to); peer != nullptr) {
        message.set_echo_us(internal::to_us(peer->peer_clock));
        message.set_to_incarnation(raw(peer->process));
    }
}

void control_role::merge_effects(ownership::partition_manager_effects requested, control_effects &effects) const {
    std::move(requested.appends.begin(), requested.appends.end(), std::back_inserter(effects.appends));
    std::move(requested.recalls.begin(), requested.recalls.end(), std::back_inserter(effects.recalls));
    effects.claimed.insert(effects.claimed.end(), requested.claimed.begin(), requested.claimed.end());
    effects.read_journal = effects.read_journal || requested.read_journal;
    if(requested.transfer) {
        effects.transfer = std::move(requested.transfer);
    }
}

void control_role::apply_config(log_offset offset, const std::string &data, control_effects &effects) {
    if(raw(offset) < raw(m_config.next_offset())) {
        return;
    }
    wire::record kept;
    kept.set_offset(raw(offset));
    kept.set_data(data);
    m_recent_config.push_back(std::move(kept));
    if(m_recent_config.size() > internal::max_recent_records) {
        m_recent_config.pop_front();
    }
    const auto before = m_config.current();
    if(auto entry = m_config.apply(offset, data)) {
        effects.audit.push_back(std::move(*entry));
    }
    effects.policy_changed = effects.policy_changed || m_config.current() != before;
}

void control_role::apply_ownership(const wire::record &record, time_point now, control_effects &effects) {
    wire::ownership_record change;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    if(!google::protobuf::util::JsonStringToMessage(record.data(), &change, options).ok()) {
        return;
    }
    const auto granted = m_map.apply(static_cast<log_offset>(record.offset()), change);
    ownership::partition_manager_effects requested;
    m_partition_manager.applied(change, static_cast<log_offset>(record.offset()), granted, m_map, m_peers, now, requested);
    merge_effects(std::move(requested), effects);
}

void control_role::log_read(const port::log_batch &batch, time_point now, control_effects &effects) {
    const std::lock_guard lock{m_mutex};
    if(batch.stream == port::log_stream::config) {
        m_config.truncated(batch.first);
        for(const auto &record: batch.records) {
            apply_config(static_cast<log_offset>(record.offset()), record.data(), effects);
        }
        const auto caught_up = raw(m_config.next_offset()) >= raw(batch.tail);
        if(caught_up && m_config.complete() && m_config.records_since_snapshot() >= m_options.snapshot_interval && is_snapshot_writer()) {
            if(!m_snapshot_due) {
                effects.snapshot = m_config.snapshot();
            }
            m_snapshot_due = true;
        } else {
            m_snapshot_due = false;
        }
        return;
    }
    for(const auto &record: batch.records) {
        apply_ownership(record, now, effects);
    }
    if(raw(m_map.next_offset()) >= raw(batch.tail)) {
        m_lease.log_read(batch.asked);
        m_direct_read = std::max(m_direct_read, batch.asked);
        m_ownership_read = true;
    }
}

bool control_role::is_snapshot_writer() const {
    const auto turn = raw(m_config.next_offset()) / m_options.snapshot_interval;
    const auto own = rendezvous_score(m_options.host.str(), 1.0, turn);
    return std::none_of(m_peers.all().begin(), m_peers.all().end(),
                        [&](const auto &entry) { return entry.second.alive && rendezvous_score(entry.first.str(), 1.0, turn) > own; });
}

void control_role::handle_relay(const wire::relay &message, time_point /*now*/, control_effects &effects) {
    const std::lock_guard lock{m_mutex};
    for(const auto &record: message.records()) {
        if(record.offset() > raw(m_config.next_offset())) {
            m_config.truncated(static_cast<log_offset>(record.offset()));
        }
        apply_config(static_cast<log_offset>(record.offset()), record.data(), effects);
    }
}

std::optional<wire::relay> control_role::relay_for(const host_id &to) const {
    const std::lock_guard lock{m_mutex};
    const auto *peer = m_peers.find(to);
    const auto last = raw(m_config.next_offset()) - 1;
    if(peer == nullptr || !m_config.complete() || peer->config_offset >= last) {
        return std::nullopt;
    }
    wire::relay message;
    message.set_stream("config");
    if(m_recent_config.empty() || m_recent_config.front().offset() > peer->config_offset + 1) {
        auto *record = message.add_records();
        record->set_offset(last + 1);
        record->set_data(m_config.snapshot());
        return message;
    }
    for(const auto &record: m_recent_config) {
        if(record.offset() > peer->config_offset && message.records_size() < static_cast<int>(internal::max_relayed_records)) {
            *message.add_records() = record;
        }
    }
    return message;
}

void control_role::host_list(std::vector<port::listed_host> hosts, control_effects &effects) {
    const std::lock_guard lock{m_mutex};
    m_hosts = std::move(hosts);
    std::set<host_id> live;
    for(const auto &listed: m_hosts) {
        if(!listed.is_target) {
            live.insert(host_id{listed.id});
        }
    }
    m_partition_manager.host_list(std::move(live));
    effects.targets_changed = true;
}

void control_role::tick(time_point now, control_effects &effects) {
    const std::lock_guard lock{m_mutex};
    for(auto &lost: m_peers.tick(now)) {
        effects.lost.push_back(std::move(lost));
        effects.targets_changed = true;
    }
    if(!m_ownership_read) {
        return;
    }
    ownership::partition_manager_effects requested;
    m_partition_manager.tick(m_map, m_peers, now, requested);
    merge_effects(std::move(requested), effects);
}

wire::heartbeat control_role::make_heartbeat(const host_id &to, const std::map<pool_id, placement::pool_load> &load, bool full,
                                             time_point now) {
    const std::lock_guard lock{m_mutex};
    wire::heartbeat heartbeat;
    for(const auto &[pool, summary]: load) {
        *heartbeat.add_load() = to_wire(pool, summary);
    }
    heartbeat.set_draining(m_draining);
    heartbeat.set_config_offset(m_config.complete() ? raw(m_config.next_offset()) - 1 : 0);
    if(full) {
        heartbeat.set_config_hash(m_config.hash());
        heartbeat.set_http_address(m_options.http_address);
        heartbeat.set_peer_address(m_options.peer_address);
        heartbeat.set_weight(m_options.weight);
    }
    const auto age = now - m_direct_read;
    heartbeat.set_log_evidence(m_ownership_read && age < m_options.partition_manager.lease_period);
    heartbeat.set_log_age_ms(static_cast<std::uint32_t>(to_ms(age)) + 1);
    heartbeat.set_ownership_offset(raw(m_map.next_offset()));
    const auto *peer = m_peers.find(to);
    heartbeat.set_no_claim(peer != nullptr && peer->domain == m_options.domain && m_ownership_read &&
                           m_partition_manager.promise(to, m_peers, now));
    return heartbeat;
}

std::vector<host_id> control_role::heartbeat_receivers(bool far) const {
    const std::lock_guard lock{m_mutex};
    std::set<host_id> names;
    for(const auto &[host, address]: m_seeds) {
        names.insert(host);
    }
    const auto &own = m_map.members(m_options.domain);
    for(const auto &domain: m_map.domains()) {
        const auto &others = m_map.members(domain);
        for(const auto &[host, joined]: others) {
            const auto near = domain == m_options.domain;
            const auto paired = internal::is_gateway(host, others, m_options.host) || internal::is_gateway(m_options.host, own, host);
            if(near || (far && paired && internal::is_neighbour(m_options, domain))) {
                names.insert(host);
            }
        }
    }
    names.erase(m_options.host);
    return {names.begin(), names.end()};
}

std::vector<std::pair<host_id, std::string>> control_role::addresses() const {
    const std::lock_guard lock{m_mutex};
    std::map<host_id, std::string> found = m_seeds;
    for(const auto &domain: m_map.domains()) {
        for(const auto &[host, joined]: m_map.members(domain)) {
            if(!joined.peer_address.empty()) {
                found[host] = joined.peer_address;
            }
        }
    }
    found.erase(m_options.host);
    return {found.begin(), found.end()};
}

void control_role::add_seed(const host_id &host, const std::string &address) {
    const std::lock_guard lock{m_mutex};
    m_seeds[host] = address;
}

std::shared_ptr<const config::policy> control_role::policy() const {
    const std::lock_guard lock{m_mutex};
    return m_config.current();
}

bool control_role::configured() const {
    const std::lock_guard lock{m_mutex};
    return m_config.complete() && !m_config.current()->services.empty();
}

log_offset control_role::next_offset(port::log_stream stream) const {
    const std::lock_guard lock{m_mutex};
    return stream == port::log_stream::config ? m_config.next_offset() : m_map.next_offset();
}

host_status control_role::status(time_point now) const {
    const std::lock_guard lock{m_mutex};
    host_status result;
    result.config_offset = static_cast<log_offset>(raw(m_config.next_offset()) - 1);
    result.config_hash = m_config.hash();
    result.config_complete = m_config.complete();
    result.lease_valid = lease_valid(now);
    for(std::uint32_t index = 0; index < submission::partition_count; ++index) {
        const auto state = m_partition_manager.state(static_cast<partition_id>(index));
        result.partitions_serving += state == ownership::service_state::serving ? 1U : 0U;
        result.partitions_waiting += state == ownership::service_state::waiting ? 1U : 0U;
    }
    for(const auto &[host, peer]: m_peers.all()) {
        result.peers.push_back(peer);
    }
    return result;
}

std::vector<config::audit_entry> control_role::history() const {
    const std::lock_guard lock{m_mutex};
    return {m_config.history().begin(), m_config.history().end()};
}

std::map<config::item_key, config::versioned_item> control_role::items() const {
    const std::lock_guard lock{m_mutex};
    return m_config.items();
}

} // namespace heathermoor::host
