#include "heathermoor/adapter/http_targets.hpp"

#include "heathermoor/core/log.hpp"
#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <variant>
#include <vector>

namespace heathermoor::adapter {

namespace internal {

using json = nlohmann::json;

/// Most connections, and threads, for one target.
constexpr std::size_t max_connections = 64;
constexpr seconds connect_timeout{1};
/// Added to a task's lease to give the read timeout of its start request.
constexpr milliseconds read_margin{200};

using target_request = std::variant<placement::start_request, placement::stop_request>;

[[nodiscard]] placement::target_answer refusal(const placement::start_request &request, const httplib::Response &response) {
    const auto body = json::parse(response.body, nullptr, false);
    const auto code = body.is_object() ? body.value("code", std::string{}) : std::string{};
    const auto not_started = body.is_object() && body.contains("not_started") && body["not_started"] == true;
    if(!not_started) {
        return {request.handle, placement::task_end::failed, errc::task_failed, {}};
    }
    const auto end = code == "leaving" ? placement::task_end::refused_leaving : placement::task_end::refused_full;
    return {request.handle, end, errc::target_refused, {}};
}

[[nodiscard]] placement::target_answer success(const placement::start_request &request, const httplib::Response &response) {
    auto body = json::parse(response.body, nullptr, false);
    if(!body.is_object() || body.value("task_id", std::string{}) != request.task_name || !body.contains("result")) {
        return {request.handle, placement::task_end::ambiguous, errc::task_outcome_unknown, {}};
    }
    return {request.handle, placement::task_end::done, errc::ok, body["result"].dump()};
}

[[nodiscard]] placement::target_answer read_answer(const placement::start_request &request, const httplib::Result &result) {
    constexpr int status_ok = 200;
    constexpr int status_conflict = 409;
    if(!result) {
        if(result.error() == httplib::Error::Connection) {
            return {request.handle, placement::task_end::unreachable, errc::target_unreachable, {}};
        }
        return {request.handle, placement::task_end::ambiguous, errc::task_outcome_unknown, {}};
    }
    if(result->status == status_ok) {
        return success(request, *result);
    }
    if(result->status == status_conflict) {
        return refusal(request, *result);
    }
    return {request.handle, placement::task_end::failed, errc::task_failed, {}};
}

[[nodiscard]] std::string start_body(const placement::start_request &request) {
    json body;
    body["task_id"] = request.task_name;
    body["customer"] = request.customer.str();
    body["request"] = request.request.str();
    body["lease_ms"] = std::chrono::duration_cast<milliseconds>(request.lease).count();
    body["epoch"] = raw(request.owner_epoch);
    body["body"] = json::parse(request.body, nullptr, false);
    return body.dump();
}

} // namespace internal

/// Queue of requests to one target, and the threads that send them; each thread has a connection.
class http_targets::channel {
  public:
    channel(std::string address, const handler &answered) : m_address{std::move(address)}, m_answered{answered} {}

    ~channel() {
        {
            const std::lock_guard lock{m_mutex};
            m_stopped = true;
        }
        m_wake.notify_all();
        for(auto &thread: m_threads) {
            thread.join();
        }
    }
    channel(const channel &) = delete;
    channel &operator=(const channel &) = delete;
    channel(channel &&) = delete;
    channel &operator=(channel &&) = delete;

    void push(internal::target_request item) {
        const std::lock_guard lock{m_mutex};
        m_queue.push_back(std::move(item));
        if(m_queue.size() > m_idle && m_threads.size() < internal::max_connections) {
            m_threads.emplace_back([this] { serve(); });
        }
        m_wake.notify_one();
    }

  private:
    void serve() {
        httplib::Client client{"http://" + m_address};
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(internal::connect_timeout);
        std::unique_lock lock{m_mutex};
        while(true) {
            ++m_idle;
            m_wake.wait(lock, [this] { return m_stopped || !m_queue.empty(); });
            --m_idle;
            if(m_queue.empty()) {
                return;
            }
            auto item = std::move(m_queue.front());
            m_queue.pop_front();
            lock.unlock();
            std::visit([&](const auto &request) { carry_out(client, request); }, item);
            lock.lock();
        }
    }

    void carry_out(httplib::Client &client, const placement::start_request &request) const {
        client.set_read_timeout(std::chrono::duration_cast<std::chrono::microseconds>(request.lease + internal::read_margin));
        const auto result = client.Post("/v1/tasks", internal::start_body(request), "application/json");
        m_answered(internal::read_answer(request, result));
    }

    void carry_out(httplib::Client &client, const placement::stop_request &request) const {
        client.set_read_timeout(internal::connect_timeout);
        internal::json body;
        body["task_id"] = request.task_name;
        const auto result = client.Post("/v1/tasks/stop", body.dump(), "application/json");
        if(!result) {
            log(log_level::warning, "targets", "Stop request failed. address={} error={}", m_address, httplib::to_string(result.error()));
        }
    }

    std::string m_address;
    const handler &m_answered;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<internal::target_request> m_queue;
    std::size_t m_idle{};
    bool m_stopped{};
    std::vector<std::thread> m_threads;
};

struct http_targets::state {
    handler answered;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<channel>> channels;
};

http_targets::http_targets(handler answered) : m_state{std::make_unique<state>()} {
    m_state->answered = std::move(answered);
}

http_targets::~http_targets() = default;

std::shared_ptr<http_targets::channel> http_targets::channel_to(const std::string &address) {
    const std::lock_guard lock{m_state->mutex};
    auto &entry = m_state->channels[address];
    if(!entry) {
        entry = std::make_shared<channel>(address, m_state->answered);
    }
    return entry;
}

void http_targets::start(placement::start_request request) {
    const auto to = channel_to(request.address);
    to->push(std::move(request));
}

void http_targets::stop(placement::stop_request request) {
    const auto to = channel_to(request.address);
    to->push(std::move(request));
}

} // namespace heathermoor::adapter
