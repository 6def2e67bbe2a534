#include "placement/workload.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>

namespace heathermoor::bench {

namespace {

constexpr std::size_t target_count = 50;
constexpr std::size_t rack_size = 8;
constexpr std::uint32_t slots_per_target = 8;
constexpr double run_seconds = 40.0;
/// Median run time below which a kind of request counts as short.
constexpr double short_limit_ms = 1'000.0;

struct request_kind {
    std::uint64_t request{};
    double median_ms{};
    double sigma{};
    double share{};
    double deadline_ms{};
};

struct options {
    std::string name;
    std::vector<request_kind> kinds;
    /// Arrival rate relative to capacity, as a function of time in seconds.
    std::function<double(double)> load{[](double) { return 0.8; }};
    double speed_spread{4.0};
    double straggler_share{};
    /// Factor by which a straggler runs longer.
    double straggler_factor{20.0};
    /// Maximum factor by which declared run times are wrong, in either direction.
    double hint_error{1.0};
    double failing_targets{};
    bool rack_crashes{};
    bool half_leave{};
    std::size_t cancels{};
    std::size_t customers{4};
    bool flood{};
    double peak_from{-1.0};
    double peak_to{-1.0};
};

const std::vector<request_kind> matloom_kinds{{1, 70, 0.4, 0.70, 1'500}, {2, 120, 0.4, 0.2, 2'000}, {3, 400, 0.5, 0.1, 5'000}};
const std::vector<request_kind> matloom_long_kinds{{1, 70, 0.4, 0.72, 1'500}, {2, 120, 0.4, 0.2, 2'000}, {4, 4'000, 0.4, 0.08, 60'000}};
const std::vector<request_kind> fill_kinds{{5, 80, 0.3, 0.5, 1'000}, {6, 160, 0.4, 0.3, 2'000}, {7, 60, 0.3, 0.2, 1'500}};

[[nodiscard]] double mean_work_ms(const options &in) {
    auto mean = 0.0;
    for(const auto &kind: in.kinds) {
        mean += kind.share * kind.median_ms * std::exp(kind.sigma * kind.sigma / 2.0);
    }
    return mean * (1.0 + in.straggler_share * (in.straggler_factor - 1.0));
}

[[nodiscard]] time_point at(double s) {
    return time_point{from_ms(s * 1'000.0)};
}

void make_targets(const options &in, std::mt19937_64 &random, workload &out) {
    std::uniform_real_distribution<double> exponent{-0.5, 0.5};
    for(std::size_t index = 0; index < target_count; ++index) {
        generated_target target{slots_per_target, std::pow(in.speed_spread, exponent(random))};
        target.fails_all = static_cast<double>(index) < in.failing_targets * static_cast<double>(target_count);
        target.crashes_at = in.rack_crashes && index < rack_size ? at(run_seconds / 2) : time_point::max();
        target.leaves_at = in.half_leave && index % 2 == 0 ? at(run_seconds / 2) : time_point::max();
        out.targets.push_back(target);
    }
    std::shuffle(out.targets.begin(), out.targets.end(), random);
}

[[nodiscard]] generated_task make_task(const options &in, double now, double deadline_factor, std::mt19937_64 &random) {
    std::vector<double> shares;
    for(const auto &kind: in.kinds) {
        shares.push_back(kind.share);
    }
    const auto &kind = in.kinds[std::discrete_distribution<std::size_t>{shares.begin(), shares.end()}(random)];
    generated_task task;
    auto work = std::lognormal_distribution<double>{std::log(kind.median_ms), kind.sigma}(random);
    task.is_short = kind.median_ms < short_limit_ms;
    if(std::uniform_real_distribution<double>{}(random) < in.straggler_share) {
        work *= in.straggler_factor;
        task.is_short = false;
    }
    const auto error = std::pow(in.hint_error, std::uniform_real_distribution<double>{-1.0, 1.0}(random));
    task.request = kind.request;
    task.work = from_ms(work);
    task.size_hint = milliseconds{std::max<std::int64_t>(1, static_cast<std::int64_t>(kind.median_ms * error))};
    task.arrival = at(now);
    task.deadline = task.arrival + from_ms(kind.deadline_ms * deadline_factor);
    task.in_peak = now >= in.peak_from && now < in.peak_to;
    return task;
}

[[nodiscard]] workload make(const options &in, std::uint64_t seed) {
    std::mt19937_64 random{seed};
    workload out;
    out.name = in.name;
    make_targets(in, random, out);
    out.customers.assign(in.customers, {8.0, 0});
    auto capacity = 0.0;
    for(const auto &target: out.targets) {
        capacity += target.fails_all ? 0.0 : target.slots * target.speed;
    }
    const auto full_rate = capacity * 1'000.0 / mean_work_ms(in);
    // Workloads without a peak get 100 times longer deadlines, so that tasks rarely expire.
    const auto deadline_factor = in.peak_from >= 0.0 ? 1.0 : 100.0;
    auto now = 0.0;
    while(now < run_seconds) {
        const auto load = std::max(in.load(now), 0.01);
        now += std::exponential_distribution<double>{full_rate * load}(random);
        auto task = make_task(in, now, deadline_factor, random);
        task.customer = static_cast<placement::customer_index>(random() % in.customers);
        out.tasks.push_back(task);
    }
    if(in.flood) {
        out.flooding_customer = static_cast<std::int64_t>(in.customers);
        out.customers.push_back({8.0, 0});
        for(auto flood = 10.0; flood < 30.0; flood += 1.0 / full_rate) {
            auto task = make_task(in, flood, deadline_factor, random);
            task.customer = static_cast<placement::customer_index>(in.customers);
            out.tasks.push_back(task);
        }
    }
    std::stable_sort(out.tasks.begin(), out.tasks.end(), [](const auto &a, const auto &b) { return a.arrival < b.arrival; });
    for(std::size_t index = 0; index < std::min(in.cancels, out.tasks.size()); ++index) {
        auto &task = out.tasks[out.tasks.size() / 2 + index % (out.tasks.size() / 2)];
        task.cancelled_at = std::max(task.arrival, at(run_seconds * 0.75));
    }
    return out;
}

} // namespace

std::vector<workload> make_workloads(std::uint64_t seed) {
    const auto peak = [](double base, double factor, double from, double to) {
        return [=](double s) { return s >= from && s < to ? base * factor : base; };
    };
    std::vector<options> all;
    all.push_back({.name = "matloom day, 80%", .kinds = matloom_kinds});
    all.push_back({.name = "matloom, long matching runs", .kinds = matloom_long_kinds});
    all.push_back(
        {.name = "workshops at harvest, crest x3", .kinds = fill_kinds, .load = peak(0.5, 3.0, 10, 30), .peak_from = 10, .peak_to = 30});
    all.push_back(
        {.name = "storm-day surge, x5 for 5 s", .kinds = matloom_kinds, .load = peak(0.5, 5.0, 15, 20), .peak_from = 15, .peak_to = 20});
    all.push_back({.name = "one customer flooding", .kinds = matloom_kinds, .load = [](double) { return 0.5; }, .flood = true});
    all.push_back({.name = "5% stragglers at 20x", .kinds = matloom_kinds, .straggler_share = 0.05});
    all.push_back({.name = "size hints off by 10x", .kinds = matloom_kinds, .hint_error = 10.0});
    all.push_back({.name = "10% of targets fail everything", .kinds = matloom_kinds, .failing_targets = 0.1});
    all.push_back({.name = "a rack of 8 dies", .kinds = matloom_kinds, .load = [](double) { return 0.6; }, .rack_crashes = true});
    all.push_back({.name = "half the targets leave", .kinds = matloom_kinds, .load = [](double) { return 0.4; }, .half_leave = true});
    all.push_back({.name = "10,000 cancels at once",
                   .kinds = matloom_kinds,
                   .load = [](double s) { return s > 20 && s < 30 ? 1.6 : 0.6; },
                   .cancels = 10'000});
    std::vector<workload> result;
    result.reserve(all.size());
    for(const auto &in: all) {
        result.push_back(make(in, seed));
    }
    return result;
}

} // namespace heathermoor::bench
