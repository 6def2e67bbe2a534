#include "heathermoor/lending/loan_book.hpp"

#include "heathermoor/lease/run_bounds.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;

namespace {

const lending::party borrower{{host_id{"b"}, incarnation{1}}, leader_term{7}};
const lending::party other{{host_id{"c"}, incarnation{1}}, leader_term{7}};
const job_id lent_job{"j"};

[[nodiscard]] pool::gateway_ref gateway(const char *host, std::uint64_t session = 1) {
    return {{host_id{host}, incarnation{1}}, gateway_session{session}};
}

[[nodiscard]] pool::submission work(const pool::gateway_ref &from, milliseconds remaining = milliseconds{1'000}) {
    pool::submission result;
    result.job.id = lent_job;
    result.from = from;
    result.remaining = remaining;
    return result;
}

[[nodiscard]] time_point at(int ms) {
    return time_point{seconds{100} + milliseconds{ms}};
}

} // namespace

SCENARIO("A lent job goes back to its lender only by evidence", "[lending]") {
    lending::loan_book book;
    GIVEN("a job that two gateways wait for and that is lent") {
        REQUIRE(book.may_lend(lent_job));
        const auto sent = book.lend(borrower, {work(gateway("g")), work(gateway("h"), milliseconds{800})}, at(0));
        CHECK(sent.remaining == milliseconds{950});
        CHECK(book.lent(lent_job));
        CHECK_FALSE(book.may_lend(lent_job));
        WHEN("the borrower gives it back") {
            const auto returned = book.take_returned(borrower, lent_job, true, at(100));
            THEN("its submissions are as they were, but older") {
                REQUIRE(returned.size() == 2);
                CHECK(returned.front().remaining == milliseconds{900});
                CHECK_FALSE(returned.front().may_have_run);
                CHECK(returned.front().lock_wait == duration{});
            }
            THEN("it is not lent again") {
                CHECK_FALSE(book.lent(lent_job));
                CHECK_FALSE(book.may_lend(lent_job));
                CHECK_FALSE(book.may_run_elsewhere(lent_job));
            }
        }
        WHEN("a leader that is not its borrower gives it back or answers it") {
            THEN("it stays lent") {
                CHECK(book.take_returned(other, lent_job, true, at(100)).empty());
                CHECK(book.take_answered(other, lent_job).empty());
                CHECK(book.lent(lent_job));
            }
        }
        WHEN("the borrower has no record of it") {
            THEN("that counts only once the loan can no longer arrive") {
                CHECK(book.take_returned(borrower, lent_job, false, at(500)).empty());
                CHECK(book.take_returned(borrower, lent_job, false, at(600)).size() == 2);
            }
        }
        WHEN("the borrower answers it") {
            THEN("both gateways get the answer") {
                CHECK(book.take_answered(borrower, lent_job) == std::vector{gateway("g"), gateway("h")});
                CHECK_FALSE(book.lent(lent_job));
                CHECK(book.may_run_elsewhere(lent_job));
            }
        }
        WHEN("the borrower is lost") {
            const auto lost = book.take_lost(borrower, at(600));
            THEN("the job may have run, and may run until the borrower has stopped it") {
                REQUIRE(lost.size() == 2);
                CHECK(lost.front().may_have_run);
                CHECK(lost.front().earlier_runs_end_in == lease::longest_lent_run);
                CHECK(lost.front().lock_wait == lease::longest_lent_run);
                CHECK_FALSE(book.lent(lent_job));
            }
        }
        WHEN("the deadline of one caller comes") {
            const auto expired = book.take_expired(at(800));
            THEN("its gateway is answered, and the other one waits on") {
                REQUIRE(expired.size() == 1);
                CHECK(expired.front().first == gateway("h"));
                CHECK(book.waits(gateway("g"), lent_job));
                CHECK_FALSE(book.waits(gateway("h"), lent_job));
            }
        }
        WHEN("its gateways cancel it") {
            book.cancel(gateway("g"), lent_job);
            CHECK(book.lent(lent_job));
            book.cancel(gateway("h"), lent_job);
            THEN("the loan is listed no more, so that the borrower stops it") {
                CHECK(book.open().empty());
                CHECK(book.may_run_elsewhere(lent_job));
            }
        }
        WHEN("a gateway submits it again in a new session") {
            book.join(work(gateway("g", 2)), at(100));
            THEN("a cancellation in the session before does not count") {
                book.cancel(gateway("g", 1), lent_job);
                CHECK(book.waits(gateway("g", 2), lent_job));
            }
        }
    }
}

SCENARIO("The number of loans is limited", "[lending]") {
    lending::loan_book book;
    GIVEN("as many loans as allowed") {
        for(std::size_t count = 0; count < lending::max_loans; ++count) {
            auto one = work(gateway("g"));
            one.job.id = job_id{"j" + std::to_string(count)};
            (void)book.lend(borrower, {std::move(one)}, at(0));
        }
        THEN("no further job may be lent") {
            CHECK_FALSE(book.may_lend(lent_job));
            CHECK(book.size() == lending::max_loans);
        }
    }
}
