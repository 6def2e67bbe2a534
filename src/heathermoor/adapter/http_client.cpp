#include "heathermoor/adapter/http_client.hpp"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace heathermoor::adapter {

namespace internal {

/// Size of the receive buffer of a connection.
constexpr std::size_t client_read_bytes = 8'192;

/// TCP_USER_TIMEOUT: time after which unacknowledged data closes a connection. A silent peer is usually noticed
/// by the call's own timeout first.
constexpr int user_timeout_ms = 3'000;

[[nodiscard]] std::string format_request(const http_call &call) {
    auto text = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", call.method, call.target, call.host.empty() ? call.address : call.host);
    for(const auto &[name, value]: call.headers) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    if(!call.body.empty() || call.method != "GET") {
        text += fmt::format("Content-Length: {}\r\n", call.body.size());
    }
    text += "\r\n";
    text += call.body;
    return text;
}

} // namespace internal

class http_client::connection : public std::enable_shared_from_this<connection> {
  public:
    connection(http_client &client, std::string address, std::string lane)
        : m_client{client}, m_address{std::move(address)}, m_lane{std::move(lane)}, m_socket{client.m_context},
          m_reader{http_reader::kind::response} {}

    [[nodiscard]] bool idle() const noexcept { return !m_handler; }
    [[nodiscard]] const std::string &address() const noexcept { return m_address; }
    [[nodiscard]] const std::string &lane() const noexcept { return m_lane; }
    [[nodiscard]] bool closed() const noexcept { return m_closed; }

    void call(const http_call &call, handler handle) {
        m_output = internal::format_request(call);
        m_handler = std::move(handle);
        m_due = m_client.m_clock.now() + call.timeout;
        m_sent = false;
        if(m_connected) {
            write();
        } else {
            connect();
        }
    }

    void expire(time_point now) {
        if(m_handler && now >= m_due) {
            close(m_sent ? http_call_result::no_answer : http_call_result::not_sent);
        }
    }

    void close(http_call_result result) {
        const auto self = shared_from_this();
        m_closed = true;
        std::error_code ignored;
        m_socket.close(ignored);
        m_client.finished(self);
        finish(result, {});
    }

  private:
    void connect() {
        ++m_client.m_connects;
        const auto colon = m_address.rfind(':');
        std::error_code error;
        const auto host = asio::ip::make_address(m_address.substr(0, colon), error);
        const auto port = colon == std::string::npos ? 0 : std::atoi(m_address.c_str() + colon + 1);
        if(error || port <= 0 || port > 65'535) {
            asio::post(m_client.m_context, [self = shared_from_this()] { self->close(http_call_result::not_sent); });
            return;
        }
        m_socket.async_connect({host, static_cast<std::uint16_t>(port)}, [self = shared_from_this()](std::error_code failure) {
            if(self->m_closed) {
                return;
            }
            if(failure) {
                self->close(http_call_result::not_sent);
                return;
            }
            self->connected();
        });
    }

    void connected() {
        m_connected = true;
        std::error_code ignored;
        m_socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
        const int timeout = internal::user_timeout_ms;
        (void)::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
        read();
        if(m_handler) {
            write();
        }
    }

    void write() {
        m_sent = true;
        asio::async_write(m_socket, asio::buffer(m_output), [self = shared_from_this()](std::error_code error, std::size_t) {
            if(error && !self->m_closed) {
                self->close(http_call_result::no_answer);
            }
        });
    }

    void read() {
        m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](std::error_code error, std::size_t length) {
            if(!self->m_closed) {
                self->received(error, length);
            }
        });
    }

    void received(std::error_code error, std::size_t length) {
        if(error) {
            m_reader.end_of_stream();
            if(m_reader.complete() && m_handler) {
                deliver();
            }
            close(http_call_result::no_answer);
            return;
        }
        (void)m_reader.read({m_buffer.data(), length});
        if(m_reader.error() != http_parse_error::none || (m_reader.complete() && !m_handler)) {
            close(http_call_result::no_answer);
            return;
        }
        if(m_reader.complete()) {
            const bool keep = deliver();
            if(!keep) {
                close(http_call_result::no_answer);
                return;
            }
        }
        if(!m_closed) {
            read();
        }
    }

    bool deliver() {
        auto message = m_reader.take();
        const bool keep = message.keep_alive;
        if(!keep) {
            m_closed = true;
            m_client.finished(shared_from_this());
        }
        finish(http_call_result::answered, std::move(message));
        return keep;
    }

    void finish(http_call_result result, http_message message) {
        if(m_handler) {
            const auto handle = std::exchange(m_handler, nullptr);
            handle(result, std::move(message));
        }
    }

    http_client &m_client;
    std::string m_address;
    std::string m_lane;
    asio::ip::tcp::socket m_socket;
    http_reader m_reader;
    std::array<char, internal::client_read_bytes> m_buffer{};
    std::string m_output;
    handler m_handler;
    time_point m_due;
    bool m_connected{};
    bool m_sent{};
    bool m_closed{};
};

http_client::http_client(asio::io_context &context, const port::clock_port &clock) : m_context{context}, m_clock{clock} {}

http_client::~http_client() = default;

void http_client::send(http_call call, handler handle) {
    ++m_calls;
    auto &known = m_connections[call.address];
    const auto free = std::find_if(known.begin(), known.end(),
                                   [&](const auto &candidate) { return candidate->idle() && candidate->lane() == call.lane; });
    if(free != known.end()) {
        (*free)->call(call, std::move(handle));
        return;
    }
    const auto created = std::make_shared<connection>(*this, call.address, call.lane);
    known.push_back(created);
    created->call(call, std::move(handle));
}

void http_client::release(const std::string &address) {
    const auto found = m_connections.find(address);
    if(found == m_connections.end()) {
        return;
    }
    const auto connections = std::move(found->second);
    m_connections.erase(found);
    for(const auto &open: connections) {
        asio::post(m_context, [open] {
            if(!open->closed()) {
                open->close(http_call_result::no_answer);
            }
        });
    }
}

void http_client::expire() {
    const auto now = m_clock.now();
    std::vector<std::shared_ptr<connection>> all;
    for(const auto &[address, connections]: m_connections) {
        all.insert(all.end(), connections.begin(), connections.end());
    }
    for(const auto &open: all) {
        open->expire(now);
    }
}

void http_client::finished(const std::shared_ptr<connection> &ended) {
    const auto found = m_connections.find(ended->address());
    if(found == m_connections.end()) {
        return;
    }
    std::erase(found->second, ended);
    if(found->second.empty()) {
        m_connections.erase(found);
    }
}

} // namespace heathermoor::adapter
