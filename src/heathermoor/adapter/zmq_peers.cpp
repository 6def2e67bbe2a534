#include "heathermoor/adapter/zmq_peers.hpp"

#include "heathermoor/core/log.hpp"
#include <map>
#include <mutex>
#include <shared_mutex>
#include <zmq.hpp>

namespace heathermoor::adapter {

namespace internal {

constexpr int high_water_mark = 20'000;
constexpr std::int64_t max_message_bytes = 64LL * 1024 * 1024;
constexpr std::chrono::milliseconds receive_timeout{100};

/// Delay between connection attempts; short, because all other hosts wait for a peer that restarts.
constexpr int reconnect_ms = 50;
constexpr int max_reconnect_ms = 200;

/// Timeout of a connection attempt. Without it, a lost SYN is retransmitted only after one second; the value is
/// many round trips within a region.
constexpr int connect_timeout_ms = 200;

/// Timeout of the ZeroMQ handshake on a connection that is established but silent.
constexpr int handshake_timeout_ms = 500;

/// Interval of ZeroMQ heartbeats. Together with their timeout it is below the second that TCP needs to notice that
/// a path is back.
constexpr int heartbeat_interval_ms = 300;

/// Time without a reply to a heartbeat after which the connection is replaced.
constexpr int heartbeat_timeout_ms = 600;

/// Time without a heartbeat after which the receiver closes the connection.
constexpr int heartbeat_expiry_ms = 5'000;

struct outbound {
    std::mutex mutex;
    zmq::socket_t socket;
    std::string address;
};

} // namespace internal

struct zmq_peers::sockets {
    zmq::context_t context{1};
    zmq::socket_t inbound{context, zmq::socket_type::pull};
    std::shared_mutex mutex;
    std::map<host_id, std::shared_ptr<internal::outbound>> peers;
};

zmq_peers::zmq_peers(host_id self, loopback deliver)
    : m_self{std::move(self)}, m_deliver{std::move(deliver)}, m_sockets{std::make_unique<sockets>()} {}

zmq_peers::~zmq_peers() = default;

std::string zmq_peers::bind(const std::string &address, std::error_code &error) {
    try {
        auto &socket = m_sockets->inbound;
        socket.set(zmq::sockopt::rcvhwm, internal::high_water_mark);
        socket.set(zmq::sockopt::maxmsgsize, internal::max_message_bytes);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::rcvtimeo, static_cast<int>(internal::receive_timeout.count()));
        socket.bind(address);
        error.clear();
        return socket.get(zmq::sockopt::last_endpoint);
    } catch(const zmq::error_t &failure) {
        error = {failure.num(), std::generic_category()};
        return {};
    }
}

void zmq_peers::run(const handler &handle) {
    while(!m_stopped) {
        zmq::message_t frame;
        try {
            if(!m_sockets->inbound.recv(frame, zmq::recv_flags::none)) {
                continue;
            }
        } catch(const zmq::error_t &failure) {
            if(failure.num() == EINTR) {
                continue;
            }
            log(log_level::error, "peers", "Receiving failed. errno={}", failure.num());
            return;
        }
        m_bytes_received += frame.size();
        wire::envelope message;
        if(message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
            handle(message);
        } else {
            log(log_level::warning, "peers", "Message is not well-formed; dropped. bytes={}", frame.size());
        }
    }
}

void zmq_peers::connect(const host_id &host, const std::string &address) {
    const std::unique_lock lock{m_sockets->mutex};
    auto &entry = m_sockets->peers[host];
    if(entry && entry->address == address) {
        return;
    }
    try {
        auto created = std::make_shared<internal::outbound>();
        created->address = address;
        created->socket = zmq::socket_t{m_sockets->context, zmq::socket_type::push};
        created->socket.set(zmq::sockopt::sndhwm, internal::high_water_mark);
        created->socket.set(zmq::sockopt::immediate, 1);
        created->socket.set(zmq::sockopt::linger, 0);
        created->socket.set(zmq::sockopt::reconnect_ivl, internal::reconnect_ms);
        created->socket.set(zmq::sockopt::reconnect_ivl_max, internal::max_reconnect_ms);
        created->socket.set(zmq::sockopt::connect_timeout, internal::connect_timeout_ms);
        created->socket.set(zmq::sockopt::handshake_ivl, internal::handshake_timeout_ms);
        created->socket.set(zmq::sockopt::heartbeat_ivl, internal::heartbeat_interval_ms);
        created->socket.set(zmq::sockopt::heartbeat_timeout, internal::heartbeat_timeout_ms);
        created->socket.set(zmq::sockopt::heartbeat_ttl, internal::heartbeat_expiry_ms);
        created->socket.connect(address);
        entry = std::move(created);
    } catch(const zmq::error_t &failure) {
        log(log_level::warning, "peers", "Peer address is not usable. host={} address={} errno={}", host.str(), address, failure.num());
    }
}

void zmq_peers::disconnect(const host_id &host) {
    const std::unique_lock lock{m_sockets->mutex};
    m_sockets->peers.erase(host);
}

void zmq_peers::send(const host_id &to, wire::envelope message) {
    if(to == m_self) {
        m_deliver(std::move(message));
        return;
    }
    std::shared_ptr<internal::outbound> peer;
    {
        const std::shared_lock lock{m_sockets->mutex};
        const auto found = m_sockets->peers.find(to);
        if(found != m_sockets->peers.end()) {
            peer = found->second;
        }
    }
    if(!peer) {
        ++m_dropped;
        return;
    }
    const auto size = message.ByteSizeLong();
    zmq::message_t frame{size};
    (void)message.SerializeToArray(frame.data(), static_cast<int>(size));
    try {
        const std::lock_guard lock{peer->mutex};
        if(peer->socket.send(frame, zmq::send_flags::dontwait)) {
            m_bytes_sent += size;
            ++m_messages_sent;
        } else {
            ++m_dropped;
        }
    } catch(const zmq::error_t &) {
        ++m_dropped;
    }
}

} // namespace heathermoor::adapter
