#include "heathermoor/reservation/backfill.hpp"

#include <algorithm>

namespace heathermoor::reservation {

namespace internal {

/// Waiting jobs that a plan considers.
constexpr std::size_t plan_depth = 32;

/// Reservations of the conservative strategy at a time.
constexpr std::size_t max_reservations = 8;

/// Reservation of a job that can't start as a whole now; none if its targets never have room for one task.
[[nodiscard]] std::optional<booking> book_job(const room_profile &room, const request &wanted, const std::optional<joint_start> &whole) {
    const auto in_pieces = room.last_start_in_pieces(wanted);
    if(!in_pieces) {
        return std::nullopt;
    }
    booking made;
    made.job = wanted.job;
    made.need = wanted.need;
    made.tasks = wanted.tasks;
    made.in_pieces = wanted.begun || !whole || *in_pieces < whole->at;
    made.start = whole ? whole->at : *in_pieces;
    if(whole) {
        made.rows = whole->rows;
    }
    made.latest = std::max(made.start, wanted.latest);
    made.end = made.start + wanted.run;
    return made;
}

/// Reserves room for jobs in their order until there are enough reservations.
[[nodiscard]] plan reserve(room_profile room, std::span<const request> waiting, std::size_t limit) {
    plan result{room};
    for(const auto &wanted: waiting.first(std::min(waiting.size(), plan_depth))) {
        const auto whole = room.earliest(wanted);
        const bool starts_now = whole && whole->at <= room.now();
        if(!starts_now) {
            if(auto made = book_job(room, wanted, whole)) {
                result.add(std::move(*made));
            }
        }
        if(result.bookings().size() >= limit) {
            break;
        }
        if(whole) {
            for(const auto row: whole->rows) {
                room.take(row, wanted.need, whole->at, whole->at + wanted.run);
            }
        }
    }
    return result;
}

} // namespace internal

plan no_backfill::arrange(room_profile room, std::span<const request>) const {
    return plan{std::move(room)};
}

std::size_t aggressive_backfill::depth() const noexcept {
    return internal::plan_depth;
}

plan aggressive_backfill::arrange(room_profile room, std::span<const request> waiting) const {
    return internal::reserve(std::move(room), waiting, 1);
}

std::size_t conservative_backfill::depth() const noexcept {
    return internal::plan_depth;
}

plan conservative_backfill::arrange(room_profile room, std::span<const request> waiting) const {
    return internal::reserve(std::move(room), waiting, internal::max_reservations);
}

std::unique_ptr<backfill> make_backfill(backfill_kind kind) {
    switch(kind) {
    case backfill_kind::aggressive:
        return std::make_unique<aggressive_backfill>();
    case backfill_kind::conservative:
        return std::make_unique<conservative_backfill>();
    case backfill_kind::none:
        break;
    }
    return std::make_unique<no_backfill>();
}

} // namespace heathermoor::reservation
