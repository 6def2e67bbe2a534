#pragma once

#include "heathermoor/core/log.hpp"
#include "heathermoor/pool/scheduler.hpp"
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace heathermoor::test {

using namespace heathermoor::pool;

/// Processor need of a task, in millicores; half of a target's capacity.
inline constexpr std::int64_t task_cpu = 8'000;
/// Run time that a caller declares unless a test says otherwise.
inline constexpr milliseconds declared{100};

/// Gateway of a host's first process in its first session.
[[nodiscard]] inline gateway_ref gateway_of(const std::string &host) {
    return {{host_id{host}, incarnation{1}}, gateway_session{1}};
}

/// Scheduler with recorded orders and simulated targets; a test advances time and delivers each answer itself.
struct scheduler_fixture : order_port, answer_port {
    scheduler_fixture() : subject{*this, *this, lease::token_source{1}} { set_log_level(log_level::error); }

    void start(const start_order &order) override { starts.push_back(order); }
    void stop(const stop_order &order) override { stops.push_back(order); }
    void report(const report_order &order) override { reports.push_back(order); }
    void release(const target_id &) override {}
    void answer(const gateway_ref &to, const job_id &job, const job::answer &answer) override { answers[job].emplace_back(to, answer); }

    /// Puts targets t0, t1, ... in scope and sends the claims; nothing is answered.
    void list_targets(int count) {
        for(int index = 0; index < count; ++index) {
            catalog::target_entry entry;
            entry.id = target_id{"t" + std::to_string(index)};
            entry.service = service_id{"s"};
            entry.capacity = {2 * task_cpu, 1'000, 0};
            entry.boot = target_boot{1};
            listed[entry.id] = entry;
        }
        read_list();
        tick();
    }

    /// Lets the scheduler read the entries of `listed`.
    void read_list() {
        std::vector<scoped_target> targets;
        std::set<target_id> known;
        for(const auto &[id, entry]: listed) {
            known.insert(id);
            targets.push_back({entry, milliseconds{300}});
        }
        subject.set_targets(targets, known, log_offset{1});
    }

    void add_targets(int count) {
        list_targets(count);
        answer_reports();
    }

    void tick() {
        subject.confirm_gateway(gateway_of("a"), now + seconds{1});
        subject.confirm_gateway(gateway_of("b"), now + seconds{1});
        subject.tick(now, milliseconds{1'000'000});
    }

    /// Answers all open requests for reports with the runs that the answered starts have begun.
    void answer_reports() {
        const auto open = std::exchange(reports, {});
        for(const auto &order: open) {
            report_answer answer{order.to.target, order.to.token, order.purpose, lease::order_outcome::done, {}, order.until, now};
            answer.report.boot = boots.contains(order.to.target) ? boots.at(order.to.target) : target_boot{1};
            answer.report.clock = clock();
            for(const auto &[task, run]: running) {
                if(run.target == order.to.target) {
                    answer.report.running.push_back({task, run.number, run.percent});
                }
            }
            answer.report.ended = ended[order.to.target];
            answer.report.remaining = leaving.contains(order.to.target) ? std::optional{milliseconds{4'000}} : std::nullopt;
            subject.report_answered(answer, now);
        }
        subject.place(now);
    }

    void answer_starts() {
        for(const auto &order: std::exchange(starts, {})) {
            running[order.task] = {order.to.target, order.run, 0};
            answered_starts.push_back(order);
            subject.start_answered(
                {order.to.target, order.to.token, order.task, order.run, lease::order_outcome::done, order.until, clock()}, now);
        }
    }

    void end(const job::task_ref &task, lease::run_end how) {
        const auto run = running.at(task);
        running.erase(task);
        auto &list = ended[run.target];
        list.push_back({end_number{list.size() + 1}, task, run.number, how});
    }

    void submit(const std::string &id, const char *host, std::uint32_t tasks, std::uint32_t priority = 0,
                milliseconds estimate = declared) {
        submit_from(gateway_of(host), id, tasks, priority, estimate);
    }

    void submit_from(gateway_ref from, const std::string &id, std::uint32_t tasks, std::uint32_t priority = 0,
                     milliseconds estimate = declared) {
        submit_step(std::move(from), id, {tasks, {task_cpu, 10, 0}, estimate, {}, {}, {}, 0}, priority);
    }

    void submit_step(gateway_ref from, const std::string &id, job::step step, std::uint32_t priority = 0) {
        submission one;
        one.job.id = job_id{id};
        one.job.steps.push_back(std::move(step));
        one.queue.name = queue_id{"q" + std::to_string(priority)};
        one.queue.service = service_id{"s"};
        one.queue.priority = priority;
        one.queue.max_attempts = 2;
        one.queue.stretch = 1.6;
        one.queue.target_latency = milliseconds{60};
        one.from = std::move(from);
        one.remaining = caller_waits;
        subject.submit(std::move(one), now);
        subject.place(now);
    }

    /// Lets target t0 finish tasks three times as fast as all others, until the scheduler has learned it.
    void learn_speeds() {
        for(int index = 0; index < 30; ++index) {
            submit("warm" + std::to_string(index), "a", 4);
            answer_starts();
            const auto runs = running;
            for(const auto &[task, run]: runs) {
                if(run.target == target_id{"t0"}) {
                    end(task, lease::run_end::done);
                }
            }
            now += milliseconds{100};
            answer_reports();
            now += milliseconds{200};
            const auto rest = running;
            for(const auto &[task, run]: rest) {
                end(task, lease::run_end::done);
            }
            tick();
            answer_reports();
        }
        answered_starts.clear();
        starts.clear();
    }

    [[nodiscard]] lease::target_time clock() const {
        return lease::target_time{std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count()};
    }

    [[nodiscard]] std::size_t count(job::outcome result) const {
        std::size_t sum = 0;
        for(const auto &[id, list]: answers) {
            sum += !list.empty() && list.front().second.result == result ? 1 : 0;
        }
        return sum;
    }

    struct placed_run {
        target_id target;
        run_number number{};
        std::int64_t percent{};
    };

    time_point now{seconds{100}};
    /// Time for which the callers of the jobs submitted next wait.
    milliseconds caller_waits{1'500};
    std::vector<start_order> starts;
    std::vector<start_order> answered_starts;
    std::vector<stop_order> stops;
    std::vector<report_order> reports;
    std::map<job_id, std::vector<std::pair<gateway_ref, job::answer>>> answers;
    std::set<target_id> leaving;
    /// Entries of the targets, as on the platform's list.
    std::map<target_id, catalog::target_entry> listed;
    /// Boots that the targets report; the first one if not set.
    std::map<target_id, target_boot> boots;
    std::map<job::task_ref, placed_run> running;
    std::map<target_id, std::vector<lease::reported_end>> ended;
    scheduler subject;
};

} // namespace heathermoor::test
