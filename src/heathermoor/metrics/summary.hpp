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

/// @brief Figures of a summary at one moment.
struct summary_values {
    std::uint64_t count{};
    double mean{};
    double max{};
    double p50{};
    double p99{};
};

/// @brief Running summary of a quantity. Safe to use from any thread.
///
/// The quantiles are P-square estimates, which drift on bimodal data; they are
/// for display and steer no decision.
class summary {
  public:
    /// @brief Adds one value.
    /// @param value Value.
    void add(double value) {
        const std::lock_guard lock{m_mutex};
        m_figures(value);
        m_median(value);
        m_tail(value);
    }

    /// @brief Figures so far.
    /// @return Figures; zero if nothing was added.
    [[nodiscard]] summary_values values() const {
        namespace acc = boost::accumulators;
        const std::lock_guard lock{m_mutex};
        const auto count = acc::count(m_figures);
        if(count == 0) {
            return {};
        }
        return {count, acc::mean(m_figures), acc::max(m_figures), acc::p_square_quantile(m_median), acc::p_square_quantile(m_tail)};
    }

  private:
    using tag_figures =
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean, boost::accumulators::tag::max>;
    using tag_quantile = boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>;
    static constexpr double tail = 0.99;

    mutable std::mutex m_mutex;
    boost::accumulators::accumulator_set<double, tag_figures> m_figures;
    boost::accumulators::accumulator_set<double, tag_quantile> m_median{boost::accumulators::quantile_probability = 0.5};
    boost::accumulators::accumulator_set<double, tag_quantile> m_tail{boost::accumulators::quantile_probability = tail};
};

} // namespace heathermoor::metrics
