#pragma once

namespace heathermoor::pool {

/// @brief Measures which share of the calls to live targets gets no answer lately.
class loss_meter {
  public:
    /// @brief Takes a call into account.
    /// @param answered Whether an answer came.
    void add(bool answered) noexcept { m_share += ((answered ? 0.0 : 1.0) - m_share) / window_calls; }

    /// @brief Whether answers get lost often enough to ask again sooner than usual.
    /// @return True above two percent.
    [[nodiscard]] bool lossy() const noexcept { return m_share > lossy_share; }

  private:
    /// Calls over which the share is averaged: about a second's worth under load.
    static constexpr double window_calls = 300.0;

    /// Share from which a job of several tasks is likely to be touched.
    static constexpr double lossy_share = 0.02;

    double m_share{};
};

} // namespace heathermoor::pool
