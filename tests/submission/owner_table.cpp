#include "heathermoor/submission/owner_table.hpp"
#include <catch2/catch.hpp>

using namespace heathermoor;
using namespace heathermoor::submission;

namespace {

const host_id self{"entry-1"};

[[nodiscard]] job_spec make_job(const std::string &id, std::size_t tasks = 2, std::uint64_t digest = 1) {
    job_spec spec;
    spec.customer = customer_id{"caroni"};
    spec.id = submission_id{id};
    spec.deadline = milliseconds{1'000};
    spec.digest = digest;
    spec.tasks.resize(tasks);
    return spec;
}

} // namespace

TEST_CASE("An owner runs a submission at most once and answers every waiter", "[submission]") {
    owner_table table;
    owner_effects effects;
    time_point now{seconds{1}};
    const auto submit = [&](job_spec spec, std::uint64_t request, admission conditions = {}) {
        effects = {};
        table.submit(std::move(spec), conditions, {self, correlation{request}}, now, effects);
    };
    const auto end = [&](job_handle job, std::uint32_t index, task_report report, errc code = errc::ok) {
        effects = {};
        table.task_ended(job, {index, 0, report, code, "{}"}, false, now, effects);
    };
    GIVEN("a job of two tasks whose id is not recorded yet") {
        submit(make_job("hold-1"), 1);
        REQUIRE(effects.records.size() == 1);
        REQUIRE(effects.placements.empty());
        const auto job = effects.records.front().job;
        WHEN("it is recorded and both tasks are placed") {
            effects = {};
            table.recorded(job, true, now, effects);
            REQUIRE(effects.placements.size() == 2);
            for(const auto &request: std::vector{effects.placements}) {
                table.placed(request, self, errc::ok, now, effects);
            }
            THEN("a resubmission joins the running job, and both callers get the same complete answer") {
                submit(make_job("hold-1"), 2);
                CHECK(effects.records.empty());
                CHECK(effects.placements.empty());
                end(job, 1, task_report::done);
                CHECK(effects.answers.empty());
                end(job, 0, task_report::done);
                REQUIRE(effects.answers.size() == 2);
                CHECK(effects.answers[0].result.kind == outcome_kind::complete);
                CHECK(effects.answers[1].result == effects.answers[0].result);
                AND_THEN("a later resubmission gets the retained answer") {
                    submit(make_job("hold-1"), 3);
                    REQUIRE(effects.answers.size() == 1);
                    CHECK(effects.answers[0].result.kind == outcome_kind::complete);
                }
                AND_THEN("a resubmission after the retention period is answered as expired and is not run again") {
                    now += seconds{121};
                    effects = {};
                    table.tick(now, effects);
                    submit(make_job("hold-1"), 3);
                    REQUIRE(effects.answers.size() == 1);
                    CHECK(effects.answers[0].result.code == errc::submission_expired);
                    CHECK(effects.answers[0].result.kind == outcome_kind::unknown);
                    CHECK(effects.records.empty());
                }
            }
            THEN("a different job under the same id is answered with a conflict") {
                submit(make_job("hold-1", 2, 9), 2);
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.code == errc::submission_conflict);
                CHECK(effects.answers[0].result.kind == outcome_kind::unknown);
            }
            THEN("one failed task fails the whole job and cancels the other") {
                end(job, 0, task_report::failed, errc::task_failed);
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.kind == outcome_kind::failed);
                CHECK(effects.answers[0].result.results.empty());
                CHECK(effects.cancels.size() == 1);
            }
            THEN("a task in an unknown state makes the outcome unknown") {
                end(job, 0, task_report::unknown, errc::task_outcome_unknown);
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.kind == outcome_kind::unknown);
            }
            THEN("a job whose tasks were never started is answered as not run") {
                end(job, 0, task_report::not_started, errc::overloaded);
                CHECK(effects.answers.empty());
                end(job, 1, task_report::not_started, errc::cancelled);
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.kind == outcome_kind::not_run);
            }
            THEN("a second report on the same task is ignored") {
                end(job, 0, task_report::done);
                end(job, 0, task_report::failed);
                CHECK(effects.answers.empty());
                end(job, 1, task_report::done);
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.kind == outcome_kind::complete);
            }
            THEN("the loss of the dispatcher host makes the outcome unknown") {
                effects = {};
                table.host_lost(self, now, effects);
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.code == errc::task_outcome_unknown);
            }
            THEN("it is cancelled at its deadline, and its outcome is unknown if no task reports within the grace period") {
                now += milliseconds{1'001};
                effects = {};
                table.tick(now, effects);
                CHECK(effects.cancels.size() == 1);
                CHECK(effects.answers.empty());
                now += milliseconds{201};
                table.tick(now, effects);
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.kind == outcome_kind::unknown);
                CHECK(effects.answers[0].result.code == errc::deadline_exceeded);
            }
        }
        WHEN("its id cannot be recorded") {
            effects = {};
            table.record_failed(job, effects);
            THEN("its outcome is unknown, and the same id may be submitted again") {
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.kind == outcome_kind::unknown);
                submit(make_job("hold-1"), 2);
                CHECK(effects.records.size() == 1);
            }
        }
        WHEN("the owner has lost its lease by the time the id is recorded") {
            effects = {};
            table.recorded(job, false, now, effects);
            THEN("no task is placed and the outcome is unknown") {
                CHECK(effects.placements.empty());
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.kind == outcome_kind::unknown);
            }
        }
        WHEN("it is cancelled before its id is recorded") {
            effects = {};
            table.cancel(customer_id{"caroni"}, submission_id{"hold-1"}, {self, correlation{5}}, now, effects);
            table.recorded(job, true, now, effects);
            THEN("no task is placed, and both callers are told that it was not run") {
                CHECK(effects.placements.empty());
                REQUIRE(effects.answers.size() == 2);
                CHECK(effects.answers[0].result.kind == outcome_kind::not_run);
            }
        }
    }
    GIVEN("a job that was refused because the owner is overloaded") {
        admission conditions;
        conditions.refusal = errc::overloaded;
        submit(make_job("hold-2"), 1, conditions);
        REQUIRE(effects.records.size() == 1);
        CHECK(effects.answers.empty());
        const auto job = effects.records.front().job;
        effects = {};
        table.recorded(job, true, now, effects);
        REQUIRE(effects.answers.size() == 1);
        CHECK(effects.answers[0].result.kind == outcome_kind::not_run);
        THEN("the refusal is final: a resubmission gets the same answer") {
            submit(make_job("hold-2"), 2);
            REQUIRE(effects.answers.size() == 1);
            CHECK(effects.answers[0].result.kind == outcome_kind::not_run);
            CHECK(effects.records.empty());
        }
    }
    GIVEN("an id that an earlier owner may have run") {
        table.mark_may_have_run(submission_key("caroni", "hold-3"), now);
        submit(make_job("hold-3"), 1);
        THEN("it is not run, and its outcome is unknown") {
            REQUIRE(effects.answers.size() == 1);
            CHECK(effects.answers[0].result.kind == outcome_kind::unknown);
            CHECK(effects.answers[0].result.code == errc::outcome_lost);
        }
    }
    GIVEN("a table that has reached its size limit") {
        owner_table_settings tight;
        tight.max_bytes = 1'500;
        owner_table small{tight};
        owner_effects out;
        small.submit(make_job("a"), {}, {self, correlation{1}}, now, out);
        small.submit(make_job("b"), {}, {self, correlation{2}}, now, out);
        THEN("the next submission is refused with an unknown outcome") {
            REQUIRE(out.answers.size() == 1);
            CHECK(out.answers[0].result.code == errc::table_full);
            CHECK(out.answers[0].result.kind == outcome_kind::unknown);
        }
    }
}
