#include "heathermoor/trace/explanation.hpp"

#include "heathermoor/trace/breakdown.hpp"
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <sstream>

using namespace heathermoor;

namespace {

constexpr auto refused_log = R"(
10.1 front-a {"time":"T10.100","level":"info","host":"a","part":"member","event":"leader_changed","leader":"b:1","term":7,"jobs":3}
{"time":"T10.300","level":"info","host":"b","part":"pool","event":"job_answered","job":"00000000000000aa","queue":"q","outcome":"refused","reason":"overloaded","age_ms":30.0,"objective_ms":120.0,"last_start_ms":0.0,"last_run":0}
{"time":"T10.301","level":"info","host":"a","part":"gateway","event":"job_ended","job":"00000000000000aa","outcome":"refused","reason":"overloaded","callers":1}
{"time":"T10.302","level":"info","host":"a","part":"callers","event":"request_answered","request":"r-1","job":"00000000000000aa","queue":"q","outcome":"refused","reason":"overloaded","waited_ms":31.0}
)";

constexpr auto takeover_log = R"(
{"time":"T20.000","level":"info","host":"a","part":"gateway","event":"job_handed","job":"00000000000000bb","leader":"b:1","term":7,"clear_in_ms":0.0}
{"time":"T20.200","level":"info","host":"a","part":"member","event":"leader_changed","leader":"c:1","term":8,"jobs":1}
{"time":"T20.201","level":"info","host":"a","part":"gateway","event":"job_handed","job":"00000000000000bb","leader":"c:1","term":8,"clear_in_ms":840.0}
{"time":"T20.700","level":"info","host":"c","part":"pool","event":"job_answered","job":"00000000000000bb","queue":"q","outcome":"unknown","reason":"leader_lost","age_ms":700.0,"objective_ms":120.0,"last_run":0}
not a line of the log
{"time":"T20.702","level":"info","host":"a","part":"callers","event":"request_answered","request":"r-2","job":"00000000000000bb","queue":"q","outcome":"unknown","reason":"leader_lost","waited_ms":702.0}
)";

constexpr auto late_log = R"(
{"time":"T30.500","level":"info","host":"b","part":"pool","event":"run_ended","job":"00000000000000cc","step":0,"index":1,"run":1,"target":"t9","how":"failed","elapsed_ms":50.0}
{"time":"T30.900","level":"info","host":"b","part":"pool","event":"job_answered","job":"00000000000000cc","queue":"q","outcome":"completed","reason":"ok","age_ms":600.0,"objective_ms":200.0,"last_start_ms":450.0,"last_run":2}
)";

constexpr auto large_log = R"(
{"time":"T33.0","level":"info","host":"b","part":"pool","event":"run_moved","job":"00000000000000dd","index":4,"target":"t9","percent":8,"elapsed_ms":174.0,"left_ms":1169.0}
{"time":"T33.0","level":"info","host":"b","part":"pool","event":"run_too_slow","job":"00000000000000dd","index":2,"target":"t7","percent":8,"elapsed_ms":192.0,"left_ms":1169.0}
{"time":"T33.0","level":"info","host":"b","part":"pool","event":"job_answered","job":"00000000000000dd","queue":"q","size":"largest_tenth","outcome":"unknown","reason":"deadline_unreachable","age_ms":194.0,"tasks":6,"moves":1,"estimate_ms":1895.0,"predicted_ms":1029.0,"expected_ms":1700.0}
)";

constexpr auto stale_config_log = R"(
{"time":"T10.020","level":"info","host":"a","part":"config","event":"config_in_force","version":10,"before":6,"by":"store"}
{"time":"T11.800","level":"warning","host":"a","part":"confirmation","event":"source_lost","subject":"target_list","source":"store","peer":"","reason":"overdue","confirmed_by":"store","age_ms":1400.0}
{"time":"T12.090","level":"warning","host":"a","part":"confirmation","event":"source_lost","subject":"configuration","source":"peer","peer":"b:1","reason":"expired","confirmed_by":"store","age_ms":8064.8}
{"time":"T12.090","level":"warning","host":"b","part":"confirmation","event":"source_lost","subject":"configuration","source":"peer","peer":"a:1","reason":"expired","confirmed_by":"store","age_ms":8064.8}
{"time":"T18.660","level":"info","host":"a","part":"callers","event":"request_served","request":"r-3","method":"GET","path":"/p/","queue":"q","status":200,"config_version":10,"config_age_ms":14635.0}
)";

[[nodiscard]] std::vector<trace::record> read(const char *log) {
    std::vector<trace::record> records;
    std::istringstream in{log};
    (void)trace::read_log(in, records);
    return records;
}

} // namespace

