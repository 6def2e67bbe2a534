#include "standin/deployment.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using platform::standin::deployment;
using platform::standin::request_copy;

namespace {

constexpr milliseconds timeout{30'000};
constexpr platform::standin::simulated_work work{milliseconds{1'000}, 4'000};
constexpr std::size_t tasks_per_job = 2;
constexpr int ok = 200;
constexpr int gateway_timeout = 504;

/// Submits a job to a host and waits for its answer.
[[nodiscard]] platform::standin::copy_result send_job(deployment &all, std::optional<milliseconds> deadline) {
    request_copy request;
    request.deadline = deadline;
    all.send_copies(tasks_per_job, work, {request});
    all.finish(timeout);
    return all.copy_results().back();
}

} // namespace

// Guards against ending a job by its queue's timeout while its caller waits: the longest jobs of a queue were hardly ever served.
SCENARIO("A job that runs longer than its queue's timeout is completed while its caller waits", "[platform][end-to-end]") {
    GIVEN("a queue whose timeout is shorter than a task") {
        platform::standin::deployment_options options;
        options.program = HEATHERMOOR_PLATFORM_PROGRAM;
        options.queue_timeout = milliseconds{400};
        deployment all{options};
        for(std::size_t host = 0; host < all.hosts(); ++host) {
            all.start(host);
        }
        REQUIRE(all.wait_ready(all.hosts(), timeout));
        all.run_for(milliseconds{1'000});

        WHEN("a caller waits longer than its job runs") {
            const auto result = send_job(all, milliseconds{20'000});
            THEN("it gets the result") {
                CHECK(result.status.value_or(0) == ok);
                CHECK(result.body.find("completed") != std::string::npos);
                CHECK(all.counts().starts == tasks_per_job);
            }
        }
        WHEN("a caller does not say how long it waits") {
            const auto result = send_job(all, std::nullopt);
            THEN("the timeout of the queue ends its wait") {
                CHECK(result.status.value_or(0) == gateway_timeout);
            }
        }
        WHEN("a caller waits for less than the timeout") {
            const auto result = send_job(all, milliseconds{200});
            THEN("its own limit ends its wait") {
                CHECK(result.status.value_or(0) == gateway_timeout);
            }
        }
    }
}
