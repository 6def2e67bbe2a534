#include "heathermoor/adapter/listen_queue.hpp"

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <httplib.h>
#include <vector>

using heathermoor::adapter::listen_queue;

SCENARIO("Clients that connect at the same moment wait in the accept queue", "[adapter][http]") {
    httplib::Server server;
    const listen_queue queue{server};
    const auto port = server.bind_to_any_port("127.0.0.1");
    REQUIRE(port > 0);
    std::error_code error;
    queue.lengthen(error);
    REQUIRE_FALSE(error);

    asio::io_context context;
    std::vector<asio::ip::tcp::socket> clients;
    constexpr int count = 200;
    int connected = 0;
    for(int index = 0; index < count; ++index) {
        clients.emplace_back(context);
    }
    for(auto &client: clients) {
        client.async_connect({asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)},
                             [&connected](std::error_code failure) { connected += failure ? 0 : 1; });
    }
    constexpr int max_rounds = 1'000;
    for(int round = 0; round < max_rounds && connected < count && !context.stopped(); ++round) {
        context.run_one_for(std::chrono::milliseconds{10});
    }
    CHECK(connected == count);
    server.stop();
}
