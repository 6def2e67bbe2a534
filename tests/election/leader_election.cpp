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
