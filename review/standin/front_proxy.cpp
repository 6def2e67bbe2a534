#include "standin/front_proxy.hpp"

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <functional>
#include <utility>
#include <vector>

namespace review {

namespace internal {

constexpr std::size_t buffer_bytes = 8'192;

[[nodiscard]] asio::ip::tcp::endpoint parse(const std::string &address) {
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

} // namespace internal

class front_proxy::channel : public std::enable_shared_from_this<channel> {
  public:
    channel(asio::io_context &context, asio::ip::tcp::socket client, proxy_mode mode, bool held)
        : m_client{std::move(client)}, m_host{context}, m_mode{mode}, m_held{held} {}

    void hold_up(bool held) {
        m_held = held;
        if(!held) {
            for(auto &resume: std::exchange(m_waiting, {})) {
                resume();
            }
        }
    }

    void reset() {
        std::error_code ignored;
        m_client.set_option(asio::socket_base::linger{true, 0}, ignored);
        m_client.close(ignored);
        if(m_host.is_open()) {
            m_host.set_option(asio::socket_base::linger{true, 0}, ignored);
            m_host.close(ignored);
        }
    }

    void start(const asio::ip::tcp::endpoint &host) {
        if(m_mode == proxy_mode::reset) {
            m_client.async_read_some(asio::buffer(m_up), [self = shared_from_this()](std::error_code, std::size_t) { self->reset(); });
            return;
        }
        when_free([self = shared_from_this(), host] { self->connect(host); });
    }

  private:
    void connect(const asio::ip::tcp::endpoint &host) {
        m_host.async_connect(host, [self = shared_from_this()](std::error_code error) {
            if(error) {
                self->reset();
                return;
            }
            std::error_code ignored;
            self->m_host.set_option(asio::ip::tcp::no_delay{true}, ignored);
            self->m_client.set_option(asio::ip::tcp::no_delay{true}, ignored);
            self->forward(self->m_client, self->m_host, self->m_up);
            self->forward(self->m_host, self->m_client, self->m_down);
        });
    }

    using buffer = std::array<char, internal::buffer_bytes>;

    /// Runs an action now, or as soon as bytes are no longer held up.
    void when_free(std::function<void()> action) {
        if(m_held) {
            m_waiting.push_back(std::move(action));
        } else {
            action();
        }
    }

    void close() {
        std::error_code ignored;
        m_client.close(ignored);
        m_host.close(ignored);
    }

    void forward(asio::ip::tcp::socket &from, asio::ip::tcp::socket &to, buffer &data) {
        from.async_read_some(asio::buffer(data), [self = shared_from_this(), &from, &to, &data](std::error_code error, std::size_t length) {
            self->when_free([self, &from, &to, &data, error, length] {
                if(error) {
                    self->close();
                    return;
                }
                asio::async_write(to, asio::buffer(data, length), [self, &from, &to, &data](std::error_code failure, std::size_t) {
                    if(failure) {
                        self->close();
                        return;
                    }
                    self->forward(from, to, data);
                });
            });
        });
    }

    asio::ip::tcp::socket m_client;
    asio::ip::tcp::socket m_host;
    proxy_mode m_mode;
    bool m_held;
    std::vector<std::function<void()>> m_waiting;
    buffer m_up{};
    buffer m_down{};
};

front_proxy::front_proxy(asio::io_context &context, const std::string &host)
    : m_context{context}, m_acceptor{context, {asio::ip::address_v4::loopback(), 0}}, m_host{internal::parse(host)},
      m_address{fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port())} {
    accept();
}

void front_proxy::accept() {
    m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket client) {
        if(error) {
            return;
        }
        const auto opened = std::make_shared<channel>(m_context, std::move(client), m_mode, m_held);
        m_channels.remove_if([](const auto &known) { return known.expired(); });
        m_channels.push_back(opened);
        opened->start(m_host);
        accept();
    });
}

void front_proxy::hold_up(bool held) {
    m_held = held;
    for(const auto &known: m_channels) {
        if(const auto open = known.lock()) {
            open->hold_up(held);
        }
    }
}

void front_proxy::reset_all() {
    for(const auto &known: m_channels) {
        if(const auto open = known.lock()) {
            open->reset();
        }
    }
}

} // namespace review
