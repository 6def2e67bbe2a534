#include "heathermoor/member/member.hpp"

#include "heathermoor/core/log.hpp"
#include <catch2/catch.hpp>

using namespace heathermoor;

namespace {

struct counting_ports final : port::peer_port,
                              pool::order_port,
                              gateway::caller_port,
                              member::statistics_port,
                              port::clock_port,
                              member::config_listener,
                              metrics::work_clock {
    void send(const host_id &, wire::envelope message) override { heartbeats += message.has_pool_beat() ? 1 : 0; }
    void connect(const host_id &, const std::string &) override {}
    void disconnect(const host_id &) override {}
    void start(const pool::start_order &) override {}
    void stop(const pool::stop_order &) override {}
    void report(const pool::report_order &) override {}
    void release(const target_id &) override {}
    void reply(gateway::request_token, const job_id &, const job::answer &) override {}
    void cancel_answered(gateway::request_token, const job_id &, gateway::cancel_result) override {}
    void save_statistics(const std::string &, const std::string &) override {}
    void config_changed(const route::route_config &) override {}
    [[nodiscard]] time_point now() const override { return at; }
    [[nodiscard]] milliseconds unix_now() const override { return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()); }
    [[nodiscard]] duration spent() const override { return {}; }

    time_point at{seconds{1'000}};
    int heartbeats{};
};

} // namespace

// Guards against a busy host that is taken for lost: its heartbeats waited for the timer, behind hundreds of events.
SCENARIO("A host with a late timer sends its heartbeats between other events", "[member]") {
    set_log_level(log_level::error);
    counting_ports out;
    metrics::work_meter work{out};
    member::settings settings;
    settings.self = host_id{"self"};
    settings.domain = failure_domain_id{"d"};
    settings.process = incarnation{7};
    member::member host{settings, member::ports{out, out, out, out, out, work, out}};
    host.add_host(host_id{"peer"}, settings.domain);
    for(int calls = 0; calls < 40; ++calls) {
        out.at += milliseconds{25};
        host.tick(duration{});
    }
    REQUIRE(out.heartbeats > 0);

    GIVEN("no call of the timer for a second") {
        out.heartbeats = 0;
        WHEN("other events arrive meanwhile") {
            for(int events = 0; events < 1'000; ++events) {
                out.at += milliseconds{1};
                host.abandon(gateway::request_token{1});
            }
            THEN("heartbeats go out as often as with the timer") {
                constexpr int least = 9;
                constexpr int most = 11;
                CHECK(out.heartbeats >= least);
                CHECK(out.heartbeats <= most);
            }
        }
    }
}
