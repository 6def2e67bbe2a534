#include "heathermoor/core/log.hpp"
#include "support/pool_checks.hpp"
#include "support/pool_world.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using test::finish_and_check;
using test::pool_world;

namespace {

/// Jobs per second that two of three failure domains can serve.
constexpr double moderate_load = 12;

/// Time in which a change is in force on every host that the store or an informed peer reaches: well below the operators' limit.
constexpr milliseconds in_force_limit{2'000};

using domains = std::set<failure_domain_id>;

[[nodiscard]] failure_domain_id name(std::uint32_t domain) {
    return failure_domain_id{"d" + std::to_string(domain)};
}

[[nodiscard]] pool_world::options two_cells() {
    pool_world::options options;
    options.domains = 2;
    options.hosts_per_domain = 3;
    options.targets_per_domain = 50;
    return options;
}

/// World with a steady load, after its hosts have found each other.
struct loaded_world {
    explicit loaded_world(pool_world::options options = {}) : world{std::move(options)} {
        set_log_level(log_level::error);
        world.run(seconds{3});
        world.set_load(moderate_load);
        world.run(seconds{2});
        REQUIRE(world.starts_in(0) > 0);
    }

    void mute_all(bool mute) {
        for(std::size_t host = 0; host < world.hosts(); ++host) {
            world.mute_store(host, mute);
        }
    }

    /// Whether every running host knows that exactly these domains are evacuated.
    [[nodiscard]] bool all_know(const domains &evacuated) {
        for(std::size_t host = 0; host < world.hosts(); ++host) {
            if(world.version(host) != 0 && world.host(host).evacuations().domains() != evacuated) {
                return false;
            }
        }
        return true;
    }

    /// Advances time and tells how many tasks began in a failure domain meanwhile.
    [[nodiscard]] std::uint64_t starts(std::uint32_t domain, duration length) {
        const auto before = world.starts_in(domain);
        world.run(length);
        return world.starts_in(domain) - before;
    }

    pool_world world;
};

} // namespace

SCENARIO("Nothing is started in a failure domain that is being evacuated until that is taken back", "[member][fault][evacuation]") {
    loaded_world given;
    auto &world = given.world;
    const auto leader = world.leader();
    const auto claims = world.claims();
    world.evacuate(0, true);
    world.run(in_force_limit);
    CHECK(given.all_know({name(0)}));
    CHECK(given.starts(0, seconds{6}) == 0);
    CHECK(world.busy_targets(0) == 0);

    THEN("the other failure domains serve what comes") {
        const auto served = world.completed();
        CHECK(given.starts(1, seconds{3}) > 0);
        CHECK(world.completed() > served);
    }
    THEN("nobody gives up the lead, or a target") {
        CHECK(world.leader() == leader);
        CHECK(world.claims() == claims);
        CHECK(world.host(leader).scheduler().holder().evacuated() == 4);
    }
    THEN("work goes on there once it is taken back") {
        world.evacuate(0, false);
        world.run(in_force_limit);
        CHECK(given.all_know({}));
        CHECK(given.starts(0, seconds{3}) > 0);
        CHECK(world.host(leader).scheduler().holder().evacuated() == 0);
    }
    finish_and_check(world);
}

SCENARIO("What runs in a failure domain when its evacuation begins goes on to its end", "[member][fault][evacuation]") {
    pool_world::options options;
    options.shortest_run = milliseconds{900};
    options.longest_run = milliseconds{1'000};
    options.target_speeds = {1.0};
    options.caller_deadline = milliseconds{4'000};
    options.domains = 1;
    loaded_world given{options};
    auto &world = given.world;
    REQUIRE(world.busy_targets(0) > 0);
    const auto &counts = world.host(world.leader()).scheduler().counts();
    const auto lost = counts.runs_lost;
    const auto served = world.completed();
    world.evacuate(0, true);
    world.run(milliseconds{100});
    REQUIRE(given.all_know({name(0)}));
    CHECK(world.busy_targets(0) > 0);
    CHECK(given.starts(0, seconds{3}) == 0);
    CHECK(world.busy_targets(0) == 0);
    CHECK(counts.runs_lost == lost);
    CHECK(world.completed() > served);
    // Jobs that had begun and whose other tasks find no target wait for their deadline, and their callers ask again.
    world.set_load(0);
    world.run(3 * options.caller_deadline);
    finish_and_check(world);
}

SCENARIO("With all failure domains evacuated every job is refused at once, and work goes on afterwards", "[member][fault][evacuation]") {
    loaded_world given;
    auto &world = given.world;
    for(std::uint32_t domain = 0; domain < 3; ++domain) {
        world.evacuate(domain, true);
    }
    // Until the jobs that had begun have their answers.
    world.run(seconds{3});
    const auto served = world.completed();
    const auto sent = world.sent();
    const auto answered = world.answered();
    for(int count = 0; count < 40; ++count) {
        world.run(milliseconds{100});
        CHECK(world.open() <= 2);
    }
    CHECK(world.sent() > sent);
    CHECK(world.answered() > answered);
    CHECK(world.completed() == served);
    CHECK(given.starts(0, seconds{1}) + given.starts(1, seconds{1}) + given.starts(2, seconds{1}) == 0);

    for(std::uint32_t domain = 0; domain < 3; ++domain) {
        world.evacuate(domain, false);
    }
    world.run(in_force_limit);
    CHECK(given.starts(0, seconds{2}) > 0);
    CHECK(world.completed() > served);
    finish_and_check(world);
}

SCENARIO("A host that the store does not answer learns of an evacuation from other hosts", "[member][fault][evacuation]") {
    GIVEN("a leader") {
        loaded_world given;
        auto &world = given.world;
        const auto leader = world.leader();
        world.mute_store(leader, true);
        world.run(milliseconds{100});
        world.evacuate(0, true);
        world.run(in_force_limit);
        CHECK(world.leader() == leader);
        CHECK(given.starts(0, seconds{4}) == 0);
        THEN("and that it was taken back") {
            world.evacuate(0, false);
            world.run(in_force_limit);
            CHECK(given.starts(0, seconds{3}) > 0);
        }
        finish_and_check(world);
    }
    GIVEN("all hosts but one, which the store answers no longer after that") {
        loaded_world given;
        auto &world = given.world;
        given.mute_all(true);
        constexpr std::size_t informed = 4;
        world.mute_store(informed, false);
        world.run(seconds{3});
        world.evacuate(0, true);
        world.run(milliseconds{100});
        world.mute_store(informed, true);
        world.run(in_force_limit);
        CHECK(given.all_know({name(0)}));
        CHECK(given.starts(0, seconds{4}) == 0);
        THEN("silence is no evidence that it was taken back") {
            CHECK(given.starts(0, seconds{30}) == 0);
            CHECK(given.all_know({name(0)}));
        }
        finish_and_check(world);
    }
    GIVEN("a cell of its own, beside one that the store answers") {
        loaded_world given{two_cells()};
        auto &world = given.world;
        REQUIRE(world.leaders() == 2);
        for(std::size_t host = 3; host < world.hosts(); ++host) {
            world.mute_store(host, true);
        }
        world.run(milliseconds{100});
        world.evacuate(1, true);
        world.run(in_force_limit);
        CHECK(given.all_know({name(1)}));
        CHECK(given.starts(1, seconds{4}) == 0);
        CHECK(given.starts(0, seconds{1}) > 0);
        THEN("it keeps its leader, and works again once that is taken back") {
            CHECK(world.leaders() == 2);
            world.evacuate(1, false);
            world.run(in_force_limit);
            CHECK(given.starts(1, seconds{2}) > 0);
        }
        finish_and_check(world);
    }
}

SCENARIO("An evacuation outlives the hosts that read of it", "[member][fault][evacuation]") {
    loaded_world given;
    auto &world = given.world;
    world.evacuate(0, true);
    world.run(in_force_limit);
    REQUIRE(given.all_know({name(0)}));

    GIVEN("the loss of the leader") {
        world.kill(world.leader());
        CHECK(given.starts(0, seconds{6}) == 0);
        CHECK(given.starts(1, seconds{1}) > 0);
    }
    GIVEN("the loss of the leader while the store is away") {
        given.mute_all(true);
        world.kill(world.leader());
        CHECK(given.starts(0, seconds{6}) == 0);
    }
    GIVEN("a restart of each host in turn, leader or not, while the store is away") {
        given.mute_all(true);
        const auto before = world.starts_in(0);
        for(std::size_t host = 0; host < world.hosts(); ++host) {
            world.kill(host);
            world.run(seconds{1});
            world.start(host);
            world.run(seconds{2});
        }
        CHECK(world.starts_in(0) == before);
        CHECK(given.all_know({name(0)}));
        CHECK(given.starts(1, seconds{1}) > 0);
    }
    GIVEN("hosts that have just started and lead after the loss of the others") {
        given.mute_all(true);
        const auto before = world.starts_in(0);
        for(std::size_t host = 0; host + 1 < world.hosts(); ++host) {
            world.kill(host);
        }
        world.run(milliseconds{300});
        for(std::size_t host = 0; host + 1 < world.hosts(); ++host) {
            world.start(host);
        }
        world.run(milliseconds{700});
        REQUIRE(given.all_know({name(0)}));
        world.kill(world.hosts() - 1);
        world.run(seconds{6});
        CHECK(world.starts_in(0) == before);
    }
    GIVEN("the loss of all hosts") {
        const auto before = world.starts_in(0);
        for(std::size_t host = 0; host < world.hosts(); ++host) {
            world.kill(host);
        }
        world.run(seconds{1});
        for(std::size_t host = 0; host < world.hosts(); ++host) {
            world.start(host);
        }
        world.run(seconds{6});
        CHECK(world.starts_in(0) == before);
        CHECK(given.starts(1, seconds{1}) > 0);
    }
    finish_and_check(world);
}

SCENARIO("A failure domain that is cut off when its evacuation begins learns of it afterwards", "[member][fault][evacuation]") {
    loaded_world given;
    auto &world = given.world;
    const auto cut_off = [&](bool cut) {
        world.cut_domain(2, cut);
        world.mute_store(4, cut);
        world.mute_store(5, cut);
    };
    cut_off(true);
    world.run(seconds{2});
    world.evacuate(2, true);
    world.run(seconds{6});
    cut_off(false);
    world.run(in_force_limit);
    CHECK(given.all_know({name(2)}));
    CHECK(given.starts(2, seconds{6}) == 0);
    finish_and_check(world);
}

SCENARIO("Requests that came and went while the store forgot its history are known from what it kept", "[member][fault][evacuation]") {
    loaded_world given;
    auto &world = given.world;
    world.evacuate(0, true);
    world.run(in_force_limit);
    given.mute_all(true);
    world.evacuate(0, false);
    world.evacuate(1, true);
    world.publish_config();
    world.compact_config();
    world.run(seconds{1});
    CHECK(given.all_know({name(0)}));
    given.mute_all(false);
    world.run(seconds{4});
    CHECK(given.all_know({name(1)}));
    CHECK(given.starts(0, seconds{2}) > 0);
    CHECK(given.starts(1, seconds{2}) == 0);
    finish_and_check(world);
}

SCENARIO("Records of operators that name no failure domain, or an unknown one, change nothing", "[member][fault][evacuation]") {
    loaded_world given;
    auto &world = given.world;
    GIVEN("a key without a name") {
        world.store_record("evacuate/", "{}");
        world.run(in_force_limit);
        CHECK(given.all_know({}));
    }
    GIVEN("a name longer than any") {
        world.store_record("evacuate/" + std::string(evacuation::max_domain_name + 1, 'x'), "{}");
        world.run(in_force_limit);
        CHECK(given.all_know({}));
    }
    GIVEN("a key of another kind") {
        world.store_record("evacuated/d0", "{}");
        world.run(in_force_limit);
        CHECK(given.all_know({}));
    }
    GIVEN("a failure domain without targets") {
        world.store_record("evacuate/elsewhere", "{}");
        world.run(in_force_limit);
        CHECK(given.all_know({failure_domain_id{"elsewhere"}}));
    }
    GIVEN("a removal of what was never requested") {
        world.store_record("evacuate/d0", std::nullopt);
        world.run(in_force_limit);
        CHECK(given.all_know({}));
    }
    for(std::uint32_t domain = 0; domain < 3; ++domain) {
        CHECK(given.starts(domain, seconds{1}) > 0);
    }
    finish_and_check(world);
}

SCENARIO("A request counts by its key, whatever its value", "[member][fault][evacuation]") {
    loaded_world given;
    auto &world = given.world;
    world.store_record("evacuate/d0", "\xff not a document");
    world.run(in_force_limit);
    CHECK(given.all_know({name(0)}));
    CHECK(given.starts(0, seconds{2}) == 0);
    finish_and_check(world);
}
