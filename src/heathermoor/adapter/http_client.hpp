#pragma once

#include "heathermoor/adapter/http_message.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/port/ports.hpp"
#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace heathermoor::adapter {

/// @brief How a call ended.
enum class http_call_result : std::uint8_t {
    answered,
    /// The request has not left this host.
    not_sent,
    /// The request was sent, at least in part, and no answer came.
    no_answer,
};

/// @brief Call to a server.
struct http_call {
    /// IP address and port.
    std::string address;
    /// Host that the call asks for; the address if empty.
    std::string host;
    /// Calls of one lane share connections, one call at a time on each.
    std::string lane;
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    /// Time after which the call counts as unanswered.
    duration timeout{};
};

/// @brief HTTP/1.1 client on an event loop with connections that stay open.
class http_client {
  public:
    /// @brief Takes the result of a call; the message is empty without an answer.
    using handler = std::function<void(http_call_result, http_message)>;

    /// @brief Client without connections.
    /// @param context Event loop.
    /// @param clock Source of time.
    http_client(asio::io_context &context, const port::clock_port &clock);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;
    http_client(http_client &&) = delete;
    http_client &operator=(http_client &&) = delete;

    /// @brief Sends a call. The handler runs exactly once, never inside this function.
    /// @param call Call.
    /// @param handle Takes the result.
    void send(http_call call, handler handle);

    /// @brief Closes the connections to an address; open calls end unanswered.
    /// @param address IP address and port.
    void release(const std::string &address);

    /// @brief Ends calls whose time is up.
    void expire();

    /// @brief Connections made so far.
    /// @return Number of connections.
    [[nodiscard]] std::uint64_t connects() const noexcept { return m_connects; }

    /// @brief Calls sent so far.
    /// @return Number of calls.
    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; }

  private:
    class connection;

    void finished(const std::shared_ptr<connection> &connection);

    asio::io_context &m_context;
    const port::clock_port &m_clock;
    /// Connections by address, then lane.
    std::map<std::string, std::vector<std::shared_ptr<connection>>> m_connections;
    std::uint64_t m_connects{};
    std::uint64_t m_calls{};
};

} // namespace heathermoor::adapter
