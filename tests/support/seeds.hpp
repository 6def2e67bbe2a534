#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace heathermoor::test {

/// @brief Seeds of a random series: `HEATHERMOOR_SEEDS`, as `FIRST:COUNT` or one seed, or a fixed set.
/// @param count Size of the fixed set, which begins at one.
/// @return Seeds in ascending order.
[[nodiscard]] std::vector<std::uint64_t> chosen_seeds(std::size_t count);

} // namespace heathermoor::test
