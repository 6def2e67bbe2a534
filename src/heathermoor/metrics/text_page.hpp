#pragma once

#include "heathermoor/metrics/summary.hpp"
#include <fmt/format.h>
#include <string>
#include <string_view>

namespace heathermoor::metrics {

/// @brief Page of metrics in the Prometheus text format, version 0.0.4.
class text_page {
  public:
    /// @brief Adds a counter.
    /// @param name Name without the product's prefix.
    /// @param help One sentence.
    /// @param value Value.
    void counter(std::string_view name, std::string_view help, double value) { add(name, help, "counter", value); }

    /// @brief Adds a gauge.
    /// @param name Name without the product's prefix.
    /// @param help One sentence.
    /// @param value Value.
    void gauge(std::string_view name, std::string_view help, double value) { add(name, help, "gauge", value); }

    /// @brief Adds a summary.
    /// @param name Name without the product's prefix.
    /// @param help One sentence.
    /// @param values Figures.
    void quantiles(std::string_view name, std::string_view help, const summary_values &values) {
        m_text += fmt::format("# HELP heathermoor_{0} {1}\n# TYPE heathermoor_{0} summary\n", name, help);
        m_text += fmt::format("heathermoor_{0}{{quantile=\"0.5\"}} {1}\nheathermoor_{0}{{quantile=\"0.99\"}} {2}\n", name, values.p50,
                              values.p99);
        m_text += fmt::format("heathermoor_{0}_sum {1}\nheathermoor_{0}_count {2}\n", name, values.mean * static_cast<double>(values.count),
                              values.count);
    }

    /// @brief Text of the page.
    /// @return Text.
    [[nodiscard]] const std::string &str() const noexcept { return m_text; }

  private:
    void add(std::string_view name, std::string_view help, std::string_view type, double value) {
        m_text += fmt::format("# HELP heathermoor_{0} {1}\n# TYPE heathermoor_{0} {2}\nheathermoor_{0} {3}\n", name, help, type, value);
    }

    std::string m_text;
};

} // namespace heathermoor::metrics
