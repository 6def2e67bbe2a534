#pragma once

namespace heathermoor::pool {

/// @brief Moving average of the share of calls to responsive targets that get no answer.
class loss_meter {
  public:
    /// @brief Adds one call to the average.
    /// @param answered False if the call timed out.
    void add(bool answered) noexcept { m_loss_rate += ((answered ? 0.0 : 1.0) - m_loss_rate) / window_calls; }

    /// @brief Whether answers get lost often enough to poll at shorter intervals.
    /// @return True if more than 2% of the recent calls got no answer.
    [[nodiscard]] bool lossy() const noexcept { return m_loss_rate > lossy_rate; }

  private:
    /// Averaging window in calls; about one second under load.
    static constexpr double window_calls = 300.0;

    /// Loss rate above which a job of several tasks is likely to be affected.
    static constexpr double lossy_rate = 0.02;

    double m_loss_rate{};
};

} // namespace heathermoor::pool
