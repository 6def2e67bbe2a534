#include "heathermoor/adapter/platform_client.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <fmt/format.h>
#include <httplib.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

namespace heathermoor::adapter {

namespace internal {

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr seconds connect_timeout{1};
constexpr seconds read_timeout{2};
constexpr milliseconds poll_wait{300};
constexpr milliseconds retry_delay{100};
constexpr milliseconds host_list_interval{500};
/// Most records in one read.
constexpr int read_limit = 2'000;

[[nodiscard]] port::listed_host to_host(const json &item) {
    port::listed_host host;
    host.id = item.value("id", std::string{});
    host.domain = failure_domain_id{item.value("failure_domain", std::string{})};
    host.is_target = item.value("kind", std::string{}) == "target";
    host.leaving = item.value("state", std::string{}) == "leaving";
    host.address = item.value("address", std::string{});
    host.pool = pool_id{item.value("pool", std::string{})};
    host.slots = item.value("slots", 0U);
    return host;
}

/// Queued append, or a request to read the whole journal if `read_journal` is set.
struct queued_append {
    port::log_stream stream{};
    std::string data;
    port::append_token token{};
    bool read_journal{};
};

} // namespace internal

std::string stream_name(port::log_stream stream, const failure_domain_id &domain) {
    switch(stream) {
    case port::log_stream::config:
        return "config";
    case port::log_stream::ownership:
        return "ownership";
    case port::log_stream::journal:
        break;
    }
    return "journal." + domain.str();
}

struct platform_connection::state {
    explicit state(const std::string &address) : client{"http://" + address} {
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(internal::connect_timeout);
        client.set_read_timeout(internal::read_timeout);
    }
    httplib::Client client;
};

platform_connection::platform_connection(const std::string &address) : m_state{std::make_unique<state>(address)} {}

platform_connection::~platform_connection() = default;

log_offset platform_connection::append(const std::string &stream, const std::string &data, std::error_code &error) {
    const auto result = m_state->client.Post(fmt::format("/v1/streams/{}/records", stream), data, "application/json");
    if(!result) {
        error = result.error() == httplib::Error::Connection ? errc::log_unavailable : errc::append_unknown;
        return {};
    }
    const auto body = internal::json::parse(result->body, nullptr, false);
    if(result->status != internal::status_ok || !body.is_object()) {
        error = result->status == internal::status_unavailable ? errc::log_unavailable : errc::append_unknown;
        return {};
    }
    error.clear();
    return static_cast<log_offset>(body.value("offset", std::uint64_t{0}));
}

port::log_batch platform_connection::read(const std::string &stream, log_offset from, milliseconds wait, std::error_code &error) {
    port::log_batch batch;
    error = errc::log_unavailable;
    const auto path =
        fmt::format("/v1/streams/{}/records?from={}&wait_ms={}&limit={}", stream, raw(from), wait.count(), internal::read_limit);
    const auto result = m_state->client.Get(path);
    if(!result || result->status != internal::status_ok) {
        return batch;
    }
    const auto body = internal::json::parse(result->body, nullptr, false);
    if(!body.is_object() || !body.contains("records")) {
        return batch;
    }
    batch.first = static_cast<log_offset>(body.value("first", std::uint64_t{1}));
    batch.tail = static_cast<log_offset>(body.value("next", std::uint64_t{1}));
    for(const auto &item: body["records"]) {
        wire::record record;
        record.set_offset(item.value("offset", std::uint64_t{0}));
        record.set_data(item.value("data", std::string{}));
        batch.records.push_back(std::move(record));
    }
    error.clear();
    return batch;
}

std::vector<port::listed_host> platform_connection::hosts(std::error_code &error) {
    std::vector<port::listed_host> hosts;
    error = errc::log_unavailable;
    const auto result = m_state->client.Get("/v1/hosts");
    if(!result || result->status != internal::status_ok) {
        return hosts;
    }
    const auto body = internal::json::parse(result->body, nullptr, false);
    if(!body.is_object() || !body.contains("hosts")) {
        return hosts;
    }
    for(const auto &item: body["hosts"]) {
        hosts.push_back(internal::to_host(item));
    }
    error.clear();
    return hosts;
}

struct platform_client::state {
    std::string address;
    failure_domain_id domain;
    const port::clock_port &clock;
    platform_events events;
    std::atomic<bool> stopped{false};
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<internal::queued_append> control_queue;
    std::deque<internal::queued_append> journal_queue;
    std::vector<std::thread> threads;

