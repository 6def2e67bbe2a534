#include "standin/worker.hpp"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace review {

namespace internal {

using heathermoor::adapter::http_request_id;
using nlohmann::json;

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int conflict = 409;
constexpr int misdirected = 421;

/// Longest lease that is granted (`hold_max_ms`).
constexpr std::int64_t longest_lease_ms = 1'000;

/// Time from a stop to the end of the run, below `stop_timeout_ms`.
constexpr std::int64_t stop_delay_ms = 30;

/// Longest wait of a call for an end.
constexpr std::int64_t longest_wait_ms = 2'000;

/// Most ends in one answer.
constexpr std::size_t most_ends = 500;

[[nodiscard]] std::int64_t steady_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

[[nodiscard]] std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace internal

worker::worker(asio::io_context &context, worker_options options, event_handler handle)
    : m_options{std::move(options)}, m_handle{std::move(handle)}, m_born_ms{internal::unix_ms()}, m_steady_start_ms{internal::steady_ms()},
      m_server{
          context,
          [this](internal::http_request_id request, const heathermoor::adapter::http_message &message) { this->handle(request, message); },
          [this](internal::http_request_id request) {
              m_waiting.remove_if([request](const waiting_call &one) { return one.request == request; });
          }} {
    std::error_code error;
    const auto port = m_server.listen(m_options.listen, error);
    if(error) {
        throw std::system_error{error};
    }
    m_options.listen = fmt::format("{}:{}", m_options.listen.substr(0, m_options.listen.rfind(':')), port);
}

std::int64_t worker::clock_ms() const {
    return internal::steady_ms() - m_steady_start_ms;
}

std::int64_t worker::cpu_in_use() const {
    std::int64_t sum = 0;
    for(const auto &[task, run]: m_runs) {
        sum += run.cpu;
    }
    return sum;
}

std::string worker::entry() {
    ++m_reports;
    return internal::json{{"service", m_options.service},
                          {"address", m_options.listen},
                          {"zone", m_options.zone},
                          {"machine", m_options.machine},
                          {"version", "v1"},
                          {"slots", 8},
                          {"state", "ready"},
                          {"cold_left_ms", 0},
                          {"capacity", {{"cpu", m_options.cpu}, {"mem_mb", m_options.memory_mb}, {"gpu", 0}}},
                          {"labels", m_options.labels},
                          {"clock_ms", clock_ms()},
                          {"born", m_born_ms},
                          {"seq", m_reports}}
        .dump();
}

void worker::handle(internal::http_request_id request, const heathermoor::adapter::http_message &message) {
    advance();
    const auto expected = message.header("Expect-Instance");
    if(!expected.empty() && expected != m_options.id) {
        m_server.reply(request, {internal::misdirected, {}, fmt::format(R"({{"clock_ms":{},"born":{}}})", clock_ms(), m_born_ms)});
        return;
    }
    const auto body = internal::json::parse(message.body, nullptr, false);
    if(body.is_object() && message.target == "/run-start") {
        start(request, body);
    } else if(body.is_object() && message.target == "/run-stop") {
        stop(request, body);
    } else if(body.is_object() && message.target == "/hold") {
        hold(request, body);
    } else {
        m_server.reply(request, {internal::bad_request, {}, fmt::format(R"({{"clock_ms":{}}})", clock_ms())});
    }
}

void worker::extend_lease(std::int64_t until_ms) {
    m_lease_until_ms = std::max(m_lease_until_ms, std::min(until_ms, clock_ms() + internal::longest_lease_ms));
}

void worker::start(internal::http_request_id request, const nlohmann::json &body) {
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if(token < m_fence) {
        reply_conflict(request, "fence");
        return;
    }
    m_fence = token;
    const auto task = body.value("task", std::string{});
    const auto number = body.value("run", std::uint64_t{0});
    const auto until = body.value("until_ms", std::int64_t{0});
    const auto running = m_runs.find(task);
    if(running != m_runs.end() && running->second.run == number) {
        extend_lease(until);
        reply_done(request);
        return;
    }
    const auto closed = m_highest_closed.find(task);
    if(running != m_runs.end() || (closed != m_highest_closed.end() && number <= closed->second)) {
        extend_lease(until);
        reply_conflict(request, "old");
        return;
    }
    if(until <= clock_ms()) {
        reply_conflict(request, "late");
        return;
    }
    extend_lease(until);
    run_state run;
    run.run = number;
    run.begun_ms = clock_ms();
    std::int64_t length = 0;
    std::istringstream text{body.value("spec", std::string{})};
    text >> length >> run.cpu;
    run.ends_ms = run.begun_ms + length;
    m_runs[task] = run;
    m_handle({m_options.id, task, number, {}, cpu_in_use()});
    reply_done(request);
}

void worker::stop(internal::http_request_id request, const nlohmann::json &body) {
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if(token < m_fence) {
        reply_conflict(request, "fence");
        return;
    }
    m_fence = token;
    const auto task = body.value("task", std::string{});
    const auto number = body.value("run", std::uint64_t{0});
    const auto running = m_runs.find(task);
    if(running != m_runs.end() && running->second.run <= number && !running->second.stopped) {
        running->second.stopped = true;
        running->second.ends_ms = std::min(running->second.ends_ms, clock_ms() + internal::stop_delay_ms);
    }
    auto &closed = m_highest_closed[task];
    closed = std::max(closed, number);
    reply_done(request);
}

void worker::hold(internal::http_request_id request, const nlohmann::json &body) {
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if(token < m_fence) {
        reply_conflict(request, "fence");
        return;
    }
    m_fence = token;
    if(body.contains("until_ms")) {
        extend_lease(body.value("until_ms", std::int64_t{0}));
    }
    const auto seen = body.value("last_seen", std::uint64_t{0});
    std::erase_if(m_ended, [seen](const ended_run &one) { return one.number <= seen; });
    const auto wait = std::min(body.value("wait_ms", std::int64_t{0}), internal::longest_wait_ms);
    if(wait <= 0 || !m_ended.empty()) {
        reply_lists(request);
    } else {
        m_waiting.push_back({request, clock_ms() + wait});
    }
}

void worker::end(const std::string &task, const std::string &how) {
    const auto found = m_runs.find(task);
    const auto number = found->second.run;
    m_ended.push_back({m_next_end++, task, number, how});
    auto &closed = m_highest_closed[task];
    closed = std::max(closed, number);
    m_runs.erase(found);
    m_handle({m_options.id, task, number, how, cpu_in_use()});
}

void worker::advance() {
    const auto now = clock_ms();
    std::vector<std::pair<std::string, std::string>> ended;
    for(const auto &[task, run]: m_runs) {
        if(now > m_lease_until_ms) {
            ended.emplace_back(task, "lapsed");
        } else if(now >= run.ends_ms) {
            ended.emplace_back(task, run.stopped ? "stopped" : "done");
        }
    }
    for(const auto &[task, how]: ended) {
        end(task, how);
    }
    std::vector<internal::http_request_id> due;
    m_waiting.remove_if([&](const waiting_call &one) {
        const bool over = !m_ended.empty() || now >= one.due_ms;
        if(over) {
            due.push_back(one.request);
        }
        return over;
    });
    for(const auto request: due) {
        reply_lists(request);
    }
}

void worker::reply_done(internal::http_request_id request) {
    m_server.reply(request, {internal::ok, {{"Content-Type", "application/json"}}, fmt::format(R"({{"clock_ms":{}}})", clock_ms())});
}

void worker::reply_conflict(internal::http_request_id request, const char *reason) {
    m_server.reply(request, {internal::conflict,
                             {{"Content-Type", "application/json"}},
                             fmt::format(R"({{"clock_ms":{},"reason":"{}"}})", clock_ms(), reason)});
}

void worker::reply_lists(internal::http_request_id request) {
    const auto now = clock_ms();
    auto running = internal::json::array();
    for(const auto &[task, run]: m_runs) {
        const auto percent = 100 * (now - run.begun_ms) / std::max<std::int64_t>(1, run.ends_ms - run.begun_ms);
        running.push_back({task, run.run, "", std::min<std::int64_t>(percent, 99), run.cpu});
    }
    auto ended = internal::json::array();
    for(std::size_t index = 0; index < std::min(m_ended.size(), internal::most_ends); ++index) {
        const auto &one = m_ended[index];
        ended.push_back({one.number, one.task, one.run, one.how, ""});
    }
    m_server.reply(request, {internal::ok,
                             {{"Content-Type", "application/json"}},
                             internal::json{{"clock_ms", now}, {"born", m_born_ms}, {"running", running}, {"ended", ended}}.dump()});
}

} // namespace review
