#include "heathermoor/election/leader_election.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <string>

using namespace heathermoor;
using election::leader_election;
using election::peer_state;

namespace {

constexpr milliseconds beat{100};

/// Hosts that hear each other's heartbeats at once.
struct hosts {
    void start(const std::string &name, std::uint32_t millicores = 0) {
        peer_state self;
        self.id = host_id{name};
        self.millicores = millicores;
        all.emplace(name, leader_election{self, now});
    }

    /// Lets time pass; true if a host began to lead.
    void pass(milliseconds length) {
        for(const auto end = now + length; now < end; now += beat / 4) {
            for(auto &[name, one]: all) {
                (void)one.decide(now);
                for(auto &[other, receiver]: all) {
                    receiver.heartbeat_received(one.self(), now);
                }
            }
        }
    }

    [[nodiscard]] std::vector<std::string> leaders() const {
        std::vector<std::string> result;
        for(const auto &[name, one]: all) {
            if(one.self().leading) {
                result.push_back(name);
            }
        }
        return result;
    }

    time_point now{seconds{100}};
    std::map<std::string, leader_election> all;
};

} // namespace

SCENARIO("Hosts that start one after the other after a power loss soon have one leader", "[election]") {
    hosts world;
    world.start("c");
    world.pass(milliseconds{300});
    world.start("b");
    world.pass(milliseconds{150});
    world.start("a");
    GIVEN("the first host has listened long enough, the others have just started") {
        world.pass(milliseconds{150});
        THEN("it leads and does not wait for a host that only listens yet") {
            CHECK(world.leaders() == std::vector<std::string>{"c"});
        }
        THEN("it goes on leading when the others have listened") {
            world.pass(seconds{2});
            CHECK(world.leaders() == std::vector<std::string>{"c"});
        }
    }
}

SCENARIO("A host that starts beside a leader follows it", "[election]") {
    hosts world;
    world.start("b");
    world.pass(seconds{1});
    REQUIRE(world.leaders() == std::vector<std::string>{"b"});
    world.start("a");
    world.pass(seconds{2});
    CHECK(world.leaders() == std::vector<std::string>{"b"});
}

// Guards against issue 18: a host of 0.09 core led a cell with hosts of 0.5 core, and served a seventh of its callers.
SCENARIO("The largest host leads", "[election]") {
    hosts world;
    GIVEN("hosts that start together") {
        world.start("a", 90);
        world.start("b", 500);
        world.start("c", 300);
        world.pass(seconds{2});
        THEN("the largest leads, whatever its name") {
            CHECK(world.leaders() == std::vector<std::string>{"b"});
        }
    }
    GIVEN("a small host that leads before a much larger one comes") {
        world.start("a", 90);
        world.pass(seconds{1});
        REQUIRE(world.leaders() == std::vector<std::string>{"a"});
        world.start("b", 500);
        WHEN("the larger one has been there for some time") {
            world.pass(seconds{4});
            THEN("it has taken the lead and keeps it") {
                CHECK(world.leaders() == std::vector<std::string>{"b"});
                world.pass(seconds{10});
                CHECK(world.leaders() == std::vector<std::string>{"b"});
            }
        }
        WHEN("it has only just come") {
            world.pass(seconds{1});
            THEN("the lead stays where it is") {
                CHECK(world.leaders() == std::vector<std::string>{"a"});
            }
        }
    }
    GIVEN("hosts whose size is not known") {
        world.start("b");
        world.pass(seconds{1});
        world.start("a");
        world.pass(seconds{6});
        THEN("the lead stays where it is") {
            CHECK(world.leaders() == std::vector<std::string>{"b"});
        }
    }
    GIVEN("a leader beside a host that is not much larger") {
        world.start("a", 300);
        world.pass(seconds{1});
        world.start("b", 500);
        world.pass(seconds{6});
        THEN("the lead stays where it is") {
            CHECK(world.leaders() == std::vector<std::string>{"a"});
        }
    }
}

// Guards against issue 18: a host whose own timer was late took all others for gone, and began to lead beside the leader.
SCENARIO("A host that is late itself does not take the others for gone", "[election]") {
    time_point now{seconds{100}};
    peer_state self;
    self.id = host_id{"a"};
    leader_election late{self, now};
    peer_state leader;
    leader.id = host_id{"b"};
    leader.leading = true;
    for(int count = 0; count < 10; ++count) {
        now += beat;
        late.heartbeat_received(leader, now);
        (void)late.decide(now);
    }
    REQUIRE(late.decide(now) == host_id{"b"});
    GIVEN("no heartbeat was read because its own timer was late by as much") {
        now += milliseconds{600};
        late.self().lag = milliseconds{590};
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
    GIVEN("a delay of its own that is over all measure") {
        now += seconds{5};
        late.self().lag = seconds{5};
        THEN("the leader is gone") {
            CHECK(late.decide(now) != host_id{"b"});
        }
    }
}
