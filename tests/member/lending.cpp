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
constexpr std::uint32_t targets_per_domain = 45;

/// Jobs a second over all domains: with the crest, half as much again as the targets of the first domain can run.
constexpr double crest_load = 260.0;
constexpr double crest_share = 0.5;

/// Jobs a second that fill the targets of all domains.
constexpr double full_load = 420.0;

[[nodiscard]] pool_world::options three_domains(std::uint64_t seed) {
    set_log_level(std::getenv("HEATHERMOOR_DEBUG") != nullptr ? log_level::debug : log_level::error);
    pool_world::options options;
    options.domains = 3;
    options.hosts_per_domain = hosts_per_domain;
    options.targets_per_domain = targets_per_domain;
    options.lending = true;
    options.crest = crest_share;
    options.seed = seed;
    return options;
}

/// Leader of a domain's cell.
[[nodiscard]] std::size_t leader_of(pool_world &world, std::uint32_t domain) {
    for(std::size_t host = domain * hosts_per_domain; host < (domain + 1) * hosts_per_domain; ++host) {
        if(world.host(host).leading()) {
            return host;
        }
    }
    return domain * hosts_per_domain;
}

/// Jobs lent by the leaders of a domain, whose hosts all run.
[[nodiscard]] std::uint64_t lent_by(pool_world &world, std::uint32_t domain) {
    std::uint64_t sum = 0;
    for(std::size_t host = domain * hosts_per_domain; host < (domain + 1) * hosts_per_domain; ++host) {
        sum += world.host(host).lent().loans.counts().lent;
    }
    return sum;
}

[[nodiscard]] std::uint64_t borrowed_by(pool_world &world, std::uint32_t domain) {
    std::uint64_t sum = 0;
    for(std::size_t host = domain * hosts_per_domain; host < (domain + 1) * hosts_per_domain; ++host) {
        sum += world.host(host).lent().borrowed.counts().borrowed;
    }
    return sum;
}

void check_promises(pool_world &world) {
    world.set_load(0);
    world.run(seconds{10});
    INFO(fmt::format("{}", fmt::join(world.violations(), "\n")));
    CHECK(world.violations().empty());
    CHECK(world.open() == 0);
    CHECK(world.completed() > 0);
}

[[nodiscard]] double completed_share(const pool_world &world) {
    return static_cast<double>(world.completed()) / static_cast<double>(world.sent());
}

} // namespace

SCENARIO("A crest in one failure domain is served by the others", "[member][fault][lending]") {
    GIVEN("three failure domains, the first of which gets two thirds of the requests") {
        auto options = three_domains(1);
        const auto play = [](const pool_world::options &chosen) {
            pool_world world{chosen};
            world.run(seconds{3});
            REQUIRE(world.leaders() == 3);
            world.set_load(crest_load);
            world.run(seconds{8});
            const auto lent = lent_by(world, 0);
            const auto borrowed = borrowed_by(world, 1) + borrowed_by(world, 2);
            check_promises(world);
            return std::tuple{completed_share(world), lent, borrowed};
        };
        const auto [share, lent, borrowed] = play(options);
        THEN("jobs that it cannot start in time run elsewhere, and more are served than without lending") {
            CHECK(lent > 0);
            CHECK(borrowed > lent / 2);
            options.lending = false;
            const auto [share_alone, lent_alone, borrowed_alone] = play(options);
            CHECK(lent_alone == 0);
            CHECK(borrowed_alone == 0);
            INFO(fmt::format("completed {} with lending, {} without; lent {}, borrowed {}", share, share_alone, lent, borrowed));
            CHECK(share > share_alone);
        }
    }
}

SCENARIO("Failure domains that are all as full lend next to nothing", "[member][fault][lending]") {
    GIVEN("three failure domains with more work each than their targets can do") {
        auto options = three_domains(2);
        options.crest = 0;
        pool_world world{options};
        world.run(seconds{3});
        world.set_load(full_load);
        world.run(seconds{8});
        THEN("no job goes to and fro, and every caller is answered") {
            const auto lent = lent_by(world, 0) + lent_by(world, 1) + lent_by(world, 2);
            INFO(fmt::format("lent {} of {}", lent, world.sent()));
            CHECK(lent * 20 < world.sent());
            check_promises(world);
        }
    }
}

SCENARIO("A failure domain without a target that answers is served by the others", "[member][fault][lending]") {
    GIVEN("three failure domains at a moderate load") {
        auto options = three_domains(3);
        options.crest = 0;
        pool_world world{options};
        world.run(seconds{3});
        world.set_load(crest_load / 2);
        world.run(seconds{2});
        WHEN("no host reaches the targets of the first one any more") {
            for(std::size_t target = 0; target < targets_per_domain; ++target) {
                world.cut_target(target, true);
            }
            world.run(seconds{2});
            const auto before = lent_by(world, 0);
            world.run(seconds{5});
            THEN("its jobs are lent") {
                CHECK(lent_by(world, 0) > before + 50);
                check_promises(world);
            }
        }
    }
}

