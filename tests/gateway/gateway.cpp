#include "heathermoor/gateway/gateway.hpp"

#include "heathermoor/core/log.hpp"
#include <catch2/catch.hpp>
#include <vector>

using namespace heathermoor;

namespace {

struct recorded_ports final : gateway::caller_port, gateway::scheduler_port {
    void reply(gateway::request_token, const job_id &, const job::answer &answer) override { answers.push_back(answer); }
    void submit(const gateway::leader_ref &, pool::submission work) override { handed.push_back(std::move(work)); }
    void cancel(const gateway::leader_ref &, const job_id &) override {}
    void query(const gateway::leader_ref &, const std::vector<job_id> &) override {}

    std::vector<job::answer> answers;
    std::vector<pool::submission> handed;
};

} // namespace

SCENARIO("All hosts start at once: callers that come before a scheduler is chosen wait for it", "[gateway]") {
    set_log_level(log_level::error);
    recorded_ports out;
    const time_point started{seconds{500}};
    gateway::gateway gateway{host_id{"a"}, out, out, started};
    job::definition job;
    job.id = job_id{"00000000000000aa"};
    job.steps.push_back({1, {1'000, 1, 0}, milliseconds{50}, {}, {}, {}, 0});
    gateway.submit(gateway::request_token{1}, job, {}, milliseconds{1'500}, started + milliseconds{100});
    gateway.tick(started + milliseconds{400});
    CHECK(out.answers.empty());

    WHEN("one is chosen") {
        gateway.set_leader(gateway::leader_ref{host_id{"b"}, leader_term{1}}, started + milliseconds{500});
        REQUIRE(out.handed.size() == 1);
        THEN("the job counts as never handed over before") {
            CHECK(out.handed.front().clear_in == duration::zero());
            CHECK_FALSE(out.handed.front().may_have_run);
        }
    }
    WHEN("none is chosen in time") {
        gateway.tick(started + seconds{1});
        THEN("they are told that the job has not run") {
            REQUIRE(out.answers.size() == 1);
            CHECK(out.answers.front().result == job::outcome::refused);
            CHECK(out.answers.front().reason == errc::no_leader);
        }
    }
}
