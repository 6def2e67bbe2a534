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

TEST_CASE("A submission at its owner", "[submission]") {
    owner_table table;
    owner_effects effects;
    time_point now{seconds{1}};
    const auto submit = [&](job_spec spec, std::uint64_t request, admission terms = {}) {
        effects = {};
        table.submit(std::move(spec), terms, {self, correlation{request}}, now, effects);
    };
    const auto end = [&](job_handle job, std::uint32_t index, task_report report, errc code = errc::ok) {
        effects = {};
        table.task_ended(job, {index, 0, report, code, "{}"}, false, now, effects);
    };
    GIVEN("a job of two tasks that waits to be recorded") {
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
            THEN("a resubmission joins, and both callers get one whole answer") {
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
                AND_THEN("after the retention it is refused, not run") {
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
            THEN("the id with another body is a conflict and changes nothing") {
                submit(make_job("hold-1", 2, 9), 2);
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.code == errc::submission_conflict);
                CHECK(effects.answers[0].result.kind == outcome_kind::unknown);
            }
            THEN("one failed task fails the job as a whole and cancels the rest") {
                end(job, 0, task_report::failed, errc::task_failed);
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.kind == outcome_kind::failed);
                CHECK(effects.answers[0].result.results.empty());
                CHECK(effects.cancels.size() == 1);
            }
            THEN("an ambiguous task makes the outcome unknown") {
                end(job, 0, task_report::unknown, errc::task_outcome_unknown);
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.kind == outcome_kind::unknown);
            }
            THEN("tasks that never started make it \"not run\"") {
                end(job, 0, task_report::not_started, errc::overloaded);
                CHECK(effects.answers.empty());
                end(job, 1, task_report::not_started, errc::cancelled);
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.kind == outcome_kind::not_run);
            }
            THEN("a repeated or late result is ignored") {
                end(job, 0, task_report::done);
                end(job, 0, task_report::failed);
                CHECK(effects.answers.empty());
                end(job, 1, task_report::done);
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.kind == outcome_kind::complete);
            }
            THEN("a lost dispatcher host makes the outcome unknown") {
                effects = {};
                table.host_lost(self, now, effects);
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.code == errc::task_outcome_unknown);
            }
            THEN("at the deadline it is cancelled, and \"not run\" only if every task says so") {
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
        WHEN("it cannot be recorded") {
            effects = {};
            table.record_failed(job, effects);
            THEN("its outcome is unknown, and the id may be submitted again") {
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.kind == outcome_kind::unknown);
                submit(make_job("hold-1"), 2);
                CHECK(effects.records.size() == 1);
            }
        }
        WHEN("the owner lost its lease before the start") {
            effects = {};
            table.recorded(job, false, now, effects);
            THEN("nothing starts") {
                CHECK(effects.placements.empty());
                REQUIRE(effects.answers.size() == 1);
                CHECK(effects.answers[0].result.kind == outcome_kind::unknown);
            }
        }
        WHEN("it is cancelled before it was recorded") {
            effects = {};
            table.cancel(customer_id{"caroni"}, submission_id{"hold-1"}, {self, correlation{5}}, now, effects);
            table.recorded(job, true, now, effects);
            THEN("it never runs, and both callers learn so") {
                CHECK(effects.placements.empty());
                REQUIRE(effects.answers.size() == 2);
                CHECK(effects.answers[0].result.kind == outcome_kind::not_run);
            }
        }
    }
    GIVEN("an overloaded owner") {
        admission terms;
        terms.refusal = errc::overloaded;
        submit(make_job("hold-2"), 1, terms);
        REQUIRE(effects.records.size() == 1);
        CHECK(effects.answers.empty());
        const auto job = effects.records.front().job;
        effects = {};
        table.recorded(job, true, now, effects);
        REQUIRE(effects.answers.size() == 1);
        CHECK(effects.answers[0].result.kind == outcome_kind::not_run);
        THEN("the refusal is final: a copy of the submission is refused too") {
            submit(make_job("hold-2"), 2);
            REQUIRE(effects.answers.size() == 1);
            CHECK(effects.answers[0].result.kind == outcome_kind::not_run);
            CHECK(effects.records.empty());
        }
    }
    GIVEN("an id that an earlier owner may have run") {
        table.mark_may_have_run(submission_key("caroni", "hold-3"), now);
        submit(make_job("hold-3"), 1);
        THEN("it is neither run nor called \"not run\"") {
            REQUIRE(effects.answers.size() == 1);
            CHECK(effects.answers[0].result.kind == outcome_kind::unknown);
            CHECK(effects.answers[0].result.code == errc::outcome_lost);
        }
    }
    GIVEN("a table at its bound") {
        owner_table_settings tight;
        tight.max_bytes = 1'500;
        owner_table small{tight};
        owner_effects out;
        small.submit(make_job("a"), {}, {self, correlation{1}}, now, out);
        small.submit(make_job("b"), {}, {self, correlation{2}}, now, out);
        THEN("the next submission is started nowhere and told so without \"not run\"") {
            REQUIRE(out.answers.size() == 1);
            CHECK(out.answers[0].result.code == errc::table_full);
            CHECK(out.answers[0].result.kind == outcome_kind::unknown);
        }
    }
}
