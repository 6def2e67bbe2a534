#include "codec.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using namespace heathermoor::platform;

namespace {

constexpr auto id = "5c0e7a21d94b36f8";

} // namespace

SCENARIO("Jobs are decoded from request bodies", "[platform][codec]") {
    GIVEN("a complete job") {
        const auto decoded = decode_job(id, R"({"spec":"x","best_effort":true,"steps":[
            {"count":4,"cpu":500,"mem_mb":256,"est_runtime_ms":900,"affinity":"r1-3","anti_affinity":2},
            {"count":2,"cpu":700,"after":[0],"requires":"b"}]})");
        REQUIRE(decoded.error == errc::ok);
        REQUIRE(decoded.job.steps.size() == 2);
        CHECK(decoded.job.steps[0].need == resources{500, 256, 0});
        CHECK(decoded.job.steps[0].max_per_target == 2);
        CHECK(decoded.job.steps[1].after == std::vector<std::uint32_t>{0});
        CHECK(decoded.job.steps[1].required_label == "b");
    }
    GIVEN("malformed bodies") {
        const auto *body =
            GENERATE("", "[]", "{", R"({"best_effort":true})", R"({"best_effort":true,"steps":{}})", R"({"best_effort":true,"steps":[1]})",
                     R"({"best_effort":true,"steps":[{"count":0}]})", R"({"best_effort":true,"steps":[{"count":-1}]})",
                     R"({"best_effort":true,"steps":[{"count":1,"cpu":"x"}]})", R"({"best_effort":true,"steps":[{"count":1,"after":[0]}]})",
                     R"({"best_effort":true,"spec":1,"steps":[{"count":1}]})");
        CHECK(decode_job(id, body).error == errc::malformed_request);
    }
    GIVEN("an invalid job identifier") {
        CHECK(decode_job("x", R"({"best_effort":true,"steps":[{"count":1}]})").error == errc::malformed_request);
    }
    GIVEN("jobs that use unsupported features") {
        const auto *body = GENERATE(R"({"steps":[{"count":1}]})", R"({"best_effort":true,"repeat_count":2,"steps":[{"count":1}]})",
                                    R"({"best_effort":true,"steps":[{"count":1,"gang":true}]})",
                                    R"({"best_effort":true,"steps":[{"count":1,"fills":true}]})");
        CHECK(decode_job(id, body).error == errc::not_supported);
    }
    GIVEN("jobs with too many tasks or none") {
        CHECK(decode_job(id, R"({"best_effort":true,"steps":[{"count":100000}]})").error == errc::too_many_tasks);
        CHECK(decode_job(id, R"({"best_effort":true,"steps":[]})").error == errc::no_tasks);
    }
}

