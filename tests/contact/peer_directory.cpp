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

const failure_domain_id own{"d0"};

[[nodiscard]] cell::cell_plan plan_of(int domains) {
    std::map<failure_domain_id, std::size_t> targets;
    for(int domain = 0; domain < domains; ++domain) {
        targets[failure_domain_id{fmt::format("d{}", domain)}] = 80;
    }
    return cell::cell_plan{targets};
}

} // namespace

SCENARIO("A host keeps in touch with its own cell and a few hosts of the others", "[contact]") {
    fake_peers peers;
    peer_directory book{host_id{"0-0"}, own, peers};
    const auto urgent = [](const host_id &host) { return host == host_id{"0-1"}; };
    time_point now{seconds{100}};
    const auto beats_of = [&](const host_id &host, duration length) {
        int count = 0;
        for(const auto end = now + length; now < end; now += milliseconds{25}) {
            const auto due = book.due(now, urgent);
            count += static_cast<int>(std::count_if(due.begin(), due.end(), [&](const auto &one) { return one.id == host; }));
        }
        return count;
    };

    GIVEN("ten failure domains with nine hosts each") {
        constexpr int domains = 10;
        for(int domain = 0; domain < domains; ++domain) {
            for(int number = 0; number < 9; ++number) {
                book.add_host(host_id{fmt::format("{}-{}", domain, number)}, failure_domain_id{fmt::format("d{}", domain)});
            }
        }
        book.set_plan(plan_of(domains));
        THEN("it is connected to its neighbours and to at most eight others") {
            (void)book.due(now, urgent);
            CHECK(peers.open.size() == 8 + 8);
            CHECK(book.in_own_cell(host_id{"0-5"}));
            CHECK_FALSE(book.in_own_cell(host_id{"3-5"}));
        }
        THEN("the leader gets ten heartbeats a second, all the others together about fifty") {
            CHECK(beats_of(host_id{"0-1"}, seconds{2}) == 20);
            CHECK(beats_of(host_id{"0-2"}, seconds{2}) == 11);
        }
        THEN("another host is connected to for as long as it is needed") {
            (void)book.due(now, urgent);
            host_id far;
            for(const auto *name: {"5-0", "5-1", "5-2"}) {
                far = peers.open.contains(host_id{name}) ? far : host_id{name};
            }
            book.connect_until(far, now + seconds{1});
            CHECK(peers.open.contains(far));
            (void)beats_of(far, seconds{2});
            CHECK_FALSE(peers.open.contains(far));
        }
        THEN("the hosts that it has heard are told to others bit by bit") {
            std::set<host_id> told;
            for(int number = 1; number < 9; ++number) {
                book.heartbeat_received(host_id{fmt::format("0-{}", number)}, own, now);
            }
            for(int call = 0; call < 4; ++call) {
                for(const auto &host: book.next_gossip(now)) {
                    told.insert(host.id);
                }
            }
            CHECK(told.size() == 8);
        }
    }
    // Guards against what paired plays of caroni-mats showed: six hosts noticed a cut a second later than before.
    GIVEN("a small deployment of one cell") {
        for(const auto *name: {"0-1", "1-0", "1-1", "2-0", "2-1"}) {
            book.add_host(host_id{name}, failure_domain_id{fmt::format("d{}", name[0])});
        }
        THEN("each host gets ten heartbeats a second") {
            CHECK(beats_of(host_id{"0-1"}, seconds{2}) == 20);
            CHECK(beats_of(host_id{"2-1"}, seconds{2}) == 20);
        }
    }
    GIVEN("a host whose failure domain is not known") {
        book.set_plan(plan_of(2));
        book.add_host(host_id{"x"}, {});
        THEN("it is asked until it is heard, and then left alone if it is no link") {
            CHECK(beats_of(host_id{"x"}, seconds{2}) == 5);
            for(const auto *name: {"1-0", "1-1", "1-2", "x"}) {
                book.heartbeat_received(host_id{name}, failure_domain_id{"d1"}, now);
            }
            (void)book.due(now, urgent);
            CHECK(peers.open.size() == 2);
        }
    }
}
