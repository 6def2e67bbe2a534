#include "heathermoor/config/config_state.hpp"

#include "heathermoor/core/hash.hpp"
#include <algorithm>
#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

namespace heathermoor::config {

namespace internal {

constexpr std::size_t max_history = 1'000;
constexpr std::size_t max_change_ids = 2'000;

[[nodiscard]] std::string to_json(const google::protobuf::Message &message) {
    std::string text;
    (void)google::protobuf::util::MessageToJsonString(message, &text);
    return text;
}

[[nodiscard]] std::string digest(const std::map<item_key, versioned_item> &items) {
    std::uint64_t value{};
    for(const auto &[key, item]: items) {
        value = hash64(fmt::format("{}/{}@{}\n{}", key.kind, key.name, item.version, item.source.text), value);
    }
    return fmt::format("{:016x}", value);
}

[[nodiscard]] declaration to_declaration(const item_key &key, const std::string &text) {
    return {key, fmt::format("{}/{}", key.kind, key.name), 0, text};
}

} // namespace internal

std::string encode_change(const wire::config_change &change) {
    wire::config_record record;
    *record.mutable_change() = change;
    return internal::to_json(record);
}

errc config_state::decide(const wire::config_change &change, std::map<item_key, versioned_item> &items, log_offset offset,
                          std::shared_ptr<const policy> &resolved) const {
    if(change.schema() != schema_version) {
        return errc::config_unsupported_schema;
    }
    if(change.change_id().empty() || change.items().empty()) {
        return errc::config_invalid;
    }
    if(m_change_ids.contains(change.change_id())) {
        return errc::config_duplicate_change;
    }
    for(const auto &item: change.items()) {
        const item_key key{item.kind(), item.name()};
        const auto found = items.find(key);
        const auto version = found == items.end() ? 0 : found->second.version;
        if(version != item.base()) {
            return errc::config_conflict;
        }
        if(item.remove()) {
            items.erase(key);
        } else {
            items[key] = {raw(offset), internal::to_declaration(key, item.document())};
        }
    }
    std::vector<diagnostic> diagnostics;
    std::map<item_key, declaration> sources;
    for(const auto &[key, item]: items) {
        const auto read = read_declarations(item.source.file, item.source.text, diagnostics);
        if(read.size() != 1 || read.front().key != key) {
            return errc::config_invalid;
        }
        sources.emplace(key, item.source);
    }
    auto next = std::make_shared<policy>(resolve(sources, diagnostics));
    next->offset = offset;
    resolved = std::move(next);
    return diagnostics.empty() ? errc::ok : errc::config_invalid;
}

audit_entry config_state::apply_change(log_offset offset, const wire::config_change &change) {
    audit_entry entry{offset, change.change_id(), change.author(), change.reason(), change.at_ms(), {}, errc::ok};
    for(const auto &item: change.items()) {
        entry.items.push_back({item.kind(), item.name()});
    }
    auto items = m_items;
    std::shared_ptr<const policy> resolved;
    entry.verdict = decide(change, items, offset, resolved);
    if(entry.verdict == errc::ok) {
        m_items = std::move(items);
        m_policy = std::move(resolved);
        m_hash = internal::digest(m_items);
    }
    if(m_change_ids.insert(change.change_id()).second) {
        m_change_order.push_back(change.change_id());
        if(m_change_order.size() > internal::max_change_ids) {
            m_change_ids.erase(m_change_order.front());
            m_change_order.pop_front();
        }
    }
    m_history.push_back(entry);
    if(m_history.size() > internal::max_history) {
        m_history.pop_front();
    }
    return entry;
}

void config_state::apply_snapshot(log_offset offset, const wire::config_snapshot &snapshot) {
    if(m_complete || raw(m_last_change) > snapshot.offset()) {
        m_since_snapshot = m_complete ? 0 : m_since_snapshot;
        return;
    }
    std::map<item_key, versioned_item> items;
    std::map<item_key, declaration> sources;
    for(const auto &item: snapshot.items()) {
        const item_key key{item.kind(), item.name()};
        const auto source = internal::to_declaration(key, item.document());
        items[key] = {item.version(), source};
        sources.emplace(key, source);
    }
    std::vector<diagnostic> diagnostics;
    auto resolved = std::make_shared<policy>(resolve(sources, diagnostics));
    if(!diagnostics.empty() || internal::digest(items) != snapshot.hash()) {
        return;
    }
    resolved->offset = offset;
    m_items = std::move(items);
    m_policy = std::move(resolved);
    m_hash = snapshot.hash();
    m_change_order.assign(snapshot.change_ids().begin(), snapshot.change_ids().end());
    m_change_ids = {m_change_order.begin(), m_change_order.end()};
    m_complete = true;
    m_since_snapshot = 0;
}

std::optional<audit_entry> config_state::apply(log_offset offset, const std::string &data) {
    if(raw(offset) < raw(m_next)) {
        return std::nullopt;
    }
    if(raw(offset) > raw(m_next)) {
        truncated(offset);
    }
    m_next = static_cast<log_offset>(raw(offset) + 1);
    ++m_since_snapshot;
    wire::config_record record;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    if(!google::protobuf::util::JsonStringToMessage(data, &record, options).ok()) {
        return std::nullopt;
    }
    if(record.has_snapshot()) {
        apply_snapshot(offset, record.snapshot());
        return std::nullopt;
    }
    if(!record.has_change()) {
        return std::nullopt;
    }
    m_last_change = offset;
    if(!m_complete) {
        return std::nullopt;
    }
    return apply_change(offset, record.change());
}

void config_state::truncated(log_offset first) {
    if(raw(first) > raw(m_next)) {
        m_next = first;
        m_complete = false;
        m_last_change = static_cast<log_offset>(raw(first) - 1);
    }
}

std::string config_state::snapshot() const {
    wire::config_record record;
    auto &snapshot = *record.mutable_snapshot();
    snapshot.set_offset(raw(m_next) - 1);
    snapshot.set_hash(hash());
    for(const auto &[key, item]: m_items) {
        auto *out = snapshot.add_items();
        out->set_kind(key.kind);
        out->set_name(key.name);
        out->set_version(item.version);
        out->set_document(item.source.text);
    }
    for(const auto &id: m_change_order) {
        snapshot.add_change_ids(id);
    }
    return internal::to_json(record);
}

} // namespace heathermoor::config
