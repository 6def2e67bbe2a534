#include "heathermoor/config/config_state.hpp"

#include "heathermoor/core/hash.hpp"
#include <algorithm>
#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

namespace heathermoor::config {

namespace internal {

/// Number of audit entries kept in memory.
constexpr std::size_t max_history = 1'000;
/// Number of change ids kept; part of the verdict on a change, so all hosts must use the same number.
constexpr std::size_t max_change_ids = 2'000;

[[nodiscard]] std::string to_json(const google::protobuf::Message &message) {
    std::string text;
    (void)google::protobuf::util::MessageToJsonString(message, &text);
    return text;
}

/// Digest of one item. The digest of a state is the XOR over its items, so it can be updated item by item.
[[nodiscard]] std::uint64_t digest(const item_key &key, const versioned_item &item) {
    return hash64(item.source.text, hash64(fmt::format("{}/{}@{}", key.kind, key.name, item.version)));
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

errc config_state::stage(const wire::config_change &change, log_offset offset, overlay &changed) const {
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
        const auto found = m_items.find(key);
        const auto version = found == m_items.end() ? 0 : found->second.version;
        if(version != item.base()) {
            return errc::config_conflict;
        }
        std::optional<versioned_item> next;
        if(!item.remove()) {
            next = versioned_item{raw(offset), internal::to_declaration(key, item.document())};
        }
        if(!changed.emplace(key, std::move(next)).second) {
            return errc::config_invalid;
        }
    }
    return errc::ok;
}

const declaration *config_state::find_source(const item_key &key, const overlay &changed) const {
    if(const auto found = changed.find(key); found != changed.end()) {
        return found->second ? &found->second->source : nullptr;
    }
    const auto found = m_items.find(key);
    return found == m_items.end() ? nullptr : &found->second.source;
}

std::set<item_key> config_state::affected_services(const overlay &changed) const {
    std::set<item_key> affected;
    for(const auto &[key, item]: changed) {
        if(key.kind == "service") {
            affected.insert(key);
        } else if(const auto users = m_template_users.find(key.name); users != m_template_users.end()) {
            affected.insert(users->second.begin(), users->second.end());
        }
    }
    return affected;
}

errc config_state::resolve_changed(const overlay &changed, policy &next) const {
    std::vector<diagnostic> diagnostics;
    for(const auto &[key, item]: changed) {
        if(!item) {
            continue;
        }
        const auto read = read_declarations(item->source.file, item->source.text, diagnostics);
        if(read.size() != 1 || read.front().key != key) {
            return errc::config_invalid;
        }
    }
    const item_lookup find = [&](const item_key &key) { return find_source(key, changed); };
    for(const auto &key: affected_services(changed)) {
        const service_id name{key.name};
        const auto *source = find_source(key, changed);
        if(source == nullptr) {
            next.services.erase(name);
        } else if(auto service = resolve_service(*source, find, diagnostics)) {
            next.services[name] = std::move(service);
        }
    }
    return diagnostics.empty() ? errc::ok : errc::config_invalid;
}

void config_state::put(const item_key &key, std::optional<versioned_item> item) {
    if(const auto old = m_items.find(key); old != m_items.end()) {
        m_digest ^= internal::digest(key, old->second);
        if(key.kind == "service") {
            m_template_users[template_of(old->second.source)].erase(key);
        }
        m_items.erase(old);
    }
    if(item) {
        m_digest ^= internal::digest(key, *item);
        if(key.kind == "service") {
            m_template_users[template_of(item->source)].insert(key);
        }
        m_items.emplace(key, std::move(*item));
    }
}

audit_entry config_state::apply_change(log_offset offset, const wire::config_change &change) {
    audit_entry entry{offset, change.change_id(), change.author(), change.reason(), change.at_ms(), {}, errc::ok};
    for(const auto &item: change.items()) {
        entry.items.push_back({item.kind(), item.name()});
    }
    overlay changed;
    entry.verdict = stage(change, offset, changed);
    auto next = std::make_shared<policy>();
    if(entry.verdict == errc::ok) {
        *next = *m_policy;
        next->offset = offset;
        entry.verdict = resolve_changed(changed, *next);
    }
    if(entry.verdict == errc::ok) {
        for(auto &[key, item]: changed) {
            put(key, std::move(item));
        }
        m_policy = std::move(next);
        m_hash = fmt::format("{:016x}", m_digest);
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
    // A snapshot older than the last change seen would lose that change.
    if(m_complete || raw(m_last_change) > snapshot.offset()) {
        m_since_snapshot = m_complete ? 0 : m_since_snapshot;
        return;
    }
    std::map<item_key, versioned_item> items;
    std::map<item_key, declaration> sources;
    std::uint64_t value{};
    for(const auto &item: snapshot.items()) {
        const item_key key{item.kind(), item.name()};
        const auto source = internal::to_declaration(key, item.document());
        items[key] = {item.version(), source};
        value ^= internal::digest(key, items[key]);
        sources.emplace(key, source);
    }
    std::vector<diagnostic> diagnostics;
    auto resolved = std::make_shared<policy>(resolve(sources, diagnostics));
    if(!diagnostics.empty() || fmt::format("{:016x}", value) != snapshot.hash()) {
        return;
    }
    resolved->offset = offset;
    m_items.clear();
    m_template_users.clear();
    m_digest = 0;
    for(auto &[key, item]: items) {
        put(key, std::move(item));
    }
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
        // Any of the missing records may have been a change.
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
