#include "heathermoor/job/time_limit.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;

// Guards against ending jobs that their callers still wait for: the queue's timeout used to cut every caller's limit.
SCENARIO("A request is limited by its caller's word, and by its queue's timeout if the caller says nothing", "[job]") {
    job::queue_policy queue;

    GIVEN("a queue with a timeout") {
        queue.timeout = milliseconds{1'500};
        THEN("a caller that waits longer gets its own limit") {
            CHECK(job::time_limit(milliseconds{10'000}, queue) == milliseconds{10'000});
        }
        THEN("a caller that waits less gets its own limit") {
            CHECK(job::time_limit(milliseconds{400}, queue) == milliseconds{400});
        }
        THEN("a caller that does not say how long it waits gets the timeout") {
            CHECK(job::time_limit(std::nullopt, queue) == queue.timeout);
        }
    }
    GIVEN("a queue without a timeout") {
        THEN("a caller gets its own limit") {
            CHECK(job::time_limit(milliseconds{10'000}, queue) == milliseconds{10'000});
        }
        THEN("a caller that does not say how long it waits gets the default") {
            CHECK(job::time_limit(std::nullopt, queue) == job::default_time_limit);
        }
    }
    GIVEN("a limit so long that it can't be meant") {
        THEN("it is cut") {
            CHECK(job::time_limit(milliseconds::max(), queue) == job::longest_time_limit);
            queue.timeout = milliseconds::max();
            CHECK(job::time_limit(std::nullopt, queue) == job::longest_time_limit);
        }
    }
}
