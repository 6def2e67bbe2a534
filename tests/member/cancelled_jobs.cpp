#include "support/pool_world.hpp"
#include "support/seeds.hpp"

#include "heathermoor/core/log.hpp"
#include "heathermoor/lock/home_map.hpp"
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <fmt/ranges.h>

using namespace heathermoor;
using gateway::cancel_result;
using test::pool_world;

namespace {

constexpr std::uint32_t domains = 2;
constexpr std::uint32_t hosts_per_domain = 3;

/// Time in which the runs of a cancelled job have ended, once that is acknowledged.
constexpr milliseconds stop_time{100};

/// Time until which a late copy of a request may come, with the run that it would start.
constexpr seconds long_after{4};

[[nodiscard]] pool_world::options long_jobs(std::uint64_t seed) {
    pool_world::options options;
    options.domains = domains;
    options.hosts_per_domain = hosts_per_domain;
    options.targets_per_domain = 45;
    options.shortest_run = seconds{4};
    options.longest_run = seconds{6};
    options.caller_deadline = milliseconds{12'000};
    options.seed = seed;
    return options;
}

void set_chosen_log_level() {
    set_log_level(std::getenv("HEATHERMOOR_DEBUG") != nullptr ? log_level::debug : log_level::error);
}

/// Two failure domains with a leader each.
struct two_cells {
    explicit two_cells(std::uint64_t seed = 1) : world{long_jobs(seed)} {
        set_chosen_log_level();
        world.run(seconds{3});
        REQUIRE(world.leaders() == domains);
        homes.set_cells(world.host(0).cells().all(), time_point{});
    }

    /// Host that leads a failure domain.
    [[nodiscard]] std::size_t leader_of(std::uint32_t domain) {
        for(std::size_t host = domain * hosts_per_domain; host < (domain + 1) * hosts_per_domain; ++host) {
            if(world.host(host).leading()) {
                return host;
            }
        }
        FAIL("no leader");
        return 0;
    }

    /// Host that follows the leader of its failure domain.
    [[nodiscard]] std::size_t follower_of(std::uint32_t domain, std::size_t choice = 0) {
        const auto leader = leader_of(domain);
        std::vector<std::size_t> followers;
        for(std::size_t host = domain * hosts_per_domain; host < (domain + 1) * hosts_per_domain; ++host) {
            if(host != leader) {
                followers.push_back(host);
            }
        }
        return followers.at(choice);
    }

    /// New job whose home is the cell of a failure domain.
    [[nodiscard]] job_id job_at_home_in(std::uint32_t domain) {
        const auto wanted = failure_domain_id{fmt::format("d{}", domain)};
        for(;;) {
            const job_id id{fmt::format("{:016x}", next_job++)};
            if(homes.of(id, time_point{}).front().domain == wanted) {
                return id;
            }
        }
    }

    void check_promises() {
        INFO(fmt::format("{}", fmt::join(world.violations(), "\n")));
        CHECK(world.violations().empty());
        CHECK(world.open() == 0);
    }

    /// Checks that a request to cancel has an answer, that the job is at rest, and that copies of its request start nothing.
    void check_cancelled(std::uint64_t request, const job_id &id, cancel_result expected = cancel_result::cancelled) {
        REQUIRE(world.cancel_answer(request).has_value());
        CHECK(*world.cancel_answer(request) == expected);
        world.run(stop_time);
        CHECK(world.runs_of(id) == 0);
        check_copies(id);
    }

    void check_copies(const job_id &id) {
        const auto started = world.starts_of(id);
        for(std::size_t host = 0; host < world.hosts(); ++host) {
            world.run(milliseconds{500});
            world.send_copy_to(host, id);
        }
        world.run(long_after);
        CHECK(world.starts_of(id) == started);
        check_promises();
    }

    pool_world world;
    lock::home_map homes;
    std::uint64_t next_job{0x1000};
};

} // namespace

// Guards against a cancelling that is known only to the host that has the caller's first request.
SCENARIO("A request to cancel a job holds everywhere, whichever host gets it", "[member][cancel]") {
    const auto home = GENERATE(0U, 1U);
    GIVEN(fmt::format("a job that runs in failure domain 0, with its home in domain {}", home)) {
        two_cells cells;
        auto &world = cells.world;
        const auto id = cells.job_at_home_in(home);
        const auto gateway = cells.follower_of(0);
        world.send_job_to(gateway, id);
        world.run(seconds{1});
        REQUIRE(world.runs_of(id) > 0);
        WHEN("the host that has the job's caller gets it") {
            const auto request = world.cancel_at(gateway, id);
            world.run(milliseconds{200});
            THEN("the job is stopped, and late copies start nothing") {
                cells.check_cancelled(request, id);
            }
        }
        WHEN("another host of the cell gets it") {
            const auto request = world.cancel_at(cells.follower_of(0, 1), id);
            world.run(milliseconds{200});
            THEN("the job is stopped, and late copies start nothing") {
                cells.check_cancelled(request, id);
            }
        }
        WHEN("the leader of the cell gets it") {
            const auto request = world.cancel_at(cells.leader_of(0), id);
            world.run(milliseconds{200});
            THEN("the job is stopped, and late copies start nothing") {
                cells.check_cancelled(request, id);
            }
        }
        WHEN("a host of the other cell gets it") {
            const auto request = world.cancel_at(cells.follower_of(1), id);
            world.run(milliseconds{200});
            THEN("the job is stopped, and late copies start nothing") {
                cells.check_cancelled(request, id);
                CHECK(world.cancel_time(request) <= milliseconds{100});
            }
        }
        WHEN("the leader of the other cell gets it") {
            const auto request = world.cancel_at(cells.leader_of(1), id);
            world.run(milliseconds{200});
            THEN("the job is stopped, and late copies start nothing") {
                cells.check_cancelled(request, id);
            }
        }
        WHEN("both cells have the job, one of them waiting for its lock, and either gets it") {
            world.send_copy_to(cells.follower_of(1), id);
            world.run(milliseconds{200});
            const auto request = world.cancel_at(GENERATE(0U, 1U) == 0 ? gateway : cells.follower_of(1), id);
            world.run(milliseconds{200});
            THEN("neither goes on with it") {
                cells.check_cancelled(request, id);
            }
        }
        WHEN("it is repeated") {
            const auto first = world.cancel_at(cells.follower_of(1), id);
            world.run(milliseconds{100});
            const auto second = world.cancel_at(gateway, id);
            world.run(milliseconds{100});
            THEN("it has the same answer") {
                CHECK(world.cancel_answer(first) == cancel_result::cancelled);
                cells.check_cancelled(second, id);
            }
        }
        WHEN("it comes when the job has ended") {
            world.run(seconds{8});
            const auto request = world.cancel_at(cells.follower_of(1), id);
            world.run(milliseconds{200});
            THEN("there is no such job, and late copies start nothing") {
                cells.check_cancelled(request, id, cancel_result::not_found);
            }
        }
    }
}

SCENARIO("A request to cancel a job that no host knows yet keeps it from starting", "[member][cancel]") {
    const auto home = GENERATE(0U, 1U);
    GIVEN(fmt::format("an unknown job with its home in domain {}", home)) {
        two_cells cells;
        const auto id = cells.job_at_home_in(home);
        const auto request = cells.world.cancel_at(cells.follower_of(0), id);
        cells.world.run(milliseconds{200});
        THEN("no such job exists, and none of its requests starts anything, also after seconds") {
            CHECK(cells.world.cancel_answer(request) == cancel_result::not_found);
            cells.check_copies(id);
            cells.world.run(seconds{15});
            cells.check_copies(id);
            CHECK(cells.world.starts_of(id) == 0);
        }
    }
}

SCENARIO("A cancelling is passed on until it is confirmed", "[member][cancel][fault]") {
    const auto home = GENERATE(0U, 1U);
    GIVEN(fmt::format("a job that runs in failure domain 0, with its home in domain {}", home)) {
        two_cells cells;
        auto &world = cells.world;
        const auto id = cells.job_at_home_in(home);
        const auto gateway = cells.follower_of(0);
        world.send_job_to(gateway, id);
        world.run(seconds{1});
        REQUIRE(world.runs_of(id) > 0);
        WHEN("the messages of the leader that has the job are lost for a moment") {
            world.cut_host(cells.leader_of(0), true);
            const auto request = world.cancel_at(GENERATE(0U, 1U) == 0 ? gateway : cells.follower_of(1), id);
            world.run(milliseconds{70});
            world.cut_host(cells.leader_of(0), false);
            world.run(milliseconds{500});
            THEN("the job is stopped") {
                cells.check_cancelled(request, id);
            }
        }
        WHEN("the messages of the leader of the other cell are lost for a moment") {
            world.cut_host(cells.leader_of(1), true);
            const auto request = world.cancel_at(cells.follower_of(1), id);
            world.run(milliseconds{70});
            world.cut_host(cells.leader_of(1), false);
            world.run(milliseconds{500});
            THEN("the job is stopped") {
                cells.check_cancelled(request, id);
            }
        }
        WHEN("the leader that has the job ends before it is told") {
            world.kill(cells.leader_of(0));
            const auto request = world.cancel_at(cells.follower_of(1), id);
            world.run(seconds{3});
            THEN("the next leader does not go on with it") {
                REQUIRE(world.cancel_answer(request).has_value());
                CHECK(world.runs_of(id) == 0);
                world.run(long_after);
                cells.check_promises();
            }
        }
        WHEN("the leader to which the caller's host passes it ends at once") {
            const auto request = world.cancel_at(cells.follower_of(1), id);
            world.kill(cells.leader_of(1));
            world.run(seconds{3});
            THEN("the next leader passes it on") {
                REQUIRE(world.cancel_answer(request).has_value());
                CHECK(*world.cancel_answer(request) == cancel_result::cancelled);
                CHECK(world.runs_of(id) == 0);
                cells.check_promises();
            }
        }
        WHEN("each leader in turn ends after it has been acknowledged") {
            const auto request = world.cancel_at(cells.follower_of(1), id);
            world.run(milliseconds{200});
            CHECK(world.cancel_answer(request) == cancel_result::cancelled);
            for(std::uint32_t domain = 0; domain < domains; ++domain) {
                const auto leader = cells.leader_of(domain);
                world.kill(leader);
                world.run(seconds{2});
                world.start(leader);
                world.run(seconds{1});
            }
            THEN("late copies start nothing") {
                cells.check_copies(id);
            }
        }
        WHEN("the host that got it ends after it has been acknowledged") {
            const auto asked = cells.follower_of(1);
            const auto request = world.cancel_at(asked, id);
            world.run(milliseconds{200});
            CHECK(world.cancel_answer(request) == cancel_result::cancelled);
            world.kill(asked);
            world.run(seconds{2});
            world.start(asked);
            world.run(seconds{1});
            THEN("late copies start nothing") {
                cells.check_copies(id);
            }
        }
    }
}

SCENARIO("A cancelling is not acknowledged while a job's home is away", "[member][cancel][fault]") {
    GIVEN("a job that runs in failure domain 0, with its home in domain 1, which is cut off") {
        two_cells cells;
        auto &world = cells.world;
        const auto id = cells.job_at_home_in(1);
        const auto gateway = cells.follower_of(0);
        world.send_job_to(gateway, id);
        world.run(seconds{1});
        REQUIRE(world.runs_of(id) > 0);
        world.cut_domain(1, true);
        const auto request = world.cancel_at(gateway, id);
        world.run(milliseconds{100});
        THEN("the cell stops the job at once, and the caller is told in time that it is not confirmed") {
            CHECK(world.runs_of(id) == 0);
            CHECK(!world.cancel_answer(request).has_value());
            world.run(seconds{2});
            CHECK(world.cancel_answer(request) == cancel_result::unknown);
        }
        WHEN("it is repeated and the home comes back") {
            world.run(seconds{2});
            const auto second = world.cancel_at(gateway, id);
            world.run(milliseconds{500});
            world.cut_domain(1, false);
            world.run(milliseconds{1'500});
            THEN("it is acknowledged, and late copies start nothing") {
                cells.check_cancelled(second, id);
            }
        }
        WHEN("the home comes back later") {
            world.run(seconds{3});
            world.cut_domain(1, false);
            world.run(seconds{3});
            THEN("late copies start nothing") {
                cells.check_copies(id);
            }
        }
    }
}

SCENARIO("Many jobs are cancelled at once", "[member][cancel]") {
    GIVEN("jobs in both cells") {
        two_cells cells;
        auto &world = cells.world;
        constexpr std::size_t jobs = 60;
        std::vector<job_id> ids;
        for(std::size_t job = 0; job < jobs; ++job) {
            ids.push_back(cells.job_at_home_in(job % 4 < 2 ? 0 : 1));
            world.send_job_to(job % world.hosts(), ids.back());
        }
        world.run(seconds{1});
        WHEN("all are cancelled through hosts drawn at random") {
            std::mt19937_64 random{1};
            std::vector<std::uint64_t> requests;
            for(const auto &id: ids) {
                requests.push_back(world.cancel_at(random() % world.hosts(), id));
            }
            world.run(milliseconds{300});
            THEN("each is acknowledged and stopped, and late copies start nothing") {
                for(const auto request: requests) {
                    CHECK(world.cancel_answer(request) == cancel_result::cancelled);
                }
                for(const auto &id: ids) {
                    CHECK(world.runs_of(id) == 0);
                    world.send_copy_to(random() % world.hosts(), id);
                }
                world.run(long_after);
                for(const auto &id: ids) {
                    CHECK(world.runs_of(id) == 0);
                }
                cells.check_promises();
            }
        }
    }
}

SCENARIO("Cancelled jobs stay cancelled while hosts fail and messages are late", "[member][cancel][fault]") {
    const auto seed = GENERATE(from_range(test::chosen_seeds(12)));
    GIVEN(fmt::format("messages that are late, a host that freezes and one that ends, seed {}", seed)) {
        two_cells cells{seed};
        auto &world = cells.world;
        std::mt19937_64 random{seed};
        std::vector<std::pair<std::uint64_t, job_id>> requests;
        const auto any_host = [&] { return static_cast<std::size_t>(random() % world.hosts()); };
        const auto frozen = any_host();
        const auto ended = any_host();
        for(int count = 0; count < 30; ++count) {
            const auto id = cells.job_at_home_in(static_cast<std::uint32_t>(random() % domains));
            world.send_job_to(any_host(), id);
            world.run(milliseconds{random() % 60});
            world.delay_connections(0.5, milliseconds{random() % 40});
            requests.emplace_back(world.cancel_at(any_host(), id), id);
            world.run(milliseconds{random() % 60});
            if(count == 10) {
                world.freeze(frozen, milliseconds{random() % 300});
            }
            if(count == 20) {
                world.kill(ended);
            }
        }
        world.run(seconds{3});
        world.start(ended);
        for(const auto &[request, id]: requests) {
            world.send_copy_to(any_host(), id);
            world.run(milliseconds{100});
        }
        world.run(seconds{8});
        THEN("no task is started after the acknowledgement, and all callers are answered") {
            cells.check_promises();
            std::size_t acknowledged = 0;
            for(const auto &[request, id]: requests) {
                const auto answer = world.cancel_answer(request);
                acknowledged += answer && *answer != cancel_result::unknown ? 1 : 0;
                if(answer && *answer != cancel_result::unknown) {
                    CHECK(world.runs_of(id) == 0);
                }
            }
            CHECK(acknowledged > requests.size() / 2);
        }
    }
}
