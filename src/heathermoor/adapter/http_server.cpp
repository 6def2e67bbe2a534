#include "heathermoor/adapter/http_server.hpp"

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/log.hpp"
#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <fmt/format.h>
#include <poll.h>

namespace heathermoor::adapter {

namespace internal {

/// Size of the receive buffer of a connection.
constexpr std::size_t read_bytes = 4'096;

/// Bytes of pipelined requests that are buffered while a request is open; reading pauses beyond them.
constexpr std::size_t pending_limit = 65'536;

/// Length of the kernel's accept queue.
constexpr int listen_backlog = 1'024;

/// Most connections accepted in one turn of the event loop; a turn of a busy host may take longer than callers wait for a connection.
constexpr int accepts_per_turn = 32;

[[nodiscard]] std::string format_response(const http_response &response, bool close) {
    auto text =
        fmt::format("HTTP/1.1 {} {}\r\nContent-Length: {}\r\n", response.status, http_reason(response.status), response.body.size());
    for(const auto &[name, value]: response.headers) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    if(close) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    text += response.body;
    return text;
}

[[nodiscard]] asio::ip::tcp::endpoint parse_endpoint(const std::string &address, std::error_code &error) {
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    if(colon == std::string::npos) {
        error = std::make_error_code(std::errc::invalid_argument);
        return {};
    }
    const auto *end = address.data() + address.size();
    const auto result = std::from_chars(address.data() + colon + 1, end, port);
    if(result.ec != std::errc{} || result.ptr != end) {
        error = std::make_error_code(std::errc::invalid_argument);
        return {};
    }
    return {asio::ip::make_address(address.substr(0, colon), error), port};
}

/// @brief Whether the peer of a socket has closed or reset its connection; reads nothing.
[[nodiscard]] bool has_ended(asio::ip::tcp::socket::native_handle_type socket) noexcept {
    ::pollfd state{socket, POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace internal

class http_server::connection : public std::enable_shared_from_this<connection> {
  public:
    connection(http_server &server, asio::ip::tcp::socket socket)
        : m_server{server}, m_socket{std::move(socket)}, m_touched{server.m_now}, m_reader{http_reader::kind::request} {
        m_next_arrival.connection = server.m_next_connection++;
        m_next_arrival.accepted = server.clock_now();
    }

    [[nodiscard]] request_arrival arrival() {
        auto result = m_arrival;
        result.ended = internal::has_ended(m_socket.native_handle());
        return result;
    }

    void read() {
        m_reading = true;
        m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](std::error_code error, std::size_t length) {
            self->m_reading = false;
            self->received(error, length);
        });
    }

    void respond(const http_response &response) {
        m_request = 0;
        m_close = m_close || m_server.m_stopping;
        m_output = internal::format_response(response, m_close);
        m_writing = true;
        ++m_server.m_responses;
        asio::async_write(m_socket, asio::buffer(m_output), [self = shared_from_this()](std::error_code error, std::size_t) {
            self->m_writing = false;
            --self->m_server.m_responses;
            self->sent(error);
        });
    }

    void expire(time_point now) {
        if(m_request != 0 || m_writing) {
            m_touched = now;
            return;
        }
        const bool slow = m_reader.started() && now - m_touched > m_server.m_limits.header_timeout;
        const bool idle = !m_reader.started() && (now - m_touched > m_server.m_limits.idle_timeout);
        if(slow) {
            m_close = true;
            respond({408, {}, {}});
        } else if(idle) {
            shut();
        }
    }

    void close_if_idle() {
        if(m_request == 0 && !m_writing && !m_reader.started() && m_pending.empty()) {
            shut();
        }
    }

    void shut() {
        std::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
        const auto self = shared_from_this();
        if(m_request != 0) {
            const auto request = std::exchange(m_request, 0);
            m_server.m_requests.erase(request);
            m_server.m_abandoned(http_request_id{request});
        }
        m_server.remove(self);
    }

  private:
    void received(std::error_code error, std::size_t length) {
        if(error) {
            shut();
            return;
        }
        if(m_pending.empty() && !m_reader.started() && m_request == 0) {
            m_touched = m_server.m_now;
        }
        note_read();
        m_pending.append(m_buffer.data(), length);
        if(m_request == 0 && !m_writing) {
            parse();
        }
        if(m_socket.is_open() && !m_reading && m_pending.size() < internal::pending_limit) {
            read();
        }
    }

    void note_read() {
        const auto now = m_server.clock_now();
        const auto unread = m_server.unread(now);
        if(m_pending.empty() && !m_reader.started()) {
            m_next_arrival.first_read = now;
            m_next_arrival.unread = unread;
        }
        m_next_arrival.last_read = now;
        m_next_arrival.unread = std::max(m_next_arrival.unread, unread);
    }

    /// Completes the arrival of the present request; bytes that were read with its end count for the next one.
    void take_arrival() {
        ++m_next_arrival.ordinal;
        m_arrival = m_next_arrival;
        m_next_arrival.first_read = m_next_arrival.last_read;
    }

    void parse() {
        if(m_pending.empty()) {
            return;
        }
        const auto &limits = m_server.m_limits;
        m_reader.set_limits(limits.header_bytes, limits.body_bytes);
        const auto taken = m_reader.read(m_pending);
        m_pending.erase(0, taken);
        if(m_reader.complete()) {
            auto message = m_reader.take();
            m_close = m_close || !message.keep_alive;
            m_request = m_server.m_next_request++;
            m_server.m_requests.emplace(m_request, weak_from_this());
            take_arrival();
            m_server.m_handle(http_request_id{m_request}, std::move(message));
            return;
        }
        switch(m_reader.error()) {
        case http_parse_error::none:
            break;
        case http_parse_error::malformed:
            m_close = true;
            respond({400, {}, {}});
            break;
        case http_parse_error::header_too_large:
            m_close = true;
            respond({431, {}, {}});
            break;
        case http_parse_error::body_too_large:
            m_close = true;
            respond({413, {}, {}});
            break;
        }
    }

    void sent(std::error_code error) {
        if(error || m_close) {
            shut();
            return;
        }
        m_output.clear();
        m_touched = m_server.m_now;
        parse();
        if(m_socket.is_open() && !m_reading) {
            read();
        }
    }

    http_server &m_server;
    asio::ip::tcp::socket m_socket;
    time_point m_touched;
    http_reader m_reader;
    std::array<char, internal::read_bytes> m_buffer{};
    std::string m_pending;
    std::string m_output;
    std::uint64_t m_request{};
    /// Arrival of the open request, and of the one that is read.
    request_arrival m_arrival;
    request_arrival m_next_arrival;
    bool m_reading{};
    bool m_writing{};
    bool m_close{};
};

http_server::http_server(asio::io_context &context, request_handler handle, abandon_handler abandoned)
    : m_acceptor{context}, m_handle{std::move(handle)}, m_abandoned{std::move(abandoned)} {}

http_server::~http_server() = default;

std::uint16_t http_server::listen(const std::string &address, std::error_code &error) {
    const auto endpoint = internal::parse_endpoint(address, error);
    if(error) {
        return 0;
    }
    m_acceptor.open(endpoint.protocol(), error);
    if(error) {
        return 0;
    }
    m_acceptor.set_option(asio::socket_base::reuse_address{true}, error);
    m_acceptor.bind(endpoint, error);
    if(error) {
        return 0;
    }
    m_acceptor.listen(internal::listen_backlog, error);
    if(error) {
        return 0;
    }
    accept();
    return m_acceptor.local_endpoint().port();
}

void http_server::accept() {
    m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
        if(error == asio::error::operation_aborted) {
            return;
        }
        if(!error) {
            admit(std::move(socket));
            accept_waiting();
        } else {
            log(log_level::warning, "http", "Accepting a connection failed. error={}", error.message());
        }
        accept();
    });
}

