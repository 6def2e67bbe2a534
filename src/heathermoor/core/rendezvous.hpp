#pragma once

#include "heathermoor/core/hash.hpp"
#include <cmath>
#include <cstdint>
#include <string_view>

namespace heathermoor {

/// @brief Weighted rendezvous (highest random weight) score of a candidate; the candidate with the highest score owns the key.
///
/// Rendezvous hashing by Thaler and Ravishankar (1998) with the logarithmic
/// weighting of Schindelhauer and Schomaker (2005). Adding or removing a
/// candidate moves only the keys of that candidate.
/// @param candidate Unique name of the candidate.
/// @param weight Relative share of the keys; must be above zero.
/// @param key Hash of the key, used as the seed of the candidate's hash.
/// @return Score, comparable only with scores for the same key.
[[nodiscard]] inline double rendezvous_score(std::string_view candidate, double weight, std::uint64_t key) noexcept {
    // Maps the upper 53 bits of the hash, the precision of a double, to the unit interval.
    constexpr double scale = 1.0 / 9007199254740993.0;
    constexpr int mantissa_shift = 11;
    const auto uniform = (static_cast<double>(hash64(candidate, key) >> mantissa_shift) + 0.5) * scale;
    return -weight / std::log(uniform);
}

} // namespace heathermoor
