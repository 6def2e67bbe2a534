#pragma once

#include <algorithm>

namespace heathermoor::placement {

/// @brief Token bucket that limits retries to a fraction of the first attempts.
class retry_budget {
  public:
    /// @brief Creates a full budget.
    /// @param share Retries earned by each first attempt.
    /// @param reserve Maximum number of retries in the budget.
    explicit retry_budget(double share = 0.1, double reserve = 50.0) noexcept : m_share{share}, m_reserve{reserve}, m_tokens{reserve} {}

    /// @brief Counts a first attempt, which earns `share` of a retry.
    void first_attempt() noexcept { m_tokens = std::min(m_reserve, m_tokens + m_share); }

    /// @brief Takes one retry from the budget.
    /// @return False if less than one is left; the caller must not retry.
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
