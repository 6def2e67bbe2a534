#include "heathermoor/pool/run_time_estimator.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using namespace heathermoor;
using pool::run_time_estimator;

SCENARIO("Run times are predicted from rough declared run times", "[pool]") {
    run_time_estimator model;
    const queue_id queue{"q"};
    CHECK(model.predict(queue, milliseconds{50}) == milliseconds{50});

    GIVEN("jobs whose run time and declared run time both vary by 40%") {
        std::mt19937_64 random{7};
        std::normal_distribution<double> spread{0, 0.4};
        for(int count = 0; count < 400; ++count) {
            const auto work = 760 * std::exp(spread(random));
            const auto declared = work * std::exp(spread(random));
            model.observe(queue, milliseconds{static_cast<std::int64_t>(declared)}, from_ms(work), 1.0);
        }
        THEN("a longer declared run time raises the prediction, by about half of the excess") {
            const auto usual = to_ms(model.predict(queue, milliseconds{760}));
            const auto longer = to_ms(model.predict(queue, milliseconds{1'520}));
            CHECK(usual > 600);
            CHECK(usual < 900);
            CHECK(longer / usual > 1.25);
            CHECK(longer / usual < 1.6);
        }
    }
}
