#include "heathermoor/trace/breakdown.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace heathermoor::trace {

namespace internal {

struct size_share {
    std::string_view name;
    /// Share of the jobs, counted from the largest, at which the class ends.
    double until{};
};

constexpr std::array sizes{size_share{"largest_tenth", 0.1}, size_share{"next_fifth", 0.3}, size_share{"rest", 1.0}};

/// Share of its queue's service below which a group counts as served far worse than the whole.
constexpr double short_share = 0.5;

/// Jobs of a group below which its share says little.
constexpr std::uint64_t min_group_jobs = 20;

[[nodiscard]] std::string row(std::string_view queue, std::string_view group, const group_outcomes &counts) {
    std::string reasons;
    for(const auto &[reason, count]: counts.reasons) {
        reasons += fmt::format("{}{} {}", reasons.empty() ? "" : ", ", reason, count);
    }
    const auto start_ms = counts.late > 0 ? counts.late_start_ms / static_cast<double>(counts.late) : 0.0;
    return fmt::format("{:<16}{:<24}{:>8}{:>8.2f}{:>9}{:>8}{:>22.0f}{:>11}{:>7}  {}\n", queue, group, counts.jobs, counts.served(),
                       counts.in_time, counts.late, start_ms, counts.again, counts.moves, reasons);
}

/// Line for a group that is served far worse than its queue; empty for any other.
[[nodiscard]] std::string shortfall(std::string_view queue, std::string_view group, const group_outcomes &counts,
                                    const group_outcomes &all) {
    if(counts.jobs < min_group_jobs || counts.served() >= short_share * all.served()) {
        return {};
    }
    return fmt::format("short: of {} {} {:.2f} were served, of all {:.2f}\n", queue, group, counts.served(), all.served());
}

} // namespace internal

double group_outcomes::served() const noexcept {
    return jobs == 0 ? 1.0 : static_cast<double>(in_time + late) / static_cast<double>(jobs);
}

void breakdown::add(const record &line) {
    if(line.event != "job_answered") {
        return;
    }
    const auto predicted_ms = line.number("predicted_ms");
    answered_job job;
    job.host = line.value("from");
    job.work = line.number("work_core_s") * (predicted_ms > 0 ? line.number("expected_ms") / predicted_ms : 1.0);
    job.completed = line.value("outcome") == "completed";
    job.late = job.completed && line.number("age_ms") > line.number("objective_ms");
    job.reason = line.value("reason");
    job.last_start_ms = line.number("last_start_ms");
    job.again = line.number("last_run") > 1;
    job.moves = static_cast<std::uint64_t>(line.number("moves"));
    auto &known = m_jobs[std::string{line.value("queue")}][std::string{line.value("job")}];
    if(!known.completed) {
        known = std::move(job);
    }
}

void breakdown::count(const answered_job &job, group_outcomes &out) {
    ++out.jobs;
    out.again += job.again ? 1 : 0;
    out.moves += job.moves;
    if(!job.completed) {
        ++out.reasons[job.reason];
    } else if(job.late) {
        ++out.late;
        out.late_start_ms += job.last_start_ms;
    } else {
        ++out.in_time;
    }
}

std::map<std::string, queue_breakdown> breakdown::queues() const {
    std::map<std::string, queue_breakdown> result;
    for(const auto &[name, jobs]: m_jobs) {
        auto &queue = result[name];
        std::vector<const answered_job *> by_work;
        for(const auto &[id, job]: jobs) {
            by_work.push_back(&job);
            count(job, queue.all);
            count(job, queue.hosts[job.host]);
        }
        std::stable_sort(by_work.begin(), by_work.end(),
                         [](const answered_job *left, const answered_job *right) { return left->work > right->work; });
        std::size_t next = 0;
        for(const auto &size: internal::sizes) {
            auto &group = queue.sizes.emplace_back(size.name, group_outcomes{}).second;
            const auto until = static_cast<std::size_t>(size.until * static_cast<double>(by_work.size()));
            for(; next < until; ++next) {
                count(*by_work[next], group);
            }
        }
    }
    return result;
}

std::string breakdown::to_string() const {
    auto text = fmt::format("{:<16}{:<24}{:>8}{:>8}{:>9}{:>8}{:>22}{:>11}{:>7}  {}\n", "queue", "group", "jobs", "served", "in time",
                            "late", "late: last start ms", "ran again", "moves", "not completed, by reason");
    std::string shortfalls;
    for(const auto &[name, queue]: queues()) {
        text += internal::row(name, "all", queue.all);
        for(const auto &[size, counts]: queue.sizes) {
            text += internal::row(name, size, counts);
            shortfalls += internal::shortfall(name, size, counts, queue.all);
        }
        for(const auto &[host, counts]: queue.hosts) {
            text += internal::row(name, "from " + host, counts);
            shortfalls += internal::shortfall(name, "from " + host, counts, queue.all);
        }
    }
    return text + shortfalls;
}

} // namespace heathermoor::trace
