#include "heathermoor/pool/job_forecast.hpp"

#include "heathermoor/pool/run_time_estimator.hpp"
#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using namespace heathermoor;
using pool::job_forecast;
using pool::run_time_sample;

namespace {

constexpr double usual_ms = 700.0;

[[nodiscard]] job_forecast usual_job() {
    return job_forecast{{std::log(usual_ms), 0.16, 0.0225}};
}

} // namespace

SCENARIO("A job's end is predicted from its last task, not from a typical one", "[pool]") {
    const auto job = usual_job();
    CHECK(to_ms(job.typical()) == Approx(usual_ms).epsilon(0.001));
    THEN("the more tasks, the later the last one ends") {
        CHECK(job.longest(1) == job.typical());
        CHECK(to_ms(job.longest(4)) == Approx(usual_ms * std::exp(0.15 * 1.03)).epsilon(0.02));
        CHECK(job.longest(8) > job.longest(4));
    }
    THEN("the chance of being in time falls with the number of tasks and rises with time and speed") {
        const auto left = milliseconds{900};
        CHECK(job.chance(4, left, 1.0) < job.chance(1, left, 1.0));
        CHECK(job.chance(4, 2 * left, 1.0) > job.chance(4, left, 1.0));
        CHECK(job.chance(4, left, 2.0) == Approx(job.chance(4, 2 * left, 1.0)));
        CHECK(job.chance(4, duration{0}, 1.0) == 0.0);
    }
    THEN("the time for a chance is the inverse of the chance") {
        for(const auto chance: {0.03, 0.2, 0.5, 0.9}) {
            CHECK(job.chance(4, job.time_for(chance, 4), 1.0) == Approx(chance).epsilon(0.01));
        }
    }
}

SCENARIO("What some tasks of a job have shown holds for its others", "[pool]") {
    auto job = usual_job();
    const auto left = milliseconds{1'400};
    REQUIRE(job.chance(2, left, 1.0) > 0.9);
    GIVEN("two tasks that took three times as long as predicted") {
        job.observe({std::log(3 * usual_ms), 0});
        job.observe({std::log(3 * usual_ms), 0});
        CHECK(to_ms(job.typical()) > 2.5 * usual_ms);
        CHECK(job.chance(2, left, 1.0) < 0.05);
    }
    GIVEN("a job of another kind, whose first task is at one percent after a seventh of the predicted time") {
        const job_forecast narrow{{std::log(usual_ms), 0.02, 0.01}};
        auto surprised = narrow;
        surprised.observe({std::log(10 * usual_ms), 0.04});
        THEN("the prediction hardly counts any more") {
            CHECK(surprised.typical() > from_ms(9 * usual_ms));
        }
    }
    GIVEN("a task of which the progress is known only roughly") {
        auto rough = job;
        rough.observe({std::log(3 * usual_ms), 0.04});
        auto exact = job;
        exact.observe({std::log(3 * usual_ms), 0});
        CHECK(rough.typical() > job.typical());
        CHECK(rough.typical() < exact.typical());
    }
}

SCENARIO("A run is judged by what it has shown, a move also by its job", "[pool]") {
    auto job = usual_job();
    GIVEN("a run on a slow target that will take 1.6 s there") {
        constexpr double slow = 0.5;
        const run_time_sample sample{std::log(1'600.0 * slow), 0.001};
        job.observe(sample);
        CHECK(job_forecast::chance_here(sample, milliseconds{1'500}, slow) < 0.05);
        CHECK(job.chance_again(sample, milliseconds{1'200}, 1.2) > 0.95);
        CHECK(job.chance_again(sample, milliseconds{600}, 1.2) < 0.2);
    }
}

// Guards against one figure for all jobs: without the spread of a queue, half of the jobs run longer than predicted.
SCENARIO("The spread between and within jobs is learned from finished tasks", "[pool]") {
    constexpr double job_deviation = 0.5;
    constexpr double task_deviation = 0.1;
    pool::run_time_estimator model;
    const queue_id queue{"q"};
    std::mt19937_64 random{7};
    std::normal_distribution<double> normal;
    for(int job = 0; job < 400; ++job) {
        const auto log_ms = std::log(usual_ms) + job_deviation * normal(random);
        double sum = 0;
        for(int task = 0; task < 4; ++task) {
            const auto task_log_ms = log_ms + task_deviation * normal(random);
            const auto observed = from_ms(std::exp(task_log_ms));
            if(task > 0) {
                model.observe_within_job(queue, observed, sum / task, static_cast<std::size_t>(task));
            }
            model.observe(queue, milliseconds{0}, observed, 1.0);
            sum += task_log_ms;
        }
    }
    const auto prediction = model.predict_job(queue, milliseconds{0});
    CHECK(std::sqrt(prediction.job_variance) == Approx(job_deviation).epsilon(0.2));
    CHECK(std::sqrt(prediction.task_variance) == Approx(task_deviation).epsilon(0.25));
    THEN("a queue without tasks has generic spreads") {
        const auto unknown = model.predict_job(queue_id{"other"}, milliseconds{100});
        CHECK(unknown.job_variance > 0.1);
        CHECK(unknown.task_variance > 0.01);
    }
    THEN("a successor predicts the same") {
        pool::run_time_estimator successor;
        for(const auto &known: model.learned()) {
            successor.restore(known);
        }
        CHECK(successor.predict_job(queue, milliseconds{0}).job_variance == Approx(prediction.job_variance));
    }
}
