#pragma once

#include <algorithm>

namespace heathermoor::placement {

/// @brief Bounds retries to a share of the first attempts.
class retry_budget {
  public:
    /// @brief Budget that earns a share of each first attempt.
    /// @param share Retries earned per first attempt.
    /// @param reserve Most retries that can be saved up.
    explicit retry_budget(double share = 0.1, double reserve = 50.0) noexcept : m_share{share}, m_reserve{reserve}, m_tokens{reserve} {}

    /// @brief Earns the share of one first attempt.
    void first_attempt() noexcept { m_tokens = std::min(m_reserve, m_tokens + m_share); }

    /// @brief Spends one retry.
    /// @return False if none is left; the caller must then give up.
    [[nodiscard]] bool spend() noexcept {
        if(m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

  private:
    double m_share;
    double m_reserve;
    double m_tokens;
};

} // namespace heathermoor::placement
