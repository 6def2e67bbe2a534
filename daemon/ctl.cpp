#include "heathermoor/adapter/platform_client.hpp"
#include "heathermoor/config/config_state.hpp"
#include "heathermoor/core/log.hpp"
#include "trace_commands.hpp"
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

namespace {

using heathermoor::code_name;
using heathermoor::errc;
using heathermoor::log_level;
using heathermoor::log_offset;
using heathermoor::milliseconds;
using heathermoor::raw;
using heathermoor::seconds;
namespace adapter = heathermoor::adapter;
namespace config = heathermoor::config;
namespace wire = heathermoor::wire;
using json = nlohmann::json;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_invalid = 2;
constexpr int exit_conflict = 4;
constexpr int exit_unavailable = 5;
constexpr int exit_unknown = 6;

struct arguments {
    std::vector<std::string> files;
    std::string platform;
    std::vector<std::string> hosts;
    std::string author;
    std::string reason;
    std::string change_id;
    std::string output{"text"};
    std::string item;
    std::uint64_t offset{};
    bool dry_run{};
    bool prune{};
    std::string host;
    std::string token;
    std::string job_file;
    std::string customer;
    std::string submission;
    std::string request;
    std::size_t count{1};
    int wait_ms{5000};
};

[[nodiscard]] bool as_json(const arguments &in) {
    return in.output == "json";
}

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

int print_diagnostics(const arguments &in, const std::vector<config::diagnostic> &diagnostics) {
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

int validate(const arguments &in) {
    std::vector<config::diagnostic> diagnostics;
    const auto items = index_items(read_files(in, diagnostics), diagnostics);
    (void)config::resolve(items, diagnostics);
    if(items.empty() && diagnostics.empty()) {
        diagnostics.push_back({config::diagnostic_code::syntax, in.files.front(), 1, 1, "", "at least one declaration"});
    }
    const auto code = print_diagnostics(in, diagnostics);
    if(code == exit_ok && !as_json(in)) {
        fmt::print("valid items={}\n", items.size());
    }
    return code;
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

int report_unavailable(const std::error_code &error) {
    heathermoor::log(log_level::error, "ctl", "Platform request failed. error=\"{}\"", error.message());
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

int print_verdict(const arguments &in, const config::audit_entry &entry) {
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
int publish(const arguments &in, const wire::config_change &change) {
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
    heathermoor::log(log_level::error, "ctl",
                     "The append outcome is unknown: the change is not in the log after 10 s. change={} look-up=\"history\"",
                     change.change_id());
    return exit_unknown;
}

int apply(const arguments &in, bool show_only) {
    std::vector<config::diagnostic> diagnostics;
    const auto wanted = index_items(read_files(in, diagnostics), diagnostics);
    config::config_state state;
    if(const auto error = read_state(in, state)) {
        return report_unavailable(error);
    }
    auto merged = wanted;
    if(!in.prune) {
        for(const auto &[key, item]: state.items()) {
            merged.emplace(key, item.source);
        }
    }
    (void)config::resolve(merged, diagnostics);
    if(!diagnostics.empty()) {
        return print_diagnostics(in, diagnostics);
    }
    const auto change = make_change(in, state, wanted);
    if(show_only || in.dry_run || change.items().empty()) {
        print_plan(in, change);
        return exit_ok;
    }
    return publish(in, change);
}

int get(const arguments &in) {
    config::config_state state;
    if(const auto error = read_state(in, state)) {
        return report_unavailable(error);
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
    if(const auto error = read_state(in, state)) {
        return report_unavailable(error);
    }
    auto list = json::array();
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

/// Publishes the state after the record at the given offset as a new change, based on the current state.
int rollback(arguments in) {
    adapter::platform_connection connection{in.platform};
    std::error_code error;
    config::config_state restored;
    config::config_state current;
    const auto batch = connection.read("config", log_offset{1}, milliseconds{0}, error);
    if(error) {
        return report_unavailable(error);
    }
    restored.truncated(batch.first);
    for(const auto &record: batch.records) {
        if(record.offset() <= in.offset) {
            restored.apply(static_cast<log_offset>(record.offset()), record.data());
        }
    }
    if(!restored.complete() || raw(restored.next_offset()) - 1 != in.offset) {
        heathermoor::log(log_level::error, "ctl", "Cannot restore the state: records up to this offset are missing from the log. offset={}",
                         in.offset);
        return exit_failed;
    }
    if(const auto failure = read_state(in, current)) {
        return report_unavailable(failure);
    }
    std::map<config::item_key, config::declaration> wanted;
    for(const auto &[key, item]: restored.items()) {
        wanted.emplace(key, item.source);
    }
    in.prune = true;
    in.reason = in.reason.empty() ? fmt::format("rollback to offset {}", in.offset) : in.reason;
    const auto change = make_change(in, current, wanted);
    if(in.dry_run || change.items().empty()) {
        print_plan(in, change);
        return exit_ok;
    }
    return publish(in, change);
}

int status(const arguments &in) {
    auto code = exit_ok;
    auto list = json::array();
    for(const auto &address: in.hosts) {
        httplib::Client client{"http://" + address};
        client.set_connection_timeout(seconds{1});
        const auto result = client.Get("/v1/status");
        if(!result || result->status != 200) {
            list.push_back({{"address", address}, {"reachable", false}});
            code = exit_unavailable;
            if(!as_json(in)) {
                fmt::print("address={} reachable=false\n", address);
            }
            continue;
        }
        auto body = json::parse(result->body, nullptr, false);
        if(!as_json(in)) {
            fmt::print("host={} failure_domain={} ready={} config_offset={} config_hash={} lease_valid={} partitions={}\n",
                       body["host"].get<std::string>(), body["failure_domain"].get<std::string>(), body["ready"].get<bool>(),
                       body["config_offset"].get<std::uint64_t>(), body["config_hash"].get<std::string>(), body["lease_valid"].get<bool>(),
                       body["partitions_serving"].get<int>());
        }
        list.push_back(std::move(body));
    }
    if(as_json(in)) {
        fmt::print("{}\n", list.dump(2));
    }
    return code;
}

int print_response(const httplib::Result &result) {
    if(!result) {
        heathermoor::log(log_level::error, "ctl", "Request to the entry host failed. error=\"{}\"", httplib::to_string(result.error()));
        return exit_unavailable;
    }
    fmt::print("{}\n", result->body);
    return result->status < 300 ? exit_ok : exit_failed;
}

[[nodiscard]] int call(const arguments &in, const std::function<httplib::Result(httplib::Client &, const httplib::Headers &)> &send) {
    httplib::Client client{"http://" + in.host};
    client.set_read_timeout(seconds{60});
    const httplib::Headers headers{{"Authorization", "Bearer " + in.token}};
    return print_response(send(client, headers));
}

int submit(const arguments &in) {
    std::ifstream stream{in.job_file};
    std::stringstream text;
    text << (in.job_file == "-" ? std::cin.rdbuf() : stream.rdbuf());
    return call(in, [&](auto &client, const auto &headers) { return client.Post("/v1/jobs", headers, text.str(), "application/json"); });
}

int cancel(const arguments &in) {
    return call(in,
                [&](auto &client, const auto &headers) { return client.Delete("/v1/jobs/" + in.customer + "/" + in.submission, headers); });
}

int job(const arguments &in) {
    return call(in, [&](auto &client, const auto &headers) {
        return client.Get(fmt::format("/v1/jobs/{}/{}?wait_ms={}", in.customer, in.submission, in.wait_ms), headers);
    });
}

int mint(const arguments &in) {
    return call(in, [&](auto &client, const auto &) {
        return client.Post("/v1/submission-ids", json{{"count", in.count}}.dump(), "application/json");
    });
}

void with_platform(CLI::App &command, arguments &in) {
    command.add_option("--platform", in.platform, "Address of the platform log, as HOST:PORT")->envname("HEATHERMOOR_PLATFORM")->required();
    command.add_option("--output", in.output, "Output format: text or json")->check(CLI::IsMember({"text", "json"}))->capture_default_str();
}

void with_change(CLI::App &command, arguments &in) {
    with_platform(command, in);
    command.add_option("--author", in.author, "Author of the change, recorded in the audit trail")
        ->envname("HEATHERMOOR_AUTHOR")
        ->required();
    command.add_option("--reason", in.reason, "Reason for the change, recorded in the audit trail");
    command.add_option("--change-id", in.change_id, "Change ID; reuse it to retry after a lost response. Random if not given");
    command.add_flag("--dry-run", in.dry_run, "Print the changes without publishing them");
}

void with_host(CLI::App &command, arguments &in) {
    command.add_option("--host", in.host, "Address of an entry host, as HOST:PORT")->envname("HEATHERMOOR_HOST_ADDRESS")->required();
    command.add_option("--token", in.token, "Bearer token of the customer")->envname("HEATHERMOOR_TOKEN");
}

} // namespace

int main(int argc, char **argv) {
    CLI::App app{"Command-line client of heathermoor for operators and clients.\n"
                 "Exit codes: 0 success, 1 failure, 2 invalid input, 4 conflict, 5 unreachable, 6 outcome unknown."};
    app.require_subcommand(1);
    arguments in;
    auto run = std::function<int()>{};
    const auto add = [&](const char *name, const char *help, std::function<int()> action) {
        auto *command = app.add_subcommand(name, help);
        command->callback([&run, action = std::move(action)] { run = action; });
        return command;
    };

    auto *check = add("validate", "Validate declaration files and report all errors", [&] { return validate(in); });
    check->add_option("files", in.files, "YAML files or directories")->required();
    check->add_option("--output", in.output, "Output format: text or json")->check(CLI::IsMember({"text", "json"}));

    auto *diff = add("diff", "Show the differences between files and the active configuration", [&] { return apply(in, true); });
    diff->add_option("files", in.files, "YAML files or directories")->required();
    diff->add_flag("--prune", in.prune, "Remove items that the files do not declare");
    with_platform(*diff, in);

    auto *publish_files = add("apply", "Publish declaration files as one change", [&] { return apply(in, false); });
    publish_files->add_option("files", in.files, "YAML files or directories")->required();
    publish_files->add_flag("--prune", in.prune, "Remove items that the files do not declare");
    with_change(*publish_files, in);

    auto *show = add("get", "List the active configuration items, or print one", [&] { return get(in); });
    show->add_option("item", in.item, "Item to print, as KIND/NAME; lists all items if omitted");
    with_platform(*show, in);

    with_platform(*add("history", "Print the audit trail of configuration changes", [&] { return history(in); }), in);

    auto *back = add("rollback", "Restore the configuration at an earlier offset by a new change", [&] { return rollback(in); });
    back->add_option("offset", in.offset, "Offset as printed by history")->required();
    with_change(*back, in);

    auto *hosts = add("status", "Show the status and the active configuration of each host", [&] { return status(in); });
    hosts->add_option("hosts", in.hosts, "Addresses of entry hosts, as HOST:PORT")->required()->envname("HEATHERMOOR_HOSTS");
    hosts->add_option("--output", in.output, "Output format: text or json")->check(CLI::IsMember({"text", "json"}));

    auto *send = add("submit", "Submit a job and wait for its response", [&] { return submit(in); });
    send->add_option("file", in.job_file, "Job as a JSON file; - for standard input")->required();
    with_host(*send, in);

    auto *stop = add("cancel", "Cancel a job", [&] { return cancel(in); });
    stop->add_option("customer", in.customer, "Customer that submitted the job")->required();
    stop->add_option("submission", in.submission, "Submission ID of the job")->required();
    with_host(*stop, in);

    auto *find = add("job", "Wait for the outcome of a submitted job", [&] { return job(in); });
    find->add_option("customer", in.customer, "Customer that submitted the job")->required();
    find->add_option("submission", in.submission, "Submission ID of the job")->required();
    find->add_option("--wait-ms", in.wait_ms, "Maximum wait in milliseconds")->check(CLI::Range(0, 60000))->capture_default_str();
    with_host(*find, in);

    auto *ids = add("mint", "Request submission IDs from an entry host", [&] { return mint(in); });
    ids->add_option("--count", in.count, "Number of submission IDs")->check(CLI::Range(1, 10000))->capture_default_str();
    with_host(*ids, in);

    auto *explain = add("explain", "Explain the outcome of a request from the host logs",
                        [&] { return heathermoor::ctl::explain_request(in.request, in.files); });
    explain->add_option("request", in.request, "Request ID or job ID")->required();
    explain->add_option("logs", in.files, "Log files of all hosts; - for standard input")->required();

    auto *table =
        add("breakdown", "Count job outcomes per queue from the host logs", [&] { return heathermoor::ctl::print_breakdown(in.files); });
    table->add_option("logs", in.files, "Log files of all hosts; - for standard input")->required();

    try {
        app.parse(argc, argv);
    } catch(const CLI::Success &help) {
        return app.exit(help);
    } catch(const CLI::ParseError &failure) {
        heathermoor::log(log_level::error, "ctl", "Invalid arguments. reason=\"{}\"", failure.what());
        return exit_invalid;
    }
    return run();
}
