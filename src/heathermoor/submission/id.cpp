#include "heathermoor/submission/id.hpp"

#include "heathermoor/core/hash.hpp"
#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace heathermoor::submission {

namespace internal {

constexpr std::string_view issued_prefix = "hm1.";
constexpr std::string_view scoped_prefix = "ds1.";
/// Longest accepted id, in bytes.
constexpr std::size_t max_length = 160;
constexpr std::size_t uuid_length = 36;
constexpr std::size_t uuid_version_position = 14;
/// Low bits of a serial that count ids; the bits above hold the creation time in milliseconds.
constexpr unsigned serial_bits = 20;
/// Part of the stored key format: a different seed would not match the keys in journals and peers' records.
constexpr std::uint64_t key_seed = 0x68656174;

[[nodiscard]] bool allowed(char c) noexcept {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-' || c == ':';
}

/// Removes and returns the text up to the first dot.
[[nodiscard]] std::string_view take_field(std::string_view &rest) {
    const auto dot = rest.find('.');
    const auto field = rest.substr(0, dot);
    rest = dot == std::string_view::npos ? std::string_view{} : rest.substr(dot + 1);
    return field;
}

[[nodiscard]] bool read_hex(std::string_view text, std::uint64_t &value) {
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return !text.empty() && failure == std::errc{} && end == text.data() + text.size();
}

/// Creation time of a version 7 UUID, whose first 48 bits are Unix time in milliseconds; empty for other texts.
[[nodiscard]] std::optional<std::chrono::milliseconds> uuid_time(std::string_view text) {
    if(text.size() != uuid_length || text[uuid_version_position] != '7' || text[8] != '-' || text[13] != '-') {
        return std::nullopt;
    }
    const auto digits = std::string{text.substr(0, 8)} + std::string{text.substr(9, 4)};
    std::uint64_t value{};
    if(!read_hex(digits, value)) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{static_cast<std::int64_t>(value)};
}

[[nodiscard]] partition_id partition_of(std::uint64_t key) noexcept {
    return static_cast<partition_id>(key % partition_count);
}

/// Selects a domain by rendezvous hashing, so hosts with the same list agree without communication.
[[nodiscard]] failure_domain_id domain_of(std::uint64_t key, std::span<const failure_domain_id> domains) {
    const auto *best = &domains.front();
    std::uint64_t best_score{};
    for(const auto &domain: domains) {
        const auto score = hash64(domain.str(), key);
        if(score >= best_score) {
            best_score = score;
            best = &domain;
        }
    }
    return *best;
}

[[nodiscard]] bool parse_issued(std::string_view rest, parsed_id &parsed) {
    const auto domain = take_field(rest);
    const auto host = take_field(rest);
    std::uint64_t issuer{};
    std::uint64_t serial{};
    if(domain.empty() || host.empty() || !read_hex(take_field(rest), issuer) || !read_hex(rest, serial)) {
        return false;
    }
    parsed.kind = id_kind::host_issued;
    parsed.domain = failure_domain_id{std::string{domain}};
    parsed.host = host_id{std::string{host}};
    parsed.issuer = static_cast<incarnation>(issuer);
    parsed.created = std::chrono::milliseconds{static_cast<std::int64_t>(serial >> serial_bits)};
    return true;
}

} // namespace internal

std::uint64_t submission_key(std::string_view customer, std::string_view id) {
    return hash64(fmt::format("{}\n{}", customer, id), internal::key_seed);
}

parsed_id parse_id(std::string_view customer, std::string_view id, std::span<const failure_domain_id> domains, std::error_code &error) {
    parsed_id parsed;
    error = errc::invalid_submission_id;
    if(id.empty() || id.size() > internal::max_length || !std::all_of(id.begin(), id.end(), internal::allowed) || domains.empty()) {
        return parsed;
    }
    if(id.starts_with(internal::issued_prefix)) {
        if(internal::parse_issued(id.substr(internal::issued_prefix.size()), parsed)) {
            error.clear();
        }
        return parsed;
    }
    const auto key = submission_key(customer, id);
    parsed.partition = internal::partition_of(key);
    auto suffix = id;
    if(id.starts_with(internal::scoped_prefix)) {
        suffix = id.substr(internal::scoped_prefix.size());
        parsed.kind = id_kind::domain_scoped;
        parsed.domain = failure_domain_id{std::string{internal::take_field(suffix)}};
        if(suffix.empty() || std::find(domains.begin(), domains.end(), parsed.domain) == domains.end()) {
            return parsed;
        }
    } else {
        parsed.kind = id_kind::unscoped;
        parsed.domain = internal::domain_of(key, domains);
    }
    parsed.created = internal::uuid_time(suffix);
    error.clear();
    return parsed;
}

id_generator::id_generator(const failure_domain_id &domain, const host_id &host, incarnation self)
    : m_prefix{fmt::format("{}{}.{}.{:x}.", internal::issued_prefix, domain.str(), host.str(), raw(self))} {}

std::vector<submission_id> id_generator::generate(std::size_t count, std::chrono::milliseconds age) {
    m_next = std::max(m_next, static_cast<std::uint64_t>(age.count()) << internal::serial_bits);
    std::vector<submission_id> ids;
    ids.reserve(count);
    for(std::size_t i = 0; i < count; ++i) {
        ids.emplace_back(fmt::format("{}{:x}", m_prefix, m_next++));
    }
    return ids;
}

} // namespace heathermoor::submission
