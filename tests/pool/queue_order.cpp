#include "support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using namespace heathermoor::pool;
using namespace heathermoor::test;

namespace {

/// Ends one of the running tasks of a job and lets the scheduler use its room.
void free_place(scheduler_fixture &fixture, const std::string &job, std::uint32_t index) {
    fixture.end({job_id{job}, 0, index}, lease::run_end::done);
    fixture.answer_reports();
}

} // namespace

// Guards against a crest at which urgent jobs are refused since long ones stand before them: a job of the lowest priority that had
// begun came first, whatever time it had left.
SCENARIO("At a crest, a job that can wait does not stand before one that could still meet its objective", "[pool][crest]") {
    constexpr milliseconds long_run{500};
    constexpr milliseconds short_run{100};
    scheduler_fixture fixture;
    fixture.add_targets(2);

    GIVEN("a long job of low priority that has started all tasks but one, on full targets") {
        fixture.submit("long", "a", 5, 2, long_run);
        fixture.answer_starts();
        REQUIRE(fixture.running.size() == 4);
        WHEN("an urgent job arrives, and a place gets free") {
            fixture.now += milliseconds{40};
            fixture.submit("urgent", "a", 1, 0, short_run);
            free_place(fixture, "long", 0);
            THEN("the urgent job gets it") {
                REQUIRE(fixture.starts.size() == 1);
                CHECK(fixture.starts.front().task.job == job_id{"urgent"});
            }
            AND_WHEN("another one gets free") {
                fixture.answer_starts();
                free_place(fixture, "long", 1);
                THEN("the long job gets that") {
                    REQUIRE(fixture.starts.size() == 1);
                    CHECK(fixture.starts.front().task.job == job_id{"long"});
                }
            }
        }
    }
    GIVEN("a job of low priority that has begun, and whose caller leaves before it could run twice") {
        fixture.submit("begun", "a", 5, 2, long_run);
        fixture.answer_starts();
        fixture.now += milliseconds{600};
        fixture.submit("urgent", "a", 1, 0, short_run);
        fixture.tick();
        WHEN("a place gets free") {
            free_place(fixture, "begun", 0);
            THEN("it gets the place, since the work of its other tasks would be lost") {
                REQUIRE(fixture.starts.size() == 1);
                CHECK(fixture.starts.front().task.job == job_id{"begun"});
            }
        }
    }
    GIVEN("full targets, and two jobs of one queue that wait, the longer one for longer") {
        fixture.submit("running", "a", 4, 1);
        fixture.answer_starts();
        fixture.submit("long", "a", 1, 1, long_run);
        fixture.now += milliseconds{20};
        fixture.submit("short", "a", 1, 1, short_run);
        WHEN("a place gets free") {
            free_place(fixture, "running", 0);
            THEN("the short job gets it, since it can wait least") {
                REQUIRE(fixture.starts.size() == 1);
                CHECK(fixture.starts.front().task.job == job_id{"short"});
            }
        }
    }
    GIVEN("a job that has begun and has missed its objective since, and one of the same queue that has not") {
        fixture.submit("overdue", "a", 5, 1, short_run);
        fixture.answer_starts();
        REQUIRE(fixture.running.size() == 4);
        fixture.now += milliseconds{300};
        fixture.submit("fresh", "a", 1, 1, short_run);
        fixture.tick();
        WHEN("a place gets free") {
            free_place(fixture, "overdue", 0);
            THEN("the one that can still meet its objective gets it") {
                REQUIRE(fixture.starts.size() == 1);
                CHECK(fixture.starts.front().task.job == job_id{"fresh"});
            }
        }
    }
}
