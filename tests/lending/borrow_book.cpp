#include "heathermoor/lending/borrow_book.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;

namespace {

const lending::party lender{{host_id{"a"}, incarnation{1}}, leader_term{7}};
const lending::party next_lender{{host_id{"a"}, incarnation{1}}, leader_term{8}};
const pool::gateway_ref from{{host_id{"a"}, incarnation{1}}, gateway_session{1}};
const job_id lent_job{"j"};
const time_point start{seconds{100}};

} // namespace

SCENARIO("The result of a borrowed job is kept until its lender has it", "[lending]") {
    lending::borrow_book book;
    GIVEN("a borrowed job") {
        book.take(lender, from, lent_job, start);
        CHECK(book.open(from, lent_job));
        WHEN("it is answered") {
            book.answered(lent_job, {job::outcome::completed, errc::ok, {}});
            THEN("the result is sent once, and again while the lender lists the job") {
                CHECK_FALSE(book.open(from, lent_job));
                REQUIRE(book.take_results()[lender].size() == 1);
                CHECK(book.take_results().empty());
                CHECK(book.compare(lender, {lent_job}).empty());
                const auto results = book.take_results();
                REQUIRE(results.at(lender).size() == 1);
                CHECK(results.at(lender).front().answer.result == job::outcome::completed);
                CHECK(book.compare(lender, {}).empty());
                CHECK(book.find(lent_job) == nullptr);
            }
        }
        WHEN("the scheduler refuses it, which it does only before the first start") {
            book.answered(lent_job, {job::outcome::refused, errc::overloaded, {}});
            THEN("it is given back") {
                CHECK(book.take_results()[lender].front().returned);
            }
        }
        WHEN("its lender lists it no more") {
            const auto stopped = book.compare(lender, {});
            THEN("it is to be stopped") {
                REQUIRE(stopped.size() == 1);
                CHECK(stopped.front().second == lent_job);
            }
        }
        WHEN("the next leader of the lender's cell lists its own loans") {
            THEN("those of the former one are left to the expiry of its confirmation") {
                CHECK(book.compare(next_lender, {}).empty());
                CHECK(book.open(lent_job));
            }
        }
        WHEN("a result comes after another") {
            book.returned(lent_job);
            book.answered(lent_job, {job::outcome::unknown, errc::leader_lost, {}});
            THEN("the first one stays") {
                CHECK(book.take_results()[lender].front().returned);
                CHECK(book.counts().returned == 1);
                CHECK(book.counts().answered == 0);
            }
        }
    }
}
