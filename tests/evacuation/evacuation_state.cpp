#include "heathermoor/evacuation/evacuation_state.hpp"

#include <catch2/catch.hpp>
#include <string>

using namespace heathermoor;
using namespace heathermoor::evacuation;

namespace {

const failure_domain_id north{"north"};
const failure_domain_id south{"south"};

using domains = std::set<failure_domain_id>;

[[nodiscard]] evacuation_request requested(const failure_domain_id &domain, std::uint64_t offset) {
    return {domain, log_offset{offset}, true};
}

[[nodiscard]] evacuation_request taken_back(const failure_domain_id &domain, std::uint64_t offset) {
    return {domain, log_offset{offset}, false};
}

} // namespace

SCENARIO("Requests of operators are applied in the order of the log", "[evacuation]") {
    evacuation_state state;
    CHECK_FALSE(state.known());
    CHECK(state.domains().empty());

    GIVEN("a request") {
        const auto begun = state.apply({requested(north, 4)}, log_offset{5});
        REQUIRE(begun.size() == 1);
        CHECK(begun.front().domain == north);
        CHECK(begun.front().in_force);
        CHECK(state.domains() == domains{north});
        CHECK(state.next() == log_offset{5});
        THEN("the same record again changes nothing") {
            CHECK(state.apply({requested(north, 4)}, log_offset{5}).empty());
        }
        THEN("it ends with the record that takes it back") {
            const auto ended = state.apply({taken_back(north, 7)}, log_offset{8});
            REQUIRE(ended.size() == 1);
            CHECK_FALSE(ended.front().in_force);
            CHECK(state.domains().empty());
            AND_THEN("a late answer with the request does not bring it back") {
                CHECK(state.apply({requested(north, 4)}, log_offset{5}).empty());
                CHECK(state.domains().empty());
                CHECK(state.next() == log_offset{8});
            }
        }
        THEN("a late answer with an earlier record does not end it") {
            CHECK(state.apply({taken_back(north, 2)}, log_offset{3}).empty());
            CHECK(state.domains() == domains{north});
        }
        THEN("it may be repeated after it was taken back, in one page") {
            (void)state.apply({taken_back(north, 6), requested(north, 7)}, log_offset{8});
            CHECK(state.domains() == domains{north});
        }
    }
    GIVEN("a record that takes back what was never requested") {
        CHECK(state.apply({taken_back(north, 1)}, log_offset{2}).empty());
        CHECK(state.known());
    }
    GIVEN("records of other kinds only") {
        (void)state.apply({}, log_offset{9});
        CHECK(state.known());
        CHECK(state.next() == log_offset{9});
    }
}

SCENARIO("A complete list ends only what it is newer than", "[evacuation]") {
    evacuation_state state;
    (void)state.merge({requested(north, 3)}, log_offset{5});
    REQUIRE(state.domains() == domains{north});

    GIVEN("a newer list without the request") {
        const auto changes = state.merge({requested(south, 6)}, log_offset{7});
        CHECK(changes.size() == 2);
        CHECK(state.domains() == domains{south});
        CHECK(state.next() == log_offset{7});
    }
    GIVEN("an older list without the request") {
        CHECK(state.merge({}, log_offset{2}).empty());
        CHECK(state.domains() == domains{north});
        CHECK(state.next() == log_offset{5});
    }
    GIVEN("a list that is complete as far as the state") {
        CHECK(state.merge({}, log_offset{5}).empty());
        CHECK(state.domains() == domains{north});
    }
    GIVEN("an older list with a request that was taken back since") {
        (void)state.apply({taken_back(north, 5)}, log_offset{6});
        CHECK(state.merge({requested(north, 3)}, log_offset{5}).empty());
        CHECK(state.domains().empty());
    }
    GIVEN("a newer list in which the request was repeated") {
        CHECK(state.merge({requested(north, 6)}, log_offset{7}).empty());
        CHECK(state.domains() == domains{north});
    }
}

// The pages of a snapshot are read one after the other, so that a late one may hold a record from after the first page.
SCENARIO("A request that was stored while a snapshot was read stands", "[evacuation]") {
    evacuation_state state;
    (void)state.merge({requested(north, 9)}, log_offset{5});
    REQUIRE(state.domains() == domains{north});
    CHECK(state.next() == log_offset{5});

    THEN("the records before it in the log do not end it") {
        CHECK(state.apply({taken_back(north, 7)}, log_offset{8}).empty());
        CHECK(state.domains() == domains{north});
    }
    THEN("a list that is not complete as far does not end it") {
        CHECK(state.merge({}, log_offset{8}).empty());
        CHECK(state.domains() == domains{north});
    }
    THEN("a list that is complete beyond it does") {
        (void)state.merge({}, log_offset{10});
        CHECK(state.domains().empty());
    }
}

SCENARIO("What one state passes on makes another one equal to it", "[evacuation]") {
    evacuation_state state;
    (void)state.apply({requested(north, 3), requested(south, 4)}, log_offset{6});
    evacuation_state other;
    GIVEN("a host that knows nothing") {}
    GIVEN("a host that knows of a request that was taken back since") {
        (void)other.merge({requested(failure_domain_id{"east"}, 1)}, log_offset{2});
    }
    (void)other.merge(state.requests(), state.next());
    CHECK(other.domains() == state.domains());
    CHECK(other.next() == state.next());
    CHECK(other.requests() == state.requests());
}

SCENARIO("A list or an offset that cannot be one is recognized", "[evacuation]") {
    evacuation_state state;
    GIVEN("offsets") {
        CHECK(state.may_be_next(log_offset{max_advance + 1}));
        CHECK_FALSE(state.may_be_next(log_offset{raw(max_offset) + 1}));
        (void)state.apply({}, log_offset{10});
        CHECK(state.may_be_next(log_offset{0}));
        CHECK(state.may_be_next(log_offset{10 + max_advance}));
        CHECK_FALSE(state.may_be_next(log_offset{11 + max_advance}));
    }
    GIVEN("lists") {
        CHECK(plausible({}));
        CHECK(plausible({requested(north, 1)}));
        CHECK_FALSE(plausible({requested(failure_domain_id{}, 1)}));
        CHECK_FALSE(plausible({requested(failure_domain_id{std::string(max_domain_name + 1, 'x')}, 1)}));
        CHECK_FALSE(plausible({requested(north, raw(max_offset) + 1)}));
        CHECK_FALSE(plausible(std::vector<evacuation_request>(max_evacuations + 1, requested(north, 1))));
    }
}
