#include "heathermoor/pool/run_statistics.hpp"

#include "heathermoor/core/log.hpp"
#include "heathermoor/member/convert.hpp"
#include "heathermoor/pool/run_time_estimator.hpp"
#include "heathermoor/pool/speed_model.hpp"
#include "support/pool_world.hpp"
#include <catch2/catch.hpp>
#include <limits>

using namespace heathermoor;

SCENARIO("A new scheduler starts with the run statistics of its predecessor", "[pool][experience]") {
    const queue_id queue{"q"};
    pool::run_time_estimator run_times;
    pool::speed_model speeds;
    for(int count = 0; count < 20; ++count) {
        run_times.observe(queue, milliseconds{100}, milliseconds{400}, 1.0);
        speeds.observe(target_id{"slow"}, milliseconds{800}, milliseconds{400});
        speeds.observe(target_id{"fast"}, milliseconds{200}, milliseconds{400});
    }
    pool::run_statistics learned{run_times.learned(), {}};
    learned.targets.push_back(*speeds.learned(target_id{"slow"}));
    learned.targets.push_back(*speeds.learned(target_id{"fast"}));

    GIVEN("a successor that receives them as a message") {
        const auto received = member::from_wire(member::to_wire(learned));
        pool::run_time_estimator other_run_times;
        pool::speed_model other_speeds;
        for(const auto &one: received.queues) {
            other_run_times.restore(one);
        }
        for(const auto &one: received.targets) {
            other_speeds.restore(one);
        }
        THEN("it makes the same predictions") {
            CHECK(other_run_times.predict(queue, milliseconds{100}) == run_times.predict(queue, milliseconds{100}));
            CHECK(other_speeds.speed(target_id{"slow"}) == Approx(speeds.speed(target_id{"slow"})));
            CHECK(other_speeds.speed(target_id{"fast"}) == Approx(speeds.speed(target_id{"fast"})));
        }
        THEN("importing the same statistics twice changes nothing") {
            other_speeds.restore(received.targets.front());
            CHECK(other_speeds.speed(target_id{"fast"}) == Approx(speeds.speed(target_id{"fast"})));
        }
    }
    GIVEN("statistics of an earlier version, which had no spreads") {
        auto message = member::to_wire(learned);
        for(auto &one: *message.mutable_queues()) {
            one.clear_variance_residual();
            one.clear_samples_residual();
            one.clear_variance_within_job();
            one.clear_samples_within_job();
        }
        pool::run_time_estimator successor;
        for(const auto &one: member::from_wire(message).queues) {
            successor.restore(one);
        }
        THEN("the successor assumes the spreads of an unknown queue") {
            const auto prediction = successor.predict_job(queue, milliseconds{100});
            const auto unknown = successor.predict_job(queue_id{"other"}, milliseconds{100});
            CHECK(prediction.job_variance == Approx(unknown.job_variance));
            CHECK(prediction.task_variance == Approx(unknown.task_variance));
        }
    }
    GIVEN("statistics that are not finite numbers") {
        learned.queues.front().mean_observed = std::numeric_limits<double>::quiet_NaN();
        learned.targets.front().mean_log_ratio = std::numeric_limits<double>::infinity();
        const auto received = member::from_wire(member::to_wire(learned));
        CHECK(received.queues.empty());
        CHECK(received.targets.size() == 1);
    }
}

SCENARIO("Run statistics survive the loss of the leader, and of all hosts", "[pool][experience][world]") {
    set_log_level(log_level::error);
    test::pool_world world{{}};
    world.run(seconds{2});
    world.set_load(30);
    world.run(seconds{8});
    const auto first = world.leader();
    REQUIRE(first < world.hosts());
    const auto known = world.host(first).scheduler().learned().targets.size();
    REQUIRE(known > 6);
    REQUIRE_FALSE(world.host(first).scheduler().learned().queues.empty());
    world.set_load(0);
    world.run(seconds{2});

    WHEN("the leader is killed") {
        world.kill(first);
        world.run(seconds{2});
        const auto second = world.leader();
        REQUIRE(second < world.hosts());
        CHECK(world.host(second).scheduler().learned().targets.size() == known);
    }
    WHEN("all hosts are killed at once") {
        for(std::size_t host = 0; host < world.hosts(); ++host) {
            world.kill(host);
        }
        for(std::size_t host = 0; host < world.hosts(); ++host) {
            world.start(host);
        }
        world.run(seconds{2});
        const auto second = world.leader();
        REQUIRE(second < world.hosts());
        CHECK(world.host(second).scheduler().learned().targets.size() >= known / 2);
        CHECK_FALSE(world.host(second).scheduler().learned().queues.empty());
    }
    CHECK(world.violations().empty());
}
