#include "heathermoor/lending/room_board.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;

namespace {

const service_id service{"service"};

[[nodiscard]] lending::party leader(const char *host) {
    return {{host_id{host}, incarnation{1}}, leader_term{7}};
}

[[nodiscard]] time_point at(int ms) {
    return time_point{seconds{100} + milliseconds{ms}};
}

constexpr pool::job_need small_job{8'000, 4'000};

} // namespace

SCENARIO("A crest in one failure domain goes where there is most room", "[lending]") {
    GIVEN("two leaders that have said that they have room") {
        lending::room_board board;
        board.note(leader("b"), {{service, {100'000, 16'000}}}, at(0));
        board.note(leader("c"), {{service, {120'000, 16'000}}}, at(0));
        THEN("a job goes to the one with more, less what was lent since") {
            CHECK(board.choose(service, small_job, at(1)) == leader("c"));
            CHECK(board.choose(service, small_job, at(1)) == leader("c"));
            CHECK(board.choose(service, small_job, at(1)) == leader("b"));
        }
        WHEN("a crest comes") {
            int lent = 0;
            while(board.choose(service, small_job, at(2))) {
                ++lent;
            }
            THEN("no leader gets more than half of the room that it had") {
                CHECK(lent == 100'000 / 2 / 8'000 + 120'000 / 2 / 8'000);
            }
            AND_WHEN("a leader says anew what it has, while the last loans may be on their way") {
                board.note(leader("c"), {{service, {60'000, 16'000}}}, at(50));
                THEN("they still count") {
                    CHECK_FALSE(board.choose(service, small_job, at(51)));
                }
            }
            AND_WHEN("it says so once they must have arrived") {
                board.note(leader("c"), {{service, {60'000, 16'000}}}, at(150));
                THEN("it gets more jobs") {
                    CHECK(board.choose(service, small_job, at(151)) == leader("c"));
                }
            }
        }
    }
}

SCENARIO("Nothing is lent without room", "[lending]") {
    lending::room_board board;
    GIVEN("neighbours as full as the own cell") {
        board.note(leader("b"), {}, at(0));
        board.note(leader("c"), {{service, {10'000, 4'000}}}, at(0));
        THEN("nothing is lent") {
            CHECK_FALSE(board.choose(service, small_job, at(1)));
        }
    }
    GIVEN("room on many targets, but on none enough for one task") {
        board.note(leader("b"), {{service, {100'000, 3'000}}}, at(0));
        THEN("nothing is lent") {
            CHECK_FALSE(board.choose(service, small_job, at(1)));
        }
    }
    GIVEN("room for another service") {
        board.note(leader("b"), {{service_id{"other"}, {100'000, 16'000}}}, at(0));
        THEN("nothing is lent") {
            CHECK_FALSE(board.choose(service, small_job, at(1)));
        }
    }
    GIVEN("a word that is too old") {
        board.note(leader("b"), {{service, {100'000, 16'000}}}, at(0));
        THEN("nothing is lent on it") {
            CHECK(board.choose(service, small_job, at(299)));
            CHECK_FALSE(board.choose(service, small_job, at(300)));
        }
    }
    GIVEN("a leader that has given a job back for lack of room") {
        board.note(leader("b"), {{service, {100'000, 16'000}}}, at(0));
        board.drop(leader("b"));
        THEN("it gets nothing before its next word") {
            CHECK_FALSE(board.choose(service, small_job, at(1)));
        }
    }
}
