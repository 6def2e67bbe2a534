#include "support/scheduler_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace heathermoor;
using namespace heathermoor::pool;
using namespace heathermoor::test;

SCENARIO("A long task waits for a fast target if a slow one would miss its deadline", "[pool]") {
    constexpr milliseconds too_long_for_slow{1'000};
    scheduler_fixture fixture;
    fixture.add_targets(2);
    fixture.learn_speeds();
    fixture.submit("short", "a", 2);
    REQUIRE(fixture.starts.size() == 2);
    REQUIRE(fixture.starts.front().to.target == target_id{"t0"});
    fixture.answer_starts();

    GIVEN("a long task while only the slow target has free capacity") {
        fixture.submit("long", "a", 1, 2, too_long_for_slow);
        CHECK(fixture.starts.empty());
        THEN("it starts on the fast target as soon as that has free capacity") {
            fixture.end({job_id{"short"}, 0, 0}, lease::run_end::done);
            fixture.now += milliseconds{50};
            fixture.answer_reports();
            REQUIRE(fixture.starts.size() == 1);
            CHECK(fixture.starts.front().to.target == target_id{"t0"});
        }
        THEN("it starts on the slow target once there is no other") {
            fixture.leaving.insert(target_id{"t0"});
            fixture.now += milliseconds{50};
            fixture.tick();
            fixture.answer_reports();
            fixture.tick();
            REQUIRE(fixture.starts.size() == 1);
            CHECK(fixture.starts.front().to.target == target_id{"t1"});
        }
    }
    GIVEN("a short task, which the slow target finishes in time") {
        fixture.submit("other", "a", 1);
        REQUIRE(fixture.starts.size() == 1);
        CHECK(fixture.starts.front().to.target == target_id{"t1"});
    }
}

// Guards against late answers where the caller waits for long: slow targets count as good enough, whatever the objective.
SCENARIO("A long task waits a while for a fast target if a slow one would miss its objective", "[pool]") {
    constexpr milliseconds late_on_slow{1'000};
    scheduler_fixture fixture;
    fixture.add_targets(2);
    fixture.learn_speeds();
    fixture.submit("short", "a", 2);
    REQUIRE(fixture.starts.size() == 2);
    REQUIRE(fixture.starts.front().to.target == target_id{"t0"});
    fixture.answer_starts();

    GIVEN("a long task, whose caller waits for long, while only the slow target has free capacity") {
        fixture.caller_waits = milliseconds{10'000};
        fixture.submit("long", "a", 1, 2, late_on_slow);
        CHECK(fixture.starts.empty());
        THEN("it starts on the fast target as soon as that has free capacity") {
            fixture.end({job_id{"short"}, 0, 0}, lease::run_end::done);
            fixture.now += milliseconds{50};
            fixture.answer_reports();
            REQUIRE(fixture.starts.size() == 1);
            CHECK(fixture.starts.front().to.target == target_id{"t0"});
        }
        THEN("it starts on the slow target when it has waited in vain") {
            for(int step = 0; step < 7; ++step) {
                fixture.now += milliseconds{100};
                fixture.tick();
                fixture.answer_reports();
            }
            REQUIRE(fixture.starts.size() == 1);
            CHECK(fixture.starts.front().to.target == target_id{"t1"});
        }
    }
}

// Guards against the collapse of a leader under a burst: each end of a run made it seek a target for every job that waited, so
// that it had the least time for each run when most of them waited.
SCENARIO("The end of a run costs little, however many jobs wait", "[pool]") {
    constexpr int waiting_jobs = 300;
    scheduler_fixture fixture;
    fixture.add_targets(4);
    fixture.learn_speeds();
    GIVEN("full targets and a long queue") {
        for(int count = 0; count < 4; ++count) {
            fixture.submit("running" + std::to_string(count), "a", 2);
        }
        fixture.answer_starts();
        for(int count = 0; count < waiting_jobs; ++count) {
            fixture.submit("waiting" + std::to_string(count), "a", 1);
        }
        const auto before = fixture.subject.counts();
        WHEN("a run ends") {
            fixture.end({job_id{"running0"}, 0, 0}, lease::run_end::done);
            fixture.now += milliseconds{50};
            fixture.answer_reports();
            THEN("its room goes to the first job in the queue, and a target is sought for that one only") {
                REQUIRE(fixture.starts.size() == 1);
                CHECK(fixture.starts.front().task.job == job_id{"waiting0"});
                CHECK(fixture.subject.counts().jobs_tried - before.jobs_tried == 1);
            }
        }
        WHEN("another job arrives") {
            fixture.submit("last", "a", 1);
            THEN("no target is sought for any") {
                CHECK(fixture.subject.counts().jobs_tried == before.jobs_tried);
            }
        }
    }
}

// Guards against placing by the median of one task: half of all tasks run longer, and a job ends with its last one.
SCENARIO("A job of several tasks avoids a target on which its last task would probably be late", "[pool]") {
    constexpr milliseconds probably_late_on_slow{700};
    scheduler_fixture fixture;
    fixture.add_targets(2);
    fixture.learn_speeds();
    fixture.submit("wide", "a", 4, 2, probably_late_on_slow);
    THEN("as many tasks as fit start on the fast target, the others wait for it") {
        REQUIRE(fixture.starts.size() == 2);
        CHECK(fixture.starts[0].to.target == target_id{"t0"});
        CHECK(fixture.starts[1].to.target == target_id{"t0"});
        fixture.answer_starts();
        fixture.end({job_id{"wide"}, 0, 0}, lease::run_end::done);
        fixture.now += milliseconds{400};
        fixture.answer_reports();
        REQUIRE(fixture.starts.size() == 1);
        CHECK(fixture.starts.front().to.target == target_id{"t0"});
    }
}

// Guards against judging each run by itself: the tasks of one job were moved off slow targets one after another, and a task
// that still waited went to a slow target again.
SCENARIO("A waiting task goes by what the running tasks of its job have shown", "[pool]") {
    GIVEN("a job of three tasks of which two run on the fast target, ten times as long as predicted") {
        scheduler_fixture world;
        world.add_targets(2);
        world.learn_speeds();
        world.submit("short", "a", 4);
        world.answer_starts();
        const auto on_fast = [&world](const std::string &job) {
            std::vector<job::task_ref> tasks;
            for(const auto &[task, run]: world.running) {
                if(task.job == job_id{job} && run.target == target_id{"t0"}) {
                    tasks.push_back(task);
                }
            }
            return tasks;
        };
        for(const auto &task: on_fast("short")) {
            world.end(task, lease::run_end::done);
        }
        world.now += milliseconds{100};
        world.answer_reports();
        world.submit("long", "a", 3);
        world.answer_starts();
        REQUIRE(on_fast("long").size() == 2);
        for(auto &[task, run]: world.running) {
            run.percent = task.job == job_id{"long"} ? 13 : 90;
        }
        world.now += milliseconds{130};
        world.tick();
        world.answer_reports();
        world.tick();
        WHEN("the slow target gets free") {
            const auto rest = world.running;
            for(const auto &[task, run]: rest) {
                if(task.job == job_id{"short"}) {
                    world.end(task, lease::run_end::done);
                }
            }
            world.now += milliseconds{20};
            world.tick();
            world.answer_reports();
            THEN("the third task waits for the fast one") {
                CHECK(world.starts.empty());
                CHECK(world.answers[job_id{"long"}].empty());
            }
        }
    }
}

// Guards against refusals by a host that has just taken over: it counted one target of 42 and refused jobs 9 ms after they were sent.
SCENARIO("Targets that are still being claimed count as room", "[pool]") {
    constexpr int jobs = 12;
    scheduler_fixture fixture;
    fixture.list_targets(8);
    const auto first = std::find_if(fixture.reports.begin(), fixture.reports.end(),
                                    [](const report_order &order) { return order.to.target == target_id{"t0"}; });
    REQUIRE(first != fixture.reports.end());
    std::vector<report_order> open{fixture.reports};
    std::swap(open.front(), open[static_cast<std::size_t>(first - fixture.reports.begin())]);
    fixture.reports = {open.front()};
    open.erase(open.begin());
    fixture.answer_reports();
    for(int index = 0; index < jobs; ++index) {
        fixture.submit("job" + std::to_string(index), "a", 1, 0, milliseconds{400});
    }
    fixture.now += milliseconds{10};
    fixture.tick();
    REQUIRE(fixture.starts.size() == 2);

    GIVEN("claims that are not answered yet") {
        CHECK(fixture.count(job::outcome::refused) == 0);
        WHEN("they are answered") {
            fixture.reports = open;
            fixture.answer_reports();
            THEN("the jobs start") {
                CHECK(fixture.starts.size() == jobs);
            }
        }
        WHEN("the targets do not answer") {
            for(const auto &order: open) {
                fixture.subject.report_answered(
                    {order.to.target, order.to.token, order.purpose, lease::order_outcome::unanswered, {}, {}, fixture.now}, fixture.now);
            }
            fixture.now += milliseconds{10};
            fixture.tick();
            THEN("the jobs that cannot wait for the one that did are refused") {
                CHECK(fixture.count(job::outcome::refused) > 0);
            }
        }
    }
}

// Guards against a leader that never ends a placement round after a host was lost: it left targets out by setting their free
// resources to zero, which leaves out no target for a task that requests nothing.
SCENARIO("Tasks that request nothing wait for targets whose leases may be renewed, and hold up nothing", "[pool]") {
    constexpr std::uint32_t targets = 40;
    const job::step requests_nothing{1, {}, declared, {}, {}, {}, 0};
    scheduler_fixture fixture;
    fixture.add_targets(targets);
    GIVEN("targets that all run tasks of a host that is no longer confirmed") {
        fixture.submit_step(gateway_of("b"), "lost", {targets, {2 * task_cpu, 10, 0}, declared, {}, {}, {}, 0});
        fixture.answer_starts();
        REQUIRE(fixture.answered_starts.size() == targets);
        fixture.now += milliseconds{1'100};
        fixture.subject.confirm_gateway(gateway_of("a"), fixture.now + seconds{1});
        const auto before = fixture.subject.counts();
        WHEN("another host submits a task that requests nothing") {
            fixture.submit_step(gateway_of("a"), "light", requests_nothing);
            THEN("it is not started, since that would extend the leases of the other tasks") {
                CHECK(fixture.starts.empty());
            }
            THEN("each target is compared once") {
                CHECK(fixture.subject.counts().targets_compared - before.targets_compared == targets);
            }
            AND_WHEN("the tasks of the lost host have ended") {
                for(const auto &run: std::map{fixture.running}) {
                    fixture.end(run.first, lease::run_end::lease_expired);
                }
                fixture.answer_reports();
                THEN("it is started") {
                    REQUIRE(fixture.starts.size() == 1);
                    CHECK(fixture.starts.front().task.job == job_id{"light"});
                }
            }
        }
        WHEN("a target without such tasks comes into scope") {
            fixture.listed[target_id{"free"}] = fixture.listed[target_id{"t0"}];
            fixture.listed[target_id{"free"}].id = target_id{"free"};
            fixture.read_list();
            fixture.subject.tick(fixture.now, milliseconds{1'000'000});
            fixture.answer_reports();
            fixture.submit_step(gateway_of("a"), "light", requests_nothing);
            THEN("the task is started there") {
                REQUIRE(fixture.starts.size() == 1);
                CHECK(fixture.starts.front().to.target == target_id{"free"});
            }
        }
    }
}

// Guards against a second run of a task in another cell: a target with a run of an unknown job was left out by counting it as
// full, which leaves it in for a task that requests nothing, and the start extended the lease of the unknown run.
SCENARIO("Tasks that request nothing are not started beside a run of an unknown job", "[pool]") {
    const job::task_ref unknown{job_id{"unknown"}, 0, 0};
    scheduler_fixture fixture;
    fixture.running[unknown] = {target_id{"t0"}, run_number{1}, 0};
    fixture.add_targets(1);
    GIVEN("a target that runs a task of a job that was never submitted here") {
        fixture.submit_step(gateway_of("a"), "light", {1, {}, declared, {}, {}, {}, 0});
        THEN("nothing is started there") {
            CHECK(fixture.starts.empty());
        }
        WHEN("that run has ended") {
            fixture.end(unknown, lease::run_end::lease_expired);
            fixture.now += milliseconds{50};
            fixture.answer_reports();
            THEN("the task is started") {
                CHECK(fixture.starts.size() == 1);
            }
        }
    }
}

// Guards against tasks that request no processor time and wait for a later round: targets left a round once their processor was
// used up.
SCENARIO("Tasks that request no processor time start in the round in which others use it up", "[pool]") {
    scheduler_fixture fixture;
    fixture.add_targets(1);
    fixture.submit_step(gateway_of("a"), "full", {1, {2 * task_cpu, 10, 0}, declared, {}, {}, {}, 0});
    fixture.submit_step(gateway_of("a"), "waits", {1, {2 * task_cpu, 10, 0}, declared, {}, {}, {}, 0}, 0);
    fixture.answer_starts();
    fixture.subject.set_resuming(true);
    fixture.submit_step(gateway_of("a"), "light", {1, {0, 10, 0}, declared, {}, {}, {}, 0}, 1);
    fixture.subject.set_resuming(false);
    GIVEN("a target that becomes free, with a job that takes its whole processor first in the queue") {
        fixture.end({job_id{"full"}, 0, 0}, lease::run_end::done);
        fixture.now += milliseconds{50};
        fixture.answer_reports();
        THEN("both start at once") {
            CHECK(fixture.starts.size() == 2);
        }
    }
}
