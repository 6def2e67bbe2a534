#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <thread>

namespace heathermoor::test {

/// @brief Forwards TCP connections on loopback and can stop forwarding without closing them, like a lost network path.
class loopback_proxy {
  public:
    /// @brief Starts a proxy on a free port, with its own thread.
    /// @param target Loopback port to which connections are forwarded.
    explicit loopback_proxy(std::uint16_t target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy &) = delete;
    loopback_proxy &operator=(const loopback_proxy &) = delete;
    loopback_proxy(loopback_proxy &&) = delete;
    loopback_proxy &operator=(loopback_proxy &&) = delete;

    /// @brief Port on which the proxy listens.
    /// @return Port chosen by the system.
    [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }

    /// @brief Silently drops all traffic of the connections that are open now; new ones are forwarded.
    void silence();

  private:
    struct link;
    void accept();
    void forward(const std::shared_ptr<link> &pair, bool to_target);

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_target;
    std::uint16_t m_port;
    std::set<std::shared_ptr<link>> m_links;
    std::thread m_thread;
};

} // namespace heathermoor::test
