#include "support/loopback_proxy.hpp"

#include <array>
#include <asio/post.hpp>
#include <asio/write.hpp>

namespace heathermoor::test {

using asio::ip::tcp;

struct loopback_proxy::link {
    explicit link(tcp::socket accepted) : caller{std::move(accepted)}, target{caller.get_executor()} {}

    static constexpr std::size_t buffer_bytes = 65'536;
    tcp::socket caller;
    tcp::socket target;
    std::array<char, buffer_bytes> up{};
    std::array<char, buffer_bytes> down{};
    bool silent{};
};

loopback_proxy::loopback_proxy(std::uint16_t target)
    : m_acceptor{m_context, {asio::ip::address_v4::loopback(), 0}}, m_target{target}, m_port{m_acceptor.local_endpoint().port()} {
    accept();
    m_thread = std::thread{[this] { m_context.run(); }};
}

loopback_proxy::~loopback_proxy() {
    m_context.stop();
    m_thread.join();
}

void loopback_proxy::silence() {
    asio::post(m_context, [this] {
        for(const auto &pair: m_links) {
            pair->silent = true;
        }
    });
}

void loopback_proxy::accept() {
    m_acceptor.async_accept([this](std::error_code error, tcp::socket accepted) {
        if(error) {
            return;
        }
        auto pair = std::make_shared<link>(std::move(accepted));
        pair->target.async_connect({asio::ip::address_v4::loopback(), m_target}, [this, pair](std::error_code failure) {
            if(!failure) {
                m_links.insert(pair);
                forward(pair, true);
                forward(pair, false);
            }
        });
        accept();
    });
}

void loopback_proxy::forward(const std::shared_ptr<link> &pair, bool to_target) {
    auto &from = to_target ? pair->caller : pair->target;
    auto &to = to_target ? pair->target : pair->caller;
    auto &buffer = to_target ? pair->up : pair->down;
    from.async_read_some(asio::buffer(buffer), [this, pair, to_target, &to, &buffer](std::error_code error, std::size_t size) {
        if(pair->silent) {
            return;
        }
        if(error) {
            pair->caller.close(error);
            pair->target.close(error);
            m_links.erase(pair);
            return;
        }
        asio::async_write(to, asio::buffer(buffer, size), [this, pair, to_target](std::error_code failure, std::size_t) {
            if(!failure) {
                forward(pair, to_target);
            }
        });
    });
}

} // namespace heathermoor::test
