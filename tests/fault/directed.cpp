#include "support/virtual_system.hpp"
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace heathermoor;
using namespace heathermoor::test;

namespace {

/// Starts hosts n1 to n3 in one failure domain and s1 in another, each with a target, and waits until they serve.
void settle(virtual_system &system) {
    for(const auto *name: {"n1", "n2", "n3", "s1"}) {
        const std::string domain = name[0] == 'n' ? "north" : "south";
        system.start_host(name, domain);
        system.add_target(std::string{"t-"} + name, domain, 64);
    }
    publish_example(system);
    REQUIRE(system.run_until([&] { return system.settled(); }, seconds{20}));
    system.run_for(seconds{5});
}

void check_guarantees(const virtual_system &system) {
    for(const auto &line: system.violated_guarantees()) {
        FAIL_CHECK(line);
    }
}

} // namespace

// Guards against a second run of an id that only a witness recorded: the log was down, so the journal lacks the id, and a
// claimant that asks no other peer admits the resubmission as new.
TEST_CASE("A claimant collects admitted ids from its peers, not only from itself and the journal", "[fault][directed]") {
    for(std::uint64_t seed = 1; seed <= 5; ++seed) {
        virtual_system system{seed};
        settle(system);
        GIVEN(fmt::format("submissions that no journal holds yet when their owner is killed, seed {}", seed)) {
            for(const auto *victim: {"n2", "n3"}) {
                system.log_outage = true;
                for(auto index = 0; index < 80; ++index) {
                    system.submit("s1", submission_id{fmt::format("ds1.north.{}-{}", victim, index)}, 1, seconds{8}, 400.0);
                }
                system.run_for(milliseconds{20});
                system.kill_host(victim);
                system.log_outage = false;
                system.run_for(seconds{6});
                for(auto index = 0; index < 80; ++index) {
                    system.submit("s1", submission_id{fmt::format("ds1.north.{}-{}", victim, index)}, 1, seconds{4}, 400.0);
                }
                system.run_for(seconds{9});
            }
            THEN("none of them runs again") {
                check_guarantees(system);
            }
        }
    }
}

// Guards against two owners at once: a peer that no longer hears a live owner claims its partitions and starts to serve
// before the owner's lease has expired.
TEST_CASE("A claimant waits until the previous owner's lease has expired", "[fault][directed]") {
    for(std::uint64_t seed = 1; seed <= 5; ++seed) {
        virtual_system system{seed};
        settle(system);
        GIVEN(fmt::format("an owner that is cut off from one peer, under steady submissions, seed {}", seed)) {
            system.cut_hosts("n1", "n2", true);
            for(auto index = 0; index < 2'000; ++index) {
                system.submit("n1", submission_id{fmt::format("ds1.north.steady-{}", index)}, 1, seconds{6}, 30.0);
                system.run_for(milliseconds{2});
                if(index >= 60) {
                    system.submit("n2", submission_id{fmt::format("ds1.north.steady-{}", index - 60)}, 1, seconds{6}, 30.0);
                }
            }
            system.run_for(seconds{12});
            THEN("no submission runs at both hosts") {
                check_guarantees(system);
            }
        }
    }
}

// Guards against a result of a task that the previous process placed and that matches a job of the new one, because the job
// handles of both count from the same number.
TEST_CASE("A restarted host accepts no answer that was meant for its previous process", "[fault][directed]") {
    virtual_system system{1};
    settle(system);
    GIVEN("a host that is restarted at once while its tasks run") {
        for(auto index = 0; index < 40; ++index) {
            system.submit("n1", system.issue_id("n1"), 1, seconds{8}, 1'500.0);
        }
        system.run_for(milliseconds{100});
        system.kill_host("n1");
        system.start_host("n1", "north");
        system.run_for(milliseconds{700});
        for(auto index = 0; index < 40; ++index) {
            system.submit("n1", system.issue_id("n1"), 1, seconds{8}, 2'500.0);
        }
        system.run_for(seconds{12});
        THEN("every caller gets the answer to its own request") {
            check_guarantees(system);
        }
    }
}
