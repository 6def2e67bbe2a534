#include "heathermoor/adapter/listen_queue.hpp"

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <httplib.h>
#include <vector>

using heathermoor::adapter::listen_queue;

SCENARIO("Callers that come at the same moment wait to be accepted", "[adapter][http]") {
    httplib::Server server;
    const listen_queue queue{server};
    const auto port = server.bind_to_any_port("127.0.0.1");
    REQUIRE(port > 0);
    std::error_code error;
    queue.lengthen(error);
    REQUIRE_FALSE(error);

    asio::io_context context;
    std::vector<asio::ip::tcp::socket> callers;
    constexpr int count = 200;
    int connected = 0;
    for(int index = 0; index < count; ++index) {
        callers.emplace_back(context);
    }
    for(auto &caller: callers) {
        caller.async_connect({asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)},
                             [&connected](std::error_code failure) { connected += failure ? 0 : 1; });
    }
    constexpr int most_turns = 1'000;
    for(int turn = 0; turn < most_turns && connected < count && !context.stopped(); ++turn) {
        context.run_one_for(std::chrono::milliseconds{10});
    }
    CHECK(connected == count);
    server.stop();
}
