#include "support/pool_world_host.hpp"

#include "heathermoor/core/event.hpp"
#include <algorithm>
#include <fmt/format.h>

namespace heathermoor::test {

namespace {

/// Time that the store needs for an answer.
constexpr duration store_latency = milliseconds{4};

/// Timeout of a read beyond its wait.
constexpr duration read_timeout = milliseconds{1'500};

/// The operators' limit: time from the store's confirmation until a version must be in force.
constexpr duration apply_limit = milliseconds{2'000};

/// Time after a disruption of its connections from which a host must keep the limit.
constexpr duration disruption_limit = milliseconds{3'000};

} // namespace

void pool_world::publish_config() {
    store_config(true);
}

void pool_world::publish_unreadable_config() {
    store_config(false);
}

void pool_world::store_config(bool readable) {
    m_versions.push_back({m_versions.back().version + 1, readable, m_now});
    std::vector<std::uint64_t> reads;
    for(const auto &[id, read]: m_config_waits) {
        reads.push_back(id);
    }
    for(const auto id: reads) {
        answer_config(id);
    }
}

void pool_world::read_config(std::size_t host, feed::read_id number, std::optional<std::uint64_t> from, milliseconds wait) {
    ++m_config_reads;
    const auto id = m_config_reads;
    const config_read read{number, host, m_hosts.at(host)->process, from.value_or(m_versions.size() - 1),
                           m_store_cut || m_muted_hosts.contains(host)};
    m_config_waits.emplace(id, read);
    if(read.from < m_versions.size() || wait == milliseconds{0}) {
        at(store_latency, [this, id] { answer_config(id); });
    } else {
        at(wait + store_latency, [this, id] { answer_config(id); });
    }
    at(wait + read_timeout, [this, id, read] {
        if(m_config_waits.erase(id) > 0) {
            deliver_config(read, {});
        }
    });
}

void pool_world::answer_config(std::uint64_t id) {
    const auto found = m_config_waits.find(id);
    if(found == m_config_waits.end() || found->second.lost) {
        return;
    }
    const auto read = found->second;
    m_config_waits.erase(found);
    feed::topic_page page;
    page.result = feed::read_result::done;
    page.end = log_offset{m_versions.size()};
    for(auto offset = read.from; offset < m_versions.size(); ++offset) {
        const auto &record = m_versions[offset];
        page.records.push_back({log_offset{offset}, "config", record.readable ? std::to_string(record.version) : "unreadable"});
    }
    deliver_config(read, std::move(page));
}

void pool_world::deliver_config(const config_read &read, feed::topic_page page) {
    page.read = read.number;
    at(store_latency, [this, read, page = std::move(page)] {
        on_host(read.host, read.process,
                [this, host = read.host, page](member::member &) { m_hosts.at(host)->config->answered(page, m_now); });
    });
}

void pool_world::mute_store(std::size_t host, bool mute) {
    if(!mute) {
        m_muted_hosts.erase(host);
        return;
    }
    m_muted_hosts.insert(host);
    for(auto &[id, read]: m_config_waits) {
        read.lost = read.lost || read.host == host;
    }
}

std::uint64_t pool_world::promised_version() const {
    std::uint64_t promised = 0;
    if(m_silenced_at && m_now - *m_silenced_at < disruption_limit) {
        return promised;
    }
    for(const auto &record: m_versions) {
        if(record.readable && m_now - record.stored_at >= apply_limit) {
            promised = record.version;
        }
    }
    return promised;
}

std::uint64_t pool_world::version(std::size_t host) const {
    const auto &state = *m_hosts.at(host);
    return state.running && state.host->routes().configured() ? raw(state.host->routes().current().version) : 0;
}

std::uint64_t pool_world::rejections(std::size_t host) const {
    return m_hosts.at(host)->config->rejections();
}

} // namespace heathermoor::test
