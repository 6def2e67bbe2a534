#include "heathermoor/pool/job_forecast.hpp"

#include <algorithm>
#include <array>
#include <boost/math/distributions/normal.hpp>
#include <cmath>

namespace heathermoor::pool {

namespace internal {

/// Lower bound of a variance, so that nothing counts as certain.
constexpr double min_variance = 1e-4;

/// Deviations from the prediction, in standard deviations, up to which the spread of the queue explains the samples.
constexpr double credible_deviations = 2.0;

/// Normal distribution of the logarithm of a time in milliseconds.
struct log_normal {
    double mean{};
    double variance{};
};

/// Without promotion to long double, which some processors compute in software.
using fast_policy = boost::math::policies::policy<boost::math::policies::promote_double<false>>;

[[nodiscard]] double normal_quantile(double probability) {
    return boost::math::quantile(boost::math::normal_distribution<double, fast_policy>{}, probability);
}

/// Number of tasks from which on the maximum is taken for that of this many.
constexpr std::size_t max_tasks = 128;

/// Parameters of Blom's approximation of the expected maximum of normal values.
constexpr double blom_offset = 0.375;
constexpr double blom_total = 0.25;

/// How fast the variance of the maximum of normal values falls with the logarithm of their number.
constexpr double maximum_variance_fall = 0.75;

/// Expected maxima of one to `max_tasks` standard normal values.
[[nodiscard]] std::array<double, max_tasks> compute_maxima() {
    std::array<double, max_tasks> maxima{};
    for(std::size_t index = 0; index < max_tasks; ++index) {
        const auto n = static_cast<double>(index + 1);
        maxima.at(index) = normal_quantile((n - blom_offset) / (n + blom_total));
    }
    return maxima;
}

/// Expected maximum of several standard normal values.
[[nodiscard]] double mean_of_maximum(std::size_t count) {
    static const auto maxima = compute_maxima();
    return maxima.at(std::clamp<std::size_t>(count, 1, max_tasks) - 1);
}

/// Approximate variance of the maximum of several standard normal values.
[[nodiscard]] double variance_of_maximum(std::size_t count) noexcept {
    return 1.0 / (1.0 + maximum_variance_fall * std::log(static_cast<double>(std::max<std::size_t>(1, count))));
}

/// Distribution of the time until the last of several tasks ends.
[[nodiscard]] log_normal last_end(double log_ms, double job_variance, double task_variance, std::size_t tasks) {
    return {log_ms + std::sqrt(task_variance) * mean_of_maximum(tasks), job_variance + task_variance * variance_of_maximum(tasks)};
}

[[nodiscard]] double probability_within(const log_normal &time, duration left, double speed) noexcept {
    if(left <= duration::zero() || speed <= 0) {
        return 0;
    }
    const auto deviation = std::sqrt(std::max(time.variance, min_variance));
    return std::erfc((time.mean - std::log(to_ms(left) * speed)) / deviation / std::sqrt(2.0)) / 2.0;
}

} // namespace internal

job_forecast::job_forecast(const run_time_prediction &prior) noexcept : m_prior{prior}, m_log_ms{prior.log_ms} {
    m_prior.job_variance = std::max(prior.job_variance, internal::min_variance);
    m_prior.task_variance = std::max(prior.task_variance, internal::min_variance);
    m_variance = m_prior.job_variance;
}

void job_forecast::observe(const run_time_sample &sample) noexcept {
    const auto precision = 1.0 / (m_prior.task_variance + sample.variance);
    m_sample_precision += precision;
    m_weighted_samples += sample.log_ms * precision;
    const auto deviation = (m_weighted_samples / m_sample_precision - m_prior.log_ms) / internal::credible_deviations;
    const auto prior_precision = 1.0 / std::max(m_prior.job_variance, deviation * deviation);
    m_variance = 1.0 / (prior_precision + m_sample_precision);
    m_log_ms = (m_prior.log_ms * prior_precision + m_weighted_samples) * m_variance;
}

duration job_forecast::typical() const noexcept {
    return from_ms(std::exp(m_log_ms));
}

duration job_forecast::longest(std::size_t tasks) const noexcept {
    return from_ms(std::exp(internal::last_end(m_log_ms, m_variance, m_prior.task_variance, tasks).mean));
}

duration job_forecast::time_for(double chance, std::size_t tasks) const {
    const auto last = internal::last_end(m_log_ms, m_variance, m_prior.task_variance, tasks);
    return from_ms(std::exp(last.mean + internal::normal_quantile(chance) * std::sqrt(last.variance)));
}

double job_forecast::chance(std::size_t tasks, duration left, double speed) const noexcept {
    return internal::probability_within(internal::last_end(m_log_ms, m_variance, m_prior.task_variance, tasks), left, speed);
}

double job_forecast::chance_again(const run_time_sample &sample, duration left, double speed) const noexcept {
    // The sample counts by how much tasks of one job differ, the job's mean by how much the sample errs.
    const auto weight = m_prior.task_variance / (m_prior.task_variance + sample.variance);
    const auto mean = m_log_ms + weight * (sample.log_ms - m_log_ms);
    const auto variance = (1.0 - weight) * (1.0 - weight) * m_variance + weight * sample.variance;
    return internal::probability_within({mean, variance}, left, speed);
}

double job_forecast::chance_here(const run_time_sample &sample, duration left, double speed) noexcept {
    return internal::probability_within({sample.log_ms, sample.variance}, left, speed);
}

} // namespace heathermoor::pool
