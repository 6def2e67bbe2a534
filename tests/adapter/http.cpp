#include "heathermoor/adapter/http_client.hpp"
#include "heathermoor/adapter/http_server.hpp"
#include "heathermoor/adapter/system_clock_port.hpp"
#include "heathermoor/core/id.hpp"

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <optional>

using namespace heathermoor;
using namespace heathermoor::adapter;

namespace {

/// Server that echoes method, target and body of each request, or leaves requests open while `answering` is false.
struct echo_server {
    echo_server()
        : server{
              context,
              [this](http_request_id id, http_message message) {
                  last = id;
                  ++requests;
                  if(answering) {
                      server.reply(id, {200, {{"Content-Type", "text/plain"}}, message.method + " " + message.target + " " + message.body});
                  }
              },
              [this](http_request_id) { ++abandoned; }} {
        std::error_code error;
        port = server.listen("127.0.0.1:0", error);
        REQUIRE_FALSE(error);
    }

    void run_until(const std::function<bool()> &done) {
        constexpr int max_rounds = 100'000;
        for(int round = 0; round < max_rounds && !done(); ++round) {
            context.run_one_for(std::chrono::milliseconds{50});
        }
        REQUIRE(done());
    }

    /// Sends bytes on a new connection and returns all bytes received until the server closes it.
    std::string exchange(const std::string &bytes) {
        asio::ip::tcp::socket socket{context};
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(socket, asio::buffer(bytes));
        std::string received;
        std::optional<std::error_code> ended;
        asio::async_read(socket, asio::dynamic_buffer(received), [&](std::error_code error, std::size_t) { ended = error; });
        run_until([&] { return ended.has_value(); });
        return received;
    }

    asio::io_context context;
    http_server server;
    std::uint16_t port{};
    http_request_id last{};
    int requests{};
    int abandoned{};
    bool answering{true};
};

} // namespace

SCENARIO("The server handles pipelined, malformed, oversized, slow and abandoned requests", "[adapter][http]") {
    echo_server echo;
    THEN("pipelined requests are answered in order") {
        const auto got =
            echo.exchange("GET /a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi");
        CHECK(got.find("GET /a ") < got.find("POST /b hi"));
        CHECK(got.find("Connection: close") != std::string::npos);
    }
    THEN("bytes that are not an HTTP request are answered with 400") {
        CHECK(echo.exchange("nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    }
    THEN("headers and bodies above the limits are answered with 431 and 413") {
        echo.server.set_limits({100, 10, milliseconds{3'000}, milliseconds{3'000}});
        CHECK(echo.exchange("GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431"));
        CHECK(echo.exchange("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\nhello world").starts_with("HTTP/1.1 413"));
        CHECK(echo.requests == 0);
    }
    THEN("a slow header times out, an idle connection is closed") {
        echo.server.set_limits({1'000, 1'000, milliseconds{500}, milliseconds{500}});
        asio::ip::tcp::socket slow{echo.context};
        slow.connect({asio::ip::make_address("127.0.0.1"), echo.port});
        asio::write(slow, asio::buffer(std::string{"GET / HT"}));
        asio::ip::tcp::socket idle{echo.context};
        idle.connect({asio::ip::make_address("127.0.0.1"), echo.port});
        echo.run_until([&] { return echo.server.connections() == 2; });
        echo.context.run_for(std::chrono::milliseconds{20});
        echo.server.expire(time_point{seconds{1}});
        echo.server.expire(time_point{seconds{2}});
        echo.run_until([&] { return echo.server.connections() == 0; });
    }
    THEN("a client that disconnects is noticed while its request is open") {
        echo.answering = false;
        {
            asio::ip::tcp::socket socket{echo.context};
            socket.connect({asio::ip::make_address("127.0.0.1"), echo.port});
            asio::write(socket, asio::buffer(std::string{"GET / HTTP/1.1\r\n\r\n"}));
            echo.run_until([&] { return echo.requests == 1; });
        }
        echo.run_until([&] { return echo.abandoned == 1; });
        CHECK(echo.server.open_requests() == 0);
    }
    THEN("a stop closes connections after their next response and idle ones at once") {
        echo.server.begin_stop();
        CHECK(echo.exchange("GET / HTTP/1.1\r\n\r\n").find("Connection: close") != std::string::npos);
        asio::ip::tcp::socket idle{echo.context};
        idle.connect({asio::ip::make_address("127.0.0.1"), echo.port});
        echo.run_until([&] { return echo.server.connections() == 1; });
        echo.server.close_idle();
        CHECK(echo.server.connections() == 0);
        CHECK_FALSE(echo.server.busy());
    }
}

SCENARIO("The client tells an unsent call from an unanswered one", "[adapter][http]") {
    echo_server echo;
    const system_clock_port clock;
    http_client client{echo.context, clock};
    std::optional<http_call_result> result;
    http_message got;
    const auto send = [&](std::uint16_t port, duration timeout) {
        result.reset();
        http_call call;
        call.address = fmt::format("127.0.0.1:{}", port);
        call.lane = "order";
        call.method = "POST";
        call.target = "/x";
        call.body = "body";
        call.timeout = timeout;
        client.send(call, [&](http_call_result ended, http_message message) {
            result = ended;
            got = std::move(message);
        });
    };
    const auto wait = [&] {
        echo.run_until([&] {
            client.expire();
            return result.has_value();
        });
    };
    THEN("calls one after the other share a connection") {
        send(echo.port, seconds{10});
        wait();
        CHECK(*result == http_call_result::answered);
        CHECK(got.body == "POST /x body");
        send(echo.port, seconds{10});
        wait();
        CHECK(client.connects() == 1);
    }
    THEN("a refused connection counts as not sent") {
        asio::ip::tcp::acceptor closed{echo.context, {asio::ip::make_address("127.0.0.1"), 0}};
        const auto port = closed.local_endpoint().port();
        closed.close();
        send(port, seconds{10});
        wait();
        CHECK(*result == http_call_result::not_sent);
    }
    THEN("a call that times out after it was sent counts as unanswered") {
        echo.answering = false;
        send(echo.port, milliseconds{30});
        wait();
        CHECK(*result == http_call_result::no_answer);
    }
    THEN("a call to a malformed address counts as not sent") {
        http_call call;
        call.address = "nowhere";
        call.timeout = seconds{10};
        client.send(call, [&](http_call_result ended, http_message) { result = ended; });
        wait();
        CHECK(*result == http_call_result::not_sent);
    }
}
