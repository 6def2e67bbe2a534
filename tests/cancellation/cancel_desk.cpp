#include "heathermoor/cancellation/cancel_desk.hpp"
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace heathermoor;
using cancellation::cancel_desk;
using gateway::cancel_result;
using gateway::request_token;

SCENARIO("A gateway's cancellings are passed on until the leader confirms them", "[cancellation]") {
    GIVEN("a request to cancel a job that was not open here") {
        cancel_desk desk;
        const time_point start{seconds{100}};
        const job_id id{"job"};
        desk.ask(request_token{1}, id, false, seconds{2}, start);
        CHECK(desk.bars(id));
        REQUIRE(desk.take_due(start).size() == 1);
        CHECK(desk.take_answers().empty());
        WHEN("nothing confirms it") {
            THEN("it is passed on again after the interval, and not before") {
                CHECK(desk.take_due(start + cancellation::retry_interval - milliseconds{1}).empty());
                const auto again = desk.take_due(start + cancellation::retry_interval);
                REQUIRE(again.size() == 1);
                CHECK(again.front().age == cancellation::retry_interval);
            }
            THEN("the caller is told at its limit that it is not known, once, and it is passed on still") {
                desk.tick(start + seconds{2} - milliseconds{1});
                CHECK(desk.take_answers().empty());
                desk.tick(start + seconds{2});
                const auto answers = desk.take_answers();
                REQUIRE(answers.size() == 1);
                CHECK(answers.front().result == cancel_result::unknown);
                CHECK(desk.take_due(start + seconds{2}).size() == 1);
                desk.confirmed({id, {}, true});
                CHECK(desk.take_answers().empty());
            }
            THEN("a caller that has left gets no answer") {
                desk.abandon(request_token{1});
                desk.tick(start + seconds{2});
                CHECK(desk.take_answers().empty());
                CHECK(desk.bars(id));
            }
            THEN("a process that ends answers it") {
                desk.end_all();
                REQUIRE(desk.take_answers().size() == 1);
            }
        }
        WHEN("the leader confirms it") {
            const auto known = GENERATE(false, true);
            desk.confirmed({id, {}, known});
            THEN("the caller is answered, and it is not passed on again") {
                const auto answers = desk.take_answers();
                REQUIRE(answers.size() == 1);
                CHECK(answers.front().result == (known ? cancel_result::cancelled : cancel_result::not_found));
                CHECK(desk.take_due(start + seconds{1}).empty());
            }
            THEN("a later leader gets it, and the caller no second answer") {
                CHECK(desk.take_answers().size() == 1);
                desk.leader_changed();
                CHECK(desk.take_due(start + milliseconds{1}).size() == 1);
                desk.confirmed({id, {}, known});
                CHECK(desk.take_answers().empty());
            }
            THEN("a second request is passed on as well, and remembered for as long as a first one") {
                desk.ask(request_token{2}, id, false, seconds{2}, start + seconds{10});
                CHECK(desk.take_due(start + seconds{10}).size() == 1);
                desk.tick(start + cancellation::retention);
                CHECK(desk.bars(id));
                desk.tick(start + seconds{10} + cancellation::retention);
                CHECK(!desk.bars(id));
            }
            THEN("it is forgotten after the retention time") {
                desk.tick(start + cancellation::retention - milliseconds{1});
                CHECK(desk.bars(id));
                desk.tick(start + cancellation::retention);
                CHECK(!desk.bars(id));
                CHECK(desk.size() == 0);
            }
        }
    }
    GIVEN("more cancellings than are remembered") {
        cancel_desk desk;
        const time_point start{seconds{100}};
        const auto count = cancellation::max_remembered + 10;
        for(std::size_t number = 0; number < count; ++number) {
            desk.ask(request_token{number}, job_id{fmt::format("{}", number)}, true, seconds{2}, start);
        }
        THEN("the oldest are forgotten and their callers answered, and a message stays within its limit") {
            CHECK(desk.size() == cancellation::max_remembered);
            CHECK(!desk.bars(job_id{"0"}));
            CHECK(desk.take_answers().size() == 10);
            CHECK(desk.take_due(start).size() == cancellation::max_notices);
        }
    }
}
