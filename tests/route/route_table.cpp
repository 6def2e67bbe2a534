#include "heathermoor/route/route_table.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using route::route_table;

namespace {

[[nodiscard]] route::route_config version(std::uint64_t number, std::initializer_list<const char *> prefixes) {
    route::route_config config;
    config.version = config_version{number};
    for(const auto *prefix: prefixes) {
        route::route one;
        one.host = "shop.example";
        one.path_prefix = prefix;
        one.queue.name = queue_id{prefix};
        config.routes.push_back(one);
    }
    return config;
}

} // namespace

SCENARIO("The route table finds the longest prefix and rejects older versions", "[route]") {
    route_table table;
    CHECK_FALSE(table.configured());
    REQUIRE(table.apply(version(5, {"/a/", "/a/b/"})));
    CHECK(table.find("shop.example:80", "/a/x")->queue.name == queue_id{"/a/"});
    CHECK(table.find("shop.example", "/a/b/x")->queue.name == queue_id{"/a/b/"});
    CHECK(table.find("other.example", "/a/x") == nullptr);
    CHECK(table.find("shop.example", "/c") == nullptr);

    THEN("an older or equal version is ignored") {
        CHECK_FALSE(table.apply(version(5, {})));
        CHECK_FALSE(table.apply(version(4, {})));
        CHECK(table.find("shop.example", "/a/x") != nullptr);
    }
    THEN("a newer version replaces all routes") {
        CHECK(table.apply(version(9, {"/c/"})));
        CHECK(table.find("shop.example", "/a/x") == nullptr);
    }
}
