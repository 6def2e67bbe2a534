#pragma once

// Stand-ins of the platform, its workers and its clients, for the cases in review/. They follow the users' pages.

#include "heathermoor/adapter/http_client.hpp"
#include "heathermoor/adapter/system_clock_port.hpp"
#include "server.hpp"
#include "standin/store.hpp"
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

using heathermoor::duration;
using heathermoor::milliseconds;
using heathermoor::time_point;
using nlohmann::json;

/// @brief What a worker offers during one boot.
struct worker_kind {
    std::string label;
    std::int64_t cpu{16'000};
    std::int64_t mem_mb{32'768};
};

/// @brief Start of a task, as its worker saw it.
struct task_start {
    time_point at;
    std::string worker;
    worker_kind kind;
    std::string task;
    std::uint64_t run{};
    std::string spec;
    /// Processor capacity that the running tasks use, this one included.
    std::int64_t cpu_used{};
};

/// @brief Worker that speaks the "call" form of the orders; its admission check is off.
///
/// The specification of a job names the run time of its tasks in milliseconds and their `cpu`, separated by a space.
class worker {
  public:
    using start_handler = std::function<void(const task_start &)>;
    using end_handler = std::function<void(const std::string &worker, const std::string &task, std::uint64_t run, const char *how)>;

    worker(asio::io_context &context, std::string id, std::string zone, asio::ip::tcp::endpoint address, worker_kind kind,
           start_handler started, end_handler ended);

    /// @brief Entry of the worker in the platform's store.
    [[nodiscard]] std::string entry() const;

    /// @brief Ends everything that runs and answers no call until `boot`; open channels are reset.
    void crash();

    /// @brief Starts again under the same id and address.
    void boot(worker_kind kind);

    /// @brief Ends the runs that are done, stopped, or whose lease has expired.
    void advance();

    [[nodiscard]] const std::string &id() const noexcept { return m_id; }
    [[nodiscard]] const worker_kind &kind() const noexcept { return m_kind; }
    [[nodiscard]] bool up() const noexcept { return m_server != nullptr; }
    [[nodiscard]] std::size_t running() const noexcept { return m_runs.size(); }
    [[nodiscard]] std::set<std::string> tasks() const;

  private:
    struct run {
        std::uint64_t number{};
        std::int64_t cpu{};
        time_point started;
        time_point ends;
        bool stopped{};
    };
    struct end {
        std::uint64_t number{};
        std::string task;
        std::uint64_t run{};
        std::string how;
    };
    struct waiting_call {
        std::uint64_t request{};
        time_point until;
    };

    [[nodiscard]] std::int64_t clock_ms() const;
    void listen();
    void handle(std::uint64_t request, const heathermoor::adapter::http_message &message);
    void start(std::uint64_t request, const json &body);
    void stop(std::uint64_t request, const json &body);
    void hold(std::uint64_t request, const json &body);
    void reject(std::uint64_t request, const char *reason);
    void accept(std::uint64_t request);
    void report(std::uint64_t request);
    [[nodiscard]] bool fenced(const json &body);
    void extend(const json &body);
    void close(const std::string &task, const char *how);

    asio::io_context &m_context;
    heathermoor::adapter::system_clock_port m_clock;
    std::string m_id;
    std::string m_zone;
    worker_kind m_kind;
    start_handler m_started;
    end_handler m_ended;
    asio::ip::tcp::endpoint m_address;
    std::unique_ptr<server> m_server;
    time_point m_booted;
    std::int64_t m_born{};
    std::uint64_t m_seq{};
    std::uint64_t m_fence{};
    std::int64_t m_lease_until{};
    std::uint64_t m_last_end{};
    std::map<std::string, run> m_runs;
    std::map<std::string, std::uint64_t> m_closed;
    std::vector<end> m_ends;
    std::vector<waiting_call> m_waiting;
};

/// @brief Answer to a client's request; the status is zero if none came.
struct answer {
    int status{};
    std::string body;
    time_point at;
};

/// @brief One host: a process of the system.
struct host {
    std::string ip;
    std::string zone;
    ::pid_t pid{};
    /// When `GET /ready` was last answered, with any status.
    time_point answered_at;
    bool ready{};
    /// Processor time that the process has used, in milliseconds.
    std::int64_t cpu_ms{};
};

/// @brief Queue of the configuration.
struct queue {
    std::string name;
    std::int64_t timeout_ms{};
};

/// @brief Layout of the deployment.
struct layout {
    std::size_t hosts{3};
    std::size_t workers{6};
    std::size_t zones{3};
    std::vector<queue> queues{{"work", 1'500}};
    std::function<worker_kind(std::size_t)> kind{[](std::size_t) { return worker_kind{"a"}; }};
};

/// @brief Makes SIGTERM and SIGINT end the processes that were started, and then this one with status 2.
void end_processes_on_signals();

/// @brief A small deployment on loopback addresses: processes of the system, and stand-ins for everything else.
class world {
  public:
    using answer_handler = std::function<void(const answer &)>;

    world(layout plan, const std::string &record);
    ~world();
    world(const world &) = delete;
    world &operator=(const world &) = delete;

    /// @brief Starts the process of a host with the command of the deploy file.
    void start(std::size_t index);

    /// @brief Sends SIGKILL and waits for the end.
    void kill(std::size_t index);

    /// @brief Waits until all hosts are ready; throws after 30 s.
    void wait_ready();

    /// @brief Runs the stand-ins.
    void run_for(milliseconds length);

    /// @brief Index of the host that schedules the tasks, by its metrics; none if none says so.
    [[nodiscard]] std::optional<std::size_t> leader();

    /// @brief Sends a request on a channel of its own.
    /// @param index Host.
    /// @param method Method.
    /// @param path Path.
    /// @param body Body; may be empty.
    /// @param limit Time that the client waits.
    /// @param handle Receives the answer.
    void request(std::size_t index, const std::string &method, const std::string &path, const std::string &body, milliseconds limit,
                 answer_handler handle);

    /// @brief Path of a job in a queue.
    [[nodiscard]] static std::string path(const std::string &queue, const std::string &id) { return "/" + queue + "/" + id; }

    /// @brief New id of a job.
    [[nodiscard]] std::string new_id();

    /// @brief Writes a line with the time since the start to the record.
    void note(const std::string &line);

    /// @brief Milliseconds since the start.
    [[nodiscard]] double since_start(time_point at) const;

    [[nodiscard]] time_point now() const { return m_clock.now(); }
    [[nodiscard]] std::vector<host> &hosts() noexcept { return m_hosts; }
    [[nodiscard]] std::vector<std::unique_ptr<worker>> &workers() noexcept { return m_workers; }
    [[nodiscard]] const std::vector<task_start> &starts() const noexcept { return m_starts; }

    /// @brief Writes a worker's entry to the store.
    void publish(const worker &one);

    /// @brief Called at each start of a task.
    std::function<void(const task_start &)> on_start;

    /// @brief Called every few milliseconds.
    std::function<void()> on_step;

    /// @brief Whether starts and ends of tasks are written to the record.
    bool note_tasks{true};

  private:
    void step();
    void check_hosts();
    void write_settings(std::size_t index) const;
    void write_config(const std::vector<queue> &queues);
    [[nodiscard]] std::string address(std::size_t index, int offset) const;

    asio::io_context m_context{1};
    heathermoor::adapter::system_clock_port m_clock;
    heathermoor::adapter::http_client m_client;
    heathermoor::platform::standin::store m_store;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::vector<host> m_hosts;
    std::vector<task_start> m_starts;
    std::filesystem::path m_folder;
    std::ofstream m_record;
    time_point m_started_at;
    time_point m_next_check;
    std::uint64_t m_jobs{};
    std::uint64_t m_seed{};
    int m_port{};
};

} // namespace review
