#pragma once

#include "heathermoor/core/interface.hpp"
#include "heathermoor/reservation/plan.hpp"
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace heathermoor::reservation {

/// @brief How room is kept for jobs that can't start yet.
enum class backfill_kind : std::uint8_t {
    /// No reservations: each task starts as soon as there is room for it.
    none,
    /// One reservation, for the first job that can't start.
    aggressive,
    /// A reservation for each of the first jobs that can't start.
    conservative,
};

/// @brief Decides which waiting jobs get a reservation.
class backfill : public interface {
  public:
    /// @brief Name in settings and logs.
    /// @return Static storage.
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;

    /// @brief Number of waiting jobs that a plan considers.
    /// @return Zero if there are never any reservations.
    [[nodiscard]] virtual std::size_t depth() const noexcept = 0;

    /// @brief Reserves room for jobs that can't start now.
    /// @param room Free room over time.
    /// @param waiting Jobs in the order in which they get room; at most `depth` of them count.
    /// @return Plan with the reservations.
    [[nodiscard]] virtual plan arrange(room_profile room, std::span<const request> waiting) const = 0;
};

/// @brief Places each task where there is room now.
class no_backfill final : public backfill {
  public:
    [[nodiscard]] std::string_view name() const noexcept override { return "none"; }
    [[nodiscard]] std::size_t depth() const noexcept override { return 0; }
    [[nodiscard]] plan arrange(room_profile room, std::span<const request> waiting) const override;
};

/// @brief Keeps room for the first job that can't start, and lets others pass that don't delay it.
///
/// Lifka 1995, "The ANL/IBM SP Scheduling System", JSSPP (EASY).
class aggressive_backfill final : public backfill {
  public:
    [[nodiscard]] std::string_view name() const noexcept override { return "aggressive"; }
    [[nodiscard]] std::size_t depth() const noexcept override;
    [[nodiscard]] plan arrange(room_profile room, std::span<const request> waiting) const override;
};

/// @brief Keeps room for each of the first jobs that can't start, and lets others pass that delay none of them.
///
/// Mu'alem and Feitelson 2001, "Utilization, Predictability, Workloads, and User Runtime Estimates in Scheduling the IBM SP2 with
/// Backfilling", IEEE TPDS 12(6).
class conservative_backfill final : public backfill {
  public:
    [[nodiscard]] std::string_view name() const noexcept override { return "conservative"; }
    [[nodiscard]] std::size_t depth() const noexcept override;
    [[nodiscard]] plan arrange(room_profile room, std::span<const request> waiting) const override;
};

/// @brief Creates a strategy.
/// @param kind Kind of strategy.
/// @return Strategy; never null.
[[nodiscard]] std::unique_ptr<backfill> make_backfill(backfill_kind kind);

} // namespace heathermoor::reservation
