#include "heathermoor/placement/run_time_model.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace heathermoor::placement {

namespace internal {

/// Initial estimate for tasks without a declared run time.
constexpr milliseconds default_run_time{200};
/// Number of samples from which the declared run time is ignored.
constexpr std::uint32_t trusted_samples = 3;
/// Minimum weight of a new sample, so that the average keeps following changes.
constexpr double min_gain = 0.05;
/// Lower bound of a sample, in milliseconds, which keeps its logarithm finite.
constexpr double min_sample_ms = 0.1;
/// Memory limit: all classes are dropped when it is reached.
constexpr std::size_t max_classes = 65'536;

} // namespace internal

run_time_class run_time_model::classify(std::uint64_t request, milliseconds size_hint) noexcept {
    const auto magnitude =
        static_cast<std::uint64_t>(std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(size_hint.count(), 0))));
    return static_cast<run_time_class>(request * 64U + magnitude);
}

duration run_time_model::estimate(run_time_class kind, milliseconds size_hint) const {
    const duration prior = size_hint > milliseconds{0} ? size_hint : internal::default_run_time;
    const auto found = m_classes.find(static_cast<std::uint64_t>(kind));
    if(found == m_classes.end() || found->second.samples == 0) {
        return prior;
    }
    const auto learned = from_ms(std::exp(found->second.mean_log_ms));
    if(found->second.samples >= internal::trusted_samples) {
        return learned;
    }
    return (prior + learned * 3) / 4;
}

void run_time_model::observe(run_time_class kind, duration observed, double speed) {
    if(m_classes.size() >= internal::max_classes) {
        m_classes.clear();
    }
    auto &entry = m_classes[static_cast<std::uint64_t>(kind)];
    const auto normalised = std::log(std::max(to_ms(observed) * speed, internal::min_sample_ms));
    ++entry.samples;
    const auto gain = std::max(1.0 / entry.samples, internal::min_gain);
    entry.mean_log_ms += gain * (normalised - entry.mean_log_ms);
}

} // namespace heathermoor::placement
