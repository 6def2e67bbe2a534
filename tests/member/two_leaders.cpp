#include "support/pool_world.hpp"
#include "support/seeds.hpp"

#include "heathermoor/core/log.hpp"
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fmt/format.h>

using namespace heathermoor;
using test::pool_world;

namespace {

/// Jobs a second: more than the targets can run at once, so that jobs wait while leaders change.
constexpr double crowded_load = 60.0;

/// Lets leaders live side by side for a while, with gateways that change between them.
void disturb_hearing(pool_world &world, std::mt19937_64 &random) {
    const auto host = static_cast<std::size_t>(random() % world.hosts());
    switch(random() % 6) {
    case 0:
        world.delay_connections(0.5, milliseconds{200 + random() % 600});
        break;
    case 1:
        world.silence_connections(0.5);
        break;
    case 2:
        world.cut_host(host, true);
        break;
    case 3:
        world.cut_host(host, false);
        break;
    case 4:
        world.freeze(host, milliseconds{100 + random() % 1'200});
        break;
    default:
        world.stop_gracefully(host);
        break;
    }
}

} // namespace

SCENARIO("Gateways that change between living leaders cause no second run of a task", "[member][fault][two-leaders]") {
    const auto seed = GENERATE(from_range(test::chosen_seeds(150)));
    GIVEN(fmt::format("hosts that hear each other late, in part or not at all, seed {}", seed)) {
        set_log_level(std::getenv("HEATHERMOOR_DEBUG") != nullptr ? log_level::debug : log_level::error);
        pool_world::options options;
        options.seed = seed;
        pool_world world{options};
        world.run(seconds{2});
        world.set_load(crowded_load);
        world.run(seconds{1});
        std::mt19937_64 random{seed};
        for(int count = 0; count < 12; ++count) {
            disturb_hearing(world, random);
            world.run(milliseconds{20 + random() % 700});
            for(std::size_t host = 0; host < world.hosts(); ++host) {
                if(random() % 4 == 0) {
                    world.start(host);
                }
            }
        }
        WHEN("all hosts hear each other again") {
            for(std::size_t host = 0; host < world.hosts(); ++host) {
                world.cut_host(host, false);
                world.start(host);
            }
            world.run(seconds{5});
            THEN("one of them leads, every caller has an answer, and no task ran twice") {
                CHECK(world.leaders() == 1);
                world.set_load(0);
                world.run(seconds{8});
                INFO((world.violations().empty() ? std::string{} : world.violations().front()));
                CHECK(world.violations().empty());
                CHECK(world.open() == 0);
            }
        }
    }
}
