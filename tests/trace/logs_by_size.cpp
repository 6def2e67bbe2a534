#include "heathermoor/adapter/service_metrics.hpp"
#include "heathermoor/core/event.hpp"
#include "heathermoor/core/log.hpp"
#include "heathermoor/trace/breakdown.hpp"
#include "heathermoor/trace/explanation.hpp"
#include "support/pool_world.hpp"
#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace heathermoor;
using test::pool_world;

namespace {

/// Reads every log line back as an operator's tool would.
struct recording_sink final : event_sink {
    recording_sink() {
        set_log_level(log_level::info);
        set_event_sink(this);
    }
    ~recording_sink() override {
        set_event_sink(nullptr);
        set_log_level(log_level::error);
    }
    recording_sink(const recording_sink &) = delete;
    recording_sink &operator=(const recording_sink &) = delete;
    recording_sink(recording_sink &&) = delete;
    recording_sink &operator=(recording_sink &&) = delete;

    void write(log_level, std::string_view json) override {
        auto line = trace::read_record(fmt::format(R"({{"time":"T{:08}","host":"h",{}}})", ++lines, json));
        if(line) {
            records.push_back(std::move(*line));
        } else {
            unreadable.emplace_back(json);
        }
    }

    std::uint64_t lines{};
    std::vector<trace::record> records;
    std::vector<std::string> unreadable;
};

[[nodiscard]] pool_world::options busy_deployment() {
    pool_world::options options;
    options.targets_per_domain = 8;
    options.target_capacity = {64'000, 131'072, 0};
    options.target_speeds = {0.55, 1.2, 1.2, 1.2};
    options.kinds = {{"short", 0, 15, 8, 0.4, 32, 51}, {"long", 2, 6, 4, 0.4, 16, 760, 0.4, 0.15, 0.1}};
    return options;
}

} // namespace

// Guards against logs that cannot show a group that is served worse than the whole: they had neither sizes nor predictions, and an
// infinite speed made a line unreadable.
SCENARIO("The logs and metrics alone show how jobs of each size fared, and why one was lost", "[trace][world]") {
    recording_sink sink;
    pool_world world{busy_deployment()};
    world.run(seconds{2});
    world.set_relative_load(1.3);
    world.run(seconds{15});
    world.set_relative_load(0);
    world.run(seconds{2});
    CHECK(sink.unreadable.empty());

    GIVEN("the breakdown of all lines") {
        trace::breakdown all;
        for(const auto &line: sink.records) {
            all.add(line);
        }
        const auto queues = all.queues();
        REQUIRE(queues.contains("long"));
        const auto &sizes = queues.at("long").sizes;
        REQUIRE(sizes.size() == 3);
        CHECK(sizes[0].second.jobs > 0);
        CHECK(sizes[0].second.jobs + sizes[1].second.jobs + sizes[2].second.jobs == queues.at("long").all.jobs);
        CHECK(queues.at("long").hosts.size() == world.hosts());
    }
    GIVEN("a job that was ended because a run was too slow") {
        const auto slow =
            std::find_if(sink.records.begin(), sink.records.end(), [](const trace::record &line) { return line.event == "run_too_slow"; });
        REQUIRE(slow != sink.records.end());
        const auto result = trace::explain(sink.records, slow->value("job"));
        THEN("its story names its size, the predictions and the run") {
            CHECK(result.cause.find("size ") != std::string::npos);
            CHECK(result.cause.find("known at the end") != std::string::npos);
            CHECK(result.cause.find("was at") != std::string::npos);
        }
    }
    GIVEN("jobs that were placed") {
        const auto placed = [](const trace::record &line) { return line.event == "job_placed"; };
        const auto one = std::find_if(sink.records.begin(), sink.records.end(), placed);
        REQUIRE(one != sink.records.end());
        CHECK(one->number("slowest_speed") > 0);
        CHECK(one->number("predicted_ms") > 0);
    }
    GIVEN("the metrics page of the leader") {
        adapter::service_metrics metrics;
        adapter::service_state state;
        state.queues = world.host(world.leader()).scheduler().counts().queues;
        const auto page = metrics.text(state);
        CHECK(page.find(R"(heathermoor_jobs_total{outcome="completed",queue="long",size="largest_tenth"})") != std::string::npos);
        CHECK(page.find(R"(heathermoor_task_seconds_total{figure="measured",queue="long",size="rest"})") != std::string::npos);
    }
}
