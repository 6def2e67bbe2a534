#include "heathermoor/host/node.hpp"

#include "heathermoor/core/log.hpp"
#include <google/protobuf/util/json_util.h>

namespace heathermoor::host {

namespace internal {

/// Time between passes that connect to all known peers.
constexpr duration connect_interval = milliseconds{500};
/// Number of heartbeats from one with all fields to the next.
constexpr std::uint64_t full_heartbeat_every = 5;

} // namespace internal

node::node(settings options, const port::port_set &ports)
    : m_options{std::move(options)}, m_ports{ports}, m_control{m_options, ports.clock.now()}, m_owner{m_options, m_control, m_ports, *this},
      m_dispatch{m_options, *this, *this}, m_entry{m_options, m_control, *this},
      m_id_generator{m_options.domain, m_options.host, m_options.process}, m_started{ports.clock.now()} {}

void node::send(const host_id &to, wire::envelope message) {
    const auto meant_for = message.to_incarnation();
    m_control.fill_header(to, message, m_ports.clock.now());
    if(meant_for != 0) {
        message.set_to_incarnation(meant_for);
    }
    ++m_counters.messages_sent;
    m_ports.peers.send(to, std::move(message));
}

void node::start(placement::start_request request) {
    ++m_counters.starts;
    m_ports.targets.start(std::move(request));
}

void node::stop(placement::stop_request request) {
    m_ports.targets.stop(std::move(request));
}

void node::append(port::log_stream stream, std::string data) {
    ++m_counters.log_appends;
    m_ports.log.append(stream, std::move(data), static_cast<port::append_token>(0));
}

void node::submit(submission::job_spec spec, completion done) {
    ++m_counters.submissions;
    m_entry.submit(std::move(spec), std::move(done), m_ports.clock.now());
}

void node::query_job(job_query query, completion done) {
    m_entry.query_job(std::move(query), std::move(done), m_ports.clock.now());
}

std::vector<submission_id> node::mint(std::size_t count) {
    const auto age = std::chrono::duration_cast<milliseconds>(m_ports.clock.now() - m_started);
    const std::lock_guard lock{m_mint_mutex};
    return m_id_generator.generate(count, age);
}

void node::receive(const wire::envelope &message) {
    const auto now = m_ports.clock.now();
    control_effects effects;
    ++m_counters.messages_received;
    if(!m_control.accept_message(message, now, effects)) {
        return;
    }
    apply_effects(std::move(effects), now);
    switch(message.body_case()) {
    case wire::envelope::kBeat:
        m_control.handle_heartbeat(message, now);
        break;
    case wire::envelope::kSubmitJob:
        m_owner.submit(message, now);
        break;
    case wire::envelope::kReply:
        m_entry.answered(message, now);
        break;
    case wire::envelope::kFindJob:
        m_owner.find(message, now);
        break;
    case wire::envelope::kPlace:
        m_dispatch.place(message, now);
        break;
    case wire::envelope::kPlaced:
        m_control.load_reported(message);
        m_owner.placed(message, now);
        break;
    case wire::envelope::kCancel:
        m_dispatch.cancel(message, now);
        break;
    case wire::envelope::kRemember:
        m_owner.handle_witness(message, now);
        break;
    case wire::envelope::kRemembered:
        m_owner.handle_witness_ack(message, now);
        break;
    case wire::envelope::kAskRecall:
        m_owner.handle_recall(message);
        break;
    case wire::envelope::kRecalled:
        m_owner.handle_recall_reply(message, now);
        break;
    case wire::envelope::kTable:
        m_owner.handle_transfer_table(message, now);
        break;
    case wire::envelope::kTableAck:
        m_owner.handle_transfer_ack(message, now);
        break;
    case wire::envelope::kRecords: {
        control_effects relayed;
        m_control.handle_relay(message.records(), now, relayed);
        apply_effects(std::move(relayed), now);
        break;
    }
    case wire::envelope::kPoolBeat:
    case wire::envelope::kPoolJob:
    case wire::envelope::kPoolCancelled:
    case wire::envelope::kPoolAsked:
    case wire::envelope::kPoolAnswered:
    case wire::envelope::kPoolPulled:
    case wire::envelope::kPoolRoutes:
    case wire::envelope::kPoolTargets:
    case wire::envelope::kPoolLearned:
    case wire::envelope::kPoolLocked:
    case wire::envelope::kPoolEvacuated:
    case wire::envelope::kPoolLent:
    case wire::envelope::kPoolCancels:
    case wire::envelope::BODY_NOT_SET:
        break;
    }
}

void node::target_answered(placement::target_answer answer) {
    m_dispatch.answered(std::move(answer), m_ports.clock.now());
}

void node::log_read(const port::log_batch &batch) {
    const auto now = m_ports.clock.now();
    control_effects effects;
    m_control.log_read(batch, now, effects);
    apply_effects(std::move(effects), now);
}

void node::journal_read(const std::vector<wire::record> &records, bool complete) {
    m_owner.journal_read(records, m_ports.clock.now());
    m_control.journal_read(complete);
    m_reading_journal = false;
}

void node::appended(port::append_token token, std::error_code error) {
    if(!m_owner.appended(token, error, m_ports.clock.now()) && error) {
        log(log_level::warning, "log", "Log append failed. token={} error={}", raw(token), error.message());
    }
}

void node::host_list(std::vector<port::listed_host> hosts) {
    control_effects effects;
    m_control.host_list(std::move(hosts), effects);
    apply_effects(std::move(effects), m_ports.clock.now());
}

void node::apply_effects(control_effects effects, time_point now) {
    for(const auto &lost: effects.lost) {
        log(log_level::warning, "membership", "Peer lost. host={} incarnation={:x}", lost.host.str(), raw(lost.process));
        m_owner.host_lost(lost.host, now);
        m_dispatch.owner_lost(lost.host, lost.process);
        m_entry.host_lost(lost.host, now);
    }
    for(auto &entry: effects.audit) {
        log(log_level::info, "audit", "Configuration change decided. offset={} change={} author={} verdict={}", raw(entry.offset),
            entry.change_id, entry.author, code_name(entry.verdict));
    }
    if(effects.policy_changed) {
        m_dispatch.set_policy(*m_control.policy());
    }
    if(effects.targets_changed || effects.policy_changed) {
        m_dispatch.set_targets(m_control.own_targets(), now);
        m_control.update_loads(m_dispatch.load());
    }
    for(auto &record: effects.appends) {
        std::string text;
        (void)google::protobuf::util::MessageToJsonString(record, &text);
        append(port::log_stream::ownership, std::move(text));
    }
    if(effects.snapshot) {
        append(port::log_stream::config, std::move(*effects.snapshot));
    }
    for(const auto &request: effects.recalls) {
        wire::envelope message;
        auto &recall = *message.mutable_ask_recall();
        recall.set_owner(request.previous.host.str());
        recall.set_owner_incarnation(raw(request.previous.process));
        recall.set_epoch(raw(request.claimed));
        for(const auto partition: request.partitions) {
            recall.add_partitions(raw(partition));
        }
        send(request.peer, std::move(message));
    }
    if(!effects.claimed.empty()) {
        log(log_level::info, "ownership", "Partitions claimed from a lost owner. count={}", effects.claimed.size());
        m_owner.reject_witnessed_ids(effects.claimed, now);
    }
    if(effects.read_journal && !m_reading_journal.exchange(true)) {
        m_ports.log.read_journal();
    }
    if(effects.transfer) {
        log(log_level::info, "ownership", "Transferring partitions. to={} count={}", effects.transfer->to.str(),
            effects.transfer->partitions.size());
        m_owner.transfer(*effects.transfer, now);
    }
}

void node::send_heartbeats(time_point now) {
    const auto load = m_dispatch.load();
    const auto far_every = std::max(m_options.far_heartbeat_every, 1U);
    const auto far = m_heartbeats % far_every == 0;
    const auto full = (m_heartbeats / (far ? far_every : 1U)) % internal::full_heartbeat_every == 0;
    ++m_heartbeats;
    for(const auto &peer: m_control.heartbeat_receivers(far)) {
        wire::envelope message;
        *message.mutable_beat() = m_control.make_heartbeat(peer, load, full, now);
        send(peer, std::move(message));
        if(const auto records = m_control.relay_for(peer)) {
            wire::envelope relay;
            *relay.mutable_records() = *records;
            send(peer, std::move(relay));
        }
    }
    m_control.update_loads(load);
}

void node::tick() {
    const std::lock_guard lock{m_tick_mutex};
    const auto now = m_ports.clock.now();
    if(now >= m_next_connect) {
        m_next_connect = now + internal::connect_interval;
        for(const auto &[host, address]: m_control.addresses()) {
            m_ports.peers.connect(host, address);
        }
    }
    control_effects effects;
    m_control.tick(now, effects);
    apply_effects(std::move(effects), now);
    m_dispatch.tick(now, m_control.free_elsewhere());
    m_owner.tick(now);
    m_entry.tick(now);
    if(now >= m_next_heartbeat) {
        m_next_heartbeat = now + m_options.heartbeat;
        send_heartbeats(now);
    }
}

void node::drain() {
    if(m_draining.exchange(true)) {
        return;
    }
    const auto now = m_ports.clock.now();
    log(log_level::info, "host", "Draining. host={}", m_options.host.str());
    m_control.drain();
    m_dispatch.set_targets({}, now);
    m_dispatch.drain(now);
    const std::lock_guard lock{m_tick_mutex};
    send_heartbeats(now);
}

bool node::drained() const {
    return m_draining && !m_control.transfer_pending() && m_owner.running() == 0 && m_dispatch.active() == 0 && m_entry.pending() == 0;
}

bool node::ready() const {
    return !m_draining && m_control.configured();
}

} // namespace heathermoor::host
