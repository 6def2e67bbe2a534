#pragma once

#include "heathermoor/adapter/http_message.hpp"
#include "heathermoor/core/time.hpp"
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_map>
#include <vector>

namespace heathermoor::adapter {

/// @brief Identifier of a request, unique within one server.
enum class http_request_id : std::uint64_t {};

/// @brief Limits on requests and connections of a server.
struct http_server_limits {
    std::size_t header_bytes{16'384};
    std::size_t body_bytes{262'144};
    /// Time within which a request must be complete after its first byte; after it the server replies 408.
    milliseconds header_timeout{3'000};
    /// Time after which a connection without a request is closed.
    milliseconds idle_timeout{15'000};
};

/// @brief Response to a request; the server adds `Content-Length`.
struct http_response {
    int status{200};
    std::vector<http_header> headers;
    std::string body;
};

/// @brief Asynchronous HTTP/1.1 server with persistent connections.
///
/// A connection is read while its request is open, so that a client that disconnects
/// is noticed at once. Pipelined requests wait until the response has been sent.
class http_server {
  public:
    /// @brief Called with each complete request; answered by `reply`, at once or later.
    using request_handler = std::function<void(http_request_id, http_message)>;

    /// @brief Called when a client disconnects before its request is answered.
    using abandon_handler = std::function<void(http_request_id)>;

    /// @brief Constructs a server that does not listen yet.
    /// @param context Event loop that runs the connections and handlers.
    /// @param handle Called with each request.
    /// @param abandoned Called with each open request whose client disconnected.
    http_server(asio::io_context &context, request_handler handle, abandon_handler abandoned);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;
    http_server(http_server &&) = delete;
    http_server &operator=(http_server &&) = delete;

    /// @brief Binds an address and starts accepting connections.
    /// @param address `IP:port`; port zero lets the system choose.
    /// @param error Set if the address is malformed or cannot be bound.
    /// @return Bound port; zero on error.
    std::uint16_t listen(const std::string &address, std::error_code &error);

    /// @brief Sets the limits; they apply to all data that is read and all timeouts that are checked from now on.
    /// @param limits New limits.
    void set_limits(const http_server_limits &limits) noexcept { m_limits = limits; }

    /// @brief Sends the response to a request.
    /// @param request Identifier from the request handler; ignored if answered already or abandoned.
    /// @param response Response to send.
    void reply(http_request_id request, const http_response &response);

    /// @brief Enforces the timeouts of all connections; to be called periodically.
    /// @param now Monotonic time; also the time from which later reads are measured.
    void expire(time_point now);

    /// @brief From now on, closes each connection after its next response.
    void begin_stop() noexcept { m_stopping = true; }

    /// @brief Stops accepting connections and closes those without a request.
    void close_idle();

    /// @brief Number of requests that have not been answered.
    /// @return Requests passed to the handler, without the answered and abandoned ones.
    [[nodiscard]] std::size_t open_requests() const noexcept { return m_requests.size(); }

    /// @brief Whether a request is open or a response is being sent.
    /// @return True while closing the server would cut one off.
    [[nodiscard]] bool busy() const noexcept { return !m_requests.empty() || m_responses > 0; }

    /// @brief Number of open connections.
    /// @return Connections, idle ones included.
    [[nodiscard]] std::size_t connections() const noexcept { return m_connections.size(); }

  private:
    class connection;

    void accept();
    [[nodiscard]] std::vector<std::shared_ptr<connection>> all_connections() const;
    void remove(const std::shared_ptr<connection> &closed);

    asio::ip::tcp::acceptor m_acceptor;
    request_handler m_handle;
    abandon_handler m_abandoned;
    http_server_limits m_limits;
    std::unordered_map<connection *, std::shared_ptr<connection>> m_connections;
    std::unordered_map<std::uint64_t, std::weak_ptr<connection>> m_requests;
    std::size_t m_responses{};
    std::uint64_t m_next_request{1};
    time_point m_now{};
    bool m_stopping{};
};

} // namespace heathermoor::adapter
