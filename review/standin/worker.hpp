#pragma once

#include "heathermoor/adapter/http_server.hpp"
#include "heathermoor/core/time.hpp"
#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace review {

/// @brief What a worker says of itself.
struct worker_options {
    std::string id;
    std::string service;
    std::string zone;
    std::string machine;
    std::int64_t cpu{16'000};
    std::int64_t memory_mb{32'768};
    std::vector<std::string> labels;
    /// Address to listen on; port 0 for a free one.
    std::string listen{"127.0.0.1:0"};
};

/// @brief Start or end of a run on a worker.
struct run_event {
    std::string worker;
    std::string task;
    std::uint64_t run{};
    /// Empty for a start, else how the run ended.
    std::string ended;
    /// Processor need of all runs on the worker, this one included at a start.
    std::int64_t cpu_in_use{};
};

/// @brief Stand-in for one life of a worker that does not check for room.
///
/// The payload of a task is the time that it works, in milliseconds, and its processor need, separated by a space.
class worker {
  public:
    using event_handler = std::function<void(const run_event &)>;

    /// @brief Starts to listen.
    /// @param context Event loop.
    /// @param options Identity and capacity.
    /// @param handle Called at each start and end of a run.
    /// @throws std::system_error If the address cannot be bound.
    worker(asio::io_context &context, worker_options options, event_handler handle);

    /// @brief Ends runs whose work is done or whose lease has expired, and answers waiting calls that are due.
    void advance();

    /// @brief Entry for the platform's store; each call counts as a further status report.
    /// @return JSON text.
    [[nodiscard]] std::string entry();

    /// @brief Identity and capacity.
    /// @return Options as given, with the address that it listens on.
    [[nodiscard]] const worker_options &options() const noexcept { return m_options; }

  private:
    struct run_state {
        std::uint64_t run{};
        std::int64_t cpu{};
        std::int64_t begun_ms{};
        std::int64_t ends_ms{};
        bool stopped{};
    };
    struct ended_run {
        std::uint64_t number{};
        std::string task;
        std::uint64_t run{};
        std::string how;
    };
    struct waiting_call {
        heathermoor::adapter::http_request_id request{};
        std::int64_t due_ms{};
    };

    void handle(heathermoor::adapter::http_request_id request, const heathermoor::adapter::http_message &message);
    void start(heathermoor::adapter::http_request_id request, const nlohmann::json &body);
    void stop(heathermoor::adapter::http_request_id request, const nlohmann::json &body);
    void hold(heathermoor::adapter::http_request_id request, const nlohmann::json &body);
    void extend_lease(std::int64_t until_ms);
    void end(const std::string &task, const std::string &how);
    void reply_done(heathermoor::adapter::http_request_id request);
    void reply_conflict(heathermoor::adapter::http_request_id request, const char *reason);
    void reply_lists(heathermoor::adapter::http_request_id request);
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] std::int64_t cpu_in_use() const;

    worker_options m_options;
    event_handler m_handle;
    std::int64_t m_born_ms{};
    std::int64_t m_steady_start_ms{};
    std::uint64_t m_reports{};
    std::uint64_t m_fence{};
    std::int64_t m_lease_until_ms{};
    std::map<std::string, run_state> m_runs;
    std::map<std::string, std::uint64_t> m_highest_closed;
    std::vector<ended_run> m_ended;
    std::uint64_t m_next_end{1};
    std::list<waiting_call> m_waiting;
    heathermoor::adapter::http_server m_server;
};

} // namespace review
