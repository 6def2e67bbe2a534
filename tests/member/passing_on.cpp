#include "heathermoor/core/log.hpp"
#include "heathermoor/member/convert.hpp"
#include "heathermoor/member/member.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace heathermoor;

namespace {

struct zero_work_clock final : metrics::work_clock {
    [[nodiscard]] duration spent() const override { return {}; }
};

/// Ports of a single member, whose peers are played by the test.
struct fake_ports final : port::peer_port,
                          pool::order_port,
                          gateway::caller_port,
                          member::statistics_port,
                          port::clock_port,
                          member::config_listener {
    void send(const host_id &to, wire::envelope message) override {
        if(message.body_case() == wire::envelope::kPoolPulled) {
            asked.push_back(to);
            catalog_asked = catalog_asked || message.pool_pulled().catalog();
            asked_unconnected += std::find(connected.begin(), connected.end(), to) == connected.end() ? 1 : 0;
        }
    }
    void connect(const host_id &to, const std::string &) override { connected.push_back(to); }
    void disconnect(const host_id &to) override { std::erase(connected, to); }
    void start(const pool::start_order &) override {}
    void stop(const pool::stop_order &) override {}
    void report(const pool::report_order &) override {}
    void release(const target_id &) override {}
    void reply(gateway::request_token, const job_id &, const job::answer &) override {}
    void cancel_answered(gateway::request_token, const job_id &, gateway::cancel_result) override {}
    void save_statistics(const std::string &, const std::string &) override {}
    void config_changed(const route::route_config &config) override { in_force.push_back(config.limits); }
    [[nodiscard]] time_point now() const override { return time; }
    [[nodiscard]] std::chrono::milliseconds unix_now() const override { return std::chrono::milliseconds{1}; }

    time_point time{seconds{100}};
    std::vector<host_id> asked;
    std::size_t asked_unconnected{};
    bool catalog_asked{};
    std::vector<host_id> connected;
    std::vector<route::request_limits> in_force;
    zero_work_clock work_clock;
    metrics::work_meter work{work_clock};
};

[[nodiscard]] route::route_config config_of(std::uint64_t version) {
    route::route_config config;
    config.version = config_version{version};
    return config;
}

/// Heartbeat of a peer that has a version of the configuration.
[[nodiscard]] wire::envelope heartbeat(const std::string &from, const std::string &domain, std::uint64_t version, time_point now) {
    wire::envelope message;
    message.set_from(from);
    message.set_domain(domain);
    message.set_incarnation(1);
    message.set_sent_us(now.time_since_epoch().count());
    message.mutable_pool_beat()->set_config_version(version);
    message.mutable_pool_beat()->set_interval_ms(1'000);
    return message;
}

/// Two failure domains with enough targets for a cell of their own each.
void list_targets(member::member &host) {
    std::vector<catalog::catalog_record> records;
    for(std::uint64_t number = 0; number < 100; ++number) {
        catalog::target_entry entry;
        entry.id = target_id{"t" + std::to_string(number)};
        entry.domain = failure_domain_id{number % 2 == 0 ? "d0" : "d1"};
        records.push_back({log_offset{number}, entry.id, entry});
    }
    host.apply_catalog(records, log_offset{100}, true);
}

} // namespace

SCENARIO("A host asks its peers for a version that they have and it lacks", "[member]") {
    set_log_level(log_level::error);
    fake_ports ports;
    member::settings options;
    options.self = host_id{"self"};
    options.domain = failure_domain_id{"d0"};
    options.process = incarnation{1};
    member::member host{options, {ports, ports, ports, ports, ports, ports.work, ports}};
    list_targets(host);
    (void)host.apply_config(config_of(3));

    const auto run = [&](milliseconds length) {
        for(milliseconds passed{0}; passed < length; passed += milliseconds{25}) {
            ports.time += milliseconds{25};
            host.tick({});
        }
    };

    // Guards against a request that always went to the first peer by name, even if it had died with the new version.
    GIVEN("a peer that died right after it had reported the version, and another one that has it") {
        host.received(heartbeat("a", "d0", 4, ports.time));
        for(int round = 0; round < 20; ++round) {
            host.received(heartbeat("b", "d0", 4, ports.time));
            run(milliseconds{100});
        }
        CHECK(std::count(ports.asked.begin(), ports.asked.end(), host_id{"a"}) > 0);
        CHECK(std::count(ports.asked.begin(), ports.asked.end(), host_id{"b"}) > 0);
        AND_THEN("a peer that has been silent for long is not asked any more") {
            run(seconds{3});
            ports.asked.clear();
            run(seconds{1});
            CHECK(ports.asked.empty());
        }
    }
    // Guards against a request that was dropped for want of a connection: links between cells go one way.
    GIVEN("peers of another cell, which this host is not connected to") {
        for(int number = 0; number < 8; ++number) {
            host.received(heartbeat("h" + std::to_string(number), "d1", 4, ports.time));
        }
        run(seconds{2});
        CHECK_FALSE(ports.asked.empty());
        CHECK(ports.asked_unconnected == 0);
    }
    // Guards against one time of silence for all topics: answers for one of them hid that another one hung.
    GIVEN("a store that answers for the configuration but not for the list of targets") {
        for(int round = 0; round < 30; ++round) {
            auto message = heartbeat("b", "d0", 3, ports.time);
            message.mutable_pool_beat()->set_catalog_next(200);
            host.received(message);
            host.store_confirmed(confirmation::subject::configuration, ports.time);
            run(milliseconds{100});
        }
        CHECK(ports.catalog_asked);
    }
    // Guards against limits of requests that stayed as they were if a version came from a peer first.
    GIVEN("a version from a peer, with other limits on requests") {
        ports.in_force.clear();
        auto config = config_of(4);
        config.limits.idle_timeout = milliseconds{777};
        wire::envelope message;
        message.set_from("a");
        *message.mutable_pool_routes() = member::to_wire(config);
        host.received(message);
        REQUIRE(ports.in_force.size() == 1);
        CHECK(ports.in_force.back().idle_timeout == milliseconds{777});
        THEN("the same version from the store changes nothing") {
            CHECK_FALSE(host.apply_config(config_of(4)));
            CHECK(ports.in_force.size() == 1);
        }
    }
}
