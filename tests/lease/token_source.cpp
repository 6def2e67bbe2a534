#include "heathermoor/lease/token_source.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using lease::token_source;

SCENARIO("Fencing tokens increase even if the wall clock steps back", "[lease]") {
    token_source source{5};
    const auto first = source.next(seconds{1'000'000});
    const auto second = source.next(seconds{999'000});
    CHECK(second > first);

    THEN("two hosts never generate the same token") {
        token_source other{6};
        CHECK(other.next(seconds{1'000'000}) != first);
    }
    THEN("a source whose clock is a minute behind catches up within a few rejections") {
        token_source behind{7};
        auto token = behind.next(seconds{999'940});
        int rejections = 0;
        while(token < first) {
            behind.rejected();
            token = behind.next(seconds{999'940});
            ++rejections;
        }
        CHECK(rejections <= 11);
    }
    THEN("tokens remain exact as JSON numbers for decades") {
        constexpr std::uint64_t largest_exact = (std::uint64_t{1} << 53U) - 1;
        const auto far = source.next(std::chrono::hours{24 * 365 * 65});
        CHECK(raw(far) < largest_exact);
    }
}
