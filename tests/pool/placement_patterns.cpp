#include "support/placement_loop.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using namespace heathermoor::test;
using reservation::backfill_kind;

SCENARIO("Every strategy keeps the promises to callers under each pattern of load", "[reservation][pool]") {
    const auto patterns = placement_patterns();
    const auto index = GENERATE(range(0, 5));
    REQUIRE(patterns.size() == 5);
    const auto &pattern = patterns.at(static_cast<std::size_t>(index));
    const auto kind = GENERATE(backfill_kind::none, backfill_kind::aggressive, backfill_kind::conservative);
    GIVEN("the load \"" + pattern.name + "\" and the strategy " + std::string{reservation::make_backfill(kind)->name()}) {
        const auto figures = play(pattern, kind, 1);
        THEN("each job is answered, none runs twice at once, and a refused one has not run") {
            CHECK(figures.wide > 0);
            CHECK(figures.narrow > 0);
            CHECK(figures.unanswered == 0);
            CHECK(figures.double_runs == 0);
            CHECK(figures.overfull == 0);
            CHECK(figures.refused_after_start == 0);
        }
        THEN("the same seed gives the same figures") {
            const auto again = play(pattern, kind, 1);
            CHECK(again.wide_served == figures.wide_served);
            CHECK(again.narrow_served == figures.narrow_served);
            CHECK(again.wide_wait == figures.wide_wait);
        }
        THEN("each reservation has at most one end") {
            const auto &counts = figures.reservations;
            CHECK(counts.met + counts.missed <= counts.made);
            CHECK((kind == backfill_kind::none) == (counts.made == 0));
        }
    }
}
