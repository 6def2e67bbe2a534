#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace review {

/// @brief What the proxy does with channels that clients open from now on.
enum class proxy_mode : std::uint8_t {
    /// Forwards both directions.
    forward,
    /// Resets the channel when the first bytes arrive; nothing is forwarded.
    reset,
};

/// @brief Stand-in for the platform's address in front of one host: forwards each channel to the host.
class front_proxy {
  public:
    /// @brief Listens on a free loopback port.
    /// @param context Event loop.
    /// @param host Address of the host for clients, in the form `ip:port`.
    /// @throws std::system_error If no port can be bound.
    front_proxy(asio::io_context &context, const std::string &host);

    /// @brief Address that clients connect to.
    /// @return Address in the form `ip:port`.
    [[nodiscard]] const std::string &address() const noexcept { return m_address; }

    /// @brief Sets the mode of channels that are opened from now on; open channels keep theirs.
    /// @param mode New mode.
    void set_mode(proxy_mode mode) noexcept { m_mode = mode; }

  private:
    class channel;

    void accept();

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_host;
    std::string m_address;
    proxy_mode m_mode{proxy_mode::forward};
};

} // namespace review
