#pragma once

#include "heathermoor/metrics/work_meter.hpp"
#include "heathermoor/port/ports.hpp"
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace heathermoor::adapter {

/// @brief Implements the peer port over ZeroMQ, with one inbound socket and one outbound socket per peer.
///
/// A message to a peer without a live connection is dropped, not queued, so that it
/// is not delivered long after its sender has given up on it.
class zmq_peers final : public port::peer_port {
  public:
    /// @brief Called with each message, from the thread in `run`.
    using handler = std::function<void(const wire::envelope &)>;

    /// @brief Delivers a message of this host to itself; must not call back into the sender synchronously.
    using loopback = std::function<void(wire::envelope)>;

    /// @brief Constructs a port that is not bound yet.
    /// @param self Identifier of this host; messages to it go to `deliver`.
    /// @param deliver Delivers messages of this host to itself.
    zmq_peers(host_id self, loopback deliver);
    ~zmq_peers() override;
    zmq_peers(const zmq_peers &) = delete;
    zmq_peers &operator=(const zmq_peers &) = delete;
    zmq_peers(zmq_peers &&) = delete;
    zmq_peers &operator=(zmq_peers &&) = delete;

    /// @brief Binds the inbound socket.
    /// @param address ZeroMQ endpoint such as `tcp://127.0.0.1:0`.
    /// @param error Set if the address cannot be bound.
    /// @return Endpoint with the bound port; empty on error.
    std::string bind(const std::string &address, std::error_code &error);

    /// @brief Receives messages until `stop` is called or the socket fails.
    /// @param handle Called with each well-formed message; others are logged and dropped.
    void run(const handler &handle);

    /// @brief Makes `run` return within 100 ms, its receive timeout. May be called from any thread.
    void stop() noexcept { m_stopped = true; }

    void send(const host_id &to, wire::envelope message) override;
    void connect(const host_id &host, const std::string &address) override;
    void disconnect(const host_id &host) override;

    /// @brief Bytes sent to other hosts.
    /// @return Total since construction.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return m_bytes_sent; }

    /// @brief Traffic with other hosts.
    /// @return Totals since construction.
    [[nodiscard]] metrics::peer_traffic traffic() const noexcept { return {m_messages_sent, m_dropped, m_bytes_sent, m_bytes_received}; }

    /// @brief Messages dropped because the peer was unknown, not connected or its queue was full.
    /// @return Total since construction.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

  private:
    struct sockets;

    host_id m_self;
    loopback m_deliver;
    std::unique_ptr<sockets> m_sockets;
    std::atomic<bool> m_stopped{false};
    std::atomic<std::uint64_t> m_bytes_sent{};
    std::atomic<std::uint64_t> m_bytes_received{};
    std::atomic<std::uint64_t> m_messages_sent{};
    std::atomic<std::uint64_t> m_dropped{};
};

} // namespace heathermoor::adapter
