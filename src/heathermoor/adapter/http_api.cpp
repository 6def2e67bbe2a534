#include "heathermoor/adapter/http_api.hpp"

#include "heathermoor/adapter/listen_queue.hpp"
#include "heathermoor/adapter/system_clock_port.hpp"
#include "heathermoor/core/log.hpp"
#include "heathermoor/metrics/text_page.hpp"
#include <charconv>
#include <future>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace heathermoor::adapter {

namespace internal {

using json = nlohmann::json;

constexpr std::size_t admin_threads = 4;
/// Most submission ids issued by one request.
constexpr std::size_t max_ids = 10'000;
/// Requests served on one connection before the server closes it.
constexpr std::size_t keep_alive_requests = 1'000'000;
constexpr seconds keep_alive_timeout{30};
/// Largest `wait_ms` that a query may ask for.
constexpr milliseconds max_wait{60'000};
constexpr int status_accepted = 202;
constexpr int status_unavailable = 503;
constexpr std::string_view bearer = "Bearer ";
constexpr const char *json_type = "application/json";
constexpr const char *problem_type = "application/problem+json";

void prepare(httplib::Server &server) {
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(keep_alive_requests);
    server.set_keep_alive_timeout(keep_alive_timeout.count());
}

[[nodiscard]] std::string token_of(const httplib::Request &request) {
    const auto header = request.get_header_value("Authorization");
    return header.starts_with(bearer) ? header.substr(bearer.size()) : std::string{};
}

void send_problem(httplib::Response &response, const submission_id &id, const submission::outcome &result, std::string_view detail) {
    response.status = http_status(result.code);
    response.set_content(problem_body(id, result, detail), problem_type);
}

void send_error(httplib::Response &response, errc code, std::string_view detail, bool not_run) {
    const auto kind = not_run ? submission::outcome_kind::not_run : submission::outcome_kind::unknown;
    send_problem(response, {}, {kind, code, {}, {}}, detail);
}

void send_reply(httplib::Response &response, const submission_id &id, const host::reply &answer, std::string_view detail) {
    if(answer.running) {
        json body;
        body["submission_id"] = id.str();
        body["status"] = "running";
        response.status = status_accepted;
        response.set_content(body.dump(), json_type);
    } else if(answer.result.kind == submission::outcome_kind::complete) {
        response.set_content(complete_body(id, answer.result), json_type);
    } else {
        send_problem(response, id, answer.result, detail);
    }
}

} // namespace internal

struct http_api::state {
    http_api_settings options;
    host::node &node;
    httplib::Server callers;
    httplib::Server admin;
    listen_queue callers_queue{callers};
    listen_queue admin_queue{admin};
    int port{};
    int admin_port{};
    metrics::summary response_ms;
    std::atomic<std::uint64_t> complete{};
    std::atomic<std::uint64_t> not_run{};
    std::atomic<std::uint64_t> failed{};
    std::atomic<std::uint64_t> unknown{};
    std::atomic<int> waiting{};
    std::thread caller_thread;
    std::thread admin_thread;

    state(http_api_settings settings, host::node &served) : options{std::move(settings)}, node{served} {}

    void count(const submission::outcome &result) {
        switch(result.kind) {
        case submission::outcome_kind::complete:
            ++complete;
            break;
        case submission::outcome_kind::not_run:
            ++not_run;
            break;
        case submission::outcome_kind::failed:
            ++failed;
            break;
        case submission::outcome_kind::unknown:
            ++unknown;
            break;
        }
    }

    [[nodiscard]] errc authorise(const httplib::Request &request, const customer_id &customer, const service_id &service) const {
        if(options.allow_anonymous) {
            return errc::ok;
        }
        return check_credential(*node.policy(), customer, service, internal::token_of(request));
    }

    void submit(const httplib::Request &request, httplib::Response &response) {
        const auto started = std::chrono::steady_clock::now();
        auto job = parse_job(request.body, options.limits);
        if(!job.has_identity) {
            internal::send_error(response, job.error, job.detail, true);
            return;
        }
        if(!node.control().configured()) {
            internal::send_error(response, errc::not_ready, {}, false);
            return;
        }
        if(const auto denied = authorise(request, job.spec.customer, {}); denied != errc::ok) {
            internal::send_error(response, denied, "customer", false);
            return;
        }
        check_job(job, *node.policy());
        job.spec.refusal = job.error;
        const auto id = job.spec.id;
        if(request.get_header_value("Prefer") == "respond-async") {
            node.submit(std::move(job.spec), [this](const host::reply &answer) { count(answer.result); });
            internal::send_reply(response, id, {{}, true}, {});
            return;
        }
        std::promise<host::reply> promise;
        auto future = promise.get_future();
        ++waiting;
        node.submit(std::move(job.spec), [&promise](host::reply answer) { promise.set_value(std::move(answer)); });
        const auto answer = future.get();
        --waiting;
        count(answer.result);
        response_ms.add(std::chrono::duration<double, std::milli>{std::chrono::steady_clock::now() - started}.count());
        internal::send_reply(response, id, answer, job.detail);
    }

