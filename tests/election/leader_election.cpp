#include "heathermoor/election/leader_election.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <string>

using namespace heathermoor;
using election::leader_election;
using election::peer_state;

namespace {

constexpr milliseconds heartbeat_interval{100};

/// Hosts that receive each other's heartbeats without delay.
struct host_group {
    void start(const std::string &name, std::uint32_t millicores = 0) {
        peer_state self;
        self.id = host_id{name};
        self.millicores = millicores;
        hosts.emplace(name, leader_election{self, now});
    }

    /// Advances the time in steps of a quarter of the heartbeat interval.
    void advance(milliseconds length) {
        for(const auto end = now + length; now < end; now += heartbeat_interval / 4) {
            for(auto &[name, one]: hosts) {
                (void)one.decide(now);
                for(auto &[other, receiver]: hosts) {
                    receiver.heartbeat_received(one.self(), now);
                }
            }
        }
    }

    [[nodiscard]] std::vector<std::string> leaders() const {
        std::vector<std::string> result;
        for(const auto &[name, one]: hosts) {
            if(one.self().leading) {
                result.push_back(name);
            }
        }
        return result;
    }

    time_point now{seconds{100}};
    std::map<std::string, leader_election> hosts;
};

} // namespace

SCENARIO("Hosts that start one after the other after a power loss soon have one leader", "[election]") {
    host_group group;
    group.start("c");
    group.advance(milliseconds{300});
    group.start("b");
    group.advance(milliseconds{150});
    group.start("a");
    GIVEN("the first host has finished listening and the others have just started") {
        group.advance(milliseconds{150});
        THEN("it leads without waiting for hosts that still listen") {
            CHECK(group.leaders() == std::vector<std::string>{"c"});
        }
        THEN("it remains leader when the others have finished listening") {
            group.advance(seconds{2});
            CHECK(group.leaders() == std::vector<std::string>{"c"});
        }
    }
}

SCENARIO("A host that starts beside a leader follows it", "[election]") {
    host_group group;
    group.start("b");
    group.advance(seconds{1});
    REQUIRE(group.leaders() == std::vector<std::string>{"b"});
    group.start("a");
    group.advance(seconds{2});
    CHECK(group.leaders() == std::vector<std::string>{"b"});
}

// Guards against a leader that is too small: a host of 0.09 core led hosts of 0.5 core, and a seventh of its callers were served.
SCENARIO("The largest host leads", "[election]") {
    host_group group;
    GIVEN("hosts that start together") {
        group.start("a", 90);
        group.start("b", 500);
        group.start("c", 300);
        group.advance(seconds{2});
        THEN("the largest leads, whatever its name") {
            CHECK(group.leaders() == std::vector<std::string>{"b"});
        }
    }
    GIVEN("a small leader that a much larger host joins") {
        group.start("a", 90);
        group.advance(seconds{1});
        REQUIRE(group.leaders() == std::vector<std::string>{"a"});
        group.start("b", 500);
        WHEN("the larger one has been present for some time") {
            group.advance(seconds{4});
            THEN("it has become leader and remains so") {
                CHECK(group.leaders() == std::vector<std::string>{"b"});
                group.advance(seconds{10});
                CHECK(group.leaders() == std::vector<std::string>{"b"});
            }
        }
        WHEN("it has only just joined") {
            group.advance(seconds{1});
            THEN("the leader does not change") {
                CHECK(group.leaders() == std::vector<std::string>{"a"});
            }
        }
    }
    GIVEN("hosts whose size is not known") {
        group.start("b");
        group.advance(seconds{1});
        group.start("a");
        group.advance(seconds{6});
        THEN("the leader does not change") {
            CHECK(group.leaders() == std::vector<std::string>{"b"});
        }
    }
    GIVEN("a leader beside a host that is not much larger") {
        group.start("a", 300);
        group.advance(seconds{1});
        group.start("b", 500);
        group.advance(seconds{6});
        THEN("the leader does not change") {
            CHECK(group.leaders() == std::vector<std::string>{"a"});
        }
    }
}

// Guards against a second leader: a host whose own timer was late took all others for dead and started to lead.
SCENARIO("A host whose own timer is late does not take the others for dead", "[election]") {
    time_point now{seconds{100}};
    peer_state self;
    self.id = host_id{"a"};
    leader_election late{self, now};
    peer_state leader;
    leader.id = host_id{"b"};
    leader.leading = true;
    for(int count = 0; count < 10; ++count) {
        now += heartbeat_interval;
        late.heartbeat_received(leader, now);
        (void)late.decide(now);
    }
    REQUIRE(late.decide(now) == host_id{"b"});
    GIVEN("no heartbeat was read because its own timer was late by as much") {
        now += milliseconds{600};
        late.self().timer_lag = milliseconds{590};
        THEN("the leader stays") {
            CHECK(late.decide(now) == host_id{"b"});
        }
    }
    GIVEN("no heartbeat came though its own timer was punctual") {
        now += milliseconds{600};
        THEN("the leader is gone") {
            CHECK(late.decide(now) != host_id{"b"});
        }
    }
    GIVEN("a timer delay above the maximum allowance") {
        now += seconds{5};
        late.self().timer_lag = seconds{5};
        THEN("the leader is gone") {
            CHECK(late.decide(now) != host_id{"b"});
        }
    }
}

// Guards against two leaders that hear each other and both stay: each counts the other's leading time as of its last heartbeat, so that
// either takes itself for the better one if their times differ by about the margin.
SCENARIO("Of two leaders that meet, one stays", "[election]") {
    const auto apart = GENERATE(range(500, 1'500, 25));
    GIVEN("two hosts that took the lead apart from each other, " + std::to_string(apart) + " ms one after the other") {
        time_point now{seconds{100}};
        peer_state older_state;
        older_state.id = host_id{"b"};
        peer_state newer_state;
        newer_state.id = host_id{"a"};
        leader_election older{older_state, now};
        leader_election newer{newer_state, now + milliseconds{apart}};
        const auto lead_apart = [&](milliseconds length) {
            for(const auto end = now + length; now < end; now += milliseconds{5}) {
                (void)older.decide(now);
                (void)newer.decide(now);
            }
        };
        lead_apart(milliseconds{apart + 2'000});
        REQUIRE(older.self().leading);
        REQUIRE(newer.self().leading);
        WHEN("they hear each other, in heartbeats that are up to 125 ms old") {
            for(int count = 0; count < 40; ++count) {
                const auto from_older = older.self();
                const auto from_newer = newer.self();
                now += milliseconds{25};
                older.heartbeat_received(from_newer, now);
                newer.heartbeat_received(from_older, now);
                lead_apart(heartbeat_interval);
            }
            THEN("one of them leads") {
                CHECK(older.self().leading != newer.self().leading);
            }
        }
    }
}
