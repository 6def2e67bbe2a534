#include "support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using namespace heathermoor::pool;
using namespace heathermoor::test;

namespace {

const failure_domain_id north{"north"};
const failure_domain_id south{"south"};

/// Two held targets in the north and two in the south.
struct evacuation_fixture : scheduler_fixture {
    evacuation_fixture() {
        list_targets(4);
        for(auto &[id, entry]: listed) {
            entry.domain = id < target_id{"t2"} ? north : south;
        }
        read_list();
        answer_reports();
    }

    void settle() {
        now += milliseconds{25};
        tick();
        answer_reports();
    }

    [[nodiscard]] std::size_t starts_in(const failure_domain_id &domain) const {
        return static_cast<std::size_t>(std::count_if(
            starts.begin(), starts.end(), [&](const start_order &order) { return listed.at(order.to.target).domain == domain; }));
    }
};

} // namespace

SCENARIO("Evacuated targets are neither used nor counted as room", "[pool][evacuation]") {
    evacuation_fixture fixture;
    fixture.subject.set_evacuated({north});
    CHECK(fixture.subject.holder().evacuated() == 2);

    WHEN("more tasks come than the others can take") {
        fixture.submit("wide", "a", 8);
        CHECK(fixture.starts_in(south) == 4);
        CHECK(fixture.starts_in(north) == 0);
        AND_WHEN("a task ends") {
            fixture.answer_starts();
            fixture.end({job_id{"wide"}, 0, 0}, lease::run_end::done);
            fixture.now += milliseconds{50};
            fixture.answer_reports();
            CHECK(fixture.starts_in(south) == 1);
            CHECK(fixture.starts_in(north) == 0);
        }
        AND_WHEN("the evacuation is taken back") {
            fixture.subject.set_evacuated({});
            fixture.settle();
            CHECK(fixture.starts_in(north) == 4);
        }
    }
    WHEN("a target of the domain is listed only afterwards") {
        auto entry = fixture.listed.at(target_id{"t0"});
        entry.id = target_id{"t9"};
        fixture.listed[entry.id] = entry;
        fixture.read_list();
        fixture.settle();
        fixture.submit("wide", "a", 8);
        CHECK(fixture.starts_in(north) == 0);
    }
    WHEN("a target moves out of the domain") {
        fixture.listed.at(target_id{"t0"}).domain = south;
        fixture.read_list();
        fixture.submit("wide", "a", 8);
        CHECK(fixture.starts_in(south) == 6);
    }
    WHEN("this scheduler resigns and begins anew") {
        fixture.subject.resign();
        fixture.read_list();
        fixture.settle();
        fixture.submit("wide", "a", 8);
        CHECK(fixture.starts_in(north) == 0);
    }
}

SCENARIO("Runs on evacuated targets go on and keep their leases", "[pool][evacuation]") {
    evacuation_fixture fixture;
    fixture.submit("wide", "a", 8);
    REQUIRE(fixture.starts_in(north) == 4);
    fixture.answer_starts();
    fixture.subject.set_evacuated({north});
    std::size_t renewed = 0;
    for(int round = 0; round < 20; ++round) {
        fixture.now += milliseconds{25};
        fixture.tick();
        for(const auto &order: fixture.reports) {
            renewed += fixture.listed.at(order.to.target).domain == north && order.until ? 1 : 0;
        }
        fixture.answer_reports();
    }
    CHECK(renewed > 0);
    CHECK(fixture.stops.empty());
    CHECK(fixture.subject.counts().runs_lost == 0);
    THEN("their ends count") {
        for(std::uint32_t index = 0; index < 8; ++index) {
            fixture.end({job_id{"wide"}, 0, index}, lease::run_end::done);
        }
        fixture.settle();
        fixture.settle();
        CHECK(fixture.count(job::outcome::completed) == 1);
    }
}

