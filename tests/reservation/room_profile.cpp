#include "heathermoor/reservation/room_profile.hpp"

#include <catch2/catch.hpp>

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

[[nodiscard]] request job_of(std::uint32_t tasks, std::int64_t need, std::int64_t run_ms, std::vector<target_row> rows) {
    request wanted;
    wanted.job = job_id{"job"};
    wanted.tasks = tasks;
    wanted.need = cores(need);
    wanted.run = milliseconds{run_ms};
    wanted.rows = std::move(rows);
    return wanted;
}

} // namespace

SCENARIO("A profile tells when there is room for a job", "[reservation]") {
    GIVEN("one free target, one that is free after 100 ms and one of which a half each is free after 50 and 200 ms") {
        room_profile room{start};
        const auto free = room.add(cores(64), {});
        const auto later = room.add(cores(0), {{after(100), cores(64)}});
        const auto halves = room.add(cores(0), {{after(200), cores(32)}, {after(50), cores(32)}});
        const std::vector<target_row> all{free, later, halves};

        THEN("room grows at the ends of runs") {
            CHECK(room.free(halves, after(0), after(40)) == cores(0));
            CHECK(room.free(halves, after(50), after(300)) == cores(32));
            CHECK(room.free(halves, after(200), after(300)) == cores(64));
        }
        THEN("two tasks of half a target start at once") {
            const auto found = room.earliest(job_of(2, 32, 50, all));
            REQUIRE(found);
            CHECK(found->at == start);
            CHECK(found->rows == std::vector{free, free});
        }
        THEN("five such tasks start together when the fifth half is free") {
            const auto found = room.earliest(job_of(5, 32, 500, all));
            REQUIRE(found);
            CHECK(found->at == after(100));
            CHECK(found->rows.size() == 5);
        }
        THEN("one task for each target starts when each has room") {
            auto wanted = job_of(3, 32, 50, all);
            wanted.max_per_target = 1;
            REQUIRE(room.earliest(wanted));
            CHECK(room.earliest(wanted)->at == after(100));
        }
        THEN("seven never start together, yet one by one") {
            CHECK_FALSE(room.earliest(job_of(7, 32, 30, all)));
            CHECK(room.last_start_in_pieces(job_of(7, 32, 30, all)) == after(60));
        }
        THEN("short tasks use the same room again, long ones gain nothing by that") {
            CHECK(room.last_start_in_pieces(job_of(5, 32, 20, all)) == after(40));
            CHECK(room.last_start_in_pieces(job_of(5, 32, 500, all)) == after(100));
        }
        THEN("a task larger than any target has no start") {
            CHECK_FALSE(room.earliest(job_of(1, 65, 10, all)));
            CHECK_FALSE(room.last_start_in_pieces(job_of(1, 65, 10, all)));
        }
        WHEN("room is taken for some time later on") {
            room.take(free, cores(64), after(30), after(90));
            THEN("a task that ends before fits, a longer one starts after it") {
                CHECK(room.earliest(job_of(1, 40, 30, {free}))->at == start);
                CHECK(room.earliest(job_of(1, 40, 31, {free}))->at == after(90));
            }
            THEN("what was there after it is there again") {
                CHECK(room.free(free, after(30), after(31)) == cores(0));
                CHECK(room.free(free, after(90), after(900)) == cores(64));
            }
        }
    }
    GIVEN("a profile without targets") {
        const room_profile room{start};
        CHECK_FALSE(room.earliest(job_of(1, 1, 10, {})));
        CHECK_FALSE(room.last_start_in_pieces(job_of(1, 1, 10, {})));
    }
}

SCENARIO("The end of a run is predicted from its start and what it has taken", "[reservation]") {
    GIVEN("a run of 100 ms") {
        CHECK(predicted_end(start, milliseconds{100}, after(20)) == after(100));
        THEN("one that is overdue lasts a part of its time longer") {
            CHECK(predicted_end(start, milliseconds{100}, after(200)) == after(250));
            CHECK(predicted_end(start, milliseconds{100}, after(800)) == after(1'000));
        }
        THEN("the end is never now or before") {
            CHECK(predicted_end(start, milliseconds{0}, start) > start);
        }
    }
}
