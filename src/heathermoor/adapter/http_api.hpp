#pragma once

#include "heathermoor/adapter/job_json.hpp"
#include "heathermoor/host/node.hpp"
#include "heathermoor/metrics/summary.hpp"
#include <memory>
#include <string>
#include <system_error>

namespace heathermoor::adapter {

/// @brief Settings of the HTTP interface.
struct http_api_settings {
    std::string bind_host{"127.0.0.1"};
    /// Port for clients; zero lets the system choose.
    int port{};
    /// Port for health and metrics alone; zero lets the system choose.
    int admin_port{};
    /// Threads for client requests; each request that waits for a job occupies one.
    std::size_t caller_threads{256};
    /// Serves clients that send no credential.
    bool allow_anonymous{};
    request_limits limits;
};

/// @brief HTTP interface for clients and operators.
///
/// Health and metrics have a listener of their own, so that they are served while
/// waiting clients occupy all threads of the client listener.
class http_api {
  public:
    /// @brief Constructs an interface that does not listen yet.
    /// @param options Addresses, threads and limits.
    /// @param node Host that runs the jobs; must outlive the interface.
    http_api(http_api_settings options, host::node &node);
    ~http_api();
    http_api(const http_api &) = delete;
    http_api &operator=(const http_api &) = delete;
    http_api(http_api &&) = delete;
    http_api &operator=(http_api &&) = delete;

    /// @brief Binds both ports.
    /// @param error Set if a port cannot be bound.
    void bind(std::error_code &error);

    /// @brief Starts serving on both ports; call after `bind`.
    void start();

    /// @brief Stops accepting connections and waits for the requests in progress.
    void stop();

    /// @brief Port for clients.
    /// @return Bound port; valid after `bind` succeeded.
    [[nodiscard]] int port() const noexcept;

    /// @brief Port for health and metrics.
    /// @return Bound port; valid after `bind` succeeded.
    [[nodiscard]] int admin_port() const noexcept;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace heathermoor::adapter
