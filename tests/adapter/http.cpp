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

/// Clock that the test advances.
struct manual_clock final : port::clock_port {
    [[nodiscard]] time_point now() const override { return time; }
    [[nodiscard]] milliseconds unix_now() const override { return {}; }
    time_point time{seconds{1}};
};

/// Server that echoes method, target and body of each request, or leaves requests open while `answering` is false.
struct echo_server {
    echo_server()
        : server{
              context,
              [this](http_request_id id, http_message message) {
                  last = id;
                  arrival = server.arrival(id);
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
    request_arrival arrival;
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

SCENARIO("The watch of a loop bounds how long bytes lay unread", "[adapter][http]") {
    const time_point start{seconds{1}};
    loop_watch watch;
    THEN("the bound is unknown until the timer was called twice") {
        CHECK(watch.unread(start) < duration{});
        watch.timer_called(start);
        CHECK(watch.unread(start) < duration{});
    }
    THEN("the bound reaches back to the time at which the call before the latest was due") {
        watch.timer_called(start);
        watch.timer_called(start + milliseconds{25});
        CHECK(watch.unread(start + milliseconds{30}) == milliseconds{30});
        watch.timer_called(start + milliseconds{1'300});
        CHECK(watch.unread(start + milliseconds{1'310}) == milliseconds{1'285});
    }
}

SCENARIO("The server knows when, and over which connection, a request arrived", "[adapter][http]") {
    manual_clock clock;
    loop_watch watch;
    echo_server echo;
    echo.server.measure_arrivals(clock, watch);
    const auto start = clock.time;
    watch.timer_called(start);
    watch.timer_called(start);
    asio::ip::tcp::socket socket{echo.context};
    socket.connect({asio::ip::make_address("127.0.0.1"), echo.port});
    echo.run_until([&] { return echo.server.connections() == 1; });
    const auto send = [&](const std::string &bytes) {
        asio::write(socket, asio::buffer(bytes));
        echo.context.run_for(std::chrono::milliseconds{50});
    };
    GIVEN("a request in two parts, 40 ms after the connection and 10 ms apart") {
        clock.time = start + milliseconds{40};
        send("GET /a HTTP/1.1\r\n");
        REQUIRE(echo.requests == 0);
        watch.timer_called(start + milliseconds{45});
        watch.timer_called(start + milliseconds{45});
        clock.time = start + milliseconds{50};
        send("\r\n");
        REQUIRE(echo.requests == 1);
        THEN("both times, and the longer of the two bounds, are known") {
            CHECK(echo.arrival.connection == 1);
            CHECK(echo.arrival.ordinal == 1);
            CHECK(echo.arrival.accepted == start);
            CHECK(echo.arrival.first_read == start + milliseconds{40});
            CHECK(echo.arrival.last_read == start + milliseconds{50});
            CHECK(echo.arrival.unread == milliseconds{40});
            CHECK_FALSE(echo.arrival.ended);
        }
        THEN("the next request of the connection is counted and has times of its own") {
            clock.time = start + milliseconds{60};
            send("GET /b HTTP/1.1\r\n\r\n");
            REQUIRE(echo.requests == 2);
            CHECK(echo.arrival.connection == 1);
            CHECK(echo.arrival.ordinal == 2);
            CHECK(echo.arrival.accepted == start);
            CHECK(echo.arrival.first_read == start + milliseconds{60});
            CHECK(echo.arrival.last_read == start + milliseconds{60});
            CHECK(echo.arrival.unread == milliseconds{15});
        }
        THEN("another connection has another number") {
            clock.time = start + milliseconds{70};
            (void)echo.exchange("GET /c HTTP/1.1\r\nConnection: close\r\n\r\n");
            CHECK(echo.arrival.connection == 2);
            CHECK(echo.arrival.ordinal == 1);
            CHECK(echo.arrival.accepted == start + milliseconds{70});
        }
    }
    GIVEN("two requests that come at once") {
        clock.time = start + milliseconds{40};
        send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
        THEN("the second one was read with the first") {
            REQUIRE(echo.requests == 2);
            CHECK(echo.arrival.ordinal == 2);
            CHECK(echo.arrival.first_read == start + milliseconds{40});
            CHECK(echo.arrival.last_read == start + milliseconds{40});
        }
    }
    GIVEN("a client that closes its connection before its request is read") {
        echo.answering = false;
        asio::write(socket, asio::buffer(std::string{"GET /a HTTP/1.1\r\n\r\n"}));
        socket.close();
        echo.run_until([&] { return echo.requests == 1; });
        THEN("the connection is known to have ended when the request is handled") {
            CHECK(echo.arrival.ended);
            echo.run_until([&] { return echo.abandoned == 1; });
            CHECK(echo.server.arrival(echo.last).connection == 0);
        }
    }
    GIVEN("a client that resets its connection before its request is read") {
        echo.answering = false;
        asio::write(socket, asio::buffer(std::string{"GET /a HTTP/1.1\r\n\r\n"}));
        socket.set_option(asio::socket_base::linger{true, 0});
        socket.close();
        echo.context.run_for(std::chrono::milliseconds{50});
        THEN("a request that is handled all the same has an ended connection") {
            CHECK((echo.requests == 0 || echo.arrival.ended));
            CHECK(echo.server.connections() == 0);
        }
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
