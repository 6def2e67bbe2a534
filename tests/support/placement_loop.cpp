#include "support/placement_loop.hpp"

#include "heathermoor/core/log.hpp"
#include <cmath>
#include <fmt/format.h>
#include <map>
#include <numbers>
#include <utility>

namespace heathermoor::test {

namespace {

using namespace heathermoor::pool;

constexpr int target_count = 36;
constexpr std::int64_t small_target = 64'000;
constexpr std::int64_t large_target = 96'000;
constexpr int racks = 4;
constexpr milliseconds step_time{1};
constexpr int steps_per_tick = 25;
constexpr int load_steps = 6'000;
constexpr milliseconds job_deadline{1'500};
constexpr milliseconds list_delay{300};
constexpr std::uint32_t least_wide = 4;

const gateway_ref caller{{host_id{"gateway"}, incarnation{1}}, gateway_session{1}};

/// Scheduler, its targets and its callers, in steps of a millisecond.
class placement_loop final : public order_port, public answer_port {
  public:
    placement_loop(const placement_pattern &pattern, reservation::backfill_kind kind, std::uint64_t seed)
        : m_pattern{pattern}, m_random{seed}, m_subject{*this, *this, lease::token_source{1}} {
        set_log_level(log_level::error);
        m_subject.set_backfill(kind);
        for(int index = 0; index < target_count; ++index) {
            catalog::target_entry entry;
            entry.id = target_id{fmt::format("target-{:02}", index)};
            entry.service = service_id{"service"};
            entry.capacity = {index % 3 == 0 ? large_target : small_target, 1'000'000, 0};
            entry.labels.push_back(fmt::format("rack-{}", index % racks));
            entry.boot = target_boot{1};
            m_targets[entry.id].entry = entry;
        }
        list_targets();
    }

    void start(const start_order &order) override { m_starts.push_back(order); }
    void stop(const stop_order &order) override { m_stops.push_back(order); }
    void report(const report_order &order) override { m_reports.push_back(order); }
    void release(const target_id &) override {}

    void answer(const gateway_ref &, const job_id &id, const job::answer &answer) override {
        auto &job = m_jobs.at(id);
        job.answered = true;
        job.served = answer.result == job::outcome::completed && m_now - job.sent_at <= job_deadline;
        m_figures.refused += answer.result == job::outcome::refused ? 1 : 0;
        m_figures.refused_after_start += answer.result == job::outcome::refused && job.last_start != time_point{} ? 1 : 0;
    }

    placement_figures play() {
        const auto steps = load_steps + static_cast<int>(job_deadline / step_time) + 2 * steps_per_tick;
        for(int step = 0; step < steps; ++step) {
            m_now += step_time;
            lose_targets(step);
            end_runs();
            if(step % steps_per_tick == 0) {
                m_subject.confirm_gateway(caller, m_now + seconds{1});
                m_subject.tick(m_now, milliseconds{1'000'000});
            }
            if(step < load_steps && step > steps_per_tick * 30) {
                submit_jobs(static_cast<double>(step) / 1'000.0);
            }
            carry_out();
            m_subject.place(m_now);
        }
        return count();
    }

  private:
    struct target_run {
        run_number run{};
        time_point began;
        time_point ends;
        resources need;
    };

    struct fake_target {
        catalog::target_entry entry;
        std::map<job::task_ref, target_run> running;
        std::vector<lease::reported_end> ended;
        std::uint64_t ends{};
        /// Long poll that waits for the next end.
        std::optional<report_order> follow;
        time_point follow_until;
        bool gone{};
    };

    struct played_job {
        drawn_job drawn;
        time_point sent_at;
        time_point last_start;
        duration run_time{};
        bool answered{};
        bool served{};
    };

    void list_targets() {
        std::vector<scoped_target> scope;
        std::set<target_id> known;
        for(const auto &[id, target]: m_targets) {
            if(!target.gone) {
                known.insert(id);
                scope.push_back({target.entry, milliseconds{300}});
            }
        }
        m_subject.set_targets(scope, known, log_offset{++m_offset});
    }

    void lose_targets(int step) {
        if(!m_pattern.loss_at) {
            return;
        }
        const auto at = static_cast<int>(*m_pattern.loss_at * 1'000);
        if(step == at) {
            int index = 0;
            for(auto &[id, target]: m_targets) {
                target.gone = index++ % 3 == 1;
            }
        }
        if(step == at + static_cast<int>(list_delay / step_time)) {
            list_targets();
        }
    }

    void submit_jobs(double second) {
        for(std::size_t kind = 0; kind < m_pattern.kinds.size(); ++kind) {
            const auto &drawn_kind = m_pattern.kinds[kind];
            const auto mean = drawn_kind.jobs_per_s * m_pattern.load(kind, second) / 1'000.0;
            const auto count = mean > 0 ? std::poisson_distribution<int>{mean}(m_random) : 0;
            for(int one = 0; one < count; ++one) {
                submit_job(drawn_kind);
            }
        }
    }

    void submit_job(const job_kind &kind) {
        const job_id id{fmt::format("{}-{:05}", kind.name, m_jobs.size())};
        auto drawn = draw_job(kind, id, m_random);
        if(std::uniform_real_distribution<double>{}(m_random) < m_pattern.bound_share) {
            drawn.definition.steps.front().required_label = "rack-0";
        }
        submission work;
        work.job = drawn.definition;
        work.queue.name = queue_id{kind.name};
        work.queue.service = service_id{"service"};
        work.queue.priority = kind.priority;
        work.queue.max_attempts = 3;
        work.queue.stretch = 1.6;
        work.queue.target_latency = milliseconds{60};
        work.from = caller;
        work.remaining = job_deadline;
        m_jobs[id] = {std::move(drawn), m_now, {}, {}, false, false};
        m_subject.submit(std::move(work), m_now);
        m_subject.place(m_now);
    }

    void end_runs() {
        for(auto &[id, target]: m_targets) {
            std::erase_if(target.running, [&, &target = target](const auto &item) {
                const auto &[task, run] = item;
                if(m_now < run.ends || target.gone) {
                    return false;
                }
                m_jobs.at(task.job).run_time += m_now - run.began;
                target.ended.push_back({end_number{++target.ends}, task, run.run, lease::run_end::done});
                return true;
            });
            const bool answers = target.follow && !target.gone && (!target.ended.empty() || m_now >= target.follow_until);
            if(answers) {
                send_report(target, *std::exchange(target.follow, std::nullopt));
            }
        }
    }

    /// Carries out all orders, and those that follow from their answers.
    void carry_out() {
        while(!m_starts.empty() || !m_stops.empty() || !m_reports.empty()) {
            for(const auto &order: std::exchange(m_starts, {})) {
                begin_run(order);
            }
            for(const auto &order: std::exchange(m_stops, {})) {
                stop_run(order);
            }
            for(const auto &order: std::exchange(m_reports, {})) {
                answer_report(order);
            }
        }
    }

    void begin_run(const start_order &order) {
        auto &target = m_targets.at(order.to.target);
        auto &job = m_jobs.at(order.task.job);
        job.last_start = m_now;
        if(target.gone) {
            m_subject.start_answered(
                {order.to.target, order.to.token, order.task, order.run, lease::order_outcome::unanswered, order.until, {}}, m_now);
            return;
        }
        for(const auto &[id, other]: m_targets) {
            m_figures.double_runs += !other.gone && other.running.contains(order.task) ? 1 : 0;
        }
        const auto &need = job.drawn.definition.steps.front().need;
        target.running[order.task] = {order.run, m_now, m_now + job.drawn.run_times.at(order.task.index), need};
        resources used;
        for(const auto &[task, run]: target.running) {
            used += run.need;
        }
        m_figures.overfull += used.fits(target.entry.capacity) ? 0 : 1;
        m_subject.start_answered({order.to.target, order.to.token, order.task, order.run, lease::order_outcome::done, order.until, clock()},
                                 m_now);
    }

    void stop_run(const stop_order &order) {
        auto &target = m_targets.at(order.to.target);
        const auto found = target.running.find(order.task);
        if(!target.gone && found != target.running.end()) {
            m_jobs.at(order.task.job).run_time += m_now - found->second.began;
            target.ended.push_back({end_number{++target.ends}, order.task, found->second.run, lease::run_end::stopped});
            target.running.erase(found);
        }
        const auto outcome = target.gone ? lease::order_outcome::unanswered : lease::order_outcome::done;
        m_subject.stop_answered({order.to.target, order.to.token, order.task, order.run, outcome, {}, clock()}, m_now);
    }

    void answer_report(const report_order &order) {
        auto &target = m_targets.at(order.to.target);
        if(order.purpose == report_purpose::follow) {
            target.follow = order;
            target.follow_until = m_now + order.wait;
            std::erase_if(target.ended, [&order](const lease::reported_end &one) { return one.number <= order.last_end; });
            return;
        }
        if(!target.gone) {
            send_report(target, order);
        }
    }

    void send_report(fake_target &target, const report_order &order) {
        report_answer answer{order.to.target, order.to.token, order.purpose, lease::order_outcome::done, {}, order.until, m_now};
        answer.report.boot = target.entry.boot;
        answer.report.clock = clock();
        answer.report.ended = target.ended;
        for(const auto &[task, run]: target.running) {
            constexpr std::int64_t whole = 100;
            answer.report.running.push_back({task, run.run, whole * (m_now - run.began) / (run.ends - run.began)});
        }
        m_subject.report_answered(answer, m_now);
    }

    [[nodiscard]] lease::target_time clock() const {
        return lease::target_time{std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count()};
    }

    [[nodiscard]] placement_figures count() {
        for(const auto &[id, job]: m_jobs) {
            m_figures.unanswered += job.answered ? 0 : 1;
            m_figures.run_time += job.run_time;
            m_figures.wasted += job.served ? duration{} : job.run_time;
            if(job.drawn.run_times.size() < least_wide) {
                ++m_figures.narrow;
                m_figures.narrow_served += job.served ? 1 : 0;
                continue;
            }
            ++m_figures.wide;
            m_figures.wide_served += job.served ? 1 : 0;
            m_figures.wide_wait += job.served ? job.last_start - job.sent_at : duration{};
        }
        m_figures.reservations = m_subject.reservation_counts();
        return m_figures;
    }

    const placement_pattern &m_pattern;
    std::mt19937_64 m_random;
    time_point m_now{seconds{100}};
    std::map<target_id, fake_target> m_targets;
    std::map<job_id, played_job> m_jobs;
    std::vector<start_order> m_starts;
    std::vector<stop_order> m_stops;
    std::vector<report_order> m_reports;
    std::uint64_t m_offset{};
    placement_figures m_figures;
    scheduler m_subject;
};

/// Urgent short wide jobs, narrow ones, and wide long ones.
[[nodiscard]] std::vector<job_kind> mixed_kinds(double short_per_s, double narrow_per_s, double long_per_s) {
    job_kind urgent{"short", 0, short_per_s, 8};
    urgent.mean_run_ms = 50;
    job_kind narrow{"narrow", 1, narrow_per_s, 2};
    narrow.mean_run_ms = 200;
    job_kind wide{"long", 2, long_per_s, 4};
    wide.mean_run_ms = 400;
    for(auto *kind: {&urgent, &narrow, &wide}) {
        kind->mean_millicores = 32'000;
    }
    return {urgent, narrow, wide};
}

/// Factor of a crest between two seconds.
[[nodiscard]] double crest(double second, double factor) {
    constexpr double begin = 2.5;
    constexpr double end = 4.5;
    return second >= begin && second < end ? factor : 1.0;
}

/// Jobs of a millisecond of each second only, at the rate of all its milliseconds.
[[nodiscard]] double at_once(double second) {
    constexpr double ms_per_second = 1'000.0;
    return std::fmod(std::round(second * ms_per_second), ms_per_second) < 1 ? ms_per_second : 0.0;
}

[[nodiscard]] double wave(double second) {
    constexpr double period = 2.5;
    return 1.0 + 0.7 * std::sin(2 * std::numbers::pi * second / period);
}

} // namespace

std::vector<placement_pattern> placement_patterns() {
    constexpr std::size_t urgent = 0;
    constexpr std::size_t wide = 2;
    return {
        {"short crest over wide jobs", mixed_kinds(20, 30, 16),
         [](std::size_t kind, double second) { return kind == urgent ? crest(second, 5) : 1.0; }, 0, std::nullopt},
        {"wide jobs at once", mixed_kinds(30, 50, 18), [](std::size_t kind, double second) { return kind == wide ? at_once(second) : 1.0; },
         0, std::nullopt},
        {"wave", mixed_kinds(35, 40, 18), [](std::size_t, double second) { return wave(second); }, 0, std::nullopt},
        {"hot rack", mixed_kinds(25, 30, 14), [](std::size_t, double) { return 1.0; }, 0.35, std::nullopt},
        {"loss at the crest", mixed_kinds(25, 30, 14),
         [](std::size_t kind, double second) { return kind == urgent ? crest(second, 3) : 1.0; }, 0, 3.0},
    };
}

placement_figures play(const placement_pattern &pattern, reservation::backfill_kind kind, std::uint64_t seed) {
    return placement_loop{pattern, kind, seed}.play();
}

} // namespace heathermoor::test
