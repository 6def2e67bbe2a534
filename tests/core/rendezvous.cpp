#include "heathermoor/core/rendezvous.hpp"
#include <array>
#include <catch2/catch.hpp>
#include <string>

using namespace heathermoor;

TEST_CASE("Weighted rendezvous hashing", "[core]") {
    GIVEN("three hosts, one of them with twice the weight") {
        const std::array<std::pair<std::string, double>, 3> hosts{{{"a", 1.0}, {"b", 1.0}, {"c", 2.0}}};
        const auto winner = [&](std::uint64_t key, std::size_t count) {
            std::size_t best{};
            for(std::size_t i = 1; i < count; ++i) {
                if(rendezvous_score(hosts.at(i).first, hosts.at(i).second, key) >
                   rendezvous_score(hosts.at(best).first, hosts.at(best).second, key)) {
                    best = i;
                }
            }
            return best;
        };
        WHEN("many keys are placed") {
            std::array<int, 3> counts{};
            int moved_from_remaining{};
            for(std::uint64_t key = 0; key < 20'000; ++key) {
                const auto all = winner(key, 3);
                ++counts.at(all);
                moved_from_remaining += all != 2 && winner(key, 2) != all ? 1 : 0;
            }
            THEN("each host receives a share proportional to its weight") {
                CHECK(counts[0] == Approx(5'000).margin(250));
                CHECK(counts[1] == Approx(5'000).margin(250));
                CHECK(counts[2] == Approx(10'000).margin(300));
            }
            THEN("removing a host moves only the keys of that host") {
                CHECK(moved_from_remaining == 0);
            }
        }
    }
}
