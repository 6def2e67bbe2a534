#include "heathermoor/adapter/zmq_peers.hpp"

#include "support/loopback_proxy.hpp"
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

using namespace heathermoor;

namespace {

/// Longest wait for a message; far above the usual time, so that the test passes on a busy machine.
constexpr seconds arrival_timeout{20};

struct receiving_peer {
    receiving_peer() : peers{host_id{"receiver"}, [](const wire::envelope &) {}} {
        std::error_code error;
        endpoint = peers.bind("tcp://127.0.0.1:*", error);
        REQUIRE_FALSE(error);
        thread = std::thread{[this] { peers.run([this](const wire::envelope &message) { last = message.correlation(); }); }};
    }
    ~receiving_peer() {
        peers.stop();
        thread.join();
    }
    receiving_peer(const receiving_peer &) = delete;
    receiving_peer &operator=(const receiving_peer &) = delete;
    receiving_peer(receiving_peer &&) = delete;
    receiving_peer &operator=(receiving_peer &&) = delete;

    [[nodiscard]] std::uint16_t port() const { return static_cast<std::uint16_t>(std::stoul(endpoint.substr(endpoint.rfind(':') + 1))); }

    adapter::zmq_peers peers;
    std::string endpoint;
    std::atomic<std::uint64_t> last{};
    std::thread thread;
};

/// Sends a message with the given number every 20 ms until it has arrived or the timeout has passed.
[[nodiscard]] bool arrives(adapter::zmq_peers &sender, receiving_peer &receiver, std::uint64_t number) {
    const auto timeout = std::chrono::steady_clock::now() + arrival_timeout;
    while(receiver.last < number && std::chrono::steady_clock::now() < timeout) {
        wire::envelope message;
        message.set_correlation(number);
        sender.send(host_id{"receiver"}, message);
        std::this_thread::sleep_for(milliseconds{20});
    }
    return receiver.last >= number;
}

} // namespace

SCENARIO("Peers reconnect when a connection goes silent", "[adapter][peers]") {
    receiving_peer receiver;
    test::loopback_proxy proxy{receiver.port()};
    adapter::zmq_peers sender{host_id{"sender"}, [](const wire::envelope &) {}};
    sender.connect(host_id{"receiver"}, "tcp://127.0.0.1:" + std::to_string(proxy.port()));
    REQUIRE(arrives(sender, receiver, 1));

    WHEN("the open connection drops all traffic without a reset") {
        proxy.silence();
        THEN("messages arrive over a new connection") {
            CHECK(arrives(sender, receiver, 2));
        }
    }
}
