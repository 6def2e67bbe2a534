#include "support/scheduler_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace heathermoor;
using namespace heathermoor::pool;
using namespace heathermoor::test;
using reservation::backfill_kind;

namespace {

constexpr milliseconds brief{20};
constexpr milliseconds medium{40};
constexpr milliseconds lengthy{1'000};

/// Two targets with room for four tasks, full of runs that are expected to take 100 ms.
struct full_targets : scheduler_fixture {
    explicit full_targets(backfill_kind kind, milliseconds run = declared) {
        subject.set_backfill(kind);
        add_targets(2);
        pass(milliseconds{700});
        prove_targets();
        submit("running", "a", 4, 5, run);
        answer_starts();
    }

    /// Lets each target end a task, before which it would get few.
    void prove_targets() {
        submit("first", "a", 4);
        answer_starts();
        for(std::uint32_t index = 0; index < 4; ++index) {
            end({job_id{"first"}, 0, index}, lease::run_end::done);
        }
        pass(declared);
        answers.clear();
        starts.clear();
    }

    void pass(milliseconds time) {
        now += time;
        tick();
        answer_reports();
    }

    /// Ends a run of the first job and lets the scheduler use its room.
    void end_run(std::uint32_t index) {
        end({job_id{"running"}, 0, index}, lease::run_end::done);
        answer_reports();
    }

    [[nodiscard]] std::size_t started(const std::string &id) const {
        return static_cast<std::size_t>(
            std::count_if(starts.begin(), starts.end(), [&id](const start_order &order) { return order.task.job == job_id{id}; }));
    }
};

} // namespace

SCENARIO("A narrow job uses room that is too little for a wide one ahead of it", "[reservation][pool]") {
    const auto kind = GENERATE(backfill_kind::aggressive, backfill_kind::conservative);
    full_targets fixture{kind};
    GIVEN("a wide job that waits, and a brief narrow one behind it") {
        fixture.submit("wide", "a", 4, 1, medium);
        fixture.submit("narrow", "a", 1, 2, brief);
        fixture.pass(milliseconds{10});
        REQUIRE(fixture.starts.empty());
        REQUIRE(fixture.subject.reservations() != nullptr);
        const auto *booked = fixture.subject.reservations()->find(job_id{"wide"});
        REQUIRE(booked != nullptr);
        CHECK(booked->rows.size() == 4);
        CHECK(fixture.subject.reservation_counts().made >= 1);
        WHEN("room for one task is free") {
            fixture.end_run(0);
            THEN("the narrow job passes") {
                REQUIRE(fixture.starts.size() == 1);
                CHECK(fixture.started("narrow") == 1);
                CHECK(fixture.subject.reservation_counts().backfilled == 1);
                CHECK(fixture.subject.reservation_counts().held == 1);
            }
        }
        WHEN("all room is free") {
            fixture.subject.cancel(gateway_of("a"), job_id{"narrow"}, fixture.now);
            for(std::uint32_t index = 0; index < 4; ++index) {
                fixture.end({job_id{"running"}, 0, index}, lease::run_end::done);
            }
            fixture.pass(milliseconds{90});
            THEN("the wide job starts as a whole, in time") {
                CHECK(fixture.started("wide") == 4);
                CHECK(fixture.subject.reservation_counts().met == 1);
                CHECK(fixture.subject.reservation_counts().missed == 0);
            }
        }
        WHEN("an urgent job arrives before the next plan") {
            fixture.submit("urgent", "a", 1, 0, lengthy);
            fixture.end_run(0);
            THEN("no reservation of a job behind it keeps it from the room") {
                CHECK(fixture.started("urgent") == 1);
            }
        }
    }
    GIVEN("a narrow job behind it that would end too late") {
        fixture.submit("wide", "a", 4, 1, medium);
        fixture.submit("narrow", "a", 1, 2, lengthy);
        fixture.pass(milliseconds{10});
        WHEN("room for one task is free") {
            fixture.end_run(0);
            THEN("nobody but the wide job may use it, so it begins") {
                REQUIRE(fixture.starts.size() == 1);
                CHECK(fixture.started("wide") == 1);
                CHECK(fixture.subject.reservation_counts().backfilled == 0);
            }
        }
    }
}

SCENARIO("Without backfill a wide job begins where there is room for any of its tasks", "[reservation][pool]") {
    full_targets fixture{backfill_kind::none};
    fixture.submit("wide", "a", 4, 1, medium);
    fixture.submit("narrow", "a", 1, 2, brief);
    fixture.pass(milliseconds{10});
    fixture.end_run(0);
    CHECK(fixture.started("wide") == 1);
    CHECK(fixture.started("narrow") == 0);
    CHECK(fixture.subject.reservations() == nullptr);
    CHECK(fixture.subject.reservation_counts().made == 0);
    CHECK(fixture.subject.reservation_counts().held == 0);
}

SCENARIO("A job whose reservation is too late for its deadline is refused at once", "[reservation][pool]") {
    full_targets fixture{backfill_kind::aggressive, milliseconds{1'400}};
    GIVEN("full targets for the next 1,400 ms and a wide job of 1,000 ms with a deadline of 1,500 ms") {
        fixture.submit("wide", "a", 4, 1, lengthy);
        fixture.pass(milliseconds{10});
        THEN("it is refused, has not run, and is told when there is room") {
            REQUIRE(fixture.answers.contains(job_id{"wide"}));
            const auto &answer = fixture.answers.at(job_id{"wide"}).front().second;
            CHECK(answer.result == job::outcome::refused);
            CHECK(answer.reason == errc::overloaded);
            CHECK(answer.retry_after >= milliseconds{1'300});
            CHECK(answer.retry_after <= milliseconds{1'400});
            CHECK(fixture.started("wide") == 0);
            CHECK(fixture.subject.reservation_counts().refused == 1);
            CHECK_FALSE(fixture.subject.knows(job_id{"wide"}));
        }
    }
    GIVEN("a short one that still ends in time") {
        fixture.submit("wide", "a", 4, 1, brief);
        fixture.pass(milliseconds{10});
        THEN("it waits") {
            CHECK(fixture.answers.empty());
        }
    }
}

SCENARIO("Reservations end with their leader and with their targets", "[reservation][pool]") {
    full_targets fixture{backfill_kind::conservative};
    fixture.submit("wide", "a", 4, 1, medium);
    fixture.submit("other", "b", 4, 1, medium);
    fixture.pass(milliseconds{10});
    REQUIRE(fixture.subject.reservations() != nullptr);
    REQUIRE(fixture.subject.reservations()->bookings().size() == 2);
    WHEN("the leader resigns") {
        fixture.subject.resign();
        THEN("nothing is kept and nothing counts as missed") {
            CHECK(fixture.subject.reservations() == nullptr);
            CHECK(fixture.subject.reservation_counts().missed == 0);
        }
        THEN("it serves again when it leads again") {
            fixture.running.clear();
            fixture.ended.clear();
            fixture.read_list();
            fixture.pass(milliseconds{10});
            fixture.pass(milliseconds{1'000});
            fixture.submit("later", "a", 4, 1);
            CHECK(fixture.started("later") == 4);
        }
    }
    WHEN("a caller gives up") {
        fixture.subject.cancel(gateway_of("a"), job_id{"wide"}, fixture.now);
        THEN("its reservation is dropped, the other one stays") {
            CHECK(fixture.subject.reservations()->find(job_id{"wide"}) == nullptr);
            CHECK(fixture.subject.reservations()->find(job_id{"other"}) != nullptr);
            CHECK(fixture.subject.reservation_counts().missed == 0);
        }
    }
    WHEN("a target is lost") {
        fixture.leaving.insert(target_id{"t1"});
        fixture.pass(milliseconds{50});
        fixture.answer_reports();
        fixture.pass(milliseconds{30});
        THEN("the plan has no room there, and the first job begins on the other one") {
            REQUIRE(fixture.subject.reservations() != nullptr);
            const auto *booked = fixture.subject.reservations()->find(job_id{"other"});
            REQUIRE(booked != nullptr);
            CHECK(booked->rows.empty());
            CHECK(booked->in_pieces);
            for(std::uint32_t index = 0; index < 4; ++index) {
                fixture.end({job_id{"running"}, 0, index}, lease::run_end::done);
            }
            fixture.pass(milliseconds{10});
            CHECK(fixture.started("other") == 2);
            CHECK(std::all_of(fixture.starts.begin(), fixture.starts.end(),
                              [](const start_order &order) { return order.to.target == target_id{"t0"}; }));
        }
    }
}
