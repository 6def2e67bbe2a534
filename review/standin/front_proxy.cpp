#include "standin/front_proxy.hpp"

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <memory>
#include <utility>

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
    channel(asio::io_context &context, asio::ip::tcp::socket client, proxy_mode mode)
        : m_client{std::move(client)}, m_host{context}, m_mode{mode} {}

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

  private:
    using buffer = std::array<char, internal::buffer_bytes>;

    void close() {
        std::error_code ignored;
        m_client.close(ignored);
        m_host.close(ignored);
    }

    void forward(asio::ip::tcp::socket &from, asio::ip::tcp::socket &to, buffer &data) {
        from.async_read_some(asio::buffer(data), [self = shared_from_this(), &from, &to, &data](std::error_code error, std::size_t length) {
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
    }

    asio::ip::tcp::socket m_client;
    asio::ip::tcp::socket m_host;
    proxy_mode m_mode;
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
        std::make_shared<channel>(m_context, std::move(client), m_mode)->start(m_host);
        accept();
    });
}

} // namespace review
