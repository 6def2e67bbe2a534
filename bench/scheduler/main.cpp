#include "heathermoor/heathermoor.hpp"
#include <benchmark/benchmark.h>
#include <deque>
#include <fmt/format.h>

using namespace heathermoor;

namespace {

constexpr resources target_capacity{16'000, 65'536, 0};
constexpr resources task_need{5'800, 64, 0};
constexpr std::uint32_t tasks_per_job = 4;
constexpr milliseconds estimate{170};

/// Scheduler with every target full and a queue of jobs; each benchmark ends one run or submits one job at a time.
class crowded_scheduler final : public pool::order_port, public pool::answer_port {
  public:
    crowded_scheduler(std::int64_t targets, std::int64_t queue, reservation::backfill_kind kind = reservation::backfill_kind::none,
                      double stretch = 1.6)
        : m_stretch{stretch}, m_subject{*this, *this, lease::token_source{1}} {
        set_log_level(log_level::error);
        m_subject.set_backfill(kind);
        std::vector<pool::scoped_target> scope;
        std::set<target_id> known;
        for(std::int64_t index = 0; index < targets; ++index) {
            catalog::target_entry entry;
            entry.boot = target_boot{1};
            entry.id = target_id{fmt::format("target-{}", index)};
            entry.service = service_id{"service"};
            entry.capacity = target_capacity;
            known.insert(entry.id);
            scope.push_back({entry, milliseconds{300}});
        }
        m_subject.set_targets(scope, known, log_offset{1});
        tick();
        answer_reports();
        while(!m_starts.empty() || m_running.empty()) {
            submit();
            begin_runs();
        }
        fill_queue(queue);
    }

    void start(const pool::start_order &order) override { m_starts.push_back(order); }
    void stop(const pool::stop_order &) override {}
    void report(const pool::report_order &order) override { m_reports.push_back(order); }
    void release(const target_id &) override {}
    void answer(const pool::gateway_ref &, const job_id &, const job::answer &) override {}

    void fill_queue(std::int64_t length) {
        for(std::int64_t count = 0; count < length; ++count) {
            submit();
        }
    }

    void submit() {
        pool::submission work;
        work.job.id = job_id{fmt::format("{:016x}", m_next_job++)};
        work.job.steps.push_back({tasks_per_job, task_need, estimate, {}, {}, {}, 0});
        work.queue.name = queue_id{"queue"};
        work.queue.service = service_id{"service"};
        work.queue.priority = static_cast<std::uint32_t>(m_next_job % 3);
        work.queue.stretch = m_stretch;
        work.queue.target_latency = milliseconds{60};
        work.from = {{host_id{"gateway"}, incarnation{1}}, gateway_session{1}};
        work.remaining = seconds{100};
        m_subject.submit(std::move(work), m_now);
        m_subject.place(m_now);
    }

    /// Ends the oldest run and lets the scheduler start another task in its room.
    void end_run() {
        m_now += milliseconds{1};
        const auto ended = m_running.front();
        m_running.pop_front();
        auto &target = m_targets[ended.to.target];
        std::erase_if(target.running, [&](const auto &run) { return run.task == ended.task; });
        pool::report_answer answer{ended.to.target, ended.to.token, pool::report_purpose::renew, lease::order_outcome::done, {}, {}, m_now};
        answer.report = target;
        answer.report.boot = target_boot{1};
        answer.report.clock = clock();
        answer.report.ended.push_back({end_number{++m_ends[ended.to.target]}, ended.task, ended.run, lease::run_end::done});
        m_subject.report_answered(answer, m_now);
        m_subject.place(m_now);
        begin_runs();
    }

    /// Lets the time pass in which claims settle.
    void settle() {
        m_now += seconds{1};
        tick();
        answer_reports();
    }

    void tick() {
        m_now += milliseconds{1};
        m_subject.confirm_gateway({{host_id{"gateway"}, incarnation{1}}, gateway_session{1}}, m_now + seconds{1});
        m_subject.tick(m_now, milliseconds{1'000'000});
    }

    void answer_reports() {
        for(const auto &order: std::exchange(m_reports, {})) {
            pool::report_answer answer{order.to.target, order.to.token, order.purpose, lease::order_outcome::done, {}, order.until, m_now};
            answer.report = m_targets[order.to.target];
            answer.report.boot = target_boot{1};
            answer.report.clock = clock();
            m_subject.report_answered(answer, m_now);
        }
        m_reports.clear();
    }

  private:
    void begin_runs() {
        for(const auto &order: std::exchange(m_starts, {})) {
            m_targets[order.to.target].running.push_back({order.task, order.run, 0});
            m_running.push_back(order);
            m_subject.start_answered(
                {order.to.target, order.to.token, order.task, order.run, lease::order_outcome::done, order.until, clock()}, m_now);
        }
    }

    [[nodiscard]] lease::target_time clock() const {
        return lease::target_time{std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count()};
    }

    time_point m_now{seconds{100}};
    std::vector<pool::start_order> m_starts;
    std::vector<pool::report_order> m_reports;
    std::deque<pool::start_order> m_running;
    std::map<target_id, lease::target_report> m_targets;
    std::map<target_id, std::uint64_t> m_ends;
    std::uint64_t m_next_job{1};
    double m_stretch;
    pool::scheduler m_subject;
};

/// Reports and orders of a task that ends, and of the next one, per task; the queue is kept at its length.
void end_of_run(benchmark::State &state) {
    crowded_scheduler scheduler{state.range(0), state.range(1)};
    for(auto step: state) {
        scheduler.end_run();
        if(state.iterations() % tasks_per_job == 0) {
            scheduler.submit();
        }
    }
}

/// Arrival of a job that has to wait.
void arrival(benchmark::State &state) {
    crowded_scheduler scheduler{state.range(0), state.range(1)};
    for(auto step: state) {
        scheduler.submit();
    }
}

/// Periodic work of one call of the timer.
void timer(benchmark::State &state) {
    crowded_scheduler scheduler{state.range(0), state.range(1)};
    for(auto step: state) {
        scheduler.tick();
    }
}

/// Objective, as a multiple of the run time, with which no job is refused.
constexpr double patient_stretch = 1e4;

[[nodiscard]] reservation::backfill_kind kind_of(const benchmark::State &state) {
    return static_cast<reservation::backfill_kind>(state.range(2));
}

/// Reports and orders of a task that ends, while many jobs wait, by strategy.
void end_of_run_reserving(benchmark::State &state) {
    crowded_scheduler scheduler{state.range(0), state.range(1), kind_of(state), patient_stretch};
    scheduler.settle();
    for(auto step: state) {
        scheduler.end_run();
    }
}

/// Periodic work of one call of the timer, by strategy.
void timer_reserving(benchmark::State &state) {
    crowded_scheduler scheduler{state.range(0), state.range(1), kind_of(state), patient_stretch};
    scheduler.settle();
    for(auto step: state) {
        scheduler.tick();
    }
}

constexpr std::int64_t few_targets = 50;
constexpr std::int64_t targets_of_a_cell = 117;
constexpr std::int64_t longest_queue = 1'000;
constexpr std::int64_t all_targets = 350;
constexpr std::int64_t crowd = 4'000;

BENCHMARK(end_of_run)->ArgsProduct({{few_targets, targets_of_a_cell}, {10, 100, longest_queue}})->Iterations(1'000);
BENCHMARK(arrival)->ArgsProduct({{few_targets, targets_of_a_cell}, {10, 100, longest_queue}})->Iterations(100);
BENCHMARK(timer)->ArgsProduct({{few_targets, targets_of_a_cell}, {10, 100, longest_queue}})->Iterations(100);
BENCHMARK(end_of_run_reserving)->ArgsProduct({{all_targets}, {longest_queue, crowd}, {0, 1, 2}})->Iterations(500);
BENCHMARK(timer_reserving)->ArgsProduct({{all_targets}, {longest_queue, crowd}, {0, 1, 2}})->Iterations(50);

} // namespace

BENCHMARK_MAIN();
