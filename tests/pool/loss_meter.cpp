#include "heathermoor/pool/loss_meter.hpp"

#include <catch2/catch.hpp>

using heathermoor::pool::loss_meter;

SCENARIO("Lost answers are told from a single accident", "[pool]") {
    loss_meter meter;
    for(int call = 0; call < 1'000; ++call) {
        meter.add(true);
    }
    meter.add(false);
    CHECK_FALSE(meter.lossy());

    GIVEN("one answer in twenty lost for a while") {
        for(int call = 0; call < 600; ++call) {
            meter.add(call % 20 != 0);
        }
        CHECK(meter.lossy());
        THEN("it is over soon after the last one") {
            for(int call = 0; call < 600; ++call) {
                meter.add(true);
            }
            CHECK_FALSE(meter.lossy());
        }
    }
}
