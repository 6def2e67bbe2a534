#include "support/loopback_deployment.hpp"

#include "heathermoor/adapter/system_clock_port.hpp"
#include "heathermoor/config/config_state.hpp"
#include "heathermoor/core/log.hpp"
#include <condition_variable>
#include <fmt/format.h>
#include <fstream>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace heathermoor::test {

using json = nlohmann::json;

namespace {

constexpr const char *json_type = "application/json";

} // namespace

struct loopback_deployment::state {
    httplib::Server platform;
    httplib::Server target;
    int platform_port{};
    int target_port{};
    std::string pool;
    std::mutex mutex;
    std::condition_variable wake;
    std::map<std::string, std::vector<std::string>> streams;
    std::map<std::string, int> started;
    std::string mode{"run"};
    std::thread platform_thread;
    std::thread target_thread;
    std::unique_ptr<adapter::host_process> process;

    void read(const httplib::Request &request, httplib::Response &response) {
        const auto from = std::stoull(request.get_param_value("from"));
        std::unique_lock lock{mutex};
        auto &stream = streams[request.matches[1]];
        wake.wait_for(lock, milliseconds{std::stoi(request.get_param_value("wait_ms"))}, [&] { return stream.size() >= from; });
        json body{{"first", 1}, {"next", stream.size() + 1}, {"records", json::array()}};
        for(auto offset = from; offset <= stream.size(); ++offset) {
            body["records"].push_back({{"offset", offset}, {"data", stream[offset - 1]}});
        }
        response.set_content(body.dump(), json_type);
    }

    void append(const httplib::Request &request, httplib::Response &response) {
        const std::lock_guard lock{mutex};
        auto &stream = streams[request.matches[1]];
        stream.push_back(request.body);
        response.set_content(json{{"offset", stream.size()}}.dump(), json_type);
        wake.notify_all();
    }

    void run(const httplib::Request &request, httplib::Response &response) {
        const auto body = json::parse(request.body);
        const auto task = body["task_id"].get<std::string>();
        const std::lock_guard lock{mutex};
        if(mode == "refuse") {
            response.status = 409;
            response.set_content(R"({"code":"full","not_started":true})", json_type);
            return;
        }
        ++started[task];
        if(mode == "fail") {
            response.status = 500;
            response.set_content(R"({"code":"failed"})", json_type);
        } else if(mode == "crossed") {
            response.set_content(R"({"task_id":"somebody/else/0","result":1})", json_type);
        } else if(mode == "truncated") {
            response.set_content(R"({"task_id":")" + task, json_type);
        } else {
            response.set_content(json{{"task_id", task}, {"result", body["body"]}}.dump(), json_type);
        }
    }

    void serve(const std::vector<std::string> &documents) {
        for(auto *server: {&platform, &target}) {
            server->new_task_queue = [] { return new httplib::ThreadPool(24); };
            server->set_keep_alive_max_count(1'000'000);
        }
        platform.Get(R"(/v1/streams/([^/]+)/records)", [this](const auto &in, auto &out) { read(in, out); });
        platform.Post(R"(/v1/streams/([^/]+)/records)", [this](const auto &in, auto &out) { append(in, out); });
        platform.Get("/v1/hosts", [this](const auto &, auto &out) {
            const json entry{{"id", "target-1"},
                             {"kind", "target"},
                             {"failure_domain", "couva"},
                             {"state", "live"},
                             {"pool", pool},
                             {"slots", 8},
                             {"address", fmt::format("127.0.0.1:{}", target_port)}};
            out.set_content(json{{"hosts", json::array({entry})}}.dump(), json_type);
        });
        target.Post("/v1/tasks", [this](const auto &in, auto &out) { run(in, out); });
        target.Post("/v1/tasks/stop", [](const auto &, auto &) {});
        platform_port = platform.bind_to_any_port("127.0.0.1");
        target_port = target.bind_to_any_port("127.0.0.1");
        platform_thread = std::thread{[this] { platform.listen_after_bind(); }};
        target_thread = std::thread{[this] { target.listen_after_bind(); }};
        wire::config_change change;
        change.set_change_id("first");
        change.set_author("test");
        change.set_schema(config::schema_version);
        std::vector<config::diagnostic> diagnostics;
        for(const auto &text: documents) {
            for(const auto &item: config::read_declarations("test", text, diagnostics)) {
                auto *out = change.add_items();
                out->set_kind(item.key.kind);
                out->set_name(item.key.name);
                out->set_document(item.text);
            }
        }
        const std::lock_guard lock{mutex};
        streams["config"].push_back(config::encode_change(change));
    }
};

loopback_deployment::loopback_deployment(const std::vector<std::string> &documents, const std::string &pool)
    : m_state{std::make_unique<state>()} {
    set_log_level(log_level::error);
    m_state->pool = pool;
    m_state->serve(documents);
    adapter::process_settings options;
    options.host.host = host_id{"entry-1"};
    options.host.domain = failure_domain_id{"couva"};
    options.host.domains = {failure_domain_id{"couva"}};
    options.host.process = static_cast<incarnation>(1);
    options.host.peer_address = "tcp://127.0.0.1:*";
    options.platform = fmt::format("127.0.0.1:{}", m_state->platform_port);
    m_state->process = std::make_unique<adapter::host_process>(options);
    std::error_code error;
    m_state->process->start(error);
}

loopback_deployment::~loopback_deployment() {
    m_state->process.reset();
    m_state->platform.stop();
    m_state->target.stop();
    m_state->platform_thread.join();
    m_state->target_thread.join();
}

bool loopback_deployment::wait_until_ready() {
    constexpr auto attempts = 400;
    for(auto attempt = 0; attempt < attempts; ++attempt) {
        auto &node = m_state->process->node();
        const auto serving = node.control().status(adapter::system_clock_port{}.now()).partitions_serving;
        if(node.ready() && serving == submission::partition_count && !node.dispatch().load().empty()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    return false;
}

std::pair<int, std::string> loopback_deployment::send(const std::string &method, const std::string &path, const std::string &body,
                                                      const std::string &token) {
    httplib::Client client{"127.0.0.1", m_state->process->http_port()};
    client.set_read_timeout(seconds{30});
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = {{"Content-Type", json_type}, {"Authorization", "Bearer " + token}};
    const auto result = client.send(request);
    return result ? std::pair{result->status, result->body} : std::pair{0, "no answer: " + httplib::to_string(result.error())};
}

int loopback_deployment::starts(const std::string &task) {
    const std::lock_guard lock{m_state->mutex};
    return m_state->started[task];
}

void loopback_deployment::set_target_mode(const std::string &mode) {
    const std::lock_guard lock{m_state->mutex};
    m_state->mode = mode;
}

std::string read_source_file(const std::string &path) {
    std::ifstream stream{std::string{HEATHERMOOR_SOURCE_DIR} + "/" + path};
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace heathermoor::test