void http_server::accept_waiting() {
    std::error_code error;
    m_acceptor.non_blocking(true, error);
    for(int accepted = 1; accepted < internal::accepts_per_turn; ++accepted) {
        auto socket = m_acceptor.accept(error);
        if(error) {
            return;
        }
        admit(std::move(socket));
    }
}

void http_server::admit(asio::ip::tcp::socket socket) {
    std::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    auto created = std::make_shared<connection>(*this, std::move(socket));
    m_connections.emplace(created.get(), created);
    created->read();
}

void http_server::remove(const std::shared_ptr<connection> &closed) {
    m_connections.erase(closed.get());
}

request_arrival http_server::arrival(http_request_id request) const {
    const auto found = m_requests.find(raw(request));
    const auto requester = found != m_requests.end() ? found->second.lock() : nullptr;
    return requester ? requester->arrival() : request_arrival{};
}

void http_server::reply(http_request_id request, const http_response &response) {
    const auto found = m_requests.find(raw(request));
    if(found == m_requests.end()) {
        return;
    }
    const auto requester = found->second.lock();
    m_requests.erase(found);
    if(requester) {
        requester->respond(response);
    }
}

void http_server::close_idle() {
    std::error_code ignored;
    m_acceptor.close(ignored);
    for(const auto &open: all_connections()) {
        open->close_if_idle();
    }
}

std::vector<std::shared_ptr<http_server::connection>> http_server::all_connections() const {
    std::vector<std::shared_ptr<connection>> all;
    all.reserve(m_connections.size());
    for(const auto &[key, open]: m_connections) {
        all.push_back(open);
    }
    return all;
}

void http_server::expire(time_point now) {
    m_now = now;
    for(const auto &open: all_connections()) {
        open->expire(now);
    }
}

} // namespace heathermoor::adapter
