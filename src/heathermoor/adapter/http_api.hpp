#pragma once

#include "heathermoor/adapter/job_json.hpp"
#include "heathermoor/host/node.hpp"
#include "heathermoor/metrics/summary.hpp"
#include <memory>
#include <string>
#include <system_error>

namespace heathermoor::adapter {

/// @brief Settings of the callers' interface.
struct http_api_settings {
    std::string bind_host{"127.0.0.1"};
    /// Zero lets the system choose.
    int port{};
    /// Port for health and metrics alone; zero lets the system choose.
    int admin_port{};
    /// Threads for callers; each waiting caller holds one.
    std::size_t caller_threads{256};
    /// Serves callers without a credential.
    bool allow_anonymous{};
    request_limits limits;
};

/// @brief Callers' and operators' interface over HTTP.
///
/// Health and metrics have a listener of their own, so that waiting callers
/// cannot starve them.
class http_api {
  public:
    /// @brief Interface that does not listen yet.
    /// @param options Settings.
    /// @param node Host that serves the requests.
    http_api(http_api_settings options, host::node &node);
    ~http_api();
    http_api(const http_api &) = delete;
    http_api &operator=(const http_api &) = delete;
    http_api(http_api &&) = delete;
    http_api &operator=(http_api &&) = delete;

    /// @brief Binds both ports.
    /// @param error Set if a port cannot be bound.
    void bind(std::error_code &error);

    /// @brief Starts to serve.
    void start();

    /// @brief Stops to accept and waits for the requests being served.
    void stop();

    /// @brief Port for callers.
    /// @return Port after `bind`.
    [[nodiscard]] int port() const noexcept;

    /// @brief Port for health and metrics.
    /// @return Port after `bind`.
    [[nodiscard]] int admin_port() const noexcept;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace heathermoor::adapter
