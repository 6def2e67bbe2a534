#include "heathermoor/reservation/backfill.hpp"

#include "heathermoor/reservation/book.hpp"
#include <catch2/catch.hpp>
#include <string>

using namespace heathermoor;
using namespace heathermoor::reservation;

namespace {

constexpr time_point start{seconds{100}};

[[nodiscard]] resources cores(std::int64_t count) {
    return {count * 1'000, 0, 0};
}

[[nodiscard]] time_point after(std::int64_t ms) {
    return start + milliseconds{ms};
}

/// Two targets of 64 cores: half of each is free, the other half after 100 and 300 ms.
struct half_full {
    half_full() : room{start}, rows{room.add(cores(32), {{after(100), cores(32)}}), room.add(cores(32), {{after(300), cores(32)}})} {}

    [[nodiscard]] request job_of(const std::string &id, std::uint32_t tasks, std::int64_t need, std::int64_t run_ms,
                                 std::int64_t latest_ms = 0) const {
        request wanted;
        wanted.job = job_id{id};
        wanted.tasks = tasks;
        wanted.need = cores(need);
        wanted.run = milliseconds{run_ms};
        wanted.latest = after(latest_ms);
        wanted.rows = rows;
        return wanted;
    }

    room_profile room;
    std::vector<target_row> rows;
};

} // namespace

SCENARIO("A strategy decides which waiting jobs get a reservation", "[reservation]") {
    const half_full targets;
    GIVEN("a job that can start, then two wide ones that can't") {
        const std::vector<request> waiting{targets.job_of("now", 1, 32, 50), targets.job_of("wide", 3, 32, 400),
                                           targets.job_of("next", 4, 32, 400)};
        THEN("without backfill there is none") {
            CHECK(make_backfill(backfill_kind::none)->depth() == 0);
            CHECK(make_backfill(backfill_kind::none)->arrange(targets.room, waiting).bookings().empty());
        }
        THEN("the aggressive strategy keeps room for the first that can't start") {
            const auto made = make_backfill(backfill_kind::aggressive)->arrange(targets.room, waiting);
            REQUIRE(made.bookings().size() == 1);
            const auto *booked = made.find(job_id{"wide"});
            REQUIRE(booked != nullptr);
            CHECK(booked->start == after(100));
            CHECK(booked->rows.size() == 3);
            CHECK_FALSE(booked->in_pieces);
        }
        THEN("the conservative one keeps room for each, the later job after the earlier one") {
            const auto made = make_backfill(backfill_kind::conservative)->arrange(targets.room, waiting);
            REQUIRE(made.bookings().size() == 2);
            REQUIRE(made.find(job_id{"next"}) != nullptr);
            CHECK(made.find(job_id{"next"})->start == after(500));
        }
    }
    GIVEN("a job that is too wide to start as a whole") {
        const std::vector<request> waiting{targets.job_of("huge", 6, 32, 100), targets.job_of("next", 4, 32, 100)};
        const auto made = make_backfill(backfill_kind::aggressive)->arrange(targets.room, waiting);
        THEN("it starts piece by piece, and no room is kept for it") {
            REQUIRE(made.find(job_id{"huge"}) != nullptr);
            CHECK(made.find(job_id{"huge"})->in_pieces);
            CHECK(made.find(job_id{"huge"})->rows.empty());
        }
    }
    GIVEN("a wide job of short tasks") {
        const std::vector<request> waiting{targets.job_of("short", 4, 32, 10)};
        const auto made = make_backfill(backfill_kind::aggressive)->arrange(targets.room, waiting);
        THEN("it is not held back: its first tasks end before there is room for all") {
            REQUIRE(made.find(job_id{"short"}) != nullptr);
            CHECK(made.find(job_id{"short"})->in_pieces);
        }
    }
    GIVEN("hundreds of wide jobs") {
        std::vector<request> waiting;
        for(int count = 0; count < 300; ++count) {
            waiting.push_back(targets.job_of("wide" + std::to_string(count), 4, 32, 100));
        }
        THEN("the number of reservations is bounded") {
            CHECK(make_backfill(backfill_kind::conservative)->arrange(targets.room, waiting).bookings().size() == 8);
        }
    }
}

SCENARIO("A smaller job may pass if the reservation is still met", "[reservation]") {
    const half_full targets;
    // Four tasks start at 300 ms and may be pushed back to 320 ms.
    const auto made =
        make_backfill(backfill_kind::aggressive)->arrange(targets.room, std::vector<request>{targets.job_of("wide", 4, 32, 400, 320)});
    REQUIRE(made.find(job_id{"wide"}) != nullptr);
    REQUIRE(made.find(job_id{"wide"})->start == after(300));
    const auto row = targets.rows.front();
    THEN("one that ends by the latest start may use the room") {
        CHECK(made.room_beside(row, cores(32), after(250), 1) == cores(32));
        CHECK(made.room_beside(row, cores(32), after(320), 1) == cores(32));
    }
    THEN("one that ends later may not") {
        CHECK(made.room_beside(row, cores(32), after(321), 1) == cores(0));
    }
    THEN("a job that comes before the reserved one is free to") {
        CHECK(made.room_beside(row, cores(32), after(900), 0) == cores(32));
    }
}

SCENARIO("Reservations are dropped with their jobs", "[reservation]") {
    const half_full targets;
    const std::vector<request> waiting{targets.job_of("wide", 4, 32, 400)};
    auto made = make_backfill(backfill_kind::aggressive)->arrange(targets.room, waiting);
    book promises;
    GIVEN("a promise made to a job") {
        REQUIRE(promises.update(made, start) == std::vector{job_id{"wide"}});
        THEN("it is made once") {
            CHECK(promises.update(made, after(10)).empty());
            CHECK(promises.counts().made == 1);
        }
        WHEN("the job leaves") {
            made.drop(job_id{"wide"});
            THEN("its room is free for others") {
                CHECK(made.room_beside(targets.rows.front(), cores(32), after(900), 1) == cores(32));
            }
        }
        WHEN("it starts in time") {
            CHECK(promises.end(job_id{"wide"}, reservation_end::met));
            CHECK(promises.counts().met == 1);
            CHECK(promises.size() == 0);
        }
        WHEN("it starts too late") {
            CHECK(promises.end(job_id{"wide"}, reservation_end::missed));
            CHECK(promises.counts().missed == 1);
        }
        WHEN("all jobs are forgotten") {
            promises.clear();
            THEN("nothing counts as missed") {
                CHECK(promises.size() == 0);
                CHECK(promises.counts().missed == 0);
            }
        }
    }
}
