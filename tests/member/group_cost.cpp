#include "support/pool_world.hpp"

#include "heathermoor/core/log.hpp"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace heathermoor;
using test::pool_world;

namespace {

/// The users' limit on control traffic: bytes that a host may send per second.
constexpr std::uint64_t control_bytes_per_s = 10'000;

/// Maximum number of targets that a small host can schedule: three times a small deployment of the users.
constexpr std::size_t most_targets = 150;

[[nodiscard]] std::size_t held_targets(pool_world &world, std::size_t host) {
    return world.host(host).leading() ? world.host(host).scheduler().holder().targets().size() : 0;
}

[[nodiscard]] std::size_t most_held(pool_world &world) {
    std::size_t most = 0;
    for(std::size_t host = 0; host < world.hosts(); ++host) {
        most = std::max(most, held_targets(world, host));
    }
    return most;
}

[[nodiscard]] std::size_t all_held(pool_world &world) {
    std::size_t all = 0;
    for(std::size_t host = 0; host < world.hosts(); ++host) {
        all += held_targets(world, host);
    }
    return all;
}

/// Bytes per second sent without jobs by the follower that sends most.
[[nodiscard]] std::uint64_t idle_bytes_per_s(pool_world &world) {
    std::vector<std::uint64_t> before;
    for(std::size_t host = 0; host < world.hosts(); ++host) {
        before.push_back(world.traffic(host).bytes);
    }
    constexpr std::uint64_t length_s = 4;
    world.run(seconds{length_s});
    std::uint64_t most = 0;
    for(std::size_t host = 0; host < world.hosts(); ++host) {
        if(!world.host(host).leading()) {
            most = std::max(most, (world.traffic(host).bytes - before[host]) / length_s);
        }
    }
    return most;
}

} // namespace

// Guards against heartbeats to all hosts: in a group of 39, each host spent most of its CPU time on them.
SCENARIO("The control traffic of a host does not grow with the size of the deployment", "[member][fault][group]") {
    set_log_level(log_level::error);
    pool_world::options options;
    options.domains = 4;
    options.targets_per_domain = 50;

    GIVEN("36 hosts in four failure domains") {
        options.hosts_per_domain = 9;
    }
    GIVEN("72 hosts in four failure domains") {
        options.hosts_per_domain = 18;
    }
    pool_world world{options};
    world.run(seconds{6});
    CHECK(idle_bytes_per_s(world) <= control_bytes_per_s);
}

// Guards against too large cells: a host of half a core scheduled 350 targets and fell behind.
SCENARIO("No leader holds more targets than a small host can schedule", "[member][fault][group]") {
    set_log_level(log_level::error);
    pool_world::options options;
    GIVEN("many targets in each of four failure domains") {
        options.domains = 4;
        options.hosts_per_domain = 4;
        options.targets_per_domain = 90;
    }
    GIVEN("failure domains with hundreds of targets each") {
        options.domains = 2;
        options.hosts_per_domain = 12;
        options.targets_per_domain = 280;
    }
    pool_world world{options};
    world.run(seconds{6});
    CHECK(most_held(world) <= most_targets);
    CHECK(all_held(world) == world.targets());
    world.set_load(100);
    world.run(seconds{3});
    world.set_load(0);
    world.run(seconds{3});
    INFO((world.violations().empty() ? std::string{} : world.violations().front()));
    CHECK(world.violations().empty());
    CHECK(static_cast<double>(world.completed()) > 0.95 * static_cast<double>(world.sent()));
}
