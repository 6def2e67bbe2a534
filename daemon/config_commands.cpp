#include "config_commands.hpp"

#include "heathermoor/adapter/platform_client.hpp"
#include "heathermoor/config/config_state.hpp"
#include "heathermoor/core/log.hpp"
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>

namespace heathermoor::ctl {

namespace internal {

using json = nlohmann::json;

/// Reads declaration files in path order; a directory stands for the `.yaml` files directly in it.
[[nodiscard]] std::vector<config::declaration> read_files(const arguments &in, std::vector<config::diagnostic> &diagnostics) {
    std::vector<std::string> paths;
    for(const auto &given: in.files) {
        std::error_code error;
        if(!std::filesystem::is_directory(given, error)) {
            paths.push_back(given);
            continue;
        }
        for(const auto &entry: std::filesystem::directory_iterator{given}) {
            if(entry.path().extension() == ".yaml") {
                paths.push_back(entry.path().string());
            }
        }
    }
    std::sort(paths.begin(), paths.end());
    std::vector<config::declaration> all;
    for(const auto &path: paths) {
        std::ifstream stream{path};
        std::stringstream text;
        text << stream.rdbuf();
        if(!stream) {
            diagnostics.push_back({config::diagnostic_code::syntax, path, 1, 1, "", "a readable file"});
            continue;
        }
        for(auto &item: config::read_declarations(path, text.str(), diagnostics)) {
            all.push_back(std::move(item));
        }
    }
    return all;
}

[[nodiscard]] std::map<config::item_key, config::declaration> index_items(const std::vector<config::declaration> &items,
                                                                          std::vector<config::diagnostic> &diagnostics) {
    std::map<config::item_key, config::declaration> result;
    for(const auto &item: items) {
        if(!result.emplace(item.key, item).second) {
            diagnostics.push_back(
                {config::diagnostic_code::duplicate_item, item.file, item.first_line + 1, 1, item.key.name, "one declaration per item"});
        }
    }
    return result;
}

[[nodiscard]] int print_diagnostics(const arguments &in, const std::vector<config::diagnostic> &diagnostics) {
    if(as_json(in)) {
        auto list = json::array();
        for(const auto &entry: diagnostics) {
            list.push_back({{"fault", config::diagnostic_name(entry.what)},
                            {"file", entry.file},
                            {"line", entry.line},
                            {"column", entry.column},
                            {"field", entry.field},
                            {"allowed", entry.allowed}});
        }
        fmt::print("{}\n", json{{"valid", diagnostics.empty()}, {"errors", list}}.dump(2));
    } else {
        for(const auto &entry: diagnostics) {
            fmt::print("{}\n", config::to_string(entry));
        }
    }
    return diagnostics.empty() ? exit_ok : exit_invalid;
}

/// Replays the configuration stream up to its tail.
[[nodiscard]] std::error_code read_state(const arguments &in, config::config_state &state) {
    adapter::platform_connection connection{in.platform};
    while(true) {
        std::error_code error;
        const auto batch = connection.read("config", state.next_offset(), milliseconds{0}, error);
        if(error) {
            return error;
        }
        state.truncated(batch.first);
        for(const auto &record: batch.records) {
            state.apply(static_cast<log_offset>(record.offset()), record.data());
        }
        if(raw(state.next_offset()) >= raw(batch.tail) || batch.records.empty()) {
            return {};
        }
    }
}

[[nodiscard]] int report_unavailable(const std::error_code &error) {
    log(log_level::error, "ctl", "Platform request failed. error=\"{}\"", error.message());
    return exit_unavailable;
}

/// Builds the change that leads from the current state to the declarations. Each item carries the version it is based on.
/// Undeclared items are removed only with `--prune`.
[[nodiscard]] wire::config_change make_change(const arguments &in, const config::config_state &state,
                                              const std::map<config::item_key, config::declaration> &wanted) {
    wire::config_change change;
    std::random_device random;
    change.set_change_id(in.change_id.empty() ? fmt::format("{:08x}{:08x}", random(), random()) : in.change_id);
    change.set_author(in.author);
    change.set_reason(in.reason);
    change.set_schema(config::schema_version);
    change.set_at_ms(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    for(const auto &[key, item]: wanted) {
        const auto found = state.items().find(key);
        if(found != state.items().end() && found->second.source.text == item.text) {
            continue;
        }
        auto *out = change.add_items();
        out->set_kind(key.kind);
        out->set_name(key.name);
        out->set_document(item.text);
        out->set_base(found == state.items().end() ? 0 : found->second.version);
    }
    for(const auto &[key, item]: state.items()) {
        if(in.prune && !wanted.contains(key)) {
            auto *out = change.add_items();
            out->set_kind(key.kind);
            out->set_name(key.name);
            out->set_remove(true);
            out->set_base(item.version);
        }
    }
    return change;
}

void print_plan(const arguments &in, const wire::config_change &change) {
    auto list = json::array();
    for(const auto &item: change.items()) {
        const auto *action = item.remove() ? "remove" : item.base() == 0 ? "add" : "change";
        list.push_back({{"action", action}, {"kind", item.kind()}, {"name", item.name()}, {"base", item.base()}});
        if(!as_json(in)) {
            fmt::print("{} {} {} base={}\n", action, item.kind(), item.name(), item.base());
        }
    }
    if(as_json(in)) {
        fmt::print("{}\n", json{{"changes", list}}.dump(2));
    } else if(change.items().empty()) {
        fmt::print("no difference\n");
    }
}

[[nodiscard]] const config::audit_entry *find_verdict(const config::config_state &state, const std::string &change_id) {
    for(const auto &entry: state.history()) {
        if(entry.change_id == change_id) {
            return &entry;
        }
    }
    return nullptr;
}

[[nodiscard]] int print_verdict(const arguments &in, const config::audit_entry &entry) {
    if(as_json(in)) {
        fmt::print("{}\n",
                   json{{"change_id", entry.change_id}, {"offset", raw(entry.offset)}, {"verdict", code_name(entry.verdict)}}.dump(2));
    } else {
        fmt::print("change={} offset={} verdict={}\n", entry.change_id, raw(entry.offset), code_name(entry.verdict));
    }
    if(entry.verdict == errc::ok) {
        return exit_ok;
    }
    return entry.verdict == errc::config_conflict ? exit_conflict : exit_invalid;
}

/// Appends a change and polls the log for up to 10 s for its verdict, which follows from the order of the records.
/// The poll goes on if the response to the append was lost, as the record may have been written.
[[nodiscard]] int publish(const arguments &in, const wire::config_change &change) {
    adapter::platform_connection connection{in.platform};
    std::error_code appended;
    connection.append("config", config::encode_change(change), appended);
    const auto deadline = std::chrono::steady_clock::now() + seconds{10};
    while(std::chrono::steady_clock::now() < deadline) {
        config::config_state state;
        const auto error = read_state(in, state);
        if(!error) {
            if(const auto *entry = find_verdict(state, change.change_id()); entry != nullptr) {
                return print_verdict(in, *entry);
            }
        }
        if(appended == errc::log_unavailable) {
            return report_unavailable(appended);
        }
        std::this_thread::sleep_for(milliseconds{100});
    }
    log(log_level::error, "ctl", "The append outcome is unknown: the change is not in the log after 10 s. change={} look-up=\"history\"",
        change.change_id());
    return exit_unknown;
}

} // namespace internal

int validate(const arguments &in) {
    std::vector<config::diagnostic> diagnostics;
    const auto items = internal::index_items(internal::read_files(in, diagnostics), diagnostics);
    (void)config::resolve(items, diagnostics);
    if(items.empty() && diagnostics.empty()) {
        diagnostics.push_back({config::diagnostic_code::syntax, in.files.front(), 1, 1, "", "at least one declaration"});
    }
    const auto code = internal::print_diagnostics(in, diagnostics);
    if(code == exit_ok && !as_json(in)) {
        fmt::print("valid items={}\n", items.size());
    }
    return code;
}

int apply(const arguments &in, bool show_only) {
    std::vector<config::diagnostic> diagnostics;
    const auto wanted = internal::index_items(internal::read_files(in, diagnostics), diagnostics);
    config::config_state state;
    if(const auto error = internal::read_state(in, state)) {
        return internal::report_unavailable(error);
    }
    auto merged = wanted;
    if(!in.prune) {
        for(const auto &[key, item]: state.items()) {
            merged.emplace(key, item.source);
        }
    }
    (void)config::resolve(merged, diagnostics);
    if(!diagnostics.empty()) {
        return internal::print_diagnostics(in, diagnostics);
    }
    const auto change = internal::make_change(in, state, wanted);
    if(show_only || in.dry_run || change.items().empty()) {
        internal::print_plan(in, change);
        return exit_ok;
    }
    return internal::publish(in, change);
}

int get(const arguments &in) {
    config::config_state state;
    if(const auto error = internal::read_state(in, state)) {
        return internal::report_unavailable(error);
    }
    auto found = false;
    for(const auto &[key, item]: state.items()) {
        if(in.item.empty()) {
            fmt::print("{} {} version={}\n", key.kind, key.name, item.version);
            found = true;
        } else if(key.kind + "/" + key.name == in.item) {
            fmt::print("{}", item.source.text);
            found = true;
        }
    }
    return found || in.item.empty() ? exit_ok : exit_failed;
}

int history(const arguments &in) {
    config::config_state state;
    if(const auto error = internal::read_state(in, state)) {
        return internal::report_unavailable(error);
    }
    auto list = nlohmann::json::array();
    for(const auto &entry: state.history()) {
        std::string items;
        for(const auto &key: entry.items) {
            items += (items.empty() ? "" : ",") + key.kind + "/" + key.name;
        }
        list.push_back({{"offset", raw(entry.offset)},
                        {"change_id", entry.change_id},
                        {"author", entry.author},
                        {"reason", entry.reason},
                        {"at_ms", entry.at_ms},
                        {"items", items},
                        {"verdict", code_name(entry.verdict)}});
        if(!as_json(in)) {
            fmt::print("offset={} at_ms={} author={} change={} items={} verdict={} reason=\"{}\"\n", raw(entry.offset), entry.at_ms,
                       entry.author, entry.change_id, items, code_name(entry.verdict), entry.reason);
        }
    }
    if(as_json(in)) {
        fmt::print("{}\n", list.dump(2));
    }
    return exit_ok;
}

int rollback(arguments in) {
    adapter::platform_connection connection{in.platform};
    std::error_code error;
    config::config_state restored;
    config::config_state current;
    const auto batch = connection.read("config", log_offset{1}, milliseconds{0}, error);
    if(error) {
        return internal::report_unavailable(error);
    }
    restored.truncated(batch.first);
    for(const auto &record: batch.records) {
        if(record.offset() <= in.offset) {
            restored.apply(static_cast<log_offset>(record.offset()), record.data());
        }
    }
    if(!restored.complete() || raw(restored.next_offset()) - 1 != in.offset) {
        log(log_level::error, "ctl", "Cannot restore the state: records up to this offset are missing from the log. offset={}", in.offset);
        return exit_failed;
    }
    if(const auto failure = internal::read_state(in, current)) {
        return internal::report_unavailable(failure);
    }
    std::map<config::item_key, config::declaration> wanted;
    for(const auto &[key, item]: restored.items()) {
        wanted.emplace(key, item.source);
    }
    in.prune = true;
    in.reason = in.reason.empty() ? fmt::format("rollback to offset {}", in.offset) : in.reason;
    const auto change = internal::make_change(in, current, wanted);
    if(in.dry_run || change.items().empty()) {
        internal::print_plan(in, change);
        return exit_ok;
    }
    return internal::publish(in, change);
}

} // namespace heathermoor::ctl