SCENARIO("Lending survives one failure", "[member][fault][lending]") {
    const auto seed = GENERATE(from_range(test::chosen_seeds(4)));
    GIVEN(fmt::format("a crest of which a part is lent, seed {}", seed)) {
        pool_world world{three_domains(seed)};
        world.run(seconds{3});
        world.set_load(crest_load);
        world.run(seconds{2});
        REQUIRE(lent_by(world, 0) > 0);
        const auto lender = leader_of(world, 0);
        const auto borrower = leader_of(world, 1);
        WHEN("the lender ends") {
            world.kill(lender);
            world.run(milliseconds{700});
            world.start(lender);
            world.run(seconds{3});
            THEN("no task runs twice at the same time, and every caller is answered") {
                check_promises(world);
            }
        }
        WHEN("a borrower ends") {
            world.kill(borrower);
            world.run(milliseconds{700});
            world.start(borrower);
            world.run(seconds{3});
            THEN("no task runs twice at the same time, and every caller is answered") {
                check_promises(world);
            }
        }
        WHEN("the lender stops in order") {
            world.stop_gracefully(lender);
            world.run(seconds{5});
            THEN("no task runs twice at the same time, and every caller is answered") {
                check_promises(world);
            }
        }
        WHEN("a borrower stops in order") {
            world.stop_gracefully(borrower);
            world.run(seconds{5});
            THEN("no task runs twice at the same time, and every caller is answered") {
                check_promises(world);
            }
        }
        WHEN("the lender is suspended") {
            world.freeze(lender, milliseconds{900});
            world.run(seconds{3});
            THEN("no task runs twice at the same time, and every caller is answered") {
                check_promises(world);
            }
        }
        WHEN("a borrower is suspended") {
            world.freeze(borrower, milliseconds{900});
            world.run(seconds{3});
            THEN("no task runs twice at the same time, and every caller is answered") {
                check_promises(world);
            }
        }
        WHEN("the lender's failure domain is cut off") {
            world.cut_domain(0, true);
            world.run(seconds{3});
            world.cut_domain(0, false);
            world.run(seconds{2});
            THEN("no task runs twice at the same time, and every caller is answered") {
                check_promises(world);
            }
        }
        WHEN("a borrower's failure domain is cut off") {
            world.cut_domain(1, true);
            world.run(seconds{3});
            world.cut_domain(1, false);
            world.run(seconds{2});
            THEN("no task runs twice at the same time, and every caller is answered") {
                check_promises(world);
            }
        }
        WHEN("the lender loses all its connections to other hosts") {
            world.cut_host(lender, true);
            world.run(seconds{2});
            world.cut_host(lender, false);
            world.run(seconds{2});
            THEN("no task runs twice at the same time, and every caller is answered") {
                check_promises(world);
            }
        }
        WHEN("half of the messages between hosts are late") {
            world.delay_connections(0.5, milliseconds{300});
            world.run(seconds{3});
            THEN("no task runs twice at the same time, and every caller is answered") {
                check_promises(world);
            }
        }
        WHEN("half of the connections are silent") {
            world.silence_connections(0.5);
            world.run(seconds{3});
            THEN("no task runs twice at the same time, and every caller is answered") {
                check_promises(world);
            }
        }
    }
}

SCENARIO("Requests that are repeated while jobs are lent run once", "[member][fault][lending]") {
    const auto seed = GENERATE(from_range(test::chosen_seeds(4)));
    GIVEN(fmt::format("a crest, and callers that send every request twice, to any host, seed {}", seed)) {
        auto options = three_domains(seed);
        options.repeated = 1.0;
        options.latest_repeat = milliseconds{800};
        options.latest_break = milliseconds{900};
        pool_world world{options};
        world.run(seconds{3});
        world.set_load(crest_load);
        world.run(seconds{6});
        THEN("no task runs twice at the same time, and every caller is answered") {
            CHECK(lent_by(world, 0) > 0);
            check_promises(world);
        }
    }
}

// Guards against a second run after a change of leader: the home had two leaders, and the next leader asked the one that knew of no lock.
SCENARIO("No task runs twice while hosts fail at any time and jobs are lent", "[member][fault][lending]") {
    const auto seed = GENERATE(from_range(test::chosen_seeds(20)));
    GIVEN(fmt::format("a crest, and hosts that are killed, stopped, suspended, cut off or heard late, seed {}", seed)) {
        pool_world world{three_domains(seed)};
        world.run(seconds{3});
        world.set_load(crest_load);
        std::mt19937_64 random{seed};
        for(int count = 0; count < 8; ++count) {
            const auto host = static_cast<std::size_t>(random() % world.hosts());
            const auto domain = static_cast<std::uint32_t>(random() % 3);
            switch(random() % 7) {
            case 0:
                world.kill(host);
                break;
            case 1:
                world.stop_gracefully(host);
                break;
            case 2:
                world.freeze(host, milliseconds{100 + random() % 1'200});
                break;
            case 3:
                world.cut_domain(domain, true);
                world.run(milliseconds{200 + random() % 1'500});
                world.cut_domain(domain, false);
                break;
            case 4:
                world.cut_host(host, true);
                world.run(milliseconds{200 + random() % 1'500});
                world.cut_host(host, false);
                break;
            case 5:
                world.delay_connections(0.5, milliseconds{50 + random() % 500});
                break;
            default:
                world.silence_connections(0.4);
                break;
            }
            world.run(milliseconds{200 + random() % 900});
            for(std::size_t other = 0; other < world.hosts(); ++other) {
                world.start(other);
            }
        }
        THEN("no task runs twice at the same time, and every caller is answered") {
            check_promises(world);
        }
    }
}
