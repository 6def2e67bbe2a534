#include "heathermoor/election/claim_scope.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using election::claim_scope;

namespace {

[[nodiscard]] std::vector<election::scope_member> members(std::initializer_list<bool> heard) {
    std::vector<election::scope_member> result;
    for(const auto one: heard) {
        const auto index = result.size();
        result.push_back({host_id{"h" + std::to_string(index)}, failure_domain_id{"d" + std::to_string(index / 2)}, one});
    }
    return result;
}

[[nodiscard]] catalog::target_entry target(int index, const char *domain) {
    catalog::target_entry entry;
    entry.id = target_id{"t" + std::to_string(index)};
    entry.domain = failure_domain_id{domain};
    return entry;
}

} // namespace

SCENARIO("A majority of the hosts claims all targets", "[election]") {
    const claim_scope scope{members({true, true, true, true, false, false}), false};
    CHECK(scope.majority());
    CHECK(scope.includes(target(1, "d0")));
    CHECK(scope.includes(target(1, "d2")));
    CHECK(claim_scope{members({true, true, true, false, false, false}), false}.majority());
    CHECK_FALSE(claim_scope{members({false, true, true, true, false, false}), false}.majority());
}

SCENARIO("A partitioned failure domain claims its own targets", "[election]") {
    const claim_scope scope{members({false, false, true, true, false, false}), false};
    CHECK_FALSE(scope.majority());
    CHECK(scope.includes(target(1, "d1")));
    CHECK_FALSE(scope.includes(target(1, "d0")));
}

SCENARIO("A host that is cut off only from other hosts claims its share of the targets", "[election]") {
    const claim_scope alone{members({false, false, true, false, false, false}), true};
    const claim_scope rest{members({true, true, false, true, true, true}), true};
    int share = 0;
    constexpr int count = 600;
    for(int index = 0; index < count; ++index) {
        const auto entry = target(index, "d0");
        share += alone.includes(entry) ? 1 : 0;
        if(alone.includes(entry)) {
            CHECK(rest.reclaim_delay(entry) > rest.reclaim_delay(target(index, "d0")) / 2);
            CHECK(rest.reclaim_delay(entry) > alone.reclaim_delay(entry));
        }
    }
    CHECK(share > count / 6 - 40);
    CHECK(share < count / 6 + 40);
}
