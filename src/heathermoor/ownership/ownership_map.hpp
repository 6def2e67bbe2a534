#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/submission/id.hpp"
#include "heathermoor/wire/heathermoor.pb.h"
#include <array>
#include <map>
#include <string>
#include <vector>

namespace heathermoor::ownership {

/// @brief Process that owns a partition and may admit its submissions.
struct partition_owner {
    host_id host;
    incarnation process{};
    /// Offset of the record that granted the partition; zero if it was never owned.
    epoch since{};
};

/// @brief Process that joined a failure domain, as its record in the ownership stream announced it.
struct member {
    host_id host;
    incarnation process{};
    std::string peer_address;
    std::string http_address;
    /// Relative share of the work.
    double weight{1.0};
};

/// @brief Partition that a record moved to another owner.
struct granted_partition {
    partition_id partition{};
    partition_owner previous;
};

/// @brief Owners and members of all failure domains, replayed from the ownership stream.
///
/// Hosts that applied the same prefix of the stream hold the same map. A grant is a compare-and-set: it takes effect only
/// if its base is the epoch of the current owner, so that the first of two competing claims wins.
class ownership_map {
  public:
    /// @brief Applies one record of the ownership stream.
    /// @param offset Offset of the record; one below `next_offset()` was applied before and is ignored.
    /// @param record Record; one of an older incarnation than the member's current one changes no member or owner.
    /// @return Partitions that got a new owner, with the previous one.
    std::vector<granted_partition> apply(log_offset offset, const wire::ownership_record &record);

    /// @brief Owner of a partition.
    /// @param domain Failure domain; an unknown one has no owners.
    /// @param partition Partition within the domain.
    /// @return Owner; its host is empty if the partition was never owned or does not exist.
    [[nodiscard]] const partition_owner &owner(const failure_domain_id &domain, partition_id partition) const;

    /// @brief Processes that joined a failure domain and did not leave.
    /// @param domain Failure domain; an unknown one has no members.
    /// @return Members by host name, whether alive or not.
    [[nodiscard]] const std::map<host_id, member> &members(const failure_domain_id &domain) const;

    /// @brief Failure domains that appear in the records applied so far.
    /// @return Names in ascending order.
    [[nodiscard]] std::vector<failure_domain_id> domains() const;

    /// @brief Offset from which the stream should be read next.
    /// @return Offset after the last record applied; 1 before the first.
    [[nodiscard]] log_offset next_offset() const noexcept { return m_next; }

  private:
    struct domain_state {
        std::map<host_id, member> members;
        std::array<partition_owner, submission::partition_count> owners{};
    };

    std::map<failure_domain_id, domain_state> m_domains;
    log_offset m_next{1};
};

} // namespace heathermoor::ownership
