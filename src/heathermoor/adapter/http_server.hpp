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

/// @brief Names an open request of a server; unique within one process.
enum class http_request_id : std::uint64_t {};

/// @brief Bounds on what a server reads.
struct http_server_limits {
    std::size_t header_bytes{16'384};
    std::size_t body_bytes{262'144};
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// @brief Response of a server.
struct http_response {
    int status{200};
    std::vector<http_header> headers;
    std::string body;
};

/// @brief HTTP/1.1 server on an event loop; connections stay open between requests.
///
/// A connection is read on while its request is open, so that a caller who
/// leaves is noticed at once. Further requests on it wait for the answer.
class http_server {
  public:
    /// @brief Handles a request.
    using request_handler = std::function<void(http_request_id, http_message)>;

    /// @brief Hears of a request whose caller has left.
    using abandon_handler = std::function<void(http_request_id)>;

    /// @brief Server that does not listen yet.
    /// @param context Event loop.
    /// @param handle Handles requests.
    /// @param abandoned Hears of callers that left.
    http_server(asio::io_context &context, request_handler handle, abandon_handler abandoned);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;
    http_server(http_server &&) = delete;
    http_server &operator=(http_server &&) = delete;

    /// @brief Listens.
    /// @param address IP address and port.
    /// @param error Set if the address cannot be bound.
    /// @return Port that was bound.
    std::uint16_t listen(const std::string &address, std::error_code &error);

    /// @brief Changes the bounds for requests that begin from now on.
    /// @param limits Bounds.
    void set_limits(const http_server_limits &limits) noexcept { m_limits = limits; }

    /// @brief Sends the response to a request.
    /// @param request Request; unknown ones are ignored.
    /// @param response Response.
    void reply(http_request_id request, const http_response &response);

    /// @brief Closes connections that are idle or slow beyond the bounds.
    /// @param now Current time.
    void expire(time_point now);

    /// @brief Ends each connection with its next response.
    void begin_stop() noexcept { m_stopping = true; }

    /// @brief Takes no more connections and closes those without a request.
    void close_idle();

    /// @brief Requests that are not answered yet.
    /// @return Number of requests.
    [[nodiscard]] std::size_t open_requests() const noexcept { return m_requests.size(); }

    /// @brief Whether a request is open or a response is being sent.
    /// @return True while closing the server would cut one off.
    [[nodiscard]] bool busy() const noexcept { return !m_requests.empty() || m_responses > 0; }

    /// @brief Connections that are open.
    /// @return Number of connections.
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
