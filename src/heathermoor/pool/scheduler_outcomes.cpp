#include "heathermoor/pool/scheduler.hpp"

#include "heathermoor/core/event.hpp"
#include <algorithm>

namespace heathermoor::pool {

namespace internal {

constexpr double millicores_per_core = 1'000.0;
constexpr double ms_per_second = 1'000.0;

} // namespace internal

double scheduler::predicted_work(const open_job &job) {
    double millicores = 0;
    for(const auto &step: job.job.steps) {
        millicores += static_cast<double>(step.tasks) * static_cast<double>(step.need.cpu_millicores);
    }
    return millicores / internal::millicores_per_core * to_ms(job.predicted_run_time) / internal::ms_per_second;
}

void scheduler::log_opened(const open_job &job, time_point now) const {
    const auto &from = job.gateways.front();
    log_event(log_level::debug, "pool", "job_opened",
              {{"job", job.job.id},
               {"queue", job.queue.name},
               {"from", from.process.host},
               {"process", from.process.process},
               {"session", from.session},
               {"tasks", job.slots.size()},
               {"age_ms", now - job.sent_at},
               {"clear_in_ms", job.earlier_runs_end_at - now},
               {"earlier", job.earlier}});
}

void scheduler::log_placed(open_job &job, const speed_range &speeds, time_point now) const {
    const bool waiting =
        std::any_of(job.slots.begin(), job.slots.end(), [](const task_slot &slot) { return slot.state == slot_state::waiting; });
    if(job.all_placed || waiting) {
        return;
    }
    job.all_placed = true;
    const auto slowest = std::min_element(job.slots.begin(), job.slots.end(), [](const task_slot &left, const task_slot &right) {
        return left.placed_speed < right.placed_speed;
    });
    log_event(log_level::info, "pool", "job_placed",
              {{"job", job.job.id},
               {"waited_ms", now - job.sent_at},
               {"left_ms", job.deadline - now},
               {"tasks", job.slots.size()},
               {"predicted_ms", job.forecast.typical()},
               {"slowest_speed", slowest->placed_speed},
               {"least_speed", speeds.least},
               {"preferred_speed", speeds.for_objective},
               {"fastest_speed", m_fastest}});
}

void scheduler::log_answer(const open_job &job, const job::answer &answer, time_point now) const {
    std::size_t done = 0;
    std::uint32_t failures = 0;
    std::uint64_t last_run = 0;
    duration last_start{};
    duration longest_run_time{};
    duration run_time{};
    for(const auto &slot: job.slots) {
        done += slot.state == slot_state::done ? 1 : 0;
        failures += slot.failures;
        last_run = std::max(last_run, slot.last_run);
        last_start = std::max(last_start, slot.placed_at == time_point{} ? duration{} : slot.placed_at - job.sent_at);
        longest_run_time = std::max(longest_run_time, slot.run_time);
        run_time += slot.run_time;
    }
    const auto mean_run_time = done == 0 ? duration{} : run_time / static_cast<std::int64_t>(done);
    const auto from = job.gateways.empty() ? host_id{} : job.gateways.front().process.host;
    const auto estimate = job.job.steps.empty() ? milliseconds{0} : job.job.steps.front().estimate;
    log_event(log_level::info, "pool", "job_answered",
              {{"job", job.job.id},
               {"queue", job.queue.name},
               {"priority", job.queue.priority},
               {"from", from},
               {"size", name_of(job.size)},
               {"outcome", job::name_of(answer.result)},
               {"reason", code_name(answer.reason)},
               {"age_ms", now - job.sent_at},
               {"objective_ms", objective(job)},
               {"left_ms", job.deadline - now},
               {"last_start_ms", last_start},
               {"tasks", job.slots.size()},
               {"done", done},
               {"failures", failures},
               {"moves", job.moves},
               {"last_run", last_run},
               {"work_core_s", predicted_work(job)},
               {"estimate_ms", duration{estimate}},
               {"predicted_ms", job.predicted_run_time},
               {"expected_ms", job.forecast.typical()},
               {"measured_ms", mean_run_time},
               {"longest_measured_ms", longest_run_time},
               {"retry_after_ms", duration{answer.retry_after}}});
}

void scheduler::count_outcome(const open_job &job, const job::answer &answer, time_point now) {
    auto &counts = m_counts.queues[job.queue.name][static_cast<std::size_t>(job.size)];
    counts.ended.add(answer.result);
    counts.moves += job.moves;
    if(answer.result != job::outcome::completed) {
        return;
    }
    counts.late += now - job.sent_at > objective(job) ? 1 : 0;
    for(const auto &slot: job.slots) {
        counts.predicted_run_time += slot.run_time > duration{} ? job.predicted_run_time : duration{};
        counts.measured_run_time += slot.run_time;
    }
}

} // namespace heathermoor::pool