SCENARIO("Jobs that only evacuated targets could run are refused at once", "[pool][evacuation]") {
    evacuation_fixture fixture;

    GIVEN("all failure domains evacuated") {
        fixture.submit("running", "a", 8);
        fixture.answer_starts();
        fixture.submit("waiting", "a", 1);
        fixture.subject.set_evacuated({north, south});
        fixture.settle();
        THEN("what waits is refused, truthfully, and told to come back in some seconds") {
            REQUIRE(fixture.answers[job_id{"waiting"}].size() == 1);
            const auto &answer = fixture.answers[job_id{"waiting"}].front().second;
            CHECK(answer.result == job::outcome::refused);
            CHECK(answer.reason == errc::overloaded);
            CHECK(answer.retry_after >= seconds{1});
            CHECK(fixture.starts.empty());
        }
        THEN("so is what comes") {
            fixture.submit("late", "a", 1);
            fixture.settle();
            CHECK(fixture.answers[job_id{"late"}].size() == 1);
        }
        THEN("what has begun is not") {
            CHECK(fixture.answers[job_id{"running"}].empty());
            CHECK(fixture.stops.empty());
        }
        THEN("it can be submitted again once the evacuation is taken back") {
            fixture.subject.set_evacuated({});
            fixture.end({job_id{"running"}, 0, 0}, lease::run_end::done);
            fixture.settle();
            fixture.submit("again", "a", 1);
            CHECK(fixture.starts.size() == 1);
        }
    }
    GIVEN("a label that only targets of the evacuated domain have") {
        fixture.listed.at(target_id{"t0"}).labels = {"a"};
        fixture.read_list();
        fixture.subject.set_evacuated({north});
        fixture.submit_step(gateway_of("a"), "labelled", {1, {task_cpu, 10, 0}, declared, {}, "a", {}, 0});
        fixture.settle();
        CHECK(fixture.answers[job_id{"labelled"}].size() == 1);
        THEN("others wait for the targets that are left") {
            fixture.submit("plain", "a", 1);
            CHECK(fixture.starts_in(south) == 1);
            CHECK(fixture.answers[job_id{"plain"}].empty());
        }
    }
    GIVEN("a label that no target has") {
        fixture.subject.set_evacuated({north});
        fixture.submit_step(gateway_of("a"), "labelled", {1, {task_cpu, 10, 0}, declared, {}, "a", {}, 0});
        fixture.settle();
        THEN("the evacuation is no reason to refuse the job") {
            CHECK(fixture.answers[job_id{"labelled"}].empty());
        }
    }
}

SCENARIO("A run is not moved onto an evacuated target", "[pool][evacuation]") {
    scheduler_fixture fixture;
    fixture.add_targets(2);
    fixture.learn_speeds();
    for(auto &[id, entry]: fixture.listed) {
        entry.domain = id == target_id{"t0"} ? north : south;
    }
    fixture.read_list();
    fixture.subject.set_evacuated({north});
    fixture.tick();
    fixture.answer_reports();
    fixture.submit("one", "a", 1);
    REQUIRE(fixture.starts.size() == 1);
    REQUIRE(fixture.starts.front().to.target == target_id{"t1"});
    fixture.answer_starts();
    // By this progress the run ends just after its deadline, and in time on the fast target.
    const auto run_on = [&fixture] {
        fixture.now += milliseconds{100};
        fixture.running.at({job_id{"one"}, 0, 0}).percent = 6;
        fixture.answer_reports();
        fixture.tick();
    };
    GIVEN("the fast target evacuated") {
        run_on();
        CHECK(fixture.stops.empty());
    }
    GIVEN("the evacuation taken back") {
        fixture.subject.set_evacuated({});
        fixture.tick();
        run_on();
        CHECK(fixture.stops.size() == 1);
    }
}

SCENARIO("Nothing is started while it is not known what is evacuated", "[pool][evacuation]") {
    evacuation_fixture fixture;
    fixture.subject.set_uninformed(true);
    fixture.submit("early", "a", 2);
    fixture.settle();
    CHECK(fixture.starts.empty());
    CHECK(fixture.answers[job_id{"early"}].empty());
    fixture.subject.set_evacuated({north});
    fixture.subject.set_uninformed(false);
    fixture.subject.place(fixture.now);
    CHECK(fixture.starts_in(south) == 2);
    CHECK(fixture.starts_in(north) == 0);
}
