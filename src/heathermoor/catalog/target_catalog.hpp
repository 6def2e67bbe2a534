#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/resources.hpp"
#include "heathermoor/core/time.hpp"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathermoor::catalog {

/// @brief Entry of a target on the platform's list.
struct target_entry {
    target_id id;
    service_id service;
    failure_domain_id domain;
    /// Address of its API, as host and port.
    std::string address;
    machine_id machine;
    resources capacity;
    /// Labels for placement, such as kind and rack.
    std::vector<std::string> labels;
    bool draining{};
    target_boot boot{};

    friend bool operator==(const target_entry &, const target_entry &) = default;
};

/// @brief Record of the platform's list: a new entry or its removal.
struct catalog_record {
    log_offset offset{};
    target_id id;
    /// Empty if the target was removed.
    std::optional<target_entry> entry;
};

/// @brief Targets that exist, merged from the platform's list and from peers.
///
/// Entries of live targets expire from the list during an outage of the list itself, so a
/// removal takes effect only after a grace period in which the entry may return.
class target_catalog {
  public:
    /// @brief Applies a record; ignores one older than the latest for the same target.
    /// @param record Entry or removal, with its offset in the list.
    /// @param now Reading of the monotonic clock.
    void apply(const catalog_record &record, time_point now);

    /// @brief Advances the read position; it never goes back.
    /// @param next Offset after the last record covered.
    void read_to(log_offset next) noexcept;

    /// @brief Begins a snapshot: a full read of the list.
    void begin_snapshot() noexcept;

    /// @brief Ends a snapshot; entries that it lacks count as removed.
    /// @param now Reading of the monotonic clock.
    void end_snapshot(time_point now);

    /// @brief Drops removed entries whose grace period has passed.
    /// @param now Reading of the monotonic clock.
    /// @return True if any entry was dropped.
    bool expire(time_point now);

    /// @brief Targets that exist.
    /// @return Entries by id, including draining ones and removed ones in their grace period.
    [[nodiscard]] std::vector<target_entry> entries() const;

    /// @brief Failure domains of all targets that exist or were dropped within the last minute.
    /// @return Failure domain by target id.
    [[nodiscard]] std::map<target_id, failure_domain_id> known_domains() const;

    /// @brief Records from which another host can rebuild this catalog.
    /// @return One record per entry; removed entries are left out.
    [[nodiscard]] std::vector<catalog_record> records() const;

    /// @brief Offset of the next record to read.
    /// @return Offset in the platform's list.
    [[nodiscard]] log_offset next() const noexcept { return m_next; }

    /// @brief Revision, which changes with every change of the entries.
    /// @return Number of changes; zero if there was never an entry.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

  private:
    struct catalog_slot {
        log_offset offset{};
        target_entry entry;
        std::optional<time_point> removed_at;
        bool in_snapshot{};
    };

    std::map<target_id, catalog_slot> m_slots;
    struct dropped_target {
        time_point at;
        failure_domain_id domain;
    };

    /// Recently dropped targets, remembered for a minute.
    std::map<target_id, dropped_target> m_dropped;
    log_offset m_next{};
    std::uint64_t m_revision{};
};

} // namespace heathermoor::catalog
