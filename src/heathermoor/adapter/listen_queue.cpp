#include "heathermoor/adapter/listen_queue.hpp"

#include <cerrno>
#include <httplib.h>
#include <sys/socket.h>

namespace heathermoor::adapter {

namespace internal {

/// Accept queue length, larger than the number of clients of one host that connect at the same moment.
constexpr int queue_length = 1'024;

} // namespace internal

listen_queue::listen_queue(httplib::Server &server) : m_socket{std::make_shared<int>(-1)} {
    server.set_socket_options([socket = m_socket](int created) {
        *socket = created;
        const int on = 1;
        (void)::setsockopt(created, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
}

void listen_queue::lengthen(std::error_code &error) const noexcept {
    if(::listen(*m_socket, internal::queue_length) != 0) {
        error = {errno, std::generic_category()};
    }
}

} // namespace heathermoor::adapter
