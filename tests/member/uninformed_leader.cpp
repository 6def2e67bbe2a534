#include "heathermoor/core/log.hpp"
#include "heathermoor/member/member.hpp"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

using namespace heathermoor;

namespace {

struct recording_ports final : port::peer_port,
                               pool::order_port,
                               gateway::caller_port,
                               member::statistics_port,
                               port::clock_port,
                               member::config_listener,
                               metrics::work_clock {
    void send(const host_id &, wire::envelope message) override { asked += message.pool_pulled().evacuations() ? 1 : 0; }
    void connect(const host_id &, const std::string &) override {}
    void disconnect(const host_id &) override {}
    void start(const pool::start_order &) override { ++starts; }
    void stop(const pool::stop_order &) override {}
    void report(const pool::report_order &order) override { reports.push_back(order); }
    void release(const target_id &) override {}
    void reply(gateway::request_token, const job_id &, const job::answer &) override {}
    void cancel_answered(gateway::request_token, const job_id &, gateway::cancel_result) override {}
    void save_statistics(const std::string &, const std::string &) override {}
    void config_changed(const route::route_config &) override {}
    [[nodiscard]] time_point now() const override { return at; }
    [[nodiscard]] milliseconds unix_now() const override { return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()); }
    [[nodiscard]] duration spent() const override { return {}; }

    time_point at{seconds{1'000}};
    int starts{};
    int asked{};
    std::vector<pool::report_order> reports;
};

/// Host that leads a cell of one target, which answers at once; it has read nothing but the list of targets.
struct fresh_leader {
    fresh_leader() {
        set_log_level(log_level::error);
        member::settings settings;
        settings.self = host_id{"self"};
        settings.domain = domain;
        settings.process = incarnation{7};
        subject = std::make_unique<member::member>(settings, member::ports{out, out, out, out, out, work, out});
        catalog::target_entry entry;
        entry.id = target_id{"t"};
        entry.service = service_id{"s"};
        entry.domain = domain;
        entry.address = "address";
        entry.capacity = {16'000, 1'000, 0};
        subject->apply_catalog({{log_offset{1}, entry.id, entry}}, log_offset{2}, true);
        run(seconds{1});
        REQUIRE(subject->leading());
    }

    void run(duration length) {
        for(const auto end = out.at + length; out.at < end; out.at += milliseconds{25}) {
            subject->tick(duration{});
            for(const auto &order: std::exchange(out.reports, {})) {
                pool::report_answer answer{order.to.target, order.to.token, order.purpose, lease::order_outcome::done, {},
                                           order.until,     out.at};
                answer.report.clock = lease::target_time{out.unix_now().count()};
                subject->report_answered(answer);
            }
        }
    }

    /// Submits a job and tells whether its task is started.
    [[nodiscard]] bool starts_a_job() {
        job::definition job;
        job.id = job_id{"job" + std::to_string(++jobs)};
        job::step step;
        step.tasks = 1;
        step.need = {1'000, 1, 0};
        step.estimate = milliseconds{50};
        job.steps.push_back(step);
        job::queue_policy queue;
        queue.name = queue_id{"q"};
        queue.service = service_id{"s"};
        queue.max_attempts = 1;
        queue.stretch = 1.6;
        const auto before = out.starts;
        subject->submit_job(gateway::request_token{jobs}, job, queue, milliseconds{1'500});
        run(milliseconds{500});
        return out.starts > before;
    }

    void take_routes() {
        route::route_config config;
        config.version = config_version{1};
        (void)subject->apply_config(std::move(config));
    }

    /// Receives a heartbeat of a host that knows the operators' requests up to an offset.
    void hear(std::uint64_t requests_next) {
        wire::envelope message;
        message.set_from("peer");
        message.set_incarnation(3);
        message.set_domain(domain.str());
        message.set_sent_us(out.at.time_since_epoch().count());
        message.mutable_pool_beat()->set_listening(true);
        message.mutable_pool_beat()->set_requests_next(requests_next);
        subject->received(message);
    }

    const failure_domain_id domain{"d"};
    recording_ports out;
    metrics::work_meter work{out};
    std::unique_ptr<member::member> subject;
    std::uint64_t jobs{};
};

} // namespace

// Guards against a leader that has just started and works in a failure domain that is empty for a reason.
SCENARIO("A leader that could know what is evacuated starts nothing before it does", "[member][evacuation]") {
    fresh_leader host;
    GIVEN("neither routes nor requests") {
        CHECK_FALSE(host.starts_a_job());
        THEN("it works once it has read that nothing is evacuated") {
            host.subject->apply_evacuations({}, log_offset{5}, true);
            CHECK(host.starts_a_job());
        }
        THEN("it does not work where it has read that its own domain is") {
            host.subject->apply_evacuations({{host.domain, log_offset{4}, true}}, log_offset{5}, true);
            CHECK_FALSE(host.starts_a_job());
        }
        THEN("it works with what a peer passes on") {
            wire::envelope message;
            message.set_from("peer");
            message.set_incarnation(3);
            message.mutable_pool_evacuated()->set_next(5);
            host.subject->received(message);
            CHECK(host.starts_a_job());
        }
    }
    GIVEN("routes, and a peer that knows the requests") {
        host.take_routes();
        host.hear(5);
        CHECK_FALSE(host.starts_a_job());
        THEN("it has asked for them") {
            CHECK(host.out.asked > 0);
        }
    }
    GIVEN("routes, and a peer of a version that knows no evacuations") {
        host.take_routes();
        host.hear(0);
        THEN("nobody can tell, and it works") {
            CHECK(host.starts_a_job());
        }
    }
}
