#include "heathermoor/contact/peer_directory.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <set>

using namespace heathermoor;
using contact::peer_directory;

namespace {

struct fake_peers final : port::peer_port {
    void send(const host_id &, wire::envelope) override {}
    void connect(const host_id &host, const std::string &) override { open.insert(host); }
    void disconnect(const host_id &host) override { open.erase(host); }
    std::set<host_id> open;
};

const failure_domain_id own_domain{"d0"};

[[nodiscard]] cell::cell_plan plan_of(int domains) {
    std::map<failure_domain_id, std::size_t> targets;
    for(int domain = 0; domain < domains; ++domain) {
        targets[failure_domain_id{fmt::format("d{}", domain)}] = 80;
    }
    return cell::cell_plan{targets};
}

} // namespace

SCENARIO("A host exchanges heartbeats with its own cell and a few hosts of other cells", "[contact]") {
    fake_peers peers;
    peer_directory directory{host_id{"0-0"}, own_domain, peers};
    const auto frequent = [](const host_id &host) { return host == host_id{"0-1"}; };
    time_point now{seconds{100}};
    const auto heartbeats_to = [&](const host_id &host, duration length) {
        int count = 0;
        for(const auto end = now + length; now < end; now += milliseconds{25}) {
            const auto due = directory.due(now, frequent);
            count += static_cast<int>(std::count_if(due.begin(), due.end(), [&](const auto &one) { return one.id == host; }));
        }
        return count;
    };

    GIVEN("ten failure domains with nine hosts each") {
        constexpr int domains = 10;
        for(int domain = 0; domain < domains; ++domain) {
            for(int number = 0; number < 9; ++number) {
                directory.add_host(host_id{fmt::format("{}-{}", domain, number)}, failure_domain_id{fmt::format("d{}", domain)});
            }
        }
        directory.set_plan(plan_of(domains));
        THEN("it is connected to its own cell and to at most eight other hosts") {
            (void)directory.due(now, frequent);
            CHECK(peers.open.size() == 8 + 8);
            CHECK(directory.in_own_cell(host_id{"0-5"}));
            CHECK_FALSE(directory.in_own_cell(host_id{"3-5"}));
        }
        THEN("the leader gets ten heartbeats a second, all the others together about fifty") {
            CHECK(heartbeats_to(host_id{"0-1"}, seconds{2}) == 20);
            CHECK(heartbeats_to(host_id{"0-2"}, seconds{2}) == 11);
        }
        THEN("a connection to another host is closed when it is no longer needed") {
            (void)directory.due(now, frequent);
            host_id far;
            for(const auto *name: {"5-0", "5-1", "5-2"}) {
                far = peers.open.contains(host_id{name}) ? far : host_id{name};
            }
            directory.connect_until(far, now + seconds{1});
            CHECK(peers.open.contains(far));
            (void)heartbeats_to(far, seconds{2});
            CHECK_FALSE(peers.open.contains(far));
        }
        THEN("the hosts that it has heard are gossiped a few at a time") {
            std::set<host_id> told;
            for(int number = 1; number < 9; ++number) {
                directory.heartbeat_received(host_id{fmt::format("0-{}", number)}, own_domain, now);
            }
            for(int call = 0; call < 4; ++call) {
                for(const auto &host: directory.next_gossip(now)) {
                    told.insert(host.id);
                }
            }
            CHECK(told.size() == 8);
        }
    }
    // Guards against slow failure detection: in a cell of six hosts, a network cut was noticed a second later than without cells.
    GIVEN("a small deployment of one cell") {
        for(const auto *name: {"0-1", "1-0", "1-1", "2-0", "2-1"}) {
            directory.add_host(host_id{name}, failure_domain_id{fmt::format("d{}", name[0])});
        }
        THEN("each host gets ten heartbeats a second") {
            CHECK(heartbeats_to(host_id{"0-1"}, seconds{2}) == 20);
            CHECK(heartbeats_to(host_id{"2-1"}, seconds{2}) == 20);
        }
    }
    GIVEN("a host whose failure domain is not known") {
        directory.set_plan(plan_of(2));
        directory.add_host(host_id{"x"}, {});
        THEN("it gets heartbeats until its failure domain is known, and then none if it is not a link") {
            CHECK(heartbeats_to(host_id{"x"}, seconds{2}) == 5);
            for(const auto *name: {"1-0", "1-1", "1-2", "x"}) {
                directory.heartbeat_received(host_id{name}, failure_domain_id{"d1"}, now);
            }
            (void)directory.due(now, frequent);
            CHECK(peers.open.size() == 2);
        }
    }
}
