#include "heathermoor/confirmation/confirmation_monitor.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using namespace heathermoor::confirmation;

SCENARIO("A host knows when and by whom its copies were last confirmed", "[confirmation]") {
    confirmation_monitor monitor;
    const time_point start{seconds{100}};
    const host_id peer{"10.0.0.2:7100"};
    CHECK_FALSE(monitor.as_of(subject::configuration));
    CHECK(monitor.age(subject::configuration, start) == duration::max());
    CHECK(monitor.confirmed_by(subject::configuration).empty());

    monitor.confirm(subject::configuration, source::store, {}, start, start);
    CHECK(monitor.confirmed_by(subject::configuration) == "store");
    monitor.confirm(subject::configuration, source::peer, peer, start + seconds{1}, start + seconds{1});
    CHECK(monitor.confirmed_by(subject::configuration) == peer.str());
    CHECK(monitor.age(subject::configuration, start + seconds{3}) == seconds{2});

    THEN("an older confirmation changes nothing") {
        monitor.confirm(subject::configuration, source::peer, host_id{"other"}, start, start + seconds{2});
        CHECK(monitor.confirmed_by(subject::configuration) == peer.str());
        CHECK(monitor.as_of(subject::configuration) == start + seconds{1});
    }
    THEN("other subjects are not confirmed") {
        CHECK_FALSE(monitor.as_of(subject::target_list));
    }
    THEN("a peer that stops confirming is lost, and regained by a recent confirmation only") {
        const auto later = start + seconds{1} + limit_of(subject::configuration) + milliseconds{1};
        monitor.expire(later, false);
        CHECK_FALSE(monitor.state(subject::configuration, source::peer).lost_at);
        monitor.expire(later, true);
        monitor.expire(later + seconds{1}, true);
        CHECK(monitor.state(subject::configuration, source::peer).lost_at == later);
        CHECK(monitor.state(subject::configuration, source::peer).losses == 1);
        monitor.confirm(subject::configuration, source::peer, peer, start + seconds{1}, later + seconds{1});
        CHECK(monitor.state(subject::configuration, source::peer).lost_at);
        monitor.confirm(subject::configuration, source::peer, peer, later, later + seconds{1});
        CHECK_FALSE(monitor.state(subject::configuration, source::peer).lost_at);
    }
    THEN("a store that does not answer is lost until it does") {
        monitor.store_lost(subject::configuration, loss::overdue, start + seconds{2});
        monitor.store_lost(subject::configuration, loss::failed, start + seconds{3});
        CHECK(monitor.state(subject::configuration, source::store).lost_at == start + seconds{2});
        monitor.confirm(subject::configuration, source::store, {}, start + seconds{3}, start + seconds{4});
        CHECK_FALSE(monitor.state(subject::configuration, source::store).lost_at);
        CHECK(monitor.state(subject::configuration, source::store).losses == 1);
    }
}
