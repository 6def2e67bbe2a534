#include "heathermoor/cell/cell_plan.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

using namespace heathermoor;
using cell::cell_id;
using cell::cell_plan;

namespace {

const failure_domain_id a{"a"};
const failure_domain_id b{"b"};
const failure_domain_id c{"c"};

} // namespace

SCENARIO("The number of targets in each failure domain determines the cells", "[cell]") {
    GIVEN("few targets in each failure domain") {
        const cell_plan plan{{{a, 16}, {b, 16}, {c, 16}}};
        THEN("there is a single cell") {
            CHECK(plan.size() == 1);
            CHECK(plan.of(a, host_id{"1"}) == plan.of(c, target_id{"t"}));
        }
    }
    GIVEN("enough targets in each failure domain") {
        const cell_plan plan{{{a, 88}, {b, 88}, {c, 87}}};
        THEN("each failure domain is a cell") {
            CHECK(plan.size() == 3);
            CHECK(plan.of(a, host_id{"1"}) == plan.of(a, target_id{"t"}));
            CHECK(plan.of(a, host_id{"1"}) != plan.of(b, host_id{"2"}));
        }
    }
    GIVEN("a failure domain with few targets beside two with enough") {
        const cell_plan plan{{{a, 88}, {b, 10}, {c, 87}}};
        THEN("it shares the cell of another one, and so does a failure domain without targets") {
            CHECK(plan.size() == 2);
            CHECK(plan.of(b, target_id{"t"}) == plan.of(a, target_id{"t"}));
            CHECK(plan.of(failure_domain_id{"d"}, host_id{"1"}) == plan.of(a, host_id{"2"}));
        }
    }
    GIVEN("a failure domain with hundreds of targets") {
        const cell_plan plan{{{a, 330}}};
        std::map<cell_id, int> targets;
        for(int number = 0; number < 330; ++number) {
            ++targets[plan.of(a, target_id{std::to_string(number)})];
        }
        THEN("it is split into cells of about the same size") {
            CHECK(plan.size() == 3);
            REQUIRE(targets.size() == 3);
            for(const auto &[cell, count]: targets) {
                CHECK(count > 80);
                CHECK(count < 140);
            }
        }
        THEN("an additional cell moves only the targets that it receives") {
            const cell_plan larger{{{a, 440}}};
            for(int number = 0; number < 330; ++number) {
                const target_id target{std::to_string(number)};
                const auto cell = larger.of(a, target);
                CHECK((cell == plan.of(a, target) || cell.index == 3));
            }
        }
    }
    GIVEN("no list of targets yet") {
        CHECK(cell_plan{}.of(a, host_id{"1"}) == cell_plan{}.of(b, host_id{"2"}));
        CHECK(cell_plan{}.size() == 1);
    }
}
