#pragma once

#include <memory>
#include <system_error>

namespace httplib {
class Server;
}

namespace heathermoor::adapter {

/// @brief Lengthens the accept queue of a cpp-httplib server.
///
/// The library listens with a backlog of five: while its accepting thread is
/// delayed, further connections are reset after the client has sent its request.
class listen_queue {
  public:
    /// @brief Attaches to a server before it is bound; also sets SO_REUSEADDR on its socket.
    /// @param server Server whose socket options this object sets.
    explicit listen_queue(httplib::Server &server);

    /// @brief Lengthens the accept queue; call after the server is bound.
    /// @param error Set to the system's error if listening fails.
    void lengthen(std::error_code &error) const noexcept;

  private:
    std::shared_ptr<int> m_socket;
};

} // namespace heathermoor::adapter
