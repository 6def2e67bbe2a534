#include "cases.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

namespace heathermoor::review {

namespace internal {

/// Connections of a crowd; well below the descriptors of a process.
constexpr std::size_t crowd_size = 1'500;

/// Rounds against each host, and the hosts: a tenth of the machines, and two at least.
constexpr std::size_t rounds = 3;
constexpr std::size_t crowded_hosts = 2;

/// One request without its end: within the limit of header bytes, made of fields of one letter.
[[nodiscard]] std::string unfinished_request() {
    constexpr std::size_t max_header_bytes = 16'384;
    std::string text = "GET /lohu930/ HTTP/1.1\r\nHost: nony24.example\r\n";
    constexpr std::string_view field = "a:\r\n";
    while(text.size() + field.size() + 2 <= max_header_bytes) {
        text += field;
    }
    return text;
}

[[nodiscard]] asio::ip::tcp::endpoint endpoint_of(const std::string &address) {
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

class crowd {
  public:
    crowd(world &played, std::size_t host) : m_request{unfinished_request()}, m_where{endpoint_of(played.front_of(host))} {
        for(std::size_t member = 0; member < crowd_size; ++member) {
            m_sockets.push_back(std::make_unique<asio::ip::tcp::socket>(played.context()));
            auto &socket = *m_sockets.back();
            socket.async_connect(m_where, [this, &socket](std::error_code error) {
                if(!error) {
                    asio::async_write(socket, asio::buffer(m_request), [](std::error_code, std::size_t) {});
                }
            });
        }
    }

  private:
    std::string m_request;
    asio::ip::tcp::endpoint m_where;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> m_sockets;
};

} // namespace internal

int play_crowd(world &played, bool trouble) {
    constexpr double jobs_per_s = 40;
    constexpr milliseconds before{3'000};
    constexpr milliseconds crowd_time{3'000};
    constexpr milliseconds pause{5'000};
    played.watch_memory();
    played.set_load(jobs_per_s);
    played.run_for(before);
    for(std::size_t round = 0; round < internal::rounds; ++round) {
        for(std::size_t host = 0; host < internal::crowded_hosts; ++host) {
            const auto ends = played.memory_ends(host);
            std::optional<internal::crowd> here;
            if(trouble) {
                played.note(fmt::format("crowd host={} connections={}", host, internal::crowd_size));
                here.emplace(played, host);
            }
            (void)played.run_until([&] { return played.memory_ends(host) > ends; }, crowd_time);
            here.reset();
            played.run_for(pause);
        }
    }
    played.set_load(0);
    played.run_for(milliseconds{2'000});
    std::size_t ended = 0;
    for(std::size_t host = 0; host < played.hosts(); ++host) {
        played.note(fmt::format("ends host={} count={}", host, played.memory_ends(host)));
        ended += played.memory_ends(host) >= internal::rounds ? 1 : 0;
    }
    for(const auto &[status, count]: played.load_answers()) {
        played.note(fmt::format("answers status={} count={}", status, count));
    }
    const bool broken = ended >= internal::crowded_hosts;
    played.note(broken ? "verdict broken: processes of two machines ended three times, over their memory" : "verdict held");
    return broken ? 1 : 0;
}

} // namespace heathermoor::review
