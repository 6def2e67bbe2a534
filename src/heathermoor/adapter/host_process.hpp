#pragma once

#include "heathermoor/adapter/http_api.hpp"
#include "heathermoor/host/settings.hpp"
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace heathermoor::adapter {

/// @brief Settings of the process around one host.
struct process_settings {
    host::settings host;
    http_api_settings api;
    /// Address of the platform, as host and port.
    std::string platform;
    /// Peers known from the settings, for a start without the platform.
    std::vector<std::pair<host_id, std::string>> seeds;
    /// Threads that run timers and local messages.
    std::size_t worker_threads{2};
    /// Longest time of a graceful shutdown.
    duration drain_limit{seconds{30}};
};

/// @brief One entry host with all its adapters.
class host_process {
  public:
    /// @brief Process that is not running yet.
    /// @param options Settings.
    explicit host_process(process_settings options);
    ~host_process();
    host_process(const host_process &) = delete;
    host_process &operator=(const host_process &) = delete;
    host_process(host_process &&) = delete;
    host_process &operator=(host_process &&) = delete;

    /// @brief Binds the ports and starts to serve.
    /// @param error Set if a port cannot be bound.
    void start(std::error_code &error);

    /// @brief Serves until SIGTERM or SIGINT, then shuts down gracefully.
    void run();

    /// @brief Shuts down gracefully, within the drain limit.
    void shut_down();

    /// @brief Port for callers.
    /// @return Port after `start`.
    [[nodiscard]] int http_port() const noexcept;

    /// @brief Host behind the adapters.
    /// @return Host.
    [[nodiscard]] host::node &node() noexcept;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace heathermoor::adapter
