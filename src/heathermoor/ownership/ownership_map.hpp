#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/submission/id.hpp"
#include "heathermoor/wire/heathermoor.pb.h"
#include <array>
#include <map>
#include <string>
#include <vector>

namespace heathermoor::ownership {

/// @brief Process that may admit the submissions of a partition.
struct partition_owner {
    host_id host;
    incarnation process{};
    /// Offset of the record that made it the owner; zero if nobody ever was.
    epoch since{};
};

/// @brief Process that joined a failure domain.
struct member {
    host_id host;
    incarnation process{};
    std::string peer_address;
    std::string http_address;
    double weight{1.0};
};

/// @brief Partition that a record moved.
struct granted_partition {
    partition_id partition{};
    partition_owner previous;
};

/// @brief Who owns what, as a pure function of the ownership stream's prefix.
///
/// A grant takes effect only if it names the record by which the previous
/// owner held the partition, so of two competing claims the first one wins.
class ownership_map {
  public:
    /// @brief Applies one record.
    /// @param offset Offset of the record; at least `next_offset()`.
    /// @param record Record.
    /// @return Partitions that changed hands.
    std::vector<granted_partition> apply(log_offset offset, const wire::ownership_record &record);

    /// @brief Owner of a partition.
    /// @param domain Failure domain.
    /// @param partition Partition.
    /// @return Owner; its host is empty if nobody ever owned the partition.
    [[nodiscard]] const partition_owner &owner(const failure_domain_id &domain, partition_id partition) const;

    /// @brief Processes that joined a failure domain and did not leave.
    /// @param domain Failure domain.
    /// @return Members by host name.
    [[nodiscard]] const std::map<host_id, member> &members(const failure_domain_id &domain) const;

    /// @brief Failure domains that a host ever joined.
    /// @return Names.
    [[nodiscard]] std::vector<failure_domain_id> domains() const;

    /// @brief Offset of the next record to apply.
    /// @return Offset.
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
