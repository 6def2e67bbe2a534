#include "heathermoor/lease/token_source.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using lease::token_source;

SCENARIO("Fencing tokens rise whatever the wall clock does", "[lease]") {
    token_source source{5};
    const auto first = source.next(seconds{1'000'000});
    const auto second = source.next(seconds{999'000});
    CHECK(second > first);

    THEN("two hosts never make the same one") {
        token_source other{6};
        CHECK(other.next(seconds{1'000'000}) != first);
    }
    THEN("a source whose clock is a minute behind gets ahead in a few steps") {
        token_source behind{7};
        auto token = behind.next(seconds{999'940});
        int steps = 0;
        while(token < first) {
            behind.rejected();
            token = behind.next(seconds{999'940});
            ++steps;
        }
        CHECK(steps <= 11);
    }
    THEN("tokens stay exact in JSON for decades") {
        constexpr std::uint64_t largest_exact = (std::uint64_t{1} << 53U) - 1;
        const auto far = source.next(std::chrono::hours{24 * 365 * 65});
        CHECK(raw(far) < largest_exact);
    }
}
