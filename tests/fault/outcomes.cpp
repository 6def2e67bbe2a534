#include "fault/faults.hpp"
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace heathermoor;
using namespace heathermoor::test;

namespace {

/// Runs a schedule; if it violates a guarantee, reports the shortest schedule found that still does.
void check(std::uint64_t seed, const schedule &steps, const std::string &name, answer_counts *counts = nullptr) {
    const auto violations = run_schedule(seed, steps, counts);
    if(violations.empty()) {
        return;
    }
    std::string text = fmt::format("{} seed={}\n", name, seed);
    const auto shortest = shrink(seed, steps);
    for(const auto &line: run_schedule(seed, shortest)) {
        text += "  " + line + "\n";
    }
    for(const auto &next: shortest) {
        text += fmt::format("    at {} ms: {}\n", to_ms(next.at), next.name);
    }
    FAIL_CHECK(text);
}

[[nodiscard]] schedule join(schedule a, const schedule &b) {
    a.insert(a.end(), b.begin(), b.end());
    return a;
}

} // namespace

TEST_CASE("Every guarantee about outcomes holds under each fault alone", "[fault][single]") {
    for(const auto &fault: fault_table()) {
        answer_counts counts;
        for(std::uint64_t seed = 1; seed <= 6; ++seed) {
            check(seed, join(fault.steps(), make_load(seed, 25)), fault.name, &counts);
        }
        INFO(fault.name);
        CHECK(counts.complete > counts.callers / 3);
        WARN(fmt::format("{:<34} callers={} complete={} not_run={} failed={} unknown={}", fault.name, counts.callers, counts.complete,
                         counts.not_run, counts.failed, counts.unknown));
    }
}

TEST_CASE("Every guarantee about outcomes holds under each pair of faults", "[fault][pair]") {
    const auto &table = fault_table();
    for(std::size_t first = 0; first < table.size(); ++first) {
        for(std::size_t second = first + 1; second < table.size(); ++second) {
            const auto seed = 1'000 + first * table.size() + second;
            auto later = table[second].steps();
            for(auto &next: later) {
                next.at += milliseconds{static_cast<std::int64_t>(seed * 37 % 900)};
            }
            check(seed, join(join(table[first].steps(), later), make_load(seed, 20)), table[first].name + " + " + table[second].name);
        }
    }
}

TEST_CASE("Every guarantee about outcomes holds under random sequences of faults", "[fault][walk]") {
    const auto &table = fault_table();
    for(std::uint64_t seed = 1; seed <= 400; ++seed) {
        std::mt19937_64 random{seed};
        auto steps = make_load(seed, 12);
        const auto count = 1 + random() % 4;
        for(std::uint64_t index = 0; index < count; ++index) {
            const auto shift = milliseconds{static_cast<std::int64_t>(random() % 4'000)} - milliseconds{1'000};
            for(auto next: table[random() % table.size()].steps()) {
                next.at = std::max(duration{}, next.at + shift);
                steps.push_back(std::move(next));
            }
        }
        check(seed, steps, "walk");
    }
}

TEST_CASE("A graceful shutdown interrupts no request", "[fault][single]") {
    GIVEN("four hosts under load, one of which is shut down") {
        virtual_system system{7};
        for(const auto *name: {"n1", "n2", "s1", "s2"}) {
            const std::string domain = name[0] == 'n' ? "north" : "south";
            system.start_host(name, domain);
            system.add_target(std::string{"t-"} + name, domain, 8);
        }
        publish_example(system);
        REQUIRE(system.run_until([&] { return system.settled(); }, seconds{20}));
        for(auto index = 0; index < 200; ++index) {
            const auto *host = index % 2 == 0 ? "n1" : "s1";
            if(index == 60) {
                system.drain_host("n1");
            }
            system.submit(system.running(host) ? host : "n2", submission_id{fmt::format("drain-{}", index)}, 2, seconds{3}, 60.0);
            system.run_for(milliseconds{10});
        }
        system.run_for(seconds{5});
        THEN("the process ends and every request gets its complete result") {
            CHECK_FALSE(system.running("n1"));
            CHECK(system.violated_guarantees().empty());
            for(const auto &caller: system.callers) {
                CHECK(caller.answer.result.kind == submission::outcome_kind::complete);
            }
        }
    }
}
