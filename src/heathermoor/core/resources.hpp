#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace heathermoor {

/// @brief Resource vector: the capacity of a target or the demand of a task.
struct resources {
    /// CPU in thousandths of a core.
    std::int64_t cpu_millicores{};
    std::int64_t memory_mb{};
    std::int64_t gpus{};

    friend bool operator==(const resources &, const resources &) = default;

    /// @brief Adds each resource; no overflow check.
    /// @param other Amounts to add.
    /// @return Reference to this object.
    resources &operator+=(const resources &other) noexcept {
        cpu_millicores += other.cpu_millicores;
        memory_mb += other.memory_mb;
        gpus += other.gpus;
        return *this;
    }

    /// @brief Subtracts each resource; results may be negative.
    /// @param other Amounts to subtract.
    /// @return Reference to this object.
    resources &operator-=(const resources &other) noexcept {
        cpu_millicores -= other.cpu_millicores;
        memory_mb -= other.memory_mb;
        gpus -= other.gpus;
        return *this;
    }

    friend resources operator+(resources left, const resources &right) noexcept { return left += right; }
    friend resources operator-(resources left, const resources &right) noexcept { return left -= right; }

    /// @brief Whether this demand fits into the available resources.
    /// @param available Free resources.
    /// @return True if no resource exceeds the available amount.
    [[nodiscard]] bool fits(const resources &available) const noexcept {
        return cpu_millicores <= available.cpu_millicores && memory_mb <= available.memory_mb && gpus <= available.gpus;
    }
};

/// @brief Number of equal demands that fit into the available resources.
/// @param demand Resources of one unit; resources at or below zero do not limit the result.
/// @param available Free resources; negative amounts count as zero.
/// @return Number of whole units, at most 1,000,000, which is also the result for an empty demand.
[[nodiscard]] inline std::int64_t pieces(const resources &demand, const resources &available) noexcept {
    constexpr std::int64_t max_count = 1'000'000;
    std::int64_t count = max_count;
    const auto limit = [&count](std::int64_t required, std::int64_t free_amount) {
        if(required > 0) {
            count = std::min(count, std::max<std::int64_t>(0, free_amount) / required);
        }
    };
    limit(demand.cpu_millicores, available.cpu_millicores);
    limit(demand.memory_mb, available.memory_mb);
    limit(demand.gpus, available.gpus);
    return count;
}

} // namespace heathermoor
