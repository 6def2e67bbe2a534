#include "heathermoor/pool/loss_meter.hpp"

#include <catch2/catch.hpp>

using heathermoor::pool::loss_meter;

SCENARIO("Repeated loss of answers is detected, a single lost answer is ignored", "[pool]") {
    loss_meter meter;
    for(int call = 0; call < 1'000; ++call) {
        meter.add(true);
    }
    meter.add(false);
    CHECK_FALSE(meter.lossy());

    GIVEN("one answer in twenty is lost for a while") {
        for(int call = 0; call < 600; ++call) {
            meter.add(call % 20 != 0);
        }
        CHECK(meter.lossy());
        THEN("the loss is over soon after the last lost answer") {
            for(int call = 0; call < 600; ++call) {
                meter.add(true);
            }
            CHECK_FALSE(meter.lossy());
        }
    }
}
