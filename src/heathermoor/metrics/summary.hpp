#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <mutex>

namespace heathermoor::metrics {

/// @brief Snapshot of a summary, in the unit of the values added.
struct summary_values {
    std::uint64_t count{};
    double mean{};
    double max{};
    double p50{};
    double p99{};
};

/// @brief Streaming count, mean, maximum and quantiles of a quantity. Safe to use from any thread.
///
/// The quantiles are P-square estimates, which drift on bimodal data; they are
/// for display only and must not be used for control.
class summary {
  public:
    /// @brief Adds a sample.
    /// @param value Sample in the unit of the quantity.
    void add(double value) {
        const std::lock_guard lock{m_mutex};
        m_totals(value);
        m_median(value);
        m_tail(value);
    }

    /// @brief Returns the statistics of all samples so far.
    /// @return Statistics; all zero if there is no sample.
    [[nodiscard]] summary_values values() const {
        namespace acc = boost::accumulators;
        const std::lock_guard lock{m_mutex};
        const auto count = acc::count(m_totals);
        if(count == 0) {
            return {};
        }
        return {count, acc::mean(m_totals), acc::max(m_totals), acc::p_square_quantile(m_median), acc::p_square_quantile(m_tail)};
    }

  private:
    using tag_totals =
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean, boost::accumulators::tag::max>;
    using tag_quantile = boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>;
    static constexpr double tail = 0.99;

    mutable std::mutex m_mutex;
    boost::accumulators::accumulator_set<double, tag_totals> m_totals;
    boost::accumulators::accumulator_set<double, tag_quantile> m_median{boost::accumulators::quantile_probability = 0.5};
    boost::accumulators::accumulator_set<double, tag_quantile> m_tail{boost::accumulators::quantile_probability = tail};
};

} // namespace heathermoor::metrics
