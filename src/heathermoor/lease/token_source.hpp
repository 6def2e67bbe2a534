#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"

namespace heathermoor::lease {

/// @brief Generates fencing tokens that increase and are unique to this host.
///
/// The high bits are the wall clock in milliseconds, the low 12 bits the host's
/// number. If a target has seen a higher token because another host's clock is
/// ahead, the source moves its clock forward in steps that double.
class token_source {
  public:
    /// @brief Creates the source of a host.
    /// @param host_number Number that is unique to the host; only its low 12 bits are used.
    explicit token_source(std::uint64_t host_number) noexcept : m_host_number{host_number & host_mask} {}

    /// @brief Generates a token above all earlier ones of this source.
    /// @param unix_now Wall clock, in milliseconds since the Unix epoch; may step back.
    /// @return New token.
    [[nodiscard]] fencing_token next(milliseconds unix_now) noexcept;

    /// @brief Records that a target rejected the latest token because it has seen a higher one.
    void rejected() noexcept;

    /// @brief Records that a target accepted a token; the next step is the initial one again.
    void accepted() noexcept { m_step = initial_step; }

  private:
    static constexpr unsigned host_bits = 12;
    static constexpr std::uint64_t host_mask = (1U << host_bits) - 1;
    /// Step after the first rejection.
    static constexpr milliseconds initial_step{100};
    /// Longest step: the wall clocks of all hosts are expected within a minute of each other.
    static constexpr milliseconds max_step{60'000};

    std::uint64_t m_host_number;
    milliseconds m_last{};
    milliseconds m_clock_offset{};
    milliseconds m_step{initial_step};
};

} // namespace heathermoor::lease
