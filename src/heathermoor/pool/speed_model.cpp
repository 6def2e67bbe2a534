#include "heathermoor/pool/speed_model.hpp"

#include <algorithm>
#include <cmath>

namespace heathermoor::pool {

namespace internal {

/// Ratios of observed to expected run time are clamped to this factor: a straggler says little about its target.
constexpr double max_ratio = 3.0;

/// Weight of the prior assumption of mean speed, in samples.
constexpr double prior_samples = 1.0;

/// Window of the moving average, in samples.
constexpr std::uint32_t window_samples = 24;

} // namespace internal

double speed_model::speed(const target_id &target) const {
    const auto found = m_targets.find(target);
    if(found == m_targets.end()) {
        return 1.0;
    }
    const auto weight = found->second.samples / (found->second.samples + internal::prior_samples);
    const auto mean = m_sum / static_cast<double>(m_targets.size());
    return std::exp((mean - found->second.mean_log_ratio) * weight);
}

void speed_model::observe(const target_id &target, duration observed, duration expected) {
    if(observed <= duration::zero() || expected <= duration::zero()) {
        return;
    }
    const auto ratio = std::clamp(to_ms(observed) / to_ms(expected), 1.0 / internal::max_ratio, internal::max_ratio);
    auto &known = m_targets[target];
    known.samples = std::min(known.samples + 1, internal::window_samples);
    const auto change = (std::log(ratio) - known.mean_log_ratio) / known.samples;
    known.mean_log_ratio += change;
    m_sum += change;
}

void speed_model::forget(const target_id &target) {
    const auto found = m_targets.find(target);
    if(found != m_targets.end()) {
        m_sum -= found->second.mean_log_ratio;
        m_targets.erase(found);
    }
}

std::optional<target_statistics> speed_model::learned(const target_id &target) const {
    const auto found = m_targets.find(target);
    if(found == m_targets.end()) {
        return std::nullopt;
    }
    return target_statistics{target, {}, found->second.mean_log_ratio, found->second.samples};
}

void speed_model::restore(const target_statistics &earlier) {
    if(earlier.samples == 0) {
        return;
    }
    auto &known = m_targets[earlier.target];
    m_sum += earlier.mean_log_ratio - known.mean_log_ratio;
    known = {earlier.mean_log_ratio, std::min(earlier.samples, internal::window_samples)};
}

} // namespace heathermoor::pool
