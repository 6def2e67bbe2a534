#include "heathermoor/core/log.hpp"
#include <CLI/CLI.hpp>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <fmt/format.h>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <thread>

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr int status_unavailable = 503;
constexpr int status_bad_request = 400;
constexpr std::size_t server_threads = 256;
constexpr std::size_t keep_alive_requests = 1'000'000;
constexpr milliseconds max_wait{10'000};

struct settings {
    std::string bind{"127.0.0.1"};
    int port{9000};
    int append_ms{5};
    int list_lag_ms{1000};
    int host_ttl_ms{3000};
    std::size_t retention_records{100'000};
    int retention_s{3600};
};

struct stored_record {
    std::uint64_t offset{};
    std::string data;
    steady::time_point at;
};

struct stream_state {
    std::deque<stored_record> records;
    std::uint64_t next{1};
};

struct host_entry {
    json entry;
    steady::time_point seen;
    bool expires{};
};

struct switches {
    bool outage{};
    int slow_ms{};
    int lose_answers{};
};

/// In-memory log and host list with fault injection.
class platform {
  public:
    explicit platform(settings options) : m_options{std::move(options)} {}

    void append(const httplib::Request &request, httplib::Response &response) {
        if(refuse(response)) {
            return;
        }
        std::uint64_t offset{};
        {
            const std::lock_guard writer{m_append_mutex};
            std::this_thread::sleep_for(milliseconds{m_options.append_ms});
            const std::lock_guard lock{m_mutex};
            auto &stream = m_streams[request.matches[1]];
            offset = stream.next++;
            stream.records.push_back({offset, request.body, steady::now()});
            trim(stream);
        }
        m_wake.notify_all();
        if(lose_answer()) {
            response.status = 500;
            return;
        }
        response.set_content(json{{"offset", offset}}.dump(), "application/json");
    }

    void read(const httplib::Request &request, httplib::Response &response) {
        if(refuse(response)) {
            return;
        }
        const auto number = [&](const char *name, std::uint64_t fallback) {
            return request.has_param(name) ? std::strtoull(request.get_param_value(name).c_str(), nullptr, 10) : fallback;
        };
        const auto from = number("from", 1);
        const auto limit = number("limit", 1000);
        const auto wait = std::min(milliseconds{static_cast<std::int64_t>(number("wait_ms", 0))}, max_wait);
        std::unique_lock lock{m_mutex};
        auto &stream = m_streams[request.matches[1]];
        m_wake.wait_for(lock, wait, [&] { return stream.next > from || m_switches.outage; });
        if(m_switches.outage) {
            response.status = status_unavailable;
            return;
        }
        trim(stream);
        json body;
        body["first"] = stream.records.empty() ? stream.next : stream.records.front().offset;
        body["next"] = stream.next;
        body["records"] = json::array();
        for(const auto &record: stream.records) {
            if(record.offset >= from && body["records"].size() < limit) {
                body["records"].push_back({{"offset", record.offset}, {"data", record.data}});
            }
        }
        response.set_content(body.dump(), "application/json");
    }

    void put_host(const httplib::Request &request, httplib::Response &response) {
        auto entry = json::parse(request.body, nullptr, false);
        if(!entry.is_object()) {
            response.status = status_bad_request;
            return;
        }
        const std::string id = request.matches[1];
        entry["id"] = id;
        const std::lock_guard lock{m_mutex};
        const auto expires = !entry.value("permanent", false);
        entry.erase("permanent");
        m_hosts[id] = {std::move(entry), steady::now(), expires};
    }

    void remove_host(const httplib::Request &request) {
        const std::lock_guard lock{m_mutex};
        m_hosts.erase(request.matches[1]);
    }

    void list_hosts(httplib::Response &response) {
        if(refuse(response)) {
            return;
        }
        const std::lock_guard lock{m_mutex};
        response.set_content(m_published.dump(), "application/json");
    }

    void set_switches(const httplib::Request &request, httplib::Response &response) {
        const auto body = json::parse(request.body, nullptr, false);
        if(!body.is_object()) {
            response.status = status_bad_request;
            return;
        }
        {
            const std::lock_guard lock{m_mutex};
            m_switches.outage = body.value("outage", m_switches.outage);
            m_switches.slow_ms = body.value("slow_ms", m_switches.slow_ms);
            m_switches.lose_answers = body.value("lose_answers", m_switches.lose_answers);
        }
        m_wake.notify_all();
    }

    /// Removes expired hosts and publishes the host list with a fixed delay, so that readers see a stale list.
    void publish_lists() {
        std::deque<std::pair<steady::time_point, json>> pending;
        constexpr milliseconds step{100};
        while(true) {
            std::this_thread::sleep_for(step);
            const auto now = steady::now();
            const std::lock_guard lock{m_mutex};
            std::erase_if(m_hosts, [&](const auto &item) {
                return item.second.expires && now - item.second.seen > milliseconds{m_options.host_ttl_ms};
            });
            json list;
            list["hosts"] = json::array();
            for(const auto &[id, host]: m_hosts) {
                list["hosts"].push_back(host.entry);
            }
            pending.emplace_back(now + milliseconds{m_options.list_lag_ms}, std::move(list));
            while(!pending.empty() && pending.front().first <= now) {
                m_published = std::move(pending.front().second);
                pending.pop_front();
            }
        }
    }

  private:
    bool refuse(httplib::Response &response) {
        int slow{};
        bool outage{};
        {
            const std::lock_guard lock{m_mutex};
            slow = m_switches.slow_ms;
            outage = m_switches.outage;
        }
        std::this_thread::sleep_for(milliseconds{slow});
        if(outage) {
            response.status = status_unavailable;
        }
        return outage;
    }

    bool lose_answer() {
        const std::lock_guard lock{m_mutex};
        if(m_switches.lose_answers == 0) {
            return false;
        }
        --m_switches.lose_answers;
        return true;
    }

    void trim(stream_state &stream) const {
        const auto oldest = steady::now() - std::chrono::seconds{m_options.retention_s};
        while(!stream.records.empty() && (stream.records.size() > m_options.retention_records || stream.records.front().at < oldest)) {
            stream.records.pop_front();
        }
    }

    settings m_options;
    std::mutex m_append_mutex;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, stream_state> m_streams;
    std::map<std::string, host_entry> m_hosts;
    json m_published{{"hosts", json::array()}};
    switches m_switches;
};

void set_reuse_address(socket_t socket) {
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

} // namespace

int main(int argc, char **argv) {
    CLI::App app{"Platform test double: an append-only log, an eventually consistent host list and fault injection."};
    settings options;
    app.add_option("--bind", options.bind, "IP address to listen on")->envname("HEATHERMOOR_BIND")->capture_default_str();
    app.add_option("--port", options.port, "HTTP port")->envname("HEATHERMOOR_PORT")->check(CLI::Range(1, 65535))->capture_default_str();
    app.add_option("--append-ms", options.append_ms, "Duration of one durable append in milliseconds")
        ->check(CLI::Range(0, 10000))
        ->capture_default_str();
    app.add_option("--list-lag-ms", options.list_lag_ms, "Delay of the published host list in milliseconds")
        ->check(CLI::Range(0, 600000))
        ->capture_default_str();
    app.add_option("--host-ttl-ms", options.host_ttl_ms, "Time in milliseconds after which a host that is not refreshed is removed")
        ->capture_default_str();
    app.add_option("--retention-records", options.retention_records, "Maximum number of records per stream")->capture_default_str();
    app.add_option("--retention-s", options.retention_s, "Maximum age of a record in seconds")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    platform service{options};
    httplib::Server server;
    server.set_socket_options(set_reuse_address);
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(keep_alive_requests);
    server.set_keep_alive_timeout(60);
    server.new_task_queue = [] { return new httplib::ThreadPool(server_threads); };
    server.Post(R"(/v1/streams/([^/]+)/records)", [&](const auto &request, auto &response) { service.append(request, response); });
    server.Get(R"(/v1/streams/([^/]+)/records)", [&](const auto &request, auto &response) { service.read(request, response); });
    server.Get("/v1/hosts", [&](const auto &, auto &response) { service.list_hosts(response); });
    server.Put(R"(/v1/hosts/([^/]+))", [&](const auto &request, auto &response) { service.put_host(request, response); });
    server.Delete(R"(/v1/hosts/([^/]+))", [&](const auto &request, auto &) { service.remove_host(request); });
    server.Post("/switch", [&](const auto &request, auto &response) { service.set_switches(request, response); });
    std::thread{[&service] { service.publish_lists(); }}.detach();
    if(!server.bind_to_port(options.bind, options.port)) {
        heathermoor::log(heathermoor::log_level::error, "platform", "Failed to bind the HTTP port. port={}", options.port);
        return 3;
    }
    heathermoor::log(heathermoor::log_level::info, "platform", "Listening. port={}", options.port);
    server.listen_after_bind();
    return 0;
}
