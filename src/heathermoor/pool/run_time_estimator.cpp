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

void run_time_estimator::observe(const queue_id &queue, milliseconds declared, duration observed, double speed) {
    auto &known = m_queues[queue];
    known.queue = queue;
    known.samples += 1;
    const auto gain = 1.0 / std::min(known.samples, internal::window_samples);
    const auto y = internal::log_ms(to_ms(observed) * speed);
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