    state(std::string where, failure_domain_id own, const port::clock_port &time)
        : address{std::move(where)}, domain{std::move(own)}, clock{time} {}

    void pause(milliseconds time) {
        std::unique_lock lock{mutex};
        wake.wait_for(lock, time, [this] { return stopped.load(); });
    }

    void follow(port::log_stream stream) {
        platform_connection connection{address};
        while(!stopped) {
            std::error_code error;
            const auto asked = clock.now();
            auto batch = connection.read(stream_name(stream, domain), events.next_offset(stream), internal::poll_wait, error);
            if(error) {
                pause(internal::retry_delay);
                continue;
            }
            batch.stream = stream;
            batch.asked = asked;
            events.log_read(batch);
        }
    }

    void follow_hosts() {
        platform_connection connection{address};
        while(!stopped) {
            std::error_code error;
            auto hosts = connection.hosts(error);
            if(!error) {
                events.host_list(std::move(hosts));
            }
            pause(internal::host_list_interval);
        }
    }

    void read_journal(platform_connection &connection) {
        std::vector<wire::record> records;
        std::error_code error;
        log_offset next{1};
        while(!stopped) {
            auto batch = connection.read(stream_name(port::log_stream::journal, domain), next, milliseconds{0}, error);
            if(error) {
                break;
            }
            std::move(batch.records.begin(), batch.records.end(), std::back_inserter(records));
            next = records.empty() ? batch.tail : static_cast<log_offset>(records.back().offset() + 1);
            if(raw(next) >= raw(batch.tail)) {
                break;
            }
        }
        events.journal_read(records, !error && !stopped);
    }

    void write(std::deque<internal::queued_append> &queue) {
        platform_connection connection{address};
        std::unique_lock lock{mutex};
        while(true) {
            wake.wait(lock, [&] { return stopped || !queue.empty(); });
            if(queue.empty()) {
                return;
            }
            auto item = std::move(queue.front());
            queue.pop_front();
            lock.unlock();
            if(item.read_journal) {
                read_journal(connection);
            } else {
                std::error_code error;
                connection.append(stream_name(item.stream, domain), item.data, error);
                events.appended(item.token, error);
            }
            lock.lock();
        }
    }
};

platform_client::platform_client(std::string address, failure_domain_id domain, const port::clock_port &clock)
    : m_state{std::make_unique<state>(std::move(address), std::move(domain), clock)} {}

platform_client::~platform_client() {
    stop();
}

void platform_client::start(platform_events events) {
    auto &self = *m_state;
    self.events = std::move(events);
    self.threads.emplace_back([&self] { self.follow(port::log_stream::config); });
    self.threads.emplace_back([&self] { self.follow(port::log_stream::ownership); });
    self.threads.emplace_back([&self] { self.follow_hosts(); });
    self.threads.emplace_back([&self] { self.write(self.control_queue); });
    self.threads.emplace_back([&self] { self.write(self.journal_queue); });
}

void platform_client::stop() {
    {
        const std::lock_guard lock{m_state->mutex};
        m_state->stopped = true;
    }
    m_state->wake.notify_all();
    for(auto &thread: m_state->threads) {
        thread.join();
    }
    m_state->threads.clear();
}

void platform_client::append(port::log_stream stream, std::string data, port::append_token token) {
    {
        const std::lock_guard lock{m_state->mutex};
        auto &queue = stream == port::log_stream::journal ? m_state->journal_queue : m_state->control_queue;
        queue.push_back({stream, std::move(data), token, false});
    }
    m_state->wake.notify_all();
}

void platform_client::read_journal() {
    {
        const std::lock_guard lock{m_state->mutex};
        m_state->journal_queue.push_back({port::log_stream::journal, {}, {}, true});
    }
    m_state->wake.notify_all();
}

} // namespace heathermoor::adapter