SCENARIO("An operator looks up a request; the logs of all hosts give the cause of its outcome", "[trace]") {
    GIVEN("a request that was refused") {
        const auto result = trace::explain(read(refused_log), "r-1");
        THEN("the scheduler's line decided it, found through the job of the request") {
            REQUIRE(result.decided());
            CHECK(result.lines[result.deciding].event == "job_answered");
            CHECK(result.lines[result.deciding].host == "b");
            CHECK(result.cause.find("refused before anything ran") != std::string::npos);
        }
        THEN("a leader change before the first line of the request is left out") {
            CHECK(result.lines.front().event == "job_answered");
        }
    }
    GIVEN("a request handled by a configuration that had not been confirmed for long") {
        const auto result = trace::explain(read(stale_config_log), "r-3");
        THEN("the cause says since when, and the lines before it which source was lost") {
            REQUIRE(result.lines.size() == 3);
            CHECK(result.lines[0].event == "config_in_force");
            CHECK(result.lines[1].event == "source_lost");
            CHECK(result.lines[1].value("subject") == "configuration");
            CHECK(result.lines[1].host == "a");
            CHECK(result.cause.find("status 200") != std::string::npos);
            CHECK(result.cause.find("had not been confirmed for 14635") != std::string::npos);
        }
    }
    GIVEN("a request lost around a takeover") {
        const auto result = trace::explain(read(takeover_log), "r-2");
        THEN("the change of leader is listed between its two hand-overs") {
            REQUIRE(result.lines.size() == 5);
            CHECK(result.lines[1].event == "leader_changed");
            CHECK(result.cause.find("earlier leader") != std::string::npos);
        }
    }
    GIVEN("a job that was late after a failed run") {
        const auto result = trace::explain(read(late_log), "00000000000000cc");
        CHECK(result.lines.size() == 2);
        CHECK(result.cause.find("completed late") != std::string::npos);
        CHECK(result.cause.find("450.0") != std::string::npos);
    }
    GIVEN("a large job that was given up because of one slow run") {
        const auto result = trace::explain(read(large_log), "00000000000000dd");
        THEN("the cause names its size, what was known of its run times, and the run that decided it") {
            CHECK(result.cause.find("size largest_tenth, 6 tasks, estimated 1895.0 ms, predicted 1029.0 ms") != std::string::npos);
            CHECK(result.cause.find("1 runs moved") != std::string::npos);
            CHECK(result.cause.find("task 2 on t7 was at 8 % after 192.0 ms, with 1169.0 ms left") != std::string::npos);
        }
    }
    GIVEN("an identifier that no line mentions") {
        const auto result = trace::explain(read(late_log), "r-404");
        CHECK(result.lines.empty());
        CHECK_FALSE(result.decided());
        CHECK_FALSE(result.cause.empty());
    }
}

SCENARIO("The breakdown counts outcomes by queue and reason", "[trace]") {
    trace::breakdown all;
    for(const auto *log: {refused_log, takeover_log, late_log}) {
        for(const auto &line: read(log)) {
            all.add(line);
        }
    }
    REQUIRE(all.queues().size() == 1);
    const auto queues = all.queues();
    const auto &queue = queues.at("q").all;
    CHECK(queue.late == 1);
    CHECK(queue.in_time == 0);
    CHECK(queue.again == 1);
    CHECK(queue.reasons.at("overloaded") == 1);
    CHECK(queue.reasons.at("leader_lost") == 1);
}

// Guards against a breakdown by queue only, in which the loss of most of the largest jobs could not be seen.
SCENARIO("The breakdown shows a group that is served far worse than its queue", "[trace]") {
    constexpr int jobs = 200;
    constexpr int largest = jobs / 10;
    trace::breakdown all;
    const auto answer = [&all](int job, bool completed, double work, const char *from) {
        const auto line = fmt::format(
            R"({{"time":"T1","host":"b","part":"pool","event":"job_answered","job":"{}","queue":"q","from":"{}","outcome":"{}",)"
            R"("reason":"{}","age_ms":100.0,"objective_ms":200.0,"work_core_s":{},"predicted_ms":100.0,"expected_ms":150.0,"moves":1}})",
            job, from, completed ? "completed" : "unknown", completed ? "ok" : "deadline_unreachable", work);
        all.add(*trace::read_record(line));
    };
    GIVEN("a queue whose largest tenth is hardly served") {
        for(int job = 0; job < jobs; ++job) {
            answer(job, job >= largest || job < 5, jobs - job, job % 2 == 0 ? "a" : "c");
        }
        const auto queue = all.queues().at("q");
        REQUIRE(queue.sizes.size() == 3);
        CHECK(queue.sizes[0].second.jobs == largest);
        CHECK(queue.sizes[0].second.served() == Approx(0.25));
        CHECK(queue.sizes[0].second.reasons.at("deadline_unreachable") == 15);
        CHECK(queue.sizes[1].second.served() == Approx(1.0));
        CHECK(queue.sizes[1].second.jobs == 2 * largest);
        CHECK(queue.hosts.size() == 2);
        CHECK(all.to_string().find("short: of q largest_tenth 0.25 were served, of all 0.93") != std::string::npos);
    }
    GIVEN("a queue whose jobs from one host are hardly served") {
        for(int job = 0; job < jobs; ++job) {
            answer(job, job % 5 != 0, 1.0, job % 5 == 0 ? "far" : "near");
        }
        CHECK(all.to_string().find("short: of q from far 0.00 were served, of all 0.80") != std::string::npos);
    }
    GIVEN("a job that one scheduler gave up and the next one completed") {
        answer(1, false, 1.0, "a");
        answer(1, true, 1.0, "a");
        answer(1, false, 1.0, "a");
        CHECK(all.queues().at("q").all.jobs == 1);
        CHECK(all.queues().at("q").all.in_time == 1);
    }
}

SCENARIO("Lines that are not events are counted and skipped", "[trace]") {
    for(const auto *line: {"", "text", "{", "{\"time\":1", "[1]", R"({"event":"x"})", R"({"time":"t"})", "{}\xff"}) {
        CHECK_FALSE(trace::read_record(line));
    }
    std::vector<trace::record> records;
    std::istringstream in{takeover_log};
    CHECK(trace::read_log(in, records) == 2);
}
