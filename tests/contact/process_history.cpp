#include "heathermoor/contact/process_history.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using contact::process_history;

SCENARIO("Late messages of an earlier process are told from those of the present one", "[contact]") {
    const host_id host{"a"};
    const process_ref first{host, incarnation{20}};
    const process_ref second{host, incarnation{10}};
    time_point now{seconds{100}};
    process_history history;
    REQUIRE(history.accept(first, now));

    GIVEN("a host that has restarted, its wall clock set back") {
        now += milliseconds{300};
        REQUIRE(history.accept(second, now));
        THEN("messages of the earlier process are dropped, those of the present one are not") {
            CHECK_FALSE(history.accept(first, now));
            CHECK(history.accept(second, now));
        }
        THEN("the departure of the earlier process, which arrives late, does not remove the present one") {
            CHECK_FALSE(history.left(first, now));
            CHECK(history.accept(second, now));
        }
        WHEN("it restarts again") {
            const process_ref third{host, incarnation{15}};
            REQUIRE(history.accept(third, now));
            THEN("messages of both earlier processes are dropped") {
                CHECK_FALSE(history.accept(first, now));
                CHECK_FALSE(history.accept(second, now));
            }
        }
        WHEN("the present process leaves") {
            CHECK(history.left(second, now));
            THEN("its late messages are dropped, and the next process is accepted") {
                CHECK_FALSE(history.accept(second, now));
                CHECK(history.accept({host, incarnation{30}}, now));
            }
        }
    }
    // Guards against a process that is ignored for good because a message of an earlier one came late.
    GIVEN("a message of an earlier process that arrives after those of the present one, and is the first of that process") {
        const process_ref late{host, incarnation{5}};
        REQUIRE(history.accept(late, now));
        WHEN("the present process goes on to send messages") {
            CHECK_FALSE(history.accept(first, now));
            now += seconds{3};
            THEN("it is accepted when the earlier process has been silent for three seconds") {
                CHECK(history.accept(first, now));
                CHECK_FALSE(history.accept(late, now));
            }
        }
    }
    GIVEN("the departure of a process that was never heard, of a host that has a present one") {
        const process_ref late{host, incarnation{5}};
        THEN("the present process stays") {
            CHECK_FALSE(history.left(late, now));
            CHECK(history.accept(first, now));
        }
    }
}
