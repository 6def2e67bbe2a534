#pragma once

#include "heathermoor/metrics/work_meter.hpp"
#include "heathermoor/port/ports.hpp"
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace heathermoor::adapter {

/// @brief Peer port over ZeroMQ: one inbound socket, one outbound per peer.
///
/// A message to a peer without a live connection is dropped, never queued, so
/// that nothing is delivered long after its sender gave it up.
class zmq_peers final : public port::peer_port {
  public:
    /// @brief Handles a message; called from the receiving thread.
    using handler = std::function<void(const wire::envelope &)>;

    /// @brief Delivers a message to the own host; must not call back at once.
    using loopback = std::function<void(wire::envelope)>;

    /// @brief Port that is not bound yet.
    /// @param self Own host.
    /// @param deliver Delivers messages to the own host.
    zmq_peers(host_id self, loopback deliver);
    ~zmq_peers() override;
    zmq_peers(const zmq_peers &) = delete;
    zmq_peers &operator=(const zmq_peers &) = delete;
    zmq_peers(zmq_peers &&) = delete;
    zmq_peers &operator=(zmq_peers &&) = delete;

    /// @brief Binds the inbound socket.
    /// @param address Address such as `tcp://127.0.0.1:0`.
    /// @param error Set if the address cannot be bound.
    /// @return Address with the port that was chosen.
    std::string bind(const std::string &address, std::error_code &error);

    /// @brief Receives messages until `stop` is called.
    /// @param handle Handles each message.
    void run(const handler &handle);

    /// @brief Ends `run` within a tenth of a second.
    void stop() noexcept { m_stopped = true; }

    void send(const host_id &to, wire::envelope message) override;
    void connect(const host_id &host, const std::string &address) override;
    void disconnect(const host_id &host) override;

    /// @brief Bytes sent to other hosts.
    /// @return Bytes since the start.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return m_bytes_sent; }

    /// @brief Messages to and from other hosts.
    /// @return Counts since the start.
    [[nodiscard]] metrics::peer_traffic traffic() const noexcept { return {m_messages_sent, m_dropped, m_bytes_sent, m_bytes_received}; }

    /// @brief Messages dropped for want of a connection.
    /// @return Messages since the start.
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
