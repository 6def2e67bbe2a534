#pragma once

#include "heathermoor/core/hash.hpp"
#include <cmath>
#include <cstdint>
#include <string_view>

namespace heathermoor {

/// @brief Score of a candidate for a key; the highest score wins the key.
///
/// Weighted rendezvous hashing (Thaler and Ravishankar 1998, with the
/// logarithmic weighting of Schindelhauer and Schomaker 2005): a change of the
/// candidates moves only the keys of the candidate that came or went.
/// @param candidate Name of the candidate.
/// @param weight Weight of the candidate; above zero.
/// @param key Digest of the key.
/// @return Score.
[[nodiscard]] inline double rendezvous_score(std::string_view candidate, double weight, std::uint64_t key) noexcept {
    constexpr double scale = 1.0 / 9007199254740993.0;
    constexpr int mantissa_shift = 11;
    const auto uniform = (static_cast<double>(hash64(candidate, key) >> mantissa_shift) + 0.5) * scale;
    return -weight / std::log(uniform);
}

} // namespace heathermoor