SCENARIO("Malformed entries of targets are rejected", "[platform][codec]") {
    const std::string valid_entry =
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":16000,"mem_mb":9},"labels":["a"],"born":7})";
    const auto entry = decode_target("i-1", valid_entry);
    REQUIRE(entry);
    CHECK(entry->capacity == resources{16'000, 9, 0});
    CHECK(entry->boot == target_boot{7});
    CHECK_FALSE(entry->draining);
    const auto *malformed =
        GENERATE("", "\xff\xfe", R"({"service":"s"})", R"({"service":1,"address":"a","state":"ready","capacity":{}})",
                 R"({"service":"s","address":"a","state":"sleeping","capacity":{}})", R"({"service":"s","address":"a","state":"ready"})",
                 R"({"service":"s","address":"a","state":"ready","capacity":{"cpu":"x"}})",
                 R"({"service":"s","address":"a","state":"ready","capacity":{},"labels":[1]})");
    CHECK_FALSE(decode_target("i-1", malformed));
}

SCENARIO("Orders are encoded and answers of targets are decoded", "[platform][codec]") {
    const job::task_ref task{job_id{id}, 1, 17};
    pool::start_order order{{target_id{"i-1"}, "a", fencing_token{7}}, task, run_number{2}, "a \"text\"", lease::target_time{486'000}};
    CHECK(encode_start(order) == R"({"fencing_token":7,"run":2,"spec":"a \"text\"","task":"5c0e7a21d94b36f8.0.1.17","until_ms":486000})");
    CHECK(encode_stop({order.to, task, run_number{2}}) == R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"fencing_token":7})");
    CHECK(encode_report_order({order.to, pool::report_purpose::follow, lease::target_time{9}, end_number{57}, milliseconds{250}}) ==
          R"({"fencing_token":7,"last_seen":57,"until_ms":9,"wait_ms":250})");

    THEN("each status and reason maps to an outcome") {
        using lease::order_outcome;
        CHECK(decode_answer(200, R"({"clock_ms":5})").outcome == order_outcome::done);
        CHECK(decode_answer(409, R"({"reason":"fence"})").outcome == order_outcome::fenced);
        CHECK(decode_answer(409, R"({"reason":"old"})").outcome == order_outcome::stale_run);
        CHECK(decode_answer(409, R"({"reason":"late"})").outcome == order_outcome::too_late);
        CHECK(decode_answer(409, R"({"reason":"room"})").outcome == order_outcome::no_capacity);
        CHECK(decode_answer(421, "").outcome == order_outcome::wrong_instance);
        CHECK(decode_answer(503, "").outcome == order_outcome::unavailable);
        CHECK(decode_answer(500, "").outcome == order_outcome::unanswered);
        CHECK(decode_answer(200, "{").outcome == order_outcome::done);
    }
    THEN("a malformed report is rejected as a whole") {
        const auto report = decode_report(
            R"({"clock_ms":482113,"born":3,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00",41,900]],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
        REQUIRE(report);
        CHECK(report->running.front().task == task);
        CHECK(report->running.front().percent == 41);
        CHECK(report->ended.front().number == end_number{58});
        CHECK(report->ended.front().how == lease::run_end::done);
        const auto *malformed =
            GENERATE("", "[]", R"({"clock_ms":1})", R"({"clock_ms":1,"running":[[]],"ended":[]})",
                     R"({"clock_ms":1,"running":[["nodots",1,"",0]],"ended":[]})", R"({"clock_ms":-1,"running":[],"ended":[]})");
        CHECK_FALSE(decode_report(malformed));
    }
}

SCENARIO("A malformed configuration is rejected as a whole", "[platform][codec]") {
    const auto decoded = decode_config(
        R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","timeout_ms":1500,"target_latency_ms":60,"priority":2,
            "service":"s","max_attempts":2,"stretch":1.6}],"limits":{"max_body_bytes":1000,"idle_timeout_ms":5}})");
    const auto &config = decoded.config;
    REQUIRE(config);
    CHECK(decoded.version == config_version{7});
    CHECK(decoded.problem.empty());
    CHECK(config->version == config_version{7});
    CHECK(config->routes.front().queue.priority == 2);
    CHECK(config->limits.body_bytes == 1'000);
    CHECK(config->limits.idle_timeout == milliseconds{5});
    const auto *malformed =
        GENERATE("", "{}", R"({"version":1})", R"({"version":"x","routes":[]})", R"({"version":1,"routes":[{}]})",
                 R"({"version":1,"routes":[],"limits":7})", R"({"version":1,"routes":[],"limits":{"idle_timeout_ms":"soon"}})");
    CHECK_FALSE(decode_config(malformed).config);
    THEN("the version and the malformed field are named") {
        const auto rejected = decode_config(R"({"version":9,"routes":[{"name":"r","service":"s"},{"name":"q"}]})");
        CHECK_FALSE(rejected.config);
        CHECK(rejected.version == config_version{9});
        CHECK(rejected.problem == "routes.1");
    }
}

SCENARIO("Requests to evacuate are known by their keys", "[platform][codec][evacuation]") {
    CHECK(decode_evacuation("evacuate/caroni") == failure_domain_id{"caroni"});
    CHECK(decode_evacuation("evacuate/") == failure_domain_id{});
    CHECK(decode_evacuation("evacuate/a/b") == failure_domain_id{"a/b"});
    CHECK(decode_evacuation("evacuate/\xc3\xa9t\xc3\xa9") == failure_domain_id{"\xc3\xa9t\xc3\xa9"});
    CHECK(decode_evacuation("evacuate/\xff\xfe") == failure_domain_id{});
    CHECK(decode_evacuation("evacuate/line\nbreak") == failure_domain_id{});
    CHECK_FALSE(decode_evacuation("config"));
    CHECK_FALSE(decode_evacuation("evacuate"));
    CHECK_FALSE(decode_evacuation("wave/evacuate/caroni"));
    CHECK_FALSE(decode_evacuation(""));
}
