#include "heathermoor/core/hash.hpp"

#include <array>
#include <fmt/format.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace heathermoor {

std::uint64_t hash64(std::string_view text, std::uint64_t seed) noexcept {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    for(const auto byte: digest) {
        hex += fmt::format("{:02x}", byte);
    }
    return hex;
}

} // namespace heathermoor
