#pragma once

#include "heathermoor/adapter/http_client.hpp"
#include "heathermoor/adapter/system_clock_port.hpp"
#include "standin/front_proxy.hpp"
#include "standin/store.hpp"
#include "standin/worker.hpp"
#include <asio/io_context.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

using heathermoor::duration;
using heathermoor::milliseconds;
using heathermoor::time_point;

/// @brief Size of a small deployment.
struct scene_options {
    std::size_t hosts{6};
    std::size_t workers{6};
    /// Zones over which hosts and workers are spread by turns.
    std::size_t zones{3};
    /// Time limit of the only route, which the operator sets.
    milliseconds route_timeout{30'000};
};

/// @brief Run of a task, as the workers see it.
struct seen_run {
    std::string task;
    std::uint64_t number{};
    std::string worker;
    /// Time since the start of the scene.
    milliseconds started{};
    /// Time since the start of the scene; none while it runs.
    std::optional<milliseconds> ended;
};

/// @brief Answer to a client's call.
struct client_answer {
    bool answered{};
    int status{};
    std::string body;
};

/// @brief Runs the deploy file's program as separate processes on loopback, with stand-ins for the platform's store, the
/// workers, the platform's address for clients, and the clients. Writes what happens to `record.txt`.
class scene {
  public:
    using answer_handler = std::function<void(const client_answer &)>;

    /// @brief Creates the stand-ins and starts all hosts.
    /// @param options Size.
    /// @param record Path of the record.
    scene(scene_options options, const std::filesystem::path &record);
    ~scene();
    scene(const scene &) = delete;
    scene &operator=(const scene &) = delete;
    scene(scene &&) = delete;
    scene &operator=(scene &&) = delete;

    /// @brief Time since the start of the scene.
    /// @return Whole milliseconds.
    [[nodiscard]] milliseconds now() const;

    /// @brief Runs the scene for a while.
    /// @param length Duration in real time.
    void run_for(milliseconds length);

    /// @brief Runs the scene until a condition holds.
    /// @param done Condition.
    /// @param limit Longest wait.
    /// @return False on a timeout.
    bool run_until(const std::function<bool()> &done, milliseconds limit);

    /// @brief Waits until all hosts report that they are ready.
    /// @param limit Longest wait.
    /// @return False on a timeout.
    bool wait_ready(milliseconds limit);

    /// @brief Finds the only host whose metrics say that it leads.
    /// @return Index; none if no host does, or several do.
    std::optional<std::size_t> leader();

    /// @brief Finds all hosts whose metrics say that they lead.
    /// @return Indexes.
    std::vector<std::size_t> leaders();

    /// @brief Zone of a host.
    /// @param host Index of the host.
    /// @return Name.
    [[nodiscard]] const std::string &zone_of(std::size_t host) const { return m_hosts.at(host).domain; }

    /// @brief Kills the process of a host with SIGKILL.
    /// @param host Index of the host.
    void kill_host(std::size_t host);

    /// @brief Starts the process of a host, with the settings that it had.
    /// @param host Index of the host.
    void start_host(std::size_t host);

    /// @brief Sends a signal to the process of a host.
    /// @param host Index of the host.
    /// @param number Signal.
    void signal(std::size_t host, int number);

    /// @brief Sends a client's request over a new channel.
    /// @param host Host that the platform's address forwards to.
    /// @param method HTTP method.
    /// @param id Job.
    /// @param body Body; empty for none.
    /// @param deadline Time for which the client waits.
    /// @param handle Called with the answer, or when there is none.
    void call(std::size_t host, const std::string &method, const std::string &id, const std::string &body, milliseconds deadline,
              answer_handler handle);

    /// @brief Body of a job without `after`.
    /// @param tasks Number of tasks.
    /// @param length Time that each task works.
    /// @param cpu Processor need of a task, in thousandths of a core.
    /// @return JSON text of a best-effort job.
    [[nodiscard]] static std::string job_body(std::size_t tasks, milliseconds length, std::int64_t cpu = 1'000);

    /// @brief All runs of a job that workers have started.
    /// @param id Job.
    /// @return Runs by time of their start.
    [[nodiscard]] std::vector<seen_run> runs_of(const std::string &id) const;

    /// @brief Stand-in for the platform's address in front of a host.
    /// @param host Index of the host.
    /// @return Proxy owned by the scene.
    [[nodiscard]] front_proxy &front(std::size_t host) { return *m_hosts.at(host).front; }

    /// @brief Writes a line with the time to the record and to standard output.
    /// @param text Line.
    void note(const std::string &text);

    /// @brief Number of hosts.
    /// @return All hosts.
    [[nodiscard]] std::size_t hosts() const noexcept { return m_hosts.size(); }

  private:
    struct host_process {
        std::string ip;
        std::string domain;
        std::unique_ptr<front_proxy> front;
        ::pid_t pid{};
        bool ready{};
    };

    void write_settings(std::size_t host, bool first) const;
    void write_config();
    void step();
    /// Writes a line with the time to the record only.
    void note_detail(const std::string &text);
    void run_changed(const run_event &event);
    void send_heartbeats();
    [[nodiscard]] std::string fetch(const std::string &address, const std::string &path, int &status);

    scene_options m_options;
    std::filesystem::path m_folder;
    std::ofstream m_record;
    asio::io_context m_context{1};
    heathermoor::adapter::system_clock_port m_clock;
    heathermoor::adapter::http_client m_client;
    heathermoor::platform::standin::store m_store;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::vector<host_process> m_hosts;
    std::vector<seen_run> m_runs;
    std::uint16_t m_port{};
    std::uint64_t m_next_lane{};
    time_point m_started;
    time_point m_next_heartbeat;
};

/// @brief Whether the disruption of a case is to happen.
/// @return False if the variable TROUBLE is 0.
[[nodiscard]] bool trouble();

/// @brief Exit statuses of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int not_run = 2;

} // namespace review
