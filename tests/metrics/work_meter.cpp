#include "heathermoor/metrics/work_meter.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using metrics::work_meter;
using metrics::work_part;

namespace {

struct manual_clock final : metrics::work_clock {
    [[nodiscard]] duration spent() const override { return now; }
    duration now{milliseconds{1'000}};
};

} // namespace

SCENARIO("CPU time is attributed to work categories", "[metrics]") {
    manual_clock clock;
    work_meter meter{clock};

    GIVEN("a span with another one nested in it") {
        clock.now += milliseconds{5};
        {
            const work_meter::span outer{meter, work_part::timer};
            clock.now += milliseconds{2};
            {
                const work_meter::span inner{meter, work_part::placing};
                clock.now += milliseconds{3};
            }
            clock.now += milliseconds{4};
        }
        const work_meter::span next{meter, work_part::callers};
        THEN("each moment counts for the innermost span only") {
            CHECK(meter.total(work_part::timer).spent == milliseconds{6});
            CHECK(meter.total(work_part::placing).spent == milliseconds{3});
            CHECK(meter.total(work_part::placing).count == 1);
        }
        THEN("time outside all spans counts for the loop") {
            CHECK(meter.total(work_part::loop).spent == milliseconds{5});
        }
    }
}
