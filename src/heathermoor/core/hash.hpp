#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace heathermoor {

/// @brief 64-bit XXH3 hash; not cryptographic.
/// @param text Bytes to hash; may be empty.
/// @param seed Different seeds give independent hashes.
/// @return Hash value, identical on every host.
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0) noexcept;

/// @brief SHA-256 digest as text.
/// @param text Bytes to hash; may be empty.
/// @return 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view text);

} // namespace heathermoor