    void query_or_cancel(const httplib::Request &request, httplib::Response &response, bool cancel) {
        host::job_query query{customer_id{request.matches[1]}, submission_id{request.matches[2]}, {}, cancel};
        if(const auto denied = authorise(request, query.customer, {}); denied != errc::ok) {
            internal::send_error(response, denied, "customer", false);
            return;
        }
        if(request.has_param("wait_ms")) {
            const auto text = request.get_param_value("wait_ms");
            std::int64_t wait{};
            const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), wait);
            if(failure != std::errc{} || end != text.data() + text.size() || wait < 0 || wait > internal::max_wait.count()) {
                internal::send_error(response, errc::malformed_request, "wait_ms", false);
                return;
            }
            query.wait = milliseconds{wait};
        }
        std::promise<host::reply> promise;
        auto future = promise.get_future();
        const auto id = query.id;
        node.query_job(std::move(query), [&promise](host::reply answer) { promise.set_value(std::move(answer)); });
        internal::send_reply(response, id, future.get(), {});
    }

    void mint(const httplib::Request &request, httplib::Response &response) {
        const auto body = internal::json::parse(request.body, nullptr, false);
        const auto count = body.is_object() && body.contains("count") && body["count"].is_number_unsigned()
                               ? body["count"].get<std::size_t>()
                               : std::size_t{0};
        if(count == 0 || count > internal::max_ids) {
            internal::send_error(response, errc::malformed_request, "count", true);
            return;
        }
        internal::json ids = internal::json::array();
        for(const auto &id: node.mint(count)) {
            ids.push_back(id.str());
        }
        internal::json out;
        out["ids"] = std::move(ids);
        out["valid_ms"] = node.options().mint_validity.count();
        response.set_content(out.dump(), internal::json_type);
    }

    [[nodiscard]] std::string metrics_page() const {
        metrics::text_page page;
        const auto &counters = node.counters();
        page.counter("submissions_total", "Submissions received from callers.", static_cast<double>(counters.submissions));
        page.counter("answers_complete_total", "Jobs answered whole.", static_cast<double>(complete));
        page.counter("answers_not_run_total", "Jobs refused before any task started.", static_cast<double>(not_run));
        page.counter("answers_failed_total", "Jobs that failed as a whole.", static_cast<double>(failed));
        page.counter("answers_unknown_total", "Jobs whose outcome is unknown.", static_cast<double>(unknown));
        page.counter("task_starts_total", "Task starts sent to targets.", static_cast<double>(counters.starts));
        page.counter("peer_messages_sent_total", "Messages sent to entry hosts, this one included.",
                     static_cast<double>(counters.messages_sent));
        page.counter("peer_messages_received_total", "Messages received.", static_cast<double>(counters.messages_received));
        page.counter("log_appends_total", "Appends for ownership and snapshots.", static_cast<double>(counters.log_appends));
        page.gauge("callers_waiting", "Callers that wait for an answer.", waiting);
        page.gauge("jobs_running", "Jobs owned here without an answer.", static_cast<double>(node.owner().running()));
        page.gauge("submissions_known", "Submissions owned here, running or retained.", static_cast<double>(node.owner().size()));
        page.gauge("table_bytes", "Bytes held in the submission tables.", static_cast<double>(node.owner().bytes()));
        page.gauge("tasks_active", "Tasks that wait or run in this host's share.", static_cast<double>(node.dispatch().active()));
        for(const auto &[pool, load]: node.dispatch().load()) {
            page.gauge("pool_slots{pool=\"" + pool.str() + "\"}", "Slots of this host's share.", load.slots);
            page.gauge("pool_backlog_ms{pool=\"" + pool.str() + "\"}", "Expected run time that waits.", load.backlog_ms);
        }
        page.quantiles("response_ms", "Time from request to answer.", response_ms.values());
        return page.str();
    }

    [[nodiscard]] std::string status_body() const {
        const auto status = node.control().status(system_clock_port{}.now());
        internal::json body;
        body["host"] = node.options().host.str();
        body["failure_domain"] = node.options().domain.str();
        body["incarnation"] = raw(node.options().process);
        body["ready"] = node.ready();
        body["config_offset"] = raw(status.config_offset);
        body["config_hash"] = status.config_hash;
        body["config_complete"] = status.config_complete;
        body["lease_valid"] = status.lease_valid;
        body["partitions_serving"] = status.partitions_serving;
        body["partitions_waiting"] = status.partitions_waiting;
        body["peers"] = internal::json::array();
        for(const auto &peer: status.peers) {
            body["peers"].push_back({{"host", peer.host.str()},
                                     {"failure_domain", peer.domain.str()},
                                     {"alive", peer.alive},
                                     {"draining", peer.draining},
                                     {"config_offset", peer.config_offset},
                                     {"config_hash", peer.config_hash},
                                     {"http_address", peer.http_address}});
        }
        return body.dump();
    }

    void route_health(httplib::Server &server) {
        server.Get("/healthz", [](const httplib::Request &, httplib::Response &response) { response.set_content("ok\n", "text/plain"); });
        server.Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
            response.status = node.ready() ? 200 : internal::status_unavailable;
            response.set_content(node.ready() ? "ready\n" : "not ready\n", "text/plain");
        });
        server.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
            response.set_content(metrics_page(), "text/plain; version=0.0.4");
        });
        server.Get("/v1/status", [this](const httplib::Request &, httplib::Response &response) {
            response.set_content(status_body(), internal::json_type);
        });
    }

    void route_callers() {
        callers.set_payload_max_length(options.limits.max_body_bytes);
        callers.Post("/v1/jobs", [this](const httplib::Request &request, httplib::Response &response) { submit(request, response); });
        callers.Post("/v1/submission-ids",
                     [this](const httplib::Request &request, httplib::Response &response) { mint(request, response); });
        callers.Get(R"(/v1/jobs/([^/]+)/([^/]+))",
                    [this](const httplib::Request &request, httplib::Response &response) { query_or_cancel(request, response, false); });
        callers.Delete(R"(/v1/jobs/([^/]+)/([^/]+))",
                       [this](const httplib::Request &request, httplib::Response &response) { query_or_cancel(request, response, true); });
        callers.set_error_handler([](const httplib::Request &, httplib::Response &response) {
            constexpr int status_too_large = 413;
            constexpr int status_not_found = 404;
            if(!response.body.empty()) {
                return;
            }
            const auto status = response.status;
            const auto code = status == status_too_large   ? errc::body_too_large
                              : status == status_not_found ? errc::not_found
                                                           : errc::malformed_request;
            internal::send_error(response, code, {}, true);
            response.status = status;
        });
    }
};

