#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace heathermoor {

/// @brief Amount of each resource that a target offers or a task needs.
struct resources {
    /// Thousandths of a core.
    std::int64_t cpu_millicores{};
    std::int64_t memory_mb{};
    std::int64_t gpus{};

    friend bool operator==(const resources &, const resources &) = default;

    /// @brief Adds another amount to this one.
    /// @param other Amount.
    /// @return This amount.
    resources &operator+=(const resources &other) noexcept {
        cpu_millicores += other.cpu_millicores;
        memory_mb += other.memory_mb;
        gpus += other.gpus;
        return *this;
    }

    /// @brief Takes another amount from this one; the result may be negative.
    /// @param other Amount.
    /// @return This amount.
    resources &operator-=(const resources &other) noexcept {
        cpu_millicores -= other.cpu_millicores;
        memory_mb -= other.memory_mb;
        gpus -= other.gpus;
        return *this;
    }

    friend resources operator+(resources left, const resources &right) noexcept { return left += right; }
    friend resources operator-(resources left, const resources &right) noexcept { return left -= right; }

    /// @brief Whether this amount is available within another.
    /// @param room Amount that is free.
    /// @return True if no resource exceeds it.
    [[nodiscard]] bool fits(const resources &room) const noexcept {
        return cpu_millicores <= room.cpu_millicores && memory_mb <= room.memory_mb && gpus <= room.gpus;
    }
};

/// @brief How often an amount fits into a room.
/// @param need Amount of one piece.
/// @param room Amount that is free.
/// @return Number of whole pieces; zero if a resource is missing.
[[nodiscard]] inline std::int64_t pieces(const resources &need, const resources &room) noexcept {
    constexpr std::int64_t unbounded = 1'000'000;
    std::int64_t count = unbounded;
    const auto limit = [&count](std::int64_t part, std::int64_t whole) {
        if(part > 0) {
            count = std::min(count, std::max<std::int64_t>(0, whole) / part);
        }
    };
    limit(need.cpu_millicores, room.cpu_millicores);
    limit(need.memory_mb, room.memory_mb);
    limit(need.gpus, room.gpus);
    return count;
}

} // namespace heathermoor
