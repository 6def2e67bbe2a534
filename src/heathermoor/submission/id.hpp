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

/// @brief Number of partitions of one failure domain's submission ids.
inline constexpr std::uint32_t partition_count = 64;

/// @brief How the owner of a submission id is found.
enum class id_kind : std::uint8_t {
    /// The process that issued the id.
    host_issued,
    /// A host of the failure domain that the id names.
    domain_scoped,
    /// A host of the failure domain that the id hashes to.
    unscoped
};

/// @brief What a submission id says about itself.
struct parsed_id {
    id_kind kind{};
    failure_domain_id domain;
    /// Set for host-issued ids only.
    host_id host;
    /// Set for host-issued ids only.
    incarnation issuer{};
    /// Set for domain-scoped and plain ids only.
    partition_id partition{};
    /// Creation time: since the start of the issuing process for host-issued ids,
    /// since the Unix epoch for UUIDs of version 7, and nothing for others.
    std::optional<std::chrono::milliseconds> created;
};

/// @brief Key of a submission in journals and peers' records.
/// @param customer Customer that submitted it.
/// @param id Submission id.
/// @return 64-bit digest.
[[nodiscard]] std::uint64_t submission_key(std::string_view customer, std::string_view id);

/// @brief Reads the kind and the place of a submission id.
/// @param customer Customer that uses the id.
/// @param id Text of the id.
/// @param domains All failure domains of the deployment, in the same order on every host.
/// @param error Set to `invalid_submission_id` if the id cannot be read.
/// @return What the id says; unspecified if `error` is set.
[[nodiscard]] parsed_id parse_id(std::string_view customer, std::string_view id, std::span<const failure_domain_id> domains,
                                 std::error_code &error);

/// @brief Issues submission ids that only this process may run.
class id_generator {
  public:
    /// @brief Minter of one process.
    /// @param domain Failure domain of the host.
    /// @param host Name of the host.
    /// @param self Incarnation of the process.
    id_generator(const failure_domain_id &domain, const host_id &host, incarnation self);

    /// @brief Issues ids.
    /// @param count Number of ids.
    /// @param age Time since the start of the process; never decreases.
    /// @return Ids that were never issued before.
    [[nodiscard]] std::vector<submission_id> generate(std::size_t count, std::chrono::milliseconds age);

  private:
    std::string m_prefix;
    std::uint64_t m_next{1};
};

} // namespace heathermoor::submission
