#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/resources.hpp"
#include "heathermoor/core/time.hpp"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathermoor::catalog {

/// @brief What a target says of itself on the platform's list.
struct target_entry {
    target_id id;
    service_id service;
    failure_domain_id domain;
    /// Address of its interface, as host and port.
    std::string address;
    machine_id machine;
    resources capacity;
    /// Kind and rack of the target, and others.
    std::vector<std::string> labels;
    bool draining{};
    target_boot boot{};

    friend bool operator==(const target_entry &, const target_entry &) = default;
};

/// @brief Record of the list: an entry, or its removal.
struct catalog_record {
    log_offset offset{};
    target_id id;
    /// Missing if the target was removed from the list.
    std::optional<target_entry> entry;
};

/// @brief Targets that exist, merged from the platform's list and from peers.
///
/// Entries lapse from the list while the list itself is out of order, so that a
/// removal counts only after a time in which the entry may come back.
class target_catalog {
  public:
    /// @brief Takes over a record; older ones than the entry's last are ignored.
    /// @param record Record.
    /// @param now Current time.
    void apply(const catalog_record &record, time_point now);

    /// @brief Notes up to where the list was read.
    /// @param next Offset of the next record to read.
    void read_to(log_offset next) noexcept;

    /// @brief Begins a full read of the list.
    void begin_snapshot() noexcept;

    /// @brief Ends a full read: entries that it did not contain are removed.
    /// @param now Current time.
    void end_snapshot(time_point now);

    /// @brief Drops entries whose removal has become final.
    /// @param now Current time.
    /// @return True if an entry was dropped.
    bool expire(time_point now);

    /// @brief Targets in existence.
    /// @return Entries by id, draining ones included.
    [[nodiscard]] std::vector<target_entry> entries() const;

    /// @brief Every target that exists or existed within the last minute.
    /// @return Failure domains by identifier.
    [[nodiscard]] std::map<target_id, failure_domain_id> known_domains() const;

    /// @brief Records that recreate this catalog elsewhere.
    /// @return Records of all entries.
    [[nodiscard]] std::vector<catalog_record> records() const;

    /// @brief Offset of the next record to read.
    /// @return Offset.
    [[nodiscard]] log_offset next() const noexcept { return m_next; }

    /// @brief Number that changes with each change of the entries.
    /// @return Count of changes.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

  private:
    struct listed {
        log_offset offset{};
        target_entry entry;
        std::optional<time_point> removed_at;
        bool in_snapshot{};
    };

    std::map<target_id, listed> m_slots;
    struct dropped {
        time_point at;
        failure_domain_id domain;
    };

    /// Targets that were dropped, kept for a while.
    std::map<target_id, dropped> m_dropped;
    log_offset m_next{};
    std::uint64_t m_revision{};
};

} // namespace heathermoor::catalog
