#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"

namespace heathermoor::lease {

/// @brief Makes fencing tokens that rise and that no other host makes.
///
/// A token is the wall clock in milliseconds, followed by a number of the host.
/// Where a target has seen a higher token, because another host's clock is
/// ahead, the source jumps forward by steps that double.
class token_source {
  public:
    /// @brief Source of one host.
    /// @param host_number Number that tells this host from all others; its low 12 bits are used.
    explicit token_source(std::uint64_t host_number) noexcept : m_host_number{host_number & host_mask} {}

    /// @brief Next token, higher than all before.
    /// @param unix_now Wall clock.
    /// @return Token.
    [[nodiscard]] fencing_token next(milliseconds unix_now) noexcept;

    /// @brief Notes that a target has seen a higher token than the last one.
    void rejected() noexcept;

    /// @brief Notes that a target has accepted a token.
    void accepted() noexcept { m_step = first_step; }

  private:
    static constexpr unsigned host_bits = 12;
    static constexpr std::uint64_t host_mask = (1U << host_bits) - 1;
    /// First jump after a rejection.
    static constexpr milliseconds first_step{100};
    /// Longest jump: wall clocks are expected within a minute of each other.
    static constexpr milliseconds last_step{60'000};

    std::uint64_t m_host_number;
    milliseconds m_last{};
    milliseconds m_ahead{};
    milliseconds m_step{first_step};
};

} // namespace heathermoor::lease
