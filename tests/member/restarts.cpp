#include "support/pool_world.hpp"
#include "support/seeds.hpp"

#include "heathermoor/core/log.hpp"
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <fmt/ranges.h>

using namespace heathermoor;
using test::pool_world;

namespace {

constexpr std::uint32_t hosts_per_domain = 3;

/// Jobs a second: about half of what the targets can run at once.
constexpr double moderate_load = 10.0;

/// Two failure domains with leaders of their own, and tasks that outlast the callers' resubmission time.
[[nodiscard]] pool_world::options two_cells_of_long_tasks(std::uint64_t seed) {
    pool_world::options options;
    options.domains = 2;
    options.hosts_per_domain = hosts_per_domain;
    options.targets_per_domain = 45;
    options.shortest_run = milliseconds{1'000};
    options.longest_run = milliseconds{3'000};
    options.caller_deadline = milliseconds{6'000};
    options.seed = seed;
    return options;
}

/// Host of the first failure domain that does not lead.
[[nodiscard]] std::size_t follower(pool_world &world) {
    return world.leader() == 0 ? 1 : 0;
}

/// Kills a host and starts it again.
void restart(pool_world &world, std::size_t host, milliseconds down) {
    world.kill(host);
    world.run(down);
    world.start(host);
}

void check_promises(pool_world &world) {
    world.set_load(0);
    world.run(seconds{14});
    INFO(fmt::format("{}", fmt::join(world.violations(), "\n")));
    CHECK(world.violations().empty());
    CHECK(world.open() == 0);
}

} // namespace

// Guards against a leader that takes a restarted host for the process that submitted jobs, and goes on with jobs nobody waits for.
SCENARIO("A host that is killed and soon back leaves no jobs behind", "[member][fault][restart]") {
    set_log_level(std::getenv("HEATHERMOOR_DEBUG") != nullptr ? log_level::debug : log_level::error);
    const auto down = GENERATE(0, 50, 100, 200, 300, 400, 450, 500, 700, 1'000);
    GIVEN(fmt::format("two cells, and a host whose process is away for {} ms", down)) {
        pool_world world{two_cells_of_long_tasks(1)};
        world.run(seconds{3});
        REQUIRE(world.leaders() == 2);
        world.set_load(moderate_load);
        world.run(seconds{3});
        WHEN("a follower is killed, and its callers send their requests again") {
            restart(world, follower(world), milliseconds{down});
            world.run(seconds{4});
            THEN("no task runs twice, and the leader drops the jobs in time") {
                check_promises(world);
            }
        }
        WHEN("the leader is killed, and its callers send their requests again") {
            restart(world, world.leader(), milliseconds{down});
            world.run(seconds{4});
            THEN("no task runs twice, and the leader drops the jobs in time") {
                check_promises(world);
            }
        }
        WHEN("a follower is killed twice in a row, its wall clock set back meanwhile") {
            const auto host = follower(world);
            for(int count = 0; count < 2; ++count) {
                world.step_clock(host, seconds{-30});
                restart(world, host, milliseconds{down});
                world.run(milliseconds{250});
            }
            world.run(seconds{4});
            THEN("no task runs twice, and the leader drops the jobs in time") {
                check_promises(world);
            }
        }
    }
}

SCENARIO("Hosts that restart at any time leave no jobs behind", "[member][fault][restart]") {
    const auto seed = GENERATE(from_range(test::chosen_seeds(40)));
    GIVEN(fmt::format("hosts that are killed and back within a second, seed {}", seed)) {
        set_log_level(std::getenv("HEATHERMOOR_DEBUG") != nullptr ? log_level::debug : log_level::error);
        pool_world world{two_cells_of_long_tasks(seed)};
        world.run(seconds{3});
        world.set_load(moderate_load);
        world.run(seconds{2});
        std::mt19937_64 random{seed};
        for(int count = 0; count < 8; ++count) {
            const auto host = static_cast<std::size_t>(random() % world.hosts());
            if(random() % 3 == 0) {
                world.delay_connections(0.3, milliseconds{100 + random() % 600});
                world.run(milliseconds{random() % 100});
            }
            world.step_clock(host, milliseconds{static_cast<std::int64_t>(random() % 20'000) - 10'000});
            restart(world, host, milliseconds{random() % 1'000});
            world.run(milliseconds{random() % 1'500});
        }
        THEN("no task runs twice, and leaders drop the jobs of processes that are gone in time") {
            check_promises(world);
        }
    }
}
