#pragma once

#include "heathermoor/adapter/http_api.hpp"
#include "heathermoor/host/settings.hpp"
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace heathermoor::adapter {

/// @brief Settings of a host process.
struct process_settings {
    host::settings host;
    http_api_settings api;
    /// Address of the platform as `host:port`.
    std::string platform;
    /// Identifiers and addresses of peers to contact while the platform is unreachable at startup.
    std::vector<std::pair<host_id, std::string>> seeds;
    /// Threads that run timers and messages of the host to itself.
    std::size_t worker_threads{2};
    /// Longest wait for open jobs during a graceful shutdown.
    duration drain_limit{seconds{30}};
};

/// @brief Entry host with its network adapters and threads.
class host_process {
  public:
    /// @brief Constructs a process that is not started.
    /// @param options Settings; ports of zero are chosen by the system in `start`.
    explicit host_process(process_settings options);
    ~host_process();
    host_process(const host_process &) = delete;
    host_process &operator=(const host_process &) = delete;
    host_process(host_process &&) = delete;
    host_process &operator=(host_process &&) = delete;

    /// @brief Binds the ports and starts all threads.
    /// @param error Set if a port cannot be bound.
    void start(std::error_code &error);

    /// @brief Blocks until SIGTERM or SIGINT, then shuts down gracefully.
    void run();

    /// @brief Drains the host for at most `drain_limit`, then stops all threads. No effect unless running.
    void shut_down();

    /// @brief Port of the client interface.
    /// @return Bound port; valid after `start` succeeded.
    [[nodiscard]] int http_port() const noexcept;

    /// @brief Access to the host.
    /// @return Host; valid after `start` succeeded.
    [[nodiscard]] host::node &node() noexcept;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace heathermoor::adapter
