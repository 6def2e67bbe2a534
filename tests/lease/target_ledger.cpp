#include "heathermoor/lease/target_ledger.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using namespace heathermoor::lease;

namespace {

const job::task_ref task_a{job_id{"a"}, 0, 0};
const job::task_ref task_b{job_id{"b"}, 0, 0};
constexpr resources half{8'000, 64, 0};
constexpr time_point start{seconds{100}};

[[nodiscard]] target_report report_at(std::int64_t clock_ms) {
    target_report report;
    report.boot = target_boot{1};
    report.clock = target_time{clock_ms};
    return report;
}

[[nodiscard]] target_ledger ledger_with_report() {
    target_ledger ledger{{16'000, 1'000, 0}};
    (void)ledger.apply_report(report_at(5'000), start, start);
    return ledger;
}

} // namespace

SCENARIO("The ledger tracks the resources of every run that may be active", "[lease]") {
    auto ledger = ledger_with_report();
    GIVEN("a start that has been ordered") {
        ledger.order_start(task_a, run_number{1}, half, ledger.lease_until(milliseconds{700}, start), start);
        CHECK(ledger.free() == resources{8'000, 936, 0});

        WHEN("it is acknowledged and reported as done") {
            CHECK_FALSE(ledger.start_answered(task_a, run_number{1}, order_outcome::done, start));
            auto report = report_at(5'100);
            report.ended.push_back({end_number{1}, task_a, run_number{1}, run_end::done});
            const auto changes = ledger.apply_report(report, start + milliseconds{90}, start + milliseconds{100});
            THEN("its resources are free and its end is returned once") {
                REQUIRE(changes.ended.size() == 1);
                CHECK(changes.ended.front().how == run_end::done);
                CHECK(ledger.free() == ledger.capacity());
                const auto again = ledger.apply_report(report, start + milliseconds{110}, start + milliseconds{120});
                CHECK(again.ended.empty());
            }
        }
        WHEN("it is not answered") {
            CHECK_FALSE(ledger.start_answered(task_a, run_number{1}, order_outcome::unanswered, start + milliseconds{200}));
            THEN("its resources stay occupied although reports do not list it") {
                const auto changes = ledger.apply_report(report_at(5'300), start + milliseconds{290}, start + milliseconds{300});
                CHECK(changes.ended.empty());
                CHECK(ledger.busy());
            }
            AND_WHEN("a stop is acknowledged and a report requested afterwards does not list it") {
                ledger.stop_answered(task_a, run_number{1}, start + milliseconds{300});
                const auto early = ledger.apply_report(report_at(5'290), start + milliseconds{295}, start + milliseconds{301});
                CHECK(early.ended.empty());
                const auto later = ledger.apply_report(report_at(5'330), start + milliseconds{310}, start + milliseconds{320});
                THEN("it is certain that the run was never started") {
                    REQUIRE(later.ended.size() == 1);
                    CHECK(later.ended.front().how == run_end::not_started);
                    CHECK_FALSE(ledger.busy());
                }
            }
            AND_WHEN("its lease has expired, allowing for a slow target clock") {
                CHECK(ledger.expire_leases(start + milliseconds{760}).empty());
                THEN("the run is removed") {
                    CHECK(ledger.expire_leases(start + milliseconds{800}).size() == 1);
                }
            }
        }
        WHEN("the target rejects it as too late") {
            const auto ended = ledger.start_answered(task_a, run_number{1}, order_outcome::too_late, start);
            REQUIRE(ended);
            CHECK(ended->how == run_end::not_started);
        }
        WHEN("a report that arrives out of order lists it after its end") {
            (void)ledger.start_answered(task_a, run_number{1}, order_outcome::done, start);
            auto report = report_at(5'100);
            report.ended.push_back({end_number{1}, task_a, run_number{1}, run_end::done});
            (void)ledger.apply_report(report, start + milliseconds{90}, start + milliseconds{100});
            auto late_report = report_at(5'100);
            late_report.running.push_back({task_a, run_number{1}, 50});
            const auto changes = ledger.apply_report(late_report, start + milliseconds{80}, start + milliseconds{101});
            THEN("it is not added again") {
                CHECK(changes.found.empty());
                CHECK_FALSE(ledger.busy());
            }
        }
    }
}

SCENARIO("The ledger adopts the runs that another scheduler ordered", "[lease]") {
    target_ledger ledger{{16'000, 1'000, 0}};
    auto report = report_at(5'000);
    report.running.push_back({task_a, run_number{3}, 10});
    const auto changes = ledger.apply_report(report, start, start);
    REQUIRE(changes.found.size() == 1);

    THEN("no resources are free while its need is unknown") {
        CHECK(ledger.free() == resources{});
    }
    THEN("it counts as a foreign run until its job is known") {
        CHECK(ledger.has_foreign_run());
        ledger.set_need(task_a, half);
        CHECK_FALSE(ledger.has_foreign_run());
        CHECK(ledger.free() == resources{8'000, 936, 0});
    }
    THEN("it stays active for the longest lease that the other scheduler can have been granted") {
        CHECK(ledger.expire_leases(start + milliseconds{990}).empty());
        CHECK(ledger.expire_leases(start + milliseconds{1'100}).size() == 1);
    }
}

SCENARIO("The ledger detects that another scheduler has started a later run of a task", "[lease]") {
    target_ledger ledger{{16'000, 1'000, 0}};
    auto report = report_at(5'000);
    report.running.push_back({task_a, run_number{1}, 10});
    (void)ledger.apply_report(report, start, start);
    auto later = report_at(5'300);
    later.running.push_back({task_a, run_number{2}, 5});
    const auto changes = ledger.apply_report(later, start + milliseconds{290}, start + milliseconds{300});

    THEN("one report removes the earlier run and adds the later one") {
        REQUIRE(changes.ended.size() == 1);
        CHECK(changes.ended.front().how == run_end::lost);
        REQUIRE(changes.found.size() == 1);
        CHECK(changes.found.front().run == run_number{2});
        CHECK(ledger.find(task_a)->run == run_number{2});
    }
}

SCENARIO("The ledger handles a restart of the target", "[lease]") {
    auto ledger = ledger_with_report();
    ledger.order_start(task_a, run_number{1}, half, ledger.lease_until(milliseconds{700}, start), start);
    (void)ledger.start_answered(task_a, run_number{1}, order_outcome::done, start + milliseconds{1});
    ledger.order_start(task_b, run_number{1}, half, ledger.lease_until(milliseconds{700}, start), start + milliseconds{95});
    auto restarted = report_at(10);
    restarted.boot = target_boot{2};
    const auto changes = ledger.apply_report(restarted, start + milliseconds{100}, start + milliseconds{101});

    THEN("a confirmed run is lost, and a start in flight stays unconfirmed") {
        CHECK(changes.restarted);
        REQUIRE(changes.ended.size() == 1);
        CHECK(changes.ended.front().task == task_a);
        REQUIRE(ledger.find(task_b) != nullptr);
        CHECK(ledger.find(task_b)->state == run_state::unconfirmed);
    }
    THEN("the unconfirmed run is removed after the fence was raised, not because time has passed") {
        CHECK(ledger.expire_leases(start + seconds{5}).empty());
        ledger.fence_raised(start + milliseconds{200});
        auto next_report = report_at(120);
        next_report.boot = target_boot{2};
        const auto cleared = ledger.apply_report(next_report, start + milliseconds{200}, start + milliseconds{202});
        REQUIRE(cleared.ended.size() == 1);
        CHECK(cleared.ended.front().how == run_end::not_started);
    }
}
