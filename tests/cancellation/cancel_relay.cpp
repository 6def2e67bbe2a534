#include "heathermoor/cancellation/cancel_relay.hpp"
#include <catch2/catch.hpp>

using namespace heathermoor;
using cancellation::cancel_relay;

namespace {

const time_point start{seconds{100}};
const process_ref gateway_process{host_id{"gateway"}, incarnation{1}};
const cell::cell_id home{failure_domain_id{"a"}, 0};
const job_id id{"job"};

} // namespace

SCENARIO("A leader passes cancellings to the home of the job until it confirms them", "[cancellation]") {
    GIVEN("a cancelling, and a home with a leader") {
        lock::lock_client locks;
        locks.set_cells({home}, start);
        locks.set_leader(home, gateway::leader_ref{host_id{"first"}, leader_term{1}}, start);
        cancel_relay relay;
        relay.tick(locks, start);
        relay.submit(gateway_process, {id, milliseconds{10}, false}, start);
        CHECK(relay.bars(id));
        auto due = relay.take_due(locks, start);
        REQUIRE(due.size() == 1);
        CHECK(due.begin()->first == host_id{"first"});
        CHECK(due.begin()->second.front().age == milliseconds{10});
        CHECK(relay.take_confirmed().empty());
        WHEN("the home is silent") {
            THEN("it is told again after the interval, and its cell is asked for its leader") {
                CHECK(relay.take_due(locks, start + cancellation::retry_interval - milliseconds{1}).empty());
                CHECK(relay.take_due(locks, start + cancellation::retry_interval).size() == 1);
                CHECK(relay.silent_homes(start + milliseconds{100}).empty());
                CHECK(relay.silent_homes(start + milliseconds{200}).contains(home));
            }
            THEN("another host's confirmation counts for nothing") {
                relay.confirmed(host_id{"other"}, {id, {}, true});
                CHECK(relay.take_confirmed().empty());
            }
        }
        WHEN("the home confirms it") {
            relay.confirmed(host_id{"first"}, {id, {}, true});
            THEN("the gateway is told, once") {
                const auto confirmed = relay.take_confirmed();
                REQUIRE(confirmed.size() == 1);
                CHECK(confirmed.front().to == gateway_process);
                CHECK(confirmed.front().confirmed.known);
                relay.confirmed(host_id{"first"}, {id, {}, true});
                CHECK(relay.take_confirmed().empty());
                CHECK(relay.take_due(locks, start + seconds{1}).empty());
                CHECK(relay.silent_homes(start + seconds{1}).empty());
            }
            THEN("a gateway that asks again is told at once") {
                (void)relay.take_confirmed();
                relay.submit(gateway_process, {id, milliseconds{30}, false}, start + milliseconds{20});
                CHECK(relay.take_confirmed().size() == 1);
                CHECK(relay.take_due(locks, start + milliseconds{20}).empty());
            }
            THEN("a request of a later time goes to the home as well") {
                (void)relay.take_confirmed();
                relay.submit(gateway_process, {id, {}, false}, start + seconds{5});
                CHECK(relay.take_confirmed().empty());
                CHECK(relay.take_due(locks, start + seconds{5}).size() == 1);
                relay.tick(locks, start + cancellation::retention);
                CHECK(relay.bars(id));
            }
            THEN("the next leader of the home is told, and the gateway not again") {
                (void)relay.take_confirmed();
                locks.set_leader(home, gateway::leader_ref{host_id{"second"}, leader_term{2}}, start + seconds{1});
                relay.tick(locks, start + seconds{1});
                due = relay.take_due(locks, start + seconds{1});
                REQUIRE(due.size() == 1);
                CHECK(due.begin()->first == host_id{"second"});
                relay.confirmed(host_id{"second"}, {id, {}, true});
                CHECK(relay.take_confirmed().empty());
            }
            THEN("it is forgotten after the retention time, counted from the caller's request") {
                relay.tick(locks, start - milliseconds{10} + cancellation::retention);
                CHECK(!relay.bars(id));
                CHECK(relay.size() == 0);
            }
        }
        WHEN("the cells are divided anew before it confirms") {
            const cell::cell_id other{failure_domain_id{"b"}, 0};
            locks.set_cells({other}, start + milliseconds{1});
            locks.set_leader(other, gateway::leader_ref{host_id{"third"}, leader_term{3}}, start + milliseconds{1});
            relay.tick(locks, start + milliseconds{1});
            due = relay.take_due(locks, start + milliseconds{1});
            THEN("the new home is told, and its confirmation counts") {
                REQUIRE(due.contains(host_id{"third"}));
                relay.confirmed(host_id{"third"}, {id, {}, false});
                const auto confirmed = relay.take_confirmed();
                REQUIRE(confirmed.size() == 1);
                CHECK(!confirmed.front().confirmed.known);
            }
        }
    }
}