http_api::http_api(http_api_settings options, host::node &node) : m_state{std::make_unique<state>(std::move(options), node)} {
    auto &self = *m_state;
    internal::prepare(self.callers);
    internal::prepare(self.admin);
    const auto threads = self.options.caller_threads;
    self.callers.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    self.admin.new_task_queue = [] { return new httplib::ThreadPool(internal::admin_threads); };
    self.route_health(self.callers);
    self.route_health(self.admin);
    self.route_callers();
}

http_api::~http_api() {
    stop();
}

void http_api::bind(std::error_code &error) {
    auto &self = *m_state;
    const auto bind_one = [&](httplib::Server &server, int wanted) {
        if(wanted == 0) {
            return server.bind_to_any_port(self.options.bind_host);
        }
        return server.bind_to_port(self.options.bind_host, wanted) ? wanted : -1;
    };
    self.port = bind_one(self.callers, self.options.port);
    self.admin_port = bind_one(self.admin, self.options.admin_port);
    if(self.port < 0 || self.admin_port < 0) {
        error = std::make_error_code(std::errc::address_in_use);
        return;
    }
    self.callers_queue.lengthen(error);
    if(!error) {
        self.admin_queue.lengthen(error);
    }
}

void http_api::start() {
    auto &self = *m_state;
    self.caller_thread = std::thread{[&self] { self.callers.listen_after_bind(); }};
    self.admin_thread = std::thread{[&self] { self.admin.listen_after_bind(); }};
}

void http_api::stop() {
    auto &self = *m_state;
    self.callers.stop();
    if(self.caller_thread.joinable()) {
        self.caller_thread.join();
    }
    self.admin.stop();
    if(self.admin_thread.joinable()) {
        self.admin_thread.join();
    }
}

int http_api::port() const noexcept {
    return m_state->port;
}

int http_api::admin_port() const noexcept {
    return m_state->admin_port;
}

} // namespace heathermoor::adapter
