#pragma once

#include "heathermoor/core/error.hpp"
#include "heathermoor/core/id.hpp"
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <system_error>
#include <vector>

namespace heathermoor::submission {

/// @brief Number of partitions into which each failure domain's submission ids are hashed.
inline constexpr std::uint32_t partition_count = 64;

/// @brief How the owner of a submission id is found.
enum class id_kind : std::uint8_t {
    /// Issued by a process of this deployment and owned by that process alone.
    host_issued,
    /// Chosen by the client with a failure domain in the id; owned by the host that holds the id's partition there.
    domain_scoped,
    /// Chosen by the client without a failure domain; the domain is derived from the hash of customer and id.
    unscoped
};

/// @brief Routing information that is read from a submission id.
struct parsed_id {
    id_kind kind{};
    failure_domain_id domain;
    /// Host that issued the id; empty unless host-issued.
    host_id host;
    /// Process that issued the id; zero unless host-issued.
    incarnation issuer{};
    /// Partition within the domain; unused for host-issued ids.
    partition_id partition{};
    /// Creation time: since the start of the issuing process for host-issued ids,
    /// since the Unix epoch for version 7 UUIDs, and empty for all other ids.
    std::optional<std::chrono::milliseconds> created;
};

/// @brief Computes the key that identifies a submission in the journal and in records held by peers.
/// @param customer Customer that submitted the job; ids of different customers are independent.
/// @param id Submission id as sent by the client.
/// @return Stable 64-bit hash, the same on every host.
[[nodiscard]] std::uint64_t submission_key(std::string_view customer, std::string_view id);

/// @brief Parses a submission id and derives its owner's failure domain and partition.
/// @param customer Customer that uses the id; part of the hash that selects domain and partition.
/// @param id Up to 160 letters, digits and characters of `._-:`.
/// @param domains All failure domains of the deployment, in the same order on every host.
/// @param error Cleared on success; `invalid_submission_id` if the id is malformed, names an unknown domain, or `domains` is empty.
/// @return Parsed id; unspecified if `error` is set.
[[nodiscard]] parsed_id parse_id(std::string_view customer, std::string_view id, std::span<const failure_domain_id> domains,
                                 std::error_code &error);

/// @brief Generates host-issued submission ids, which only this process may run.
///
/// Not synchronized: the caller serializes calls.
class id_generator {
  public:
    /// @brief Creates the generator of one process.
    /// @param domain Failure domain of the host, written into each id.
    /// @param host Host of the process, written into each id.
    /// @param self Incarnation of the process, so that ids of earlier processes on the host differ.
    id_generator(const failure_domain_id &domain, const host_id &host, incarnation self);

    /// @brief Generates ids.
    /// @param count Number of ids to generate; may be zero.
    /// @param age Time since the start of the process, written into the ids as their creation time; must not be negative.
    /// @return Ids that this generator has not returned before.
    [[nodiscard]] std::vector<submission_id> generate(std::size_t count, std::chrono::milliseconds age);

  private:
    std::string m_prefix;
    std::uint64_t m_next{1};
};

} // namespace heathermoor::submission
