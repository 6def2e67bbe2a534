#pragma once

#include "heathermoor/adapter/http_message.hpp"
#include "heathermoor/adapter/loop_watch.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/port/ports.hpp"
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

/// @brief When, and over which connection, a request arrived.
struct request_arrival {
    /// Number of the connection, unique within one server; counted from one.
    std::uint64_t connection{};
    /// Which request it is on its connection; counted from one.
    std::uint64_t ordinal{};
    time_point accepted;
    /// When its first byte was read.
    time_point first_read;
    /// When its last byte was read, or a later one that was read before the request was handled.
    time_point last_read;
    /// Upper bound of the time for which bytes of it lay unread (`loop_watch`); negative if not known.
    duration unread{milliseconds{-1}};
    /// The client had closed or reset the connection by the time of the question.
    bool ended{};
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

    /// @brief Measures from now on when connections and requests arrive; without it all times of an arrival are zero.
    /// @param clock Clock of the times; must outlive the server.
    /// @param watch Bounds how long bytes lay unread; must outlive the server.
    void measure_arrivals(const port::clock_port &clock, const loop_watch &watch) noexcept {
        m_clock = &clock;
        m_watch = &watch;
    }

    /// @brief When, and over which connection, a request arrived.
    /// @param request Identifier from the request handler.
    /// @return Arrival; empty if the request is answered or abandoned.
    [[nodiscard]] request_arrival arrival(http_request_id request) const;

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
    /// Accepts the connections that wait beside the one that was just accepted.
    void accept_waiting();
    void admit(asio::ip::tcp::socket socket);
    [[nodiscard]] std::vector<std::shared_ptr<connection>> all_connections() const;
    void remove(const std::shared_ptr<connection> &closed);
    [[nodiscard]] time_point clock_now() const { return m_clock != nullptr ? m_clock->now() : time_point{}; }
    [[nodiscard]] duration unread(time_point now) const noexcept { return m_watch != nullptr ? m_watch->unread(now) : milliseconds{-1}; }

    asio::ip::tcp::acceptor m_acceptor;
    request_handler m_handle;
    abandon_handler m_abandoned;
    http_server_limits m_limits;
    std::unordered_map<connection *, std::shared_ptr<connection>> m_connections;
    std::unordered_map<std::uint64_t, std::weak_ptr<connection>> m_requests;
    std::size_t m_responses{};
    std::uint64_t m_next_request{1};
    std::uint64_t m_next_connection{1};
    const port::clock_port *m_clock{};
    const loop_watch *m_watch{};
    time_point m_now{};
    bool m_stopping{};
};

} // namespace heathermoor::adapter
