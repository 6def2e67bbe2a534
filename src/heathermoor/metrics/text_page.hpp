#pragma once

#include "heathermoor/metrics/summary.hpp"
#include <fmt/format.h>
#include <string>
#include <string_view>

namespace heathermoor::metrics {

/// @brief Builds a page in the Prometheus text format, version 0.0.4.
class text_page {
  public:
    /// @brief Adds a counter.
    /// @param name Name without the prefix `heathermoor_`.
    /// @param help Help text, one sentence without a line break.
    /// @param value Total since the process started.
    void counter(std::string_view name, std::string_view help, double value) { add(name, help, "counter", value); }

    /// @brief Adds a gauge.
    /// @param name Name without the prefix `heathermoor_`.
    /// @param help Help text, one sentence without a line break.
    /// @param value Current value.
    void gauge(std::string_view name, std::string_view help, double value) { add(name, help, "gauge", value); }

    /// @brief Adds a summary with the quantiles 0.5 and 0.99, the sum and the count.
    /// @param name Name without the prefix `heathermoor_`.
    /// @param help Help text, one sentence without a line break.
    /// @param values Snapshot of the summary.
    void quantiles(std::string_view name, std::string_view help, const summary_values &values) {
        m_text += fmt::format("# HELP heathermoor_{0} {1}\n# TYPE heathermoor_{0} summary\n", name, help);
        m_text += fmt::format("heathermoor_{0}{{quantile=\"0.5\"}} {1}\nheathermoor_{0}{{quantile=\"0.99\"}} {2}\n", name, values.p50,
                              values.p99);
        m_text += fmt::format("heathermoor_{0}_sum {1}\nheathermoor_{0}_count {2}\n", name, values.mean * static_cast<double>(values.count),
                              values.count);
    }

    /// @brief Returns the page built so far.
    /// @return Lines of all metrics added, each with its help and type.
    [[nodiscard]] const std::string &str() const noexcept { return m_text; }

  private:
    void add(std::string_view name, std::string_view help, std::string_view type, double value) {
        m_text += fmt::format("# HELP heathermoor_{0} {1}\n# TYPE heathermoor_{0} {2}\nheathermoor_{0} {3}\n", name, help, type, value);
    }

    std::string m_text;
};

} // namespace heathermoor::metrics
