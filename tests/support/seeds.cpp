#include "support/seeds.hpp"

#include <cstdlib>
#include <numeric>
#include <string>

namespace heathermoor::test {

std::vector<std::uint64_t> chosen_seeds(std::size_t count) {
    std::uint64_t first = 1;
    if(const auto *chosen = std::getenv("HEATHERMOOR_SEEDS"); chosen != nullptr) {
        const std::string text{chosen};
        const auto colon = text.find(':');
        first = std::stoull(text.substr(0, colon));
        count = colon == std::string::npos ? 1 : std::stoull(text.substr(colon + 1));
    }
    std::vector<std::uint64_t> seeds(count);
    std::iota(seeds.begin(), seeds.end(), first);
    return seeds;
}

} // namespace heathermoor::test
