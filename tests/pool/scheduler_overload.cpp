#include "support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using namespace heathermoor::pool;
using namespace heathermoor::test;

SCENARIO("A scheduler that lends leaves refusals to its caller", "[pool][lending]") {
    scheduler_fixture fixture;
    fixture.subject.set_lending(true);
    fixture.add_targets(4);
    const auto room = [&fixture] {
        const auto all = fixture.subject.find_free_room(fixture.now);
        const auto found = all.find(service_id{"s"});
        return found == all.end() ? std::int64_t{0} : found->second.cpu_millicores;
    };
    GIVEN("fewer tasks than the targets have capacity for") {
        fixture.submit("one", "a", 3);
        fixture.tick();
        THEN("the room is what they leave, and nothing is to be lent") {
            CHECK(room() == 5 * task_cpu);
            CHECK(fixture.subject.overload().jobs.empty());
            CHECK_FALSE(fixture.subject.overload().pressed);
        }
    }
    GIVEN("ten times as many as fit") {
        for(int index = 0; index < 80; ++index) {
            fixture.submit("job" + std::to_string(index), "a", 1);
        }
        fixture.tick();
        const auto report = fixture.subject.overload();
        REQUIRE(report.jobs.size() > 50);
        THEN("there is no room, and nothing is refused") {
            CHECK(room() == 0);
            CHECK(report.crowded);
            CHECK(report.pressed);
            CHECK(report.jobs.front().refusable);
            CHECK(report.jobs.front().need.total_cpu_millicores == task_cpu);
            CHECK(fixture.count(job::outcome::refused) == 0);
        }
        WHEN("one of them is withdrawn") {
            const auto id = report.jobs.front().id;
            const auto submissions = fixture.subject.withdraw(id, fixture.now);
            THEN("its submission comes back as it was, and the scheduler has closed it without an answer") {
                REQUIRE(submissions.size() == 1);
                CHECK_FALSE(submissions.front().may_have_run);
                CHECK(submissions.front().remaining == milliseconds{1'500});
                CHECK_FALSE(fixture.subject.knows(id));
                const auto closed = fixture.subject.take_closed();
                REQUIRE(closed.size() == 1);
                CHECK_FALSE(closed.front().may_have_run);
                CHECK_FALSE(closed.front().answer);
            }
        }
        WHEN("one is refused") {
            const auto id = report.jobs.front().id;
            fixture.subject.refuse(id, milliseconds{700}, fixture.now);
            THEN("its gateway is told so") {
                REQUIRE(fixture.answers.at(id).size() == 1);
                CHECK(fixture.answers.at(id).front().second.result == job::outcome::refused);
                CHECK(fixture.answers.at(id).front().second.retry_after == milliseconds{700});
            }
        }
        WHEN("a job that has started is withdrawn or refused") {
            const job_id id{"job0"};
            fixture.subject.refuse(id, milliseconds{700}, fixture.now);
            THEN("nothing happens") {
                CHECK(fixture.subject.withdraw(id, fixture.now).empty());
                CHECK_FALSE(fixture.answers.contains(id));
                CHECK(fixture.subject.knows(id));
            }
        }
    }
    GIVEN("no target that may serve") {
        scheduler_fixture empty;
        empty.subject.set_lending(true);
        empty.submit("job", "a", 1);
        empty.tick();
        THEN("the job may be lent, but is not to be refused for the work ahead of it") {
            REQUIRE(empty.subject.overload().jobs.size() == 1);
            CHECK_FALSE(empty.subject.overload().jobs.front().refusable);
            CHECK(empty.subject.overload().jobs.front().lendable);
            CHECK(empty.subject.overload().pressed);
            CHECK_FALSE(empty.subject.overload().crowded);
        }
    }
}
