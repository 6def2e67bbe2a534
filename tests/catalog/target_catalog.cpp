#include "heathermoor/catalog/target_catalog.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using catalog::target_catalog;

namespace {

constexpr time_point start{seconds{10}};

[[nodiscard]] catalog::catalog_record entry(std::uint64_t offset, const char *id) {
    catalog::target_entry listed;
    listed.id = target_id{id};
    listed.service = service_id{"service"};
    return {log_offset{offset}, listed.id, listed};
}

[[nodiscard]] catalog::catalog_record removal(std::uint64_t offset, const char *id) {
    return {log_offset{offset}, target_id{id}, std::nullopt};
}

} // namespace

SCENARIO("The catalog keeps entries that expire during an outage of the list", "[catalog]") {
    target_catalog listed;
    listed.apply(entry(1, "a"), start);
    listed.apply(entry(2, "b"), start);
    listed.apply(removal(3, "a"), start);

    THEN("an entry that returns in time is never dropped") {
        CHECK_FALSE(listed.expire(start + seconds{2}));
        listed.apply(entry(4, "a"), start + seconds{2});
        CHECK_FALSE(listed.expire(start + seconds{5}));
        CHECK(listed.entries().size() == 2);
    }
    THEN("an entry that does not return is dropped, and remembered for a minute") {
        CHECK(listed.expire(start + seconds{3}));
        CHECK(listed.entries().size() == 1);
        CHECK(listed.known_domains().size() == 2);
        (void)listed.expire(start + seconds{70});
        CHECK(listed.known_domains().size() == 1);
    }
    THEN("an older record is ignored") {
        listed.apply(entry(1, "a"), start);
        CHECK(listed.expire(start + seconds{3}));
    }
    THEN("a snapshot removes entries that it lacks") {
        listed.begin_snapshot();
        listed.apply(entry(6, "a"), start);
        listed.end_snapshot(start);
        CHECK(listed.expire(start + seconds{3}));
        REQUIRE(listed.entries().size() == 1);
        CHECK(listed.entries().front().id == target_id{"a"});
    }
}
