#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace heathermoor {

/// @brief 64-bit XXH3 digest of a text.
/// @param text Bytes to hash.
/// @param seed Seed of the digest.
/// @return Digest, the same on every host.
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0) noexcept;

/// @brief SHA-256 digest in lower-case hexadecimal.
/// @param text Bytes to hash.
/// @return 64 hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view text);

} // namespace heathermoor
