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

/// The operators' limit: time from the store's confirmation until an evacuation must be in force.
constexpr duration evacuation_limit = milliseconds{5'000};

/// Time since its last disturbance after which the limits hold for a host.
constexpr duration contact_time = milliseconds{4'000};

} // namespace

void pool_world::publish_config() {
    store_config(true);
}

void pool_world::publish_unreadable_config() {
    store_config(false);
}

void pool_world::store_config(bool readable) {
    store_record({m_versions.back().version + 1, readable, m_now, {}, {}});
}

void pool_world::store_record(std::string key, std::optional<std::string> value) {
    store_record({m_versions.back().version, true, m_now, std::move(key), std::move(value)});
}

void pool_world::evacuate(std::uint32_t domain, bool in_force) {
    if(in_force) {
        m_evacuated_since.try_emplace(domain, m_now);
    } else {
        m_evacuated_since.erase(domain);
    }
    store_record(fmt::format("evacuate/d{}", domain), in_force ? std::optional{std::string{"{}"}} : std::nullopt);
}

std::uint64_t pool_world::starts_in(std::uint32_t domain) const {
    const auto found = m_starts.find(domain);
    return found == m_starts.end() ? 0 : found->second;
}

std::size_t pool_world::busy_targets(std::uint32_t domain) const {
    const auto first = m_targets.begin() + static_cast<std::ptrdiff_t>(domain * m_options.targets_per_domain);
    return static_cast<std::size_t>(std::count_if(first, first + static_cast<std::ptrdiff_t>(m_options.targets_per_domain),
                                                  [](const model::target &target) { return !target.runs().empty(); }));
}

void pool_world::compact_config() {
    m_first_version = m_versions.size();
}

bool pool_world::in_touch(std::size_t host) const {
    const auto found = m_disturbed_at.find(host);
    return !m_cut_hosts.contains(host) && !m_cut_domains.contains(domain_of(host)) &&
           (found == m_disturbed_at.end() || m_now - found->second >= contact_time);
}

void pool_world::count_start(std::size_t from, std::size_t target) {
    const auto domain = static_cast<std::uint32_t>(target) / m_options.targets_per_domain;
    ++m_starts[domain];
    const auto evacuated = m_evacuated_since.find(domain);
    if(evacuated != m_evacuated_since.end() && m_now - evacuated->second > evacuation_limit && in_touch(from)) {
        m_violations.push_back(fmt::format("{}: host {} starts a task on {}, whose domain is evacuated", to_ms(m_now.time_since_epoch()),
                                           from, m_targets[target].entry().id.str()));
    }
}

void pool_world::store_record(config_record record) {
    m_versions.push_back(std::move(record));
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
    const config_read read{
        number, host, m_hosts.at(host)->process, from.value_or(m_versions.size() - 1), m_store_cut || m_muted_hosts.contains(host), !from};
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
    deliver_config(read, operators_page(read));
}

feed::keyed_record pool_world::operators_record(std::size_t offset) const {
    const auto &record = m_versions[offset];
    if(!record.key.empty()) {
        return {log_offset{offset}, record.key, record.value};
    }
    return {log_offset{offset}, "config", record.readable ? std::to_string(record.version) : "unreadable"};
}

feed::topic_page pool_world::operators_page(const config_read &read) const {
    feed::topic_page page;
    page.result = feed::read_result::done;
    page.end = log_offset{m_versions.size()};
    if(!read.snapshot && read.from < m_first_version) {
        page.result = feed::read_result::history_lost;
        return page;
    }
    std::map<std::string, feed::keyed_record> newest;
    for(auto offset = read.snapshot ? std::uint64_t{0} : read.from; offset < m_versions.size(); ++offset) {
        auto record = operators_record(offset);
        if(!read.snapshot) {
            page.records.push_back(std::move(record));
        } else if(record.value) {
            newest[record.key] = std::move(record);
        } else {
            newest.erase(record.key);
        }
    }
    for(auto &[key, record]: newest) {
        page.records.push_back(std::move(record));
    }
    return page;
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
