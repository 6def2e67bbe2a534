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

/// @brief Entry of the audit trail: who changed what, and what came of it.
struct audit_entry {
    log_offset offset{};
    std::string change_id;
    std::string author;
    std::string reason;
    std::int64_t at_ms{};
    std::vector<item_key> items;
    /// `ok` if the change is in force.
    errc verdict{errc::ok};
};

/// @brief Item in force and the offset at which it was accepted.
struct versioned_item {
    std::uint64_t version{};
    declaration source;
};

/// @brief Configuration as a pure function of the configuration stream's prefix.
///
/// Every host comes to the same verdict on a change, because the verdict
/// depends on nothing but the records before it.
class config_state {
  public:
    /// @brief Applies one record.
    /// @param offset Offset of the record; a lower one than the last is ignored.
    /// @param data Record as JSON text.
    /// @return Audit entry if the record was a change that this call decided.
    std::optional<audit_entry> apply(log_offset offset, const std::string &data);

    /// @brief Notes that the log no longer keeps the records before an offset.
    /// @param first Oldest offset kept.
    void truncated(log_offset first);

    /// @brief Whether the state includes every accepted change up to its offset.
    /// @return False before the first record, and after a gap until a snapshot.
    [[nodiscard]] bool complete() const noexcept { return m_complete; }

    /// @brief Offset of the next record to apply.
    /// @return Offset.
    [[nodiscard]] log_offset next_offset() const noexcept { return m_next; }

    /// @brief Items in force.
    /// @return Items by key.
    [[nodiscard]] const std::map<item_key, versioned_item> &items() const noexcept { return m_items; }

    /// @brief Resolved services.
    /// @return Policy; replaced, not changed, by each accepted change.
    [[nodiscard]] const std::shared_ptr<const policy> &current() const noexcept { return m_policy; }

    /// @brief Digest of the items in force.
    /// @return 16 hexadecimal digits.
    [[nodiscard]] const std::string &hash() const noexcept { return m_hash; }

    /// @brief Latest verdicts, oldest first.
    /// @return Audit trail since the start of this process or the last snapshot.
    [[nodiscard]] const std::deque<audit_entry> &history() const noexcept { return m_history; }

    /// @brief State as a record for the stream.
    /// @return Record as JSON text.
    [[nodiscard]] std::string snapshot() const;

    /// @brief Number of records applied since the last snapshot in the stream.
    /// @return Records.
    [[nodiscard]] std::uint64_t records_since_snapshot() const noexcept { return m_since_snapshot; }

  private:
    /// New state of the items that a change touches; nothing where it removes one.
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

/// @brief Writes a change as a record for the configuration stream.
/// @param change Change.
/// @return Record as JSON text.
[[nodiscard]] std::string encode_change(const wire::config_change &change);

} // namespace heathermoor::config
