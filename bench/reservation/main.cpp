#include "support/placement_loop.hpp"
#include <fmt/format.h>

using namespace heathermoor;
using namespace heathermoor::test;

namespace {

constexpr std::uint64_t seeds = 20;

void add(placement_figures &sum, const placement_figures &one) {
    sum.wide += one.wide;
    sum.wide_served += one.wide_served;
    sum.narrow += one.narrow;
    sum.narrow_served += one.narrow_served;
    sum.refused += one.refused;
    sum.wide_wait += one.wide_wait;
    sum.run_time += one.run_time;
    sum.wasted += one.wasted;
    sum.reservations.made += one.reservations.made;
    sum.reservations.met += one.reservations.met;
    sum.reservations.missed += one.reservations.missed;
    sum.reservations.backfilled += one.reservations.backfilled;
    sum.reservations.held += one.reservations.held;
    sum.reservations.refused += one.reservations.refused;
}

[[nodiscard]] double share(std::size_t part, std::size_t all) {
    return all == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(all);
}

} // namespace

int main() {
    fmt::print(
        "| load | strategy | served | wide served | narrow served | refused | mean wait of wide, ms | work wasted | made | met | missed | "
        "backfilled | held | refused late |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for(const auto &pattern: placement_patterns()) {
        for(const auto kind:
            {reservation::backfill_kind::none, reservation::backfill_kind::aggressive, reservation::backfill_kind::conservative}) {
            placement_figures sum;
            for(std::uint64_t seed = 1; seed <= seeds; ++seed) {
                add(sum, play(pattern, kind, seed));
            }
            const auto served = static_cast<double>(std::max<std::size_t>(1, sum.wide_served));
            fmt::print("| {} | {} | {:.3f} | {:.3f} | {:.3f} | {} | {:.0f} | {:.3f} | {} | {} | {} | {} | {} | {} |\n", pattern.name,
                       reservation::make_backfill(kind)->name(), share(sum.wide_served + sum.narrow_served, sum.wide + sum.narrow),
                       share(sum.wide_served, sum.wide), share(sum.narrow_served, sum.narrow), sum.refused, to_ms(sum.wide_wait) / served,
                       to_ms(sum.wasted) / std::max(1.0, to_ms(sum.run_time)), sum.reservations.made, sum.reservations.met,
                       sum.reservations.missed, sum.reservations.backfilled, sum.reservations.held, sum.reservations.refused);
        }
    }
    return 0;
}
