#include "heathermoor/core/log.hpp"
#include <CLI/CLI.hpp>
#include <chrono>
#include <condition_variable>
#include <fmt/format.h>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sys/socket.h>
#include <thread>

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int status_conflict = 409;
constexpr int status_bad_request = 400;
constexpr int status_failed = 500;
constexpr std::size_t server_threads = 72;
constexpr std::size_t keep_alive_requests = 1'000'000;
constexpr milliseconds register_interval{500};

struct settings {
    std::string id;
    std::string domain;
    std::string pool;
    std::string platform;
    std::string bind{"127.0.0.1"};
    int port{0};
    unsigned slots{8};
    double speed{1.0};
    double median_ms{120.0};
    double spread{0.5};
    std::uint64_t seed{1};
};

struct switches {
    bool fail{};
    bool hang{};
    bool refuse{};
    bool leaving{};
    bool drop_answers{};
    int answer_delay_ms{};
};

/// Simulates a target: a task waits for its run time, every start is counted, and faults are injected on request.
class target {
  public:
    explicit target(settings options) : m_options{std::move(options)}, m_random{m_options.seed} {}

    void run(const httplib::Request &request, httplib::Response &response) {
        const auto body = json::parse(request.body, nullptr, false);
        if(!body.is_object() || !body.contains("task_id")) {
            response.status = status_bad_request;
            return;
        }
        const auto id = body.value("task_id", std::string{});
        std::unique_lock lock{m_mutex};
        if(m_switches.leaving || m_switches.refuse || m_running >= m_options.slots) {
            const auto code = m_switches.leaving ? "leaving" : m_switches.refuse ? "refused" : "full";
            ++m_refusals;
            response.status = status_conflict;
            response.set_content(json{{"code", code}, {"not_started", true}}.dump(), "application/json");
            return;
        }
        ++m_running;
        ++m_starts[id];
        const auto time = m_switches.fail ? milliseconds{1} : run_time(body);
        const auto stopped = m_wake.wait_for(lock, time, [&] { return m_stops.contains(id); });
        m_wake.wait(lock, [&] { return !m_switches.hang || m_stops.contains(id); });
        m_stops.erase(id);
        --m_running;
        const auto state = m_switches;
        lock.unlock();
        std::this_thread::sleep_for(milliseconds{state.answer_delay_ms});
        if(state.drop_answers) {
            response.set_content_provider(1, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
            return;
        }
        if(stopped || state.fail) {
            response.status = status_failed;
            response.set_content(json{{"code", stopped ? "stopped" : "failed"}}.dump(), "application/json");
            return;
        }
        const json result{{"task", id}, {"target", m_options.id}, {"run_ms", time.count()}, {"echo", body["body"]}};
        response.set_content(json{{"task_id", id}, {"result", result}}.dump(), "application/json");
    }

    void stop(const httplib::Request &request) {
        const auto body = json::parse(request.body, nullptr, false);
        if(body.is_object() && body.contains("task_id")) {
            const std::lock_guard lock{m_mutex};
            m_stops.insert(body.value("task_id", std::string{}));
        }
        m_wake.notify_all();
    }

    void ledger(httplib::Response &response) {
        const std::lock_guard lock{m_mutex};
        const json body{{"target", m_options.id}, {"starts", m_starts}, {"refusals", m_refusals}};
        response.set_content(body.dump(), "application/json");
    }

    void set_switches(const httplib::Request &request, httplib::Response &response) {
        const auto body = json::parse(request.body, nullptr, false);
        if(!body.is_object()) {
            response.status = status_bad_request;
            return;
        }
        if(body.value("exit", false)) {
            std::_Exit(0);
        }
        {
            const std::lock_guard lock{m_mutex};
            m_switches.fail = body.value("fail", m_switches.fail);
            m_switches.hang = body.value("hang", m_switches.hang);
            m_switches.refuse = body.value("refuse", m_switches.refuse);
            m_switches.leaving = body.value("leaving", m_switches.leaving);
            m_switches.drop_answers = body.value("drop_answers", m_switches.drop_answers);
            m_switches.answer_delay_ms = body.value("answer_delay_ms", m_switches.answer_delay_ms);
        }
        m_wake.notify_all();
    }

    /// Registers this target in the platform's host list and refreshes the entry until the process exits.
    void register_periodically(int port) {
        httplib::Client client{"http://" + m_options.platform};
        while(true) {
            json entry{{"kind", "target"},
                       {"failure_domain", m_options.domain},
                       {"address", fmt::format("{}:{}", m_options.bind, port)},
                       {"pool", m_options.pool},
                       {"slots", m_options.slots}};
            {
                const std::lock_guard lock{m_mutex};
                entry["state"] = m_switches.leaving ? "leaving" : "live";
            }
            client.Put("/v1/hosts/" + m_options.id, entry.dump(), "application/json");
            std::this_thread::sleep_for(register_interval);
        }
    }

  private:
    milliseconds run_time(const json &body) {
        auto ms = 0.0;
        if(body.contains("body") && body["body"].is_object() && body["body"].contains("run_ms") && body["body"]["run_ms"].is_number()) {
            ms = body["body"]["run_ms"].get<double>();
        } else {
            ms = std::lognormal_distribution<double>{std::log(m_options.median_ms), m_options.spread}(m_random);
        }
        return milliseconds{static_cast<std::int64_t>(ms / m_options.speed)};
    }

    settings m_options;
    std::mt19937_64 m_random;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, std::uint64_t> m_starts;
    std::set<std::string> m_stops;
    std::uint64_t m_refusals{};
    unsigned m_running{};
    switches m_switches;
};

void set_reuse_address(socket_t socket) {
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

} // namespace

int main(int argc, char **argv) {
    CLI::App app{"Target test double: simulates task run times, keeps a ledger of task starts and injects faults."};
    settings options;
    app.add_option("--id", options.id, "Name of the target")->required();
    app.add_option("--failure-domain", options.domain, "Failure domain of the target")->required();
    app.add_option("--pool", options.pool, "Pool to which the target belongs")->required();
    app.add_option("--platform", options.platform, "Address of the platform, as HOST:PORT")->envname("HEATHERMOOR_PLATFORM")->required();
    app.add_option("--bind", options.bind, "IP address to listen on")->capture_default_str();
    app.add_option("--port", options.port, "HTTP port; 0 selects a free port")->check(CLI::Range(0, 65535))->capture_default_str();
    app.add_option("--slots", options.slots, "Maximum number of concurrent tasks")->check(CLI::Range(1, 64))->capture_default_str();
    app.add_option("--speed", options.speed, "Relative speed; divides the run times")
        ->check(CLI::Range(0.01, 100.0))
        ->capture_default_str();
    app.add_option("--median-ms", options.median_ms, "Median run time in milliseconds of tasks without run_ms")->capture_default_str();
    app.add_option("--spread", options.spread, "Standard deviation of the logarithm of the run time")->capture_default_str();
    app.add_option("--seed", options.seed, "Random seed of the run times")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    target service{options};
    httplib::Server server;
    server.set_socket_options(set_reuse_address);
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(keep_alive_requests);
    server.set_keep_alive_timeout(60);
    server.new_task_queue = [] { return new httplib::ThreadPool(server_threads); };
    server.Post("/v1/tasks", [&](const auto &request, auto &response) { service.run(request, response); });
    server.Post("/v1/tasks/stop", [&](const auto &request, auto &) { service.stop(request); });
    server.Get("/ledger", [&](const auto &, auto &response) { service.ledger(response); });
    server.Post("/switch", [&](const auto &request, auto &response) { service.set_switches(request, response); });
    const auto port = options.port == 0 ? server.bind_to_any_port(options.bind) : options.port;
    if(port <= 0 || (options.port != 0 && !server.bind_to_port(options.bind, port))) {
        heathermoor::log(heathermoor::log_level::error, "target", "Failed to bind the HTTP port. port={}", options.port);
        return 3;
    }
    std::thread{[&service, port] { service.register_periodically(port); }}.detach();
    heathermoor::log(heathermoor::log_level::info, "target", "Listening. id={} port={}", options.id, port);
    server.listen_after_bind();
    return 0;
}
