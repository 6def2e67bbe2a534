#pragma once

#include "heathermoor/config/declaration.hpp"
#include "heathermoor/config/policy.hpp"
#include "heathermoor/core/error.hpp"
#include "heathermoor/wire/heathermoor.pb.h"
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heathermoor::config {

/// @brief Audit trail entry: who requested which change, and whether it was accepted.
struct audit_entry {
    log_offset offset{};
    std::string change_id;
    std::string author;
    std::string reason;
    /// Time given in the change, as milliseconds since the Unix epoch.
    std::int64_t at_ms{};
    std::vector<item_key> items;
    /// `ok` if the change was accepted, otherwise the reason for its rejection.
    errc verdict{errc::ok};
};

/// @brief Item in force and its version.
struct versioned_item {
    /// Offset of the change that set the item; a later change must name it as its base.
    std::uint64_t version{};
    declaration source;
};

/// @brief Configuration state, derived deterministically from the configuration stream.
///
/// The verdict on a change depends only on the records before it, so every host
/// reaches the same verdict.
class config_state {
  public:
    /// @brief Applies one record.
    /// @param offset Offset of the record; offsets already applied are ignored, and a gap makes the state incomplete.
    /// @param data JSON text of the record; unreadable records only advance the offset.
    /// @return Audit entry if the record is a change and the state is complete; empty otherwise.
    std::optional<audit_entry> apply(log_offset offset, const std::string &data);

    /// @brief Handles truncation of the log; the state becomes incomplete if records not yet applied are gone.
    /// @param first Oldest offset that the log still holds.
    void truncated(log_offset first);

    /// @brief Whether the state includes every accepted change up to its offset.
    /// @return False after a gap in the records, until a snapshot has been applied.
    [[nodiscard]] bool complete() const noexcept { return m_complete; }

    /// @brief Offset of the next record to apply.
    /// @return One more than the last offset applied; 1 at the start.
    [[nodiscard]] log_offset next_offset() const noexcept { return m_next; }

    /// @brief Items in force.
    /// @return Templates and services by key.
    [[nodiscard]] const std::map<item_key, versioned_item> &items() const noexcept { return m_items; }

    /// @brief Resolved services.
    /// @return Immutable policy, never null; an accepted change replaces the pointer.
    [[nodiscard]] const std::shared_ptr<const policy> &current() const noexcept { return m_policy; }

    /// @brief Digest of the items in force, for comparison between hosts.
    /// @return 16 lower-case hexadecimal digits.
    [[nodiscard]] const std::string &hash() const noexcept { return m_hash; }

    /// @brief Latest verdicts, oldest first.
    /// @return Audit entries decided by this process, at most the latest 1000.
    [[nodiscard]] const std::deque<audit_entry> &history() const noexcept { return m_history; }

    /// @brief Writes the state as a snapshot record for the stream.
    /// @return JSON text of the record.
    [[nodiscard]] std::string snapshot() const;

    /// @brief Number of records applied since the last snapshot in the stream.
    /// @return Count, including records that were rejected or unreadable.
    [[nodiscard]] std::uint64_t records_since_snapshot() const noexcept { return m_since_snapshot; }

  private:
    /// New state of the items in a change; empty for a removed item.
    using overlay = std::map<item_key, std::optional<versioned_item>>;

    [[nodiscard]] errc stage(const wire::config_change &change, log_offset offset, overlay &changed) const;
    [[nodiscard]] errc resolve_changed(const overlay &changed, policy &next) const;
    [[nodiscard]] const declaration *find_source(const item_key &key, const overlay &changed) const;
    [[nodiscard]] std::set<item_key> affected_services(const overlay &changed) const;
    void put(const item_key &key, std::optional<versioned_item> item);
    audit_entry apply_change(log_offset offset, const wire::config_change &change);
    void apply_snapshot(log_offset offset, const wire::config_snapshot &snapshot);

    std::map<item_key, versioned_item> m_items;
    std::shared_ptr<const policy> m_policy{std::make_shared<policy>()};
    /// Ids of the latest changes, with which repeated appends are detected.
    std::set<std::string> m_change_ids;
    std::deque<std::string> m_change_order;
    std::deque<audit_entry> m_history;
    log_offset m_next{1};
    log_offset m_last_change{};
    std::uint64_t m_since_snapshot{};
    /// Services by the template that they use.
    std::map<std::string, std::set<item_key>> m_template_users;
    std::uint64_t m_digest{};
    bool m_complete{true};
    std::string m_hash{"0000000000000000"};
};

/// @brief Serializes a change as a record for the configuration stream.
/// @param change Change to append; it is not validated.
/// @return JSON text of the record.
[[nodiscard]] std::string encode_change(const wire::config_change &change);

} // namespace heathermoor::config
