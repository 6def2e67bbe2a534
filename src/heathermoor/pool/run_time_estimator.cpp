#include "heathermoor/pool/run_time_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace heathermoor::pool {

namespace internal {

/// Prediction for a queue with too few samples and without a declared run time.
constexpr milliseconds default_run_time{200};

/// Number of samples from which predictions use the statistics.
constexpr double min_samples = 3.0;

/// Window of the moving averages, in samples.
constexpr double window_samples = 300.0;

/// Prior of the regression's slope, while it is not known how well callers declare run times.
constexpr double prior_slope = 0.5;

/// Weight of the prior slope, in units of the declarations' variance times the number of samples.
constexpr double prior_slope_weight = 4.0;

/// Prior of the standard deviations, of the logarithm, of a job's mean around its prediction and between tasks of a job.
constexpr double prior_job_deviation = 0.4;
constexpr double prior_task_deviation = 0.2;

/// Weight of these priors, in samples.
constexpr double prior_deviation_samples = 20.0;

/// Deviations of the logarithm are clamped to this one, that of a factor of 3: jobs of another kind say little about the usual spread.
constexpr double max_deviation = 1.1;

/// Lower bound, in milliseconds, before taking the logarithm.
constexpr double min_ms = 0.5;

[[nodiscard]] double log_ms(double ms) noexcept {
    return std::log(std::max(ms, min_ms));
}

} // namespace internal

duration run_time_estimator::predict(const queue_id &queue, milliseconds declared) const {
    const bool has_declared = declared > milliseconds{0};
    const auto found = m_queues.find(queue);
    if(found == m_queues.end() || found->second.samples < internal::min_samples) {
        return has_declared ? declared : internal::default_run_time;
    }
    const auto &known = found->second;
    if(!has_declared) {
        return from_ms(std::exp(known.mean_observed));
    }
    const auto weight = std::min(known.samples, internal::window_samples);
    const auto slope = std::clamp((known.covariance * weight + internal::prior_slope_weight * internal::prior_slope) /
                                      (known.variance_declared * weight + internal::prior_slope_weight),
                                  0.0, 1.0);
    const auto offset = internal::log_ms(static_cast<double>(declared.count())) - known.mean_declared;
    return from_ms(std::exp(known.mean_observed + slope * offset));
}

run_time_prediction run_time_estimator::predict_job(const queue_id &queue, milliseconds declared) const {
    constexpr auto prior_task = internal::prior_task_deviation * internal::prior_task_deviation;
    constexpr auto prior_job = internal::prior_job_deviation * internal::prior_job_deviation;
    run_time_prediction result{internal::log_ms(to_ms(predict(queue, declared))), prior_job, prior_task};
    const auto found = m_queues.find(queue);
    if(found == m_queues.end()) {
        return result;
    }
    const auto &known = found->second;
    const auto mixed = [](double prior, double learned, double samples) {
        return (prior * internal::prior_deviation_samples + learned * samples) / (internal::prior_deviation_samples + samples);
    };
    result.task_variance = mixed(prior_task, known.variance_within_job, known.samples_within_job);
    const auto total = mixed(prior_job + prior_task, known.variance_residual, known.samples_residual);
    result.job_variance = std::max(0.0, total - result.task_variance);
    return result;
}

void run_time_estimator::observe_within_job(const queue_id &queue, duration observed, double earlier_log_ms, std::size_t earlier) {
    auto &known = m_queues[queue];
    known.queue = queue;
    known.samples_within_job += 1;
    const auto gain = 1.0 / std::min(known.samples_within_job, internal::window_samples);
    const auto deviation =
        std::clamp(internal::log_ms(to_ms(observed)) - earlier_log_ms, -internal::max_deviation, internal::max_deviation);
    // The mean of the earlier tasks deviates as well.
    const auto count = static_cast<double>(earlier);
    known.variance_within_job += gain * (deviation * deviation * count / (count + 1) - known.variance_within_job);
}

void run_time_estimator::observe(const queue_id &queue, milliseconds declared, duration observed, double speed) {
    const auto predicted = internal::log_ms(to_ms(predict(queue, declared)));
    auto &known = m_queues[queue];
    known.queue = queue;
    known.samples += 1;
    const auto gain = 1.0 / std::min(known.samples, internal::window_samples);
    const auto y = internal::log_ms(to_ms(observed) * speed);
    const auto residual = std::clamp(y - predicted, -internal::max_deviation, internal::max_deviation);
    known.samples_residual += 1;
    const auto residual_gain = 1.0 / std::min(known.samples_residual, internal::window_samples);
    known.variance_residual += residual_gain * (residual * residual - known.variance_residual);
    const auto x = declared > milliseconds{0} ? internal::log_ms(static_cast<double>(declared.count())) : known.mean_declared;
    const auto x_before = x - known.mean_declared;
    known.mean_declared += gain * x_before;
    known.mean_observed += gain * (y - known.mean_observed);
    known.variance_declared += gain * (x_before * (x - known.mean_declared) - known.variance_declared);
    known.covariance += gain * (x_before * (y - known.mean_observed) - known.covariance);
}

std::vector<queue_statistics> run_time_estimator::learned() const {
    std::vector<queue_statistics> result;
    result.reserve(m_queues.size());
    for(const auto &[queue, known]: m_queues) {
        result.push_back(known);
    }
    return result;
}

void run_time_estimator::restore(const queue_statistics &earlier) {
    m_queues[earlier.queue] = earlier;
}

} // namespace heathermoor::pool
