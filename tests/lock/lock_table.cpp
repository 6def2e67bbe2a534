#include "heathermoor/lock/lock_table.hpp"

#include <catch2/catch.hpp>
#include <string>

using namespace heathermoor;
using lock::lock_state;

namespace {

constexpr duration needed = seconds{2};

[[nodiscard]] lock::holder_ref leader(const std::string &host, std::uint64_t term) {
    return {{host_id{host}, incarnation{1}}, leader_term{term}, {failure_domain_id{host.substr(0, 1)}, 0}};
}

[[nodiscard]] lock::acquire_request request(const job_id &id, bool scheduled = false) {
    return {id, needed, scheduled};
}

} // namespace

SCENARIO("A lock is granted to one cell at a time", "[lock]") {
    const job_id job{"0000000000000001"};
    const auto a = leader("a1", 1);
    const auto b = leader("b1", 2);
    lock::lock_table table;
    time_point now{seconds{10}};
    table.open(now);
    now += seconds{1};
    REQUIRE(table.acquire(request(job), a, now).state == lock_state::granted);

    GIVEN("a leader of another cell that asks for it") {
        REQUIRE(table.acquire(request(job), b, now).state == lock_state::held);
        WHEN("the holder releases it without an answer") {
            const auto replies = table.release({job, true, {}}, a, now);
            THEN("the other one gets it, and learns that the job may have run") {
                REQUIRE(replies.size() == 1);
                CHECK(replies.front().to == b);
                CHECK(replies.front().reply.state == lock_state::granted);
                CHECK(replies.front().reply.may_have_run);
            }
        }
        WHEN("the holder releases it with an answer") {
            const auto replies = table.release({job, true, job::answer{job::outcome::completed, errc::ok, {}}}, a, now);
            THEN("the other one gets the answer, and so does a later request") {
                REQUIRE(replies.size() == 1);
                CHECK(replies.front().reply.state == lock_state::ended);
                CHECK(table.acquire(request(job), b, now + seconds{2}).state == lock_state::ended);
            }
        }
        WHEN("the holder is silent for as long as its runs may go on") {
            now += lock::holder_silence_limit;
            table.heard(b, now);
            const auto replies = table.tick(now);
            THEN("the other one gets it") {
                REQUIRE(replies.size() == 1);
                CHECK(replies.front().reply.state == lock_state::granted);
            }
        }
        WHEN("the holder leaves the job out of its list, since the release was lost") {
            const auto replies = table.compare({}, a, now);
            THEN("the other one gets it") {
                REQUIRE(replies.size() == 1);
                CHECK(replies.front().to == b);
            }
        }
        WHEN("the other one gives up, and the holder releases the lock") {
            CHECK(table.release({job, false, {}}, b, now).empty());
            CHECK(table.release({job, false, {}}, a, now).empty());
            THEN("nobody has it") {
                CHECK(table.acquire(request(job), leader("c1", 3), now).state == lock_state::granted);
            }
        }
    }
    GIVEN("another leader of the holder's cell that asks for it") {
        const auto successor = leader("a2", 3);
        CHECK(table.acquire(request(job), successor, now).state == lock_state::granted);
        WHEN("a release of the earlier leader arrives late") {
            CHECK(table.release({job, false, {}}, a, now).empty());
            THEN("the lock stays with the later one") {
                CHECK(table.acquire(request(job), b, now).state == lock_state::held);
            }
        }
        WHEN("the later leader releases it, while the earlier one may still run the job") {
            CHECK(table.acquire(request(job), b, now).state == lock_state::held);
            CHECK(table.release({job, false, {}}, successor, now).empty());
            THEN("another cell gets it once the runs of the earlier one have ended, however often it asks") {
                CHECK(table.tick(now).empty());
                CHECK(table.acquire(request(job), b, now + milliseconds{100}).state == lock_state::held);
                now += lock::holder_silence_limit;
                table.heard(b, now);
                CHECK(table.tick(now).size() == 1);
            }
        }
    }
    GIVEN("an answer whose acquire was lost") {
        const job_id other{"0000000000000002"};
        CHECK(table.release({other, true, job::answer{job::outcome::completed, errc::ok, {}}}, a, now).empty());
        THEN("another cell gets it") {
            CHECK(table.acquire(request(other), b, now).state == lock_state::ended);
        }
    }
    GIVEN("a holder that belongs to another cell since the deployment was divided anew") {
        auto moved = a;
        moved.cell.index = 1;
        THEN("it has the lock as before, and can release it") {
            CHECK(table.acquire(request(job, true), moved, now).state == lock_state::granted);
            (void)table.release({job, false, {}}, moved, now);
            CHECK(table.acquire(request(job), b, now).state == lock_state::granted);
        }
    }
}

SCENARIO("A new leader of a home learns of the locks from their holders", "[lock]") {
    const job_id job{"0000000000000001"};
    const auto a = leader("a1", 1);
    const auto b = leader("b1", 2);
    lock::lock_table table;
    time_point now{seconds{10}};
    table.open(now);
    GIVEN("a request that comes before the holder has registered its lock") {
        CHECK(table.acquire(request(job), b, now).state == lock_state::undecided);
        WHEN("the holder registers it") {
            CHECK(table.acquire(request(job, true), a, now).state == lock_state::granted);
            now += milliseconds{200};
            table.heard(a, now);
            THEN("the request waits") {
                CHECK(table.tick(now).empty());
                CHECK(table.acquire(request(job), b, now).state == lock_state::held);
            }
        }
        WHEN("nobody registers it") {
            now += milliseconds{200};
            const auto replies = table.tick(now);
            THEN("the lock is granted") {
                REQUIRE(replies.size() == 1);
                CHECK(replies.front().reply.state == lock_state::granted);
            }
        }
    }
}

