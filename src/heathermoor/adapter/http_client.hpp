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

/// @brief Outcome of a call, as far as the client can tell.
enum class http_call_result : std::uint8_t {
    answered,
    /// No byte of the request was written; the server has not seen it.
    not_sent,
    /// The request was written at least in part and no response came; the server may have acted on it.
    no_answer,
};

/// @brief HTTP request to a server.
struct http_call {
    /// Server as `IP:port`; names are not resolved.
    std::string address;
    /// Value of the `Host` header; the address if empty.
    std::string host;
    /// Group of calls that share connections; a connection carries one call at a time.
    std::string lane;
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    /// Time from `send`, connecting included, after which `expire` ends the call.
    duration timeout{};
};

/// @brief Asynchronous HTTP/1.1 client with persistent connections.
class http_client {
  public:
    /// @brief Called with the result of a call; the message is empty unless it was answered.
    using handler = std::function<void(http_call_result, http_message)>;

    /// @brief Constructs a client without connections.
    /// @param context Event loop that runs the calls and handlers.
    /// @param clock Clock for the timeouts of calls.
    http_client(asio::io_context &context, const port::clock_port &clock);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;
    http_client(http_client &&) = delete;
    http_client &operator=(http_client &&) = delete;

    /// @brief Sends a call. The handler runs exactly once, never inside this function.
    /// @param call Request; sent on an idle connection of its lane, or on a new one.
    /// @param handle Called from the event loop or from `expire`.
    void send(http_call call, handler handle);

    /// @brief Closes the connections to an address; open calls end with `no_answer`.
    /// @param address Server as `IP:port`.
    void release(const std::string &address);

    /// @brief Ends calls whose timeout has passed; to be called periodically.
    void expire();

    /// @brief Connection attempts so far.
    /// @return Attempts since construction, failed ones included.
    [[nodiscard]] std::uint64_t connects() const noexcept { return m_connects; }

    /// @brief Calls passed to `send` so far.
    /// @return Calls since construction, unsent ones included.
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
