#include "support/loopback_deployment.hpp"
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

using namespace heathermoor::test;
using json = nlohmann::json;

namespace {

const std::string token = "caroni-mats-token";

[[nodiscard]] std::string job(const std::string &id, const std::string &tasks) {
    return R"({"customer":"caroni-mats","service":"matloom","submission_id":")" + id + R"(","tasks":)" + tasks + "}";
}

[[nodiscard]] std::string repeated(const std::string &text, std::size_t count) {
    std::string out;
    for(std::size_t index = 0; index < count; ++index) {
        out += text;
    }
    return out;
}

} // namespace

TEST_CASE("The HTTP interface for clients", "[contract][callers]") {
    loopback_deployment system{{read_source_file("examples/caroni/stock.yaml"), read_source_file("examples/caroni/matloom.yaml")}, "loom"};
    REQUIRE(system.wait_until_ready());
    SECTION("malformed and oversized input gets a typed error, and the next job runs") {
        struct invalid_input {
            std::string description;
            std::string body;
            int status;
            std::string code;
        };
        const std::string many = "[" + repeated(R"({"request":"hold"},)", 999) + R"({"request":"hold"}])";
        const std::vector<invalid_input> table{
            {"a body of 10 MB", job("big", "[]") + std::string(10U << 20U, ' '), 413, "body_too_large"},
            {"1,000 tasks", job("many", many), 400, "too_many_tasks"},
            {"deep nesting", job("deep", R"([{"request":"hold","body":)" + repeated("[", 5'000) + repeated("]", 5'000) + "}]"), 400,
             "malformed_request"},
            {"invalid UTF-8", job("utf", "[{\"request\":\"hold\",\"body\":\"\xff\xfe\"}]"), 400, "malformed_request"},
            {"a number in place of a text", job("num", R"([{"request":5}])"), 400, "malformed_request"},
            {"a huge number", job("huge", R"([{"request":"hold","size_hint_ms":1e300}])"), 400, "malformed_request"},
            {"an id of 1,000 characters", job(std::string(1'000, 'a'), R"([{"request":"hold"}])"), 400, "invalid_submission_id"},
            {"an empty id", job("", R"([{"request":"hold"}])"), 400, "malformed_request"},
        };
        for(const auto &row: table) {
            INFO(row.description);
            const auto [status, body] = system.send("POST", "/v1/jobs", row.body, token);
            CHECK(status == row.status);
            CHECK(json::parse(body).value("code", std::string{}) == row.code);
        }
        const auto [status, body] = system.send("POST", "/v1/jobs", job("after", R"([{"request":"hold"}])"), token);
        CHECK(status == 200);
    }
    SECTION("one submission sent many times at once runs once, and every client gets the same complete answer") {
        std::vector<std::thread> callers;
        std::vector<std::pair<int, std::string>> answers(16);
        for(auto &answer: answers) {
            callers.emplace_back([&] {
                answer =
                    system.send("POST", "/v1/jobs", job("same", R"([{"request":"hold","body":1},{"request":"hold","body":2}])"), token);
            });
        }
        for(auto &caller: callers) {
            caller.join();
        }
        int complete = 0;
        for(const auto &[status, body]: answers) {
            UNSCOPED_INFO("answer " << status << " " << body);
            complete += status == 200 && json::parse(body)["results"] == json::array({1, 2}) ? 1 : 0;
        }
        CHECK(complete == 16);
        CHECK(system.starts("caroni-mats/same/0") == 1);
        CHECK(system.starts("caroni-mats/same/1") == 1);
    }
    SECTION("ids issued by the host are unique and run once, and the outcome of an altered id is reported as lost") {
        const auto [status, body] = system.send("POST", "/v1/submission-ids", R"({"count":3})", token);
        REQUIRE(status == 200);
        const auto ids = json::parse(body)["ids"];
        REQUIRE(ids.size() == 3);
        CHECK(ids[0] != ids[1]);
        const auto id = ids[0].get<std::string>();
        CHECK(system.send("POST", "/v1/jobs", job(id, R"([{"request":"hold"}])"), token).first == 200);
        CHECK(system.send("POST", "/v1/jobs", job(id, R"([{"request":"hold"}])"), token).first == 200);
        CHECK(system.starts("caroni-mats/" + id + "/0") == 1);
        auto foreign = id;
        foreign.replace(foreign.find(".1."), 3, ".f.");
        const auto [other, answer] = system.send("POST", "/v1/jobs", job(foreign, R"([{"request":"hold"}])"), token);
        CHECK(other == 503);
        CHECK(json::parse(answer)["not_run"] == false);
        CHECK(json::parse(answer)["code"] == "outcome_lost");
    }
    SECTION("health, readiness, metrics and status answer") {
        CHECK(system.send("GET", "/healthz", "", "").first == 200);
        CHECK(system.send("GET", "/readyz", "", "").first == 200);
        CHECK(system.send("GET", "/metrics", "", "").second.find("# TYPE heathermoor_response_ms summary") != std::string::npos);
        CHECK(json::parse(system.send("GET", "/v1/status", "", "").second)["partitions_serving"] == 64);
    }
}
