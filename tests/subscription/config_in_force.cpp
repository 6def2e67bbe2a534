#include "heathermoor/core/log.hpp"
#include "support/pool_world.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace heathermoor;
using test::pool_world;

namespace {

/// Reads of the configuration that one cell may cost per second: the leader's, and what a change adds.
constexpr double reads_per_cell_and_s = 2.0;

/// Time between checks.
constexpr milliseconds check_interval{25};

/// Runs the simulation while versions are published; counts checks in which a host missed a promised version.
[[nodiscard]] std::size_t late_hosts(pool_world &world, duration length, milliseconds publish_interval) {
    std::size_t late = 0;
    duration since_publish{};
    for(duration spent{}; spent < length; spent += check_interval) {
        since_publish += check_interval;
        if(since_publish >= publish_interval) {
            since_publish = {};
            world.publish_config();
        }
        world.run(check_interval);
        for(std::size_t host = 0; host < world.hosts(); ++host) {
            late += world.version(host) != 0 && world.version(host) < world.promised_version() ? 1 : 0;
        }
    }
    return late;
}

[[nodiscard]] pool_world::options two_cells() {
    pool_world::options options;
    options.domains = 2;
    options.hosts_per_domain = 3;
    options.targets_per_domain = 50;
    return options;
}

} // namespace

// Guards against a wait of 20 s on a dead connection: changes that the store had confirmed were in force on no host.
SCENARIO("A confirmed change is in force in time after open connections turn silent", "[subscription][fault][config-in-force]") {
    set_log_level(log_level::error);
    const auto seed = GENERATE(1U, 2U, 3U);
    constexpr milliseconds publish_interval{1'100};

    GIVEN("a deployment of one cell") {
        pool_world::options options;
        options.seed = seed;
        pool_world world{options};
        world.run(seconds{4});
        WHEN("all connections turn silent") {
            world.silence_connections(1.0);
            CHECK(late_hosts(world, seconds{16}, publish_interval) == 0);
        }
        WHEN("half of them turn silent and the leader is lost") {
            world.silence_connections(0.5);
            world.run(milliseconds{200});
            world.kill(world.leader());
            CHECK(late_hosts(world, seconds{16}, publish_interval) == 0);
        }
        WHEN("they turn silent again and again") {
            for(int round = 0; round < 4; ++round) {
                world.silence_connections(1.0);
                CHECK(late_hosts(world, milliseconds{4'300}, publish_interval) == 0);
            }
        }
    }
    GIVEN("a deployment of two cells") {
        auto options = two_cells();
        options.seed = seed;
        pool_world world{options};
        world.run(seconds{4});
        REQUIRE(world.leaders() == 2);
        WHEN("all connections turn silent") {
            world.silence_connections(1.0);
            CHECK(late_hosts(world, seconds{16}, publish_interval) == 0);
        }
    }
}

// Guards against a store that takes a read and never answers: the connection lives, so no transport notices it.
SCENARIO("A host whose reads the store never answers learns of changes from other hosts", "[subscription][fault][config-in-force]") {
    set_log_level(log_level::error);
    constexpr milliseconds publish_interval{900};

    GIVEN("a leader that gets no answers") {
        pool_world world{{}};
        world.run(seconds{4});
        world.mute_store(world.leader(), true);
        CHECK(late_hosts(world, seconds{12}, publish_interval) == 0);
    }
    GIVEN("a cell that gets no answers, beside one that does") {
        pool_world world{two_cells()};
        world.run(seconds{4});
        REQUIRE(world.leaders() == 2);
        for(std::size_t host = 3; host < world.hosts(); ++host) {
            world.mute_store(host, true);
        }
        CHECK(late_hosts(world, seconds{12}, publish_interval) == 0);
    }
    GIVEN("a restarted host that gets no answers") {
        pool_world world{{}};
        world.run(seconds{4});
        constexpr std::size_t host = 4;
        world.kill(host);
        world.mute_store(host, true);
        world.run(seconds{1});
        world.start(host);
        world.run(seconds{3});
        CHECK(late_hosts(world, seconds{8}, publish_interval) == 0);
    }
    GIVEN("a store that answers no host for a while") {
        pool_world world{{}};
        world.run(seconds{4});
        for(std::size_t host = 0; host < world.hosts(); ++host) {
            world.mute_store(host, true);
        }
        world.run(seconds{5});
        for(std::size_t host = 0; host < world.hosts(); ++host) {
            world.mute_store(host, false);
        }
        world.publish_config();
        world.run(seconds{3});
        for(std::size_t host = 0; host < world.hosts(); ++host) {
            CHECK(world.version(host) == world.latest_version());
        }
    }
}

// Guards against confirmations paid for by every host: the store's reading rate is shared by all of them.
SCENARIO("Reads of the configuration do not grow with the number of hosts", "[subscription][fault][config-in-force]") {
    set_log_level(log_level::error);
    pool_world::options options;
    options.domains = 1;
    options.targets_per_domain = 50;
    GIVEN("four hosts") {
        options.hosts_per_domain = 4;
    }
    GIVEN("sixteen hosts") {
        options.hosts_per_domain = 16;
    }
    pool_world world{options};
    world.run(seconds{6});
    const auto before = world.config_reads();
    constexpr std::int64_t length_s = 10;
    world.run(seconds{length_s});
    CHECK(static_cast<double>(world.config_reads() - before) <= reads_per_cell_and_s * length_s);
}

// Guards against a rejected version that shows nowhere: the version before it stays in force, and the next one is taken.
SCENARIO("A version that cannot be decoded leaves the earlier one in force", "[subscription][fault][config-in-force]") {
    set_log_level(log_level::error);
    pool_world world{{}};
    world.run(seconds{4});
    world.publish_config();
    world.run(seconds{1});
    const auto before = world.latest_version();
    world.publish_unreadable_config();
    world.run(seconds{2});
    for(std::size_t host = 0; host < world.hosts(); ++host) {
        CHECK(world.version(host) == before);
        CHECK(world.rejections(host) == 1);
    }
    THEN("a restarted host has the earlier version from its peers") {
        world.kill(3);
        world.run(seconds{1});
        world.start(3);
        world.run(seconds{2});
        CHECK(world.version(3) == before);
    }
    THEN("the next version is taken") {
        world.publish_config();
        world.run(seconds{2});
        for(std::size_t host = 0; host < world.hosts(); ++host) {
            CHECK(world.version(host) == world.latest_version());
        }
    }
}
