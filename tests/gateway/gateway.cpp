#include "heathermoor/gateway/gateway.hpp"

#include "heathermoor/core/log.hpp"
#include "heathermoor/lease/run_bounds.hpp"
#include <catch2/catch.hpp>
#include <vector>

using namespace heathermoor;

namespace {

struct recorded_ports final : gateway::caller_port, gateway::scheduler_port {
    void reply(gateway::request_token, const job_id &, const job::answer &answer) override { answers.push_back(answer); }
    void cancel_answered(gateway::request_token, const job_id &, gateway::cancel_result) override {}
    void submit(const gateway::leader_ref &, pool::submission work) override { handed.push_back(std::move(work)); }
    void cancel(const gateway::leader_ref &leader, const job_id &) override { cancelled_at.push_back(leader); }
    void query(const gateway::leader_ref &, const std::vector<job_id> &) override {}

    std::vector<job::answer> answers;
    std::vector<pool::submission> handed;
    std::vector<gateway::leader_ref> cancelled_at;
};

/// Gateway that follows a first leader, and a job that it may submit.
struct gateway_fixture {
    gateway_fixture() {
        set_log_level(log_level::error);
        job.id = job_id{"00000000000000aa"};
        job.steps.push_back({1, {1'000, 1, 0}, milliseconds{50}, {}, {}, {}, 0});
        subject.set_leader(first, started, started);
    }

    void submit() { subject.submit(gateway::request_token{1}, job, {}, milliseconds{1'500}, started); }

    recorded_ports out;
    const time_point started{seconds{500}};
    const gateway::leader_ref first{host_id{"b"}, leader_term{1}};
    const gateway::leader_ref second{host_id{"c"}, leader_term{2}};
    job::definition job;
    gateway::gateway subject{{host_id{"a"}, incarnation{1}}, out, out, started};
};

} // namespace

SCENARIO("Callers that arrive before a leader is elected wait for one", "[gateway]") {
    set_log_level(log_level::error);
    recorded_ports out;
    const time_point started{seconds{500}};
    gateway::gateway gateway{{host_id{"a"}, incarnation{1}}, out, out, started};
    job::definition job;
    job.id = job_id{"00000000000000aa"};
    job.steps.push_back({1, {1'000, 1, 0}, milliseconds{50}, {}, {}, {}, 0});
    gateway.submit(gateway::request_token{1}, job, {}, milliseconds{1'500}, started + milliseconds{100});
    gateway.tick(started + milliseconds{400});
    CHECK(out.answers.empty());

    WHEN("a leader is elected") {
        gateway.set_leader(gateway::leader_ref{host_id{"b"}, leader_term{1}}, started, started + milliseconds{500});
        REQUIRE(out.handed.size() == 1);
        THEN("the job counts as not submitted before") {
            CHECK(out.handed.front().earlier_runs_end_in == duration::zero());
            CHECK_FALSE(out.handed.front().may_have_run);
        }
    }
    WHEN("no leader is elected in time") {
        gateway.tick(started + seconds{1});
        THEN("the caller is told that the job has not run") {
            REQUIRE(out.answers.size() == 1);
            CHECK(out.answers.front().result == job::outcome::refused);
            CHECK(out.answers.front().reason == errc::no_leader);
        }
    }
}

// Guards against a false refusal: a caller was told that its job had not run, though a second leader had started it.
SCENARIO("A refusal is passed on only if a single leader has had the job", "[gateway]") {
    gateway_fixture fixture;
    auto &[out, started, first, second, job, gateway] = fixture;
    const job::answer refusal{job::outcome::refused, errc::overloaded, milliseconds{100}};
    const gateway::answer_origin first_session{first, gateway.self().session};
    fixture.submit();

    GIVEN("the only leader that has had it") {
        gateway.answered(first_session, job.id, refusal, started + milliseconds{50});
        THEN("its refusal is passed on") {
            REQUIRE(out.answers.size() == 1);
            CHECK(out.answers.front().result == job::outcome::refused);
        }
    }
    GIVEN("a job that was submitted to a second leader and back to the first") {
        gateway.set_leader(second, started + milliseconds{20}, started + milliseconds{20});
        gateway.set_leader(first, started + milliseconds{40}, started + milliseconds{40});
        WHEN("a refusal arrives that the first leader sent for the first submission") {
            gateway.answered(first_session, job.id, refusal, started + milliseconds{41});
            THEN("it is not passed on, since the first leader has the job again") {
                CHECK(out.answers.empty());
                CHECK(gateway.open(job.id));
            }
        }
        WHEN("the first leader refuses the second submission") {
            gateway.answered({first, gateway.self().session}, job.id, refusal, started + milliseconds{41});
            THEN("the caller is told that the outcome is not known") {
                REQUIRE(out.answers.size() == 1);
                CHECK(out.answers.front().result == job::outcome::unknown);
                CHECK(out.answers.front().reason == errc::leader_lost);
            }
        }
    }
    GIVEN("a job that was submitted again because the leader had no record of it") {
        gateway.not_known(first_session, job.id, started + milliseconds{300});
        WHEN("a refusal of the first submission arrives") {
            gateway.answered(first_session, job.id, refusal, started + milliseconds{301});
            THEN("the caller is told that the outcome is not known") {
                REQUIRE(out.answers.size() == 1);
                CHECK(out.answers.front().result == job::outcome::unknown);
            }
        }
    }
}

// Guards against a second start by a leader that cannot know what the first one still starts.
SCENARIO("A new leader is told until when runs of the earlier one may be active", "[gateway]") {
    gateway_fixture fixture;
    auto &[out, started, first, second, job, gateway] = fixture;
    fixture.submit();
    const auto lost_at = started + milliseconds{20};
    const auto starts_end_at = lost_at + milliseconds{400};

    WHEN("the first leader may go on starting tasks for a while") {
        gateway.set_leader(second, starts_end_at, lost_at);
        THEN("the time is that of its last start and of a run that nobody can reach") {
            REQUIRE(out.handed.size() == 2);
            CHECK(out.handed.back().earlier == first.host);
            CHECK(out.handed.back().earlier_runs_end_in == milliseconds{400} + lease::longest_unreachable_run);
        }
    }
    WHEN("the first leader is lost and found again, without another one in between") {
        gateway.set_leader(std::nullopt, starts_end_at, lost_at);
        gateway.set_leader(first, lost_at, lost_at + milliseconds{50});
        THEN("it gets the job without a wait, since all runs are its own") {
            REQUIRE(out.handed.size() == 2);
            CHECK(out.handed.back().earlier_runs_end_in == duration::zero());
            CHECK(out.handed.back().may_have_run);
        }
    }
    WHEN("the first leader is found again after another one") {
        gateway.set_leader(second, starts_end_at, lost_at);
        gateway.set_leader(first, lost_at + milliseconds{100}, lost_at + milliseconds{50});
        THEN("it waits for the runs of the other one") {
            REQUIRE(out.handed.size() == 3);
            CHECK(out.handed.back().earlier.empty());
            CHECK(out.handed.back().earlier_runs_end_in >= milliseconds{50} + lease::longest_unreachable_run);
        }
    }
}

// Guards against a second run of a job that has been answered: the leader before had ended it, and the present one did not
// learn of that (walk seeds 141, 197, 252, 293 and 319).
SCENARIO("The present leader learns that an earlier one has ended a job", "[gateway]") {
    gateway_fixture fixture;
    auto &[out, started, first, second, job, gateway] = fixture;
    fixture.submit();
    const job::answer completed{job::outcome::completed, errc::ok, {}};

    GIVEN("a job that was passed to a second leader") {
        const auto session = gateway.self().session;
        gateway.set_leader(second, started, started + milliseconds{100});
        REQUIRE(out.handed.size() == 2);
        CHECK(out.handed.back().from.session > session);
        WHEN("the first leader completes it") {
            gateway.answered({first, session}, job.id, completed, started + milliseconds{150});
            THEN("the caller gets the answer, and the second leader is told to end the job") {
                CHECK(out.answers.size() == 1);
                CHECK(out.cancelled_at == std::vector{second});
            }
        }
        WHEN("the second leader completes it") {
            gateway.answered({second, gateway.self().session}, job.id, completed, started + milliseconds{150});
            THEN("nobody has to be told") {
                CHECK(out.answers.size() == 1);
                CHECK(out.cancelled_at.empty());
            }
        }
    }
}

// Guards against a stop that cuts off requests without an answer: the process ended while a job waited for room.
SCENARIO("Before its process ends, a gateway answers all open jobs", "[gateway]") {
    gateway_fixture fixture;
    const auto stopping = fixture.started + milliseconds{1'000};
    GIVEN("a job that a leader has") {
        fixture.submit();
        fixture.subject.end_all(stopping);
        THEN("its caller learns that its outcome is unknown, and the leader stops it") {
            REQUIRE(fixture.out.answers.size() == 1);
            CHECK(fixture.out.answers.front().result == job::outcome::unknown);
            CHECK(fixture.out.answers.front().reason == errc::draining);
            REQUIRE(fixture.out.cancelled_at.size() == 1);
            CHECK(fixture.out.cancelled_at.front() == fixture.first);
            CHECK(fixture.subject.size() == 0);
        }
    }
    GIVEN("a job that no leader has had") {
        fixture.subject.set_leader(std::nullopt, fixture.started, fixture.started);
        fixture.submit();
        fixture.subject.end_all(stopping);
        THEN("it is refused, which is true, and its caller may come back") {
            REQUIRE(fixture.out.answers.size() == 1);
            CHECK(fixture.out.answers.front().result == job::outcome::refused);
            CHECK(fixture.out.answers.front().retry_after > milliseconds{0});
        }
    }
    GIVEN("a job that arrives after that") {
        fixture.subject.end_all(stopping);
        fixture.submit();
        THEN("it is refused at once and passed to nobody") {
            REQUIRE(fixture.out.answers.size() == 1);
            CHECK(fixture.out.answers.front().result == job::outcome::refused);
            CHECK(fixture.out.handed.empty());
        }
    }
}

// Guards against a second run after a change of leader: the first leader had lent the job, so that the next one's targets showed no run of
// it.
SCENARIO("A leader that follows one that may have lent a job waits until no run of it can be active", "[gateway][lending]") {
    gateway_fixture fixture;
    fixture.submit();
    const auto session = fixture.subject.self().session;
    GIVEN("a notice of the present leader") {
        REQUIRE(fixture.subject.note_lending({fixture.first, session}, fixture.job.id));
        WHEN("it is followed by another") {
            fixture.subject.set_leader(fixture.second, fixture.started, fixture.started + milliseconds{100});
            THEN("that is told the latest end of a lent run, and that no host's reports show it") {
                const auto &handed = fixture.out.handed.back();
                CHECK(handed.earlier_runs_end_in == lease::longest_lent_run_without_gateway);
                CHECK(handed.earlier == host_id{});
                CHECK(handed.may_have_run);
            }
            AND_WHEN("the first one comes back") {
                fixture.subject.set_leader(fixture.first, fixture.started, fixture.started + milliseconds{200});
                THEN("it waits as well") {
                    CHECK(fixture.out.handed.back().earlier_runs_end_in == lease::longest_lent_run_without_gateway);
                }
            }
        }
    }
    GIVEN("a notice of another leader, of another session, or of another job") {
        CHECK_FALSE(fixture.subject.note_lending({fixture.second, session}, fixture.job.id));
        CHECK_FALSE(fixture.subject.note_lending({fixture.first, gateway_session{raw(session) + 1}}, fixture.job.id));
        CHECK_FALSE(fixture.subject.note_lending({fixture.first, session}, job_id{"00000000000000bb"}));
        WHEN("another leader follows") {
            fixture.subject.set_leader(fixture.second, fixture.started, fixture.started + milliseconds{100});
            THEN("nothing was noted") {
                CHECK(fixture.out.handed.back().earlier_runs_end_in < lease::longest_lent_run_without_gateway);
            }
        }
    }
}
