#include "heathermoor/lock/lock_client.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using lock::lock_state;

namespace {

const job_id job_a{"000000000000000a"};
const host_id first_leader{"h1"};
const host_id second_leader{"h2"};

[[nodiscard]] pool::submission submission_of(const job_id &id, const std::string &gateway = "g") {
    pool::submission work;
    work.job.id = id;
    work.from.process = {host_id{gateway}, incarnation{1}};
    work.remaining = seconds{4};
    return work;
}

[[nodiscard]] pool::submission submission_that_waits(const job_id &id, duration lock_wait) {
    auto work = submission_of(id);
    work.lock_wait = lock_wait;
    return work;
}

/// Leader whose jobs all have their home in one other cell.
struct asking_leader {
    asking_leader() {
        client.set_cells({home}, now);
        client.set_leader(home, gateway::leader_ref{first_leader, leader_term{1}}, now);
    }

    /// Advances the time in steps of the timer, without any answer.
    void advance(milliseconds length) {
        for(const auto end = now + length; now < end;) {
            now += milliseconds{25};
            client.tick(now);
            sent = client.take_requests(true, now);
        }
    }

    void submit(const job_id &id, const std::string &gateway = "g") {
        client.submit(submission_of(id, gateway), now);
        sent = client.take_requests(false, now);
    }

    const cell::cell_id home{failure_domain_id{"d"}, 0};
    time_point now{seconds{100}};
    lock::lock_client client;
    std::map<host_id, lock::lock_batch> sent;
};

} // namespace

SCENARIO("A job is scheduled once its home has granted the lock", "[lock]") {
    asking_leader leader;
    leader.submit(job_a);
    REQUIRE(leader.sent.at(first_leader).acquires.size() == 1);
    CHECK(leader.client.take_ready().empty());
    GIVEN("a home that grants it") {
        leader.now += milliseconds{10};
        leader.client.answered(first_leader, {job_a, lock_state::granted, true, {}}, leader.now);
        THEN("the submission is ready, older by the time that it waited") {
            const auto ready = leader.client.take_ready();
            REQUIRE(ready.size() == 1);
            CHECK(ready.front().age == milliseconds{10});
            CHECK(ready.front().remaining == seconds{4} - milliseconds{10});
            CHECK(ready.front().may_have_run);
        }
        WHEN("the home has another leader, and a late reply of the earlier one arrives") {
            (void)leader.client.take_ready();
            leader.client.set_leader(leader.home, gateway::leader_ref{second_leader, leader_term{2}}, leader.now);
            leader.client.answered(second_leader, {job_a, lock_state::granted, false, {}}, leader.now);
            leader.client.answered(first_leader, {job_a, lock_state::held, true, {}}, leader.now);
            THEN("the job goes on") {
                CHECK(leader.client.take_conflicts().empty());
                CHECK(leader.client.scheduled(job_a));
            }
        }
        WHEN("the scheduler closes it while runs of an earlier leader may be active") {
            (void)leader.client.take_ready();
            leader.client.closed({job_a, true, {}}, leader.now + milliseconds{500}, leader.now);
            leader.advance(milliseconds{400});
            const bool early = leader.client.size() == 0;
            leader.advance(milliseconds{200});
            THEN("the lock is released when they have ended") {
                CHECK_FALSE(early);
                CHECK(leader.client.size() == 0);
            }
        }
    }
    GIVEN("a home that has given it to another cell") {
        leader.client.answered(first_leader, {job_a, lock_state::held, true, {}}, leader.now);
        WHEN("the home is silent for a while") {
            leader.advance(milliseconds{1'000});
            THEN("the submission waits") {
                CHECK(leader.client.take_ready().empty());
            }
        }
        WHEN("the other cell ends the job") {
            leader.submit(job_a, "another");
            leader.client.answered(first_leader, {job_a, lock_state::ended, true, job::answer{job::outcome::completed, errc::ok, {}}},
                                   leader.now);
            THEN("all callers have its answer") {
                const auto ended = leader.client.take_ended();
                REQUIRE(ended.size() == 2);
                CHECK(ended.front().answer.result == job::outcome::completed);
                CHECK(leader.client.size() == 0);
            }
        }
        WHEN("no caller waits any more") {
            leader.client.cancel({{host_id{"g"}, incarnation{1}}, {}}, job_a);
            leader.sent = leader.client.take_requests(false, leader.now);
            THEN("the home is told") {
                CHECK(leader.sent.at(first_leader).releases.size() == 1);
                CHECK(leader.client.size() == 0);
            }
        }
    }
}

SCENARIO("A home that does not answer delays a job by the time limit of a lock only", "[lock]") {
    asking_leader leader;
    leader.submit(job_a);
    GIVEN("a home that is silent") {
        leader.advance(milliseconds{75});
        CHECK(leader.client.take_ready().empty());
        leader.advance(milliseconds{50});
        CHECK(leader.client.take_ready().size() == 1);
        CHECK(leader.client.counts().missing == 1);
        WHEN("it answers later that another cell has the job") {
            leader.client.answered(first_leader, {job_a, lock_state::held, true, {}}, leader.now);
            THEN("the job is to be given up, and its submission waits") {
                REQUIRE(leader.client.take_conflicts().size() == 1);
                leader.client.hold_back(job_a, {submission_of(job_a)}, leader.now);
                leader.advance(milliseconds{200});
                CHECK(leader.client.take_ready().empty());
            }
        }
        WHEN("a job comes long after it was silent") {
            leader.client.closed({job_a, true, job::answer{job::outcome::completed, errc::ok, {}}}, leader.now, leader.now);
            leader.advance(seconds{10});
            leader.submit(job_id{"000000000000000b"});
            leader.advance(milliseconds{25});
            THEN("it waits for the lock") {
                CHECK(leader.client.take_ready().empty());
            }
        }
    }
    GIVEN("a home that has just got a new leader, which does not know yet") {
        for(int count = 0; count < 5; ++count) {
            leader.now += milliseconds{40};
            leader.client.answered(first_leader, {job_a, lock_state::undecided, false, {}}, leader.now);
            leader.client.tick(leader.now);
        }
        THEN("the submission waits for its decision") {
            CHECK(leader.client.take_ready().empty());
            leader.client.answered(first_leader, {job_a, lock_state::granted, false, {}}, leader.now);
            CHECK(leader.client.take_ready().size() == 1);
        }
    }
}

// Guards against a borrowed job that runs in two cells because its home was cut off from one of them.
SCENARIO("A job that another cell may run waits for its lock even if the home is silent", "[lock][lending]") {
    asking_leader leader;
    leader.client.submit(submission_that_waits(job_a, milliseconds{600}), leader.now);
    GIVEN("a home that does not answer") {
        leader.advance(milliseconds{575});
        THEN("the job waits as long as its submission says, and then goes on without the lock") {
            CHECK(leader.client.take_ready().empty());
            leader.advance(milliseconds{50});
            CHECK(leader.client.take_ready().size() == 1);
        }
        WHEN("another submission of the job comes that would not wait") {
            leader.submit(job_a, "another");
            THEN("it waits as well") {
                CHECK(leader.client.take_ready().empty());
            }
        }
    }
    GIVEN("a home that does not know yet, and then grants the lock") {
        leader.client.answered(first_leader, {job_a, lock_state::undecided, false, {}}, leader.now);
        leader.advance(milliseconds{300});
        REQUIRE(leader.client.take_ready().empty());
        leader.client.answered(first_leader, {job_a, lock_state::granted, false, {}}, leader.now);
        THEN("the job is scheduled") {
            CHECK(leader.client.take_ready().size() == 1);
        }
    }
}