SCENARIO("A cancelled job has no lock any more", "[lock][cancel]") {
    const job_id job{"0000000000000001"};
    const auto a = leader("a1", 1);
    const auto b = leader("b1", 2);
    lock::lock_table table;
    time_point now{seconds{10}};
    table.open(now);
    now += seconds{1};

    GIVEN("a holder, and a leader that waits") {
        REQUIRE(table.acquire(request(job), a, now).state == lock_state::granted);
        REQUIRE(table.acquire(request(job), b, now).state == lock_state::held);
        WHEN("the waiting leader passes a cancelling") {
            const auto replies = table.cancel({job, {}, true}, b, now);
            THEN("both learn that the job has ended, and why") {
                REQUIRE(replies.size() == 2);
                for(const auto &reply: replies) {
                    CHECK(reply.reply.state == lock_state::ended);
                    CHECK(reply.reply.answer == cancellation::cancelled_answer);
                }
            }
            THEN("it is confirmed when the holder gives the lock back, and nobody gets it") {
                CHECK(table.take_cancelled(now).empty());
                CHECK(table.release({job, true, {}}, a, now).empty());
                const auto confirmed = table.take_cancelled(now);
                REQUIRE(confirmed.size() == 1);
                CHECK(confirmed.front().to == b);
                CHECK(confirmed.front().known);
                CHECK(table.take_cancelled(now).empty());
            }
            THEN("it is confirmed when the holder has been silent for as long as its runs may go on") {
                CHECK(table.take_cancelled(now + lock::holder_silence_limit - milliseconds{1}).empty());
                CHECK(table.take_cancelled(now + lock::holder_silence_limit).size() == 1);
            }
            THEN("a repeated notice tells the holder again, and is confirmed once") {
                CHECK(table.cancel({job, milliseconds{50}, true}, b, now + milliseconds{50}).size() == 1);
                (void)table.release({job, true, {}}, a, now + milliseconds{60});
                CHECK(table.take_cancelled(now + milliseconds{60}).size() == 1);
            }
            THEN("a later request gets the answer for the retention time, also after the release, and the lock after it") {
                (void)table.release({job, true, {}}, a, now);
                (void)table.tick(now + cancellation::retention - milliseconds{1});
                CHECK(table.acquire(request(job), b, now + cancellation::retention - milliseconds{1}).state == lock_state::ended);
                (void)table.tick(now + cancellation::retention);
                CHECK(table.acquire(request(job), b, now + cancellation::retention).state == lock_state::granted);
            }
        }
    }
    GIVEN("a cancelling of a job that nobody has asked for, while a holder may not have registered it yet") {
        CHECK(table.cancel({job, {}, false}, b, now).empty());
        CHECK(table.take_cancelled(now).empty());
        WHEN("a holder registers it") {
            CHECK(table.acquire(request(job, true), a, now).state == lock_state::ended);
            THEN("it is confirmed as known") {
                const auto confirmed = table.take_cancelled(now);
                REQUIRE(confirmed.size() == 1);
                CHECK(confirmed.front().known);
            }
        }
        WHEN("the time for that is over") {
            THEN("it is confirmed as not known") {
                const auto confirmed = table.take_cancelled(now + seconds{1});
                REQUIRE(confirmed.size() == 1);
                CHECK(!confirmed.front().known);
            }
        }
    }
    GIVEN("a cancelling of a job that nobody has asked for") {
        now += seconds{1};
        CHECK(table.cancel({job, {}, false}, b, now).empty());
        THEN("it is confirmed at once as not known, and a request gets the answer") {
            const auto confirmed = table.take_cancelled(now);
            REQUIRE(confirmed.size() == 1);
            CHECK(!confirmed.front().known);
            CHECK(table.acquire(request(job), a, now).state == lock_state::ended);
        }
    }
    GIVEN("a job that has completed") {
        REQUIRE(table.acquire(request(job), a, now).state == lock_state::granted);
        const job::answer completed{job::outcome::completed, errc::ok, {}};
        (void)table.release({job, true, completed}, a, now);
        WHEN("it is cancelled") {
            CHECK(table.cancel({job, {}, false}, b, now).empty());
            THEN("its answer stays, for as long as that of a cancelled job") {
                CHECK(!table.take_cancelled(now).front().known);
                now += seconds{20};
                (void)table.tick(now);
                CHECK(table.acquire(request(job), b, now).answer == completed);
            }
        }
    }
    GIVEN("more cancelled jobs than are remembered") {
        for(std::size_t number = 0; number < cancellation::max_remembered + 10; ++number) {
            (void)table.cancel({job_id{std::to_string(number)}, {}, false}, b, now);
        }
        THEN("the oldest are forgotten") {
            (void)table.take_cancelled(now);
            (void)table.tick(now);
            CHECK(table.size() == cancellation::max_remembered);
        }
    }
}
