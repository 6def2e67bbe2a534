#pragma once

#include "heathermoor/adapter/http_message.hpp"
#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <cstdint>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

namespace review {

/// @brief HTTP server of a stand-in, whose channels can be reset all at once, as when its process is killed.
class server {
  public:
    using handler = std::function<void(std::uint64_t request, const heathermoor::adapter::http_message &message)>;

    /// @brief Binds an address.
    /// @throws std::system_error If that fails.
    server(asio::io_context &context, const asio::ip::tcp::endpoint &address, handler handle)
        : m_state{std::make_shared<state>(context, std::move(handle))} {
        m_state->acceptor.open(address.protocol());
        m_state->acceptor.set_option(asio::socket_base::reuse_address{true});
        m_state->acceptor.bind(address);
        m_state->acceptor.listen();
        accept(m_state);
    }
    ~server() { reset(); }
    server(const server &) = delete;
    server &operator=(const server &) = delete;
    server(server &&) = delete;
    server &operator=(server &&) = delete;

    [[nodiscard]] asio::ip::tcp::endpoint address() const { return m_state->acceptor.local_endpoint(); }

    /// @brief Answers a request; has no effect if its channel has gone.
    void reply(std::uint64_t request, int status, const std::string &body) {
        const auto found = m_state->requests.find(request);
        if(found == m_state->requests.end()) {
            return;
        }
        const auto one = found->second.lock();
        m_state->requests.erase(found);
        if(one) {
            one->respond(status, body);
        }
    }

    /// @brief Whether the channel of a request is still there.
    [[nodiscard]] bool open(std::uint64_t request) const { return m_state->requests.contains(request); }

    /// @brief Stops listening and resets all channels.
    void reset() {
        m_state->stopped = true;
        std::error_code ignored;
        m_state->acceptor.close(ignored);
        const auto channels = std::exchange(m_state->channels, {});
        for(const auto &[key, one]: channels) {
            one->socket.set_option(asio::socket_base::linger{true, 0}, ignored);
            one->socket.close(ignored);
        }
        m_state->requests.clear();
    }

  private:
    struct channel;

    struct state {
        state(asio::io_context &context, handler to) : acceptor{context}, handle{std::move(to)} {}
        asio::ip::tcp::acceptor acceptor;
        handler handle;
        std::map<channel *, std::shared_ptr<channel>> channels;
        std::map<std::uint64_t, std::weak_ptr<channel>> requests;
        std::uint64_t next{1};
        bool stopped{};
    };

    struct channel : std::enable_shared_from_this<channel> {
        channel(std::shared_ptr<state> of, asio::ip::tcp::socket accepted) : owner{std::move(of)}, socket{std::move(accepted)} {}

        void read() {
            socket.async_read_some(asio::buffer(buffer), [self = shared_from_this()](std::error_code error, std::size_t length) {
                if(error || self->owner->stopped) {
                    self->close();
                    return;
                }
                self->pending.append(self->buffer.data(), length);
                self->parse();
                self->read();
            });
        }

        void parse() {
            if(busy || pending.empty()) {
                return;
            }
            pending.erase(0, reader.read(pending));
            if(!reader.complete()) {
                return;
            }
            const auto message = reader.take();
            busy = true;
            request = owner->next++;
            owner->requests[request] = weak_from_this();
            owner->handle(request, message);
        }

        void respond(int status, const std::string &body) {
            output =
                fmt::format("HTTP/1.1 {} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}", status, body.size(), body);
            asio::async_write(socket, asio::buffer(output), [self = shared_from_this()](std::error_code error, std::size_t) {
                self->busy = false;
                if(!error && !self->owner->stopped) {
                    self->parse();
                }
            });
        }

        void close() {
            std::error_code ignored;
            socket.close(ignored);
            owner->requests.erase(request);
            owner->channels.erase(this);
        }

        std::shared_ptr<state> owner;
        asio::ip::tcp::socket socket;
        heathermoor::adapter::http_reader reader{heathermoor::adapter::http_reader::kind::request};
        std::array<char, 8'192> buffer{};
        std::string pending;
        std::string output;
        std::uint64_t request{};
        bool busy{};
    };

    static void accept(const std::shared_ptr<state> &of) {
        of->acceptor.async_accept([of](std::error_code error, asio::ip::tcp::socket socket) {
            if(error || of->stopped) {
                return;
            }
            std::error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
            const auto created = std::make_shared<channel>(of, std::move(socket));
            of->channels[created.get()] = created;
            created->read();
            accept(of);
        });
    }

    std::shared_ptr<state> m_state;
};

} // namespace review
