#pragma once

#include <memory>
#include <system_error>

namespace httplib {
class Server;
}

namespace heathermoor::adapter {

/// @brief Lets many connections wait to be accepted by a server of cpp-httplib.
///
/// The library listens with a queue of five: while its accepting thread is
/// delayed, further connections are reset after their request was sent.
class listen_queue {
  public:
    /// @brief Queue of a server that is not bound yet; also lets it take over an address that is in use no more.
    /// @param server Server.
    explicit listen_queue(httplib::Server &server);

    /// @brief Lengthens the queue of the bound server.
    /// @param error Set if the system refuses.
    void lengthen(std::error_code &error) const noexcept;

  private:
    std::shared_ptr<int> m_socket;
};

} // namespace heathermoor::adapter
