#pragma once

#include "heathermoor/adapter/http_client.hpp"
#include "heathermoor/adapter/system_clock_port.hpp"
#include "standin/store.hpp"
#include "standin/target.hpp"
#include <asio/io_context.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace heathermoor::review {

/// @brief What one task of a job needs, and how many of them it has.
struct job_shape {
    std::size_t tasks{1};
    platform::standin::simulated_work work;
    /// Longest time that the caller waits for an answer.
    milliseconds deadline{1'500};
};

/// @brief Answer to a request of a caller.
struct caller_answer {
    /// Status; 0 if the connection ended without a complete answer.
    int status{};
    std::string body;
    time_point at;
};

/// @brief Start of a task, as a target saw it.
struct seen_start {
    std::string job;
    std::uint32_t index{};
    std::string target;
    time_point at;
};

/// @brief A small deployment on loopback addresses: the program under test as separate processes, and stand-ins for the platform's
/// store, the targets, the load balancer and the callers.
class world {
  public:
    /// @brief Creates store, targets and configuration; no host runs yet.
    /// @param program Command line of the program under test, as in the deploy file.
    /// @param record File that receives one line for each event.
    world(std::vector<std::string> program, const std::string &record);
    ~world();
    world(const world &) = delete;
    world &operator=(const world &) = delete;
    world(world &&) = delete;
    world &operator=(world &&) = delete;

    /// @brief Makes the next step of any world throw, so that it ends its processes; may be called by a signal handler.
    static void request_end() noexcept;

    /// @brief Starts the processes of all hosts and waits until they are ready.
    /// @return False if they are not ready in time.
    [[nodiscard]] bool start_all();

    /// @brief Lets time pass.
    /// @param length Real time.
    void run_for(milliseconds length);

    /// @brief Lets time pass until a condition holds.
    /// @param condition Condition, checked every few milliseconds.
    /// @param limit Longest wait.
    /// @return Whether it holds.
    bool run_until(const std::function<bool()> &condition, milliseconds limit);

    /// @brief Number of hosts.
    [[nodiscard]] std::size_t hosts() const noexcept { return m_hosts.size(); }

    /// @brief Address at which a host serves callers.
    [[nodiscard]] std::string front_of(std::size_t host) const;

    /// @brief Zone of a host.
    [[nodiscard]] const std::string &zone_of(std::size_t host) const { return m_hosts.at(host).zone; }

    /// @brief Sends a signal to the process of a host.
    void send_signal(std::size_t host, int signal);

    /// @brief Lets the platform end and restart processes that exceed the memory of their machine.
    void watch_memory() noexcept { m_watches_memory = true; }

    /// @brief Processes of a host that the platform ended because of their memory.
    [[nodiscard]] std::size_t memory_ends(std::size_t host) const { return m_hosts.at(host).memory_ends; }

    /// @brief Whether the load balancer opens connections to a host.
    [[nodiscard]] bool ready(std::size_t host) const { return m_hosts.at(host).ready; }

    /// @brief Creates the id and the body of a job.
    /// @return Id.
    std::string make_job(const job_shape &shape);

    /// @brief Keeps the body of a job under a new id.
    /// @param body Body as it is sent.
    /// @param deadline Longest time that the caller waits for an answer.
    /// @return Id.
    std::string keep_job(std::string body, milliseconds deadline);

    /// @brief Tasks with runs on two targets at the moment.
    /// @return Both targets, by task.
    [[nodiscard]] std::map<std::string, std::string> overlaps() const;

    /// @brief Host that leads, as its metrics say.
    [[nodiscard]] std::optional<std::size_t> find_leader();

    /// @brief Processor time that the process of a host has used.
    [[nodiscard]] milliseconds processor_time(std::size_t host) const;

    /// @brief Requests for readiness that a host has left unanswered since its last answer.
    [[nodiscard]] std::size_t missed(std::size_t host) const { return m_hosts.at(host).misses; }

    /// @brief Sends a request for a job on a connection of its own.
    /// @param method POST or DELETE.
    /// @param id Job.
    /// @param host Host that gets the request.
    /// @param handle Called with the answer.
    void send(const std::string &method, const std::string &id, std::size_t host, std::function<void(const caller_answer &)> handle);

    /// @brief Sends jobs at a rate, each to a host that the load balancer picks.
    /// @param per_s Jobs per second; zero for none.
    void set_load(double per_s) noexcept { m_load = per_s; }

    /// @brief Answers to the jobs of `set_load`, by status.
    [[nodiscard]] const std::map<int, std::size_t> &load_answers() const noexcept { return m_load_answers; }

    /// @brief Starts of tasks.
    [[nodiscard]] const std::vector<seen_start> &starts() const noexcept { return m_starts; }

    /// @brief Stand-in for the store.
    [[nodiscard]] platform::standin::store &store() noexcept { return m_store; }

    /// @brief An entry for the list of targets, as a target writes it.
    [[nodiscard]] std::string sample_entry(const std::string &address) const;

    /// @brief Loopback address without a listener.
    [[nodiscard]] std::string silent_address() const { return m_prefix + ".250:9"; }

    /// @brief Event loop of the stand-ins.
    [[nodiscard]] asio::io_context &context() noexcept { return m_context; }

    /// @brief Reading of the steady clock.
    [[nodiscard]] time_point now() const { return m_clock.now(); }

    /// @brief Milliseconds since the start.
    [[nodiscard]] std::int64_t since_start(time_point at) const;

    /// @brief Writes a line to the record.
    void note(std::string_view line);

    /// @brief Random numbers.
    [[nodiscard]] std::mt19937_64 &random() noexcept { return m_random; }

  private:
    struct host_process {
        std::string ip;
        std::string zone;
        ::pid_t pid{};
        bool ready{};
        std::size_t misses{};
        std::size_t memory_ends{};
        std::optional<time_point> restart_at;
    };

    void start(std::size_t host);
    void write_settings(std::size_t host) const;
    void check_processes();
    void check_ready(std::size_t host);
    void send_load();
    void step();

    std::vector<std::string> m_program;
    std::ofstream m_record;
    std::filesystem::path m_folder;
    asio::io_context m_context{1};
    adapter::system_clock_port m_clock;
    adapter::http_client m_client;
    platform::standin::store m_store;
    std::vector<std::unique_ptr<platform::standin::target>> m_targets;
    std::vector<host_process> m_hosts;
    std::map<std::string, std::pair<std::string, milliseconds>> m_jobs;
    std::vector<seen_start> m_starts;
    std::map<int, std::size_t> m_load_answers;
    std::mt19937_64 m_random;
    std::string m_prefix;
    time_point m_started;
    time_point m_last_step;
    time_point m_next_ready_check;
    std::uint64_t m_next_lane{};
    double m_load{};
    double m_load_due{};
    bool m_watches_memory{};
};

} // namespace heathermoor::review
