#include "config_commands.hpp"
#include "heathermoor/core/log.hpp"
#include "job_commands.hpp"
#include "trace_commands.hpp"
#include <CLI/CLI.hpp>
#include <functional>

namespace {

namespace ctl = heathermoor::ctl;

void with_platform(CLI::App &command, ctl::arguments &in) {
    command.add_option("--platform", in.platform, "Address of the platform log, as HOST:PORT")->envname("HEATHERMOOR_PLATFORM")->required();
    command.add_option("--output", in.output, "Output format: text or json")->check(CLI::IsMember({"text", "json"}))->capture_default_str();
}

void with_change(CLI::App &command, ctl::arguments &in) {
    with_platform(command, in);
    command.add_option("--author", in.author, "Author of the change, recorded in the audit trail")
        ->envname("HEATHERMOOR_AUTHOR")
        ->required();
    command.add_option("--reason", in.reason, "Reason for the change, recorded in the audit trail");
    command.add_option("--change-id", in.change_id, "Change ID; reuse it to retry after a lost response. Random if not given");
    command.add_flag("--dry-run", in.dry_run, "Print the changes without publishing them");
}

void with_host(CLI::App &command, ctl::arguments &in) {
    command.add_option("--host", in.host, "Address of an entry host, as HOST:PORT")->envname("HEATHERMOOR_HOST_ADDRESS")->required();
    command.add_option("--token", in.token, "Bearer token of the customer")->envname("HEATHERMOOR_TOKEN");
}

} // namespace

int main(int argc, char **argv) {
    CLI::App app{"Command-line client of heathermoor for operators and clients.\n"
                 "Exit codes: 0 success, 1 failure, 2 invalid input, 4 conflict, 5 unreachable, 6 outcome unknown."};
    app.require_subcommand(1);
    ctl::arguments in;
    auto run = std::function<int()>{};
    const auto add = [&](const char *name, const char *help, std::function<int()> action) {
        auto *command = app.add_subcommand(name, help);
        command->callback([&run, action = std::move(action)] { run = action; });
        return command;
    };

    auto *check = add("validate", "Validate declaration files and report all errors", [&] { return ctl::validate(in); });
    check->add_option("files", in.files, "YAML files or directories")->required();
    check->add_option("--output", in.output, "Output format: text or json")->check(CLI::IsMember({"text", "json"}));

    auto *diff = add("diff", "Show the differences between files and the active configuration", [&] { return ctl::apply(in, true); });
    diff->add_option("files", in.files, "YAML files or directories")->required();
    diff->add_flag("--prune", in.prune, "Remove items that the files do not declare");
    with_platform(*diff, in);

    auto *publish_files = add("apply", "Publish declaration files as one change", [&] { return ctl::apply(in, false); });
    publish_files->add_option("files", in.files, "YAML files or directories")->required();
    publish_files->add_flag("--prune", in.prune, "Remove items that the files do not declare");
    with_change(*publish_files, in);

    auto *show = add("get", "List the active configuration items, or print one", [&] { return ctl::get(in); });
    show->add_option("item", in.item, "Item to print, as KIND/NAME; lists all items if omitted");
    with_platform(*show, in);

    with_platform(*add("history", "Print the audit trail of configuration changes", [&] { return ctl::history(in); }), in);

    auto *back = add("rollback", "Restore the configuration at an earlier offset by a new change", [&] { return ctl::rollback(in); });
    back->add_option("offset", in.offset, "Offset as printed by history")->required();
    with_change(*back, in);

    auto *hosts = add("status", "Show the status and the active configuration of each host", [&] { return ctl::status(in); });
    hosts->add_option("hosts", in.hosts, "Addresses of entry hosts, as HOST:PORT")->required()->envname("HEATHERMOOR_HOSTS");
    hosts->add_option("--output", in.output, "Output format: text or json")->check(CLI::IsMember({"text", "json"}));

    auto *send = add("submit", "Submit a job and wait for its response", [&] { return ctl::submit(in); });
    send->add_option("file", in.job_file, "Job as a JSON file; - for standard input")->required();
    with_host(*send, in);

    auto *stop = add("cancel", "Cancel a job", [&] { return ctl::cancel(in); });
    stop->add_option("customer", in.customer, "Customer that submitted the job")->required();
    stop->add_option("submission", in.submission, "Submission ID of the job")->required();
    with_host(*stop, in);

    auto *find = add("job", "Wait for the outcome of a submitted job", [&] { return ctl::job(in); });
    find->add_option("customer", in.customer, "Customer that submitted the job")->required();
    find->add_option("submission", in.submission, "Submission ID of the job")->required();
    find->add_option("--wait-ms", in.wait_ms, "Maximum wait in milliseconds")->check(CLI::Range(0, 60000))->capture_default_str();
    with_host(*find, in);

    auto *ids = add("mint", "Request submission IDs from an entry host", [&] { return ctl::mint(in); });
    ids->add_option("--count", in.count, "Number of submission IDs")->check(CLI::Range(1, 10000))->capture_default_str();
    with_host(*ids, in);

    auto *explain =
        add("explain", "Explain the outcome of a request from the host logs", [&] { return ctl::explain_request(in.request, in.files); });
    explain->add_option("request", in.request, "Request ID or job ID")->required();
    explain->add_option("logs", in.files, "Log files of all hosts; - for standard input")->required();

    auto *table = add("breakdown", "Count job outcomes per queue from the host logs", [&] { return ctl::print_breakdown(in.files); });
    table->add_option("logs", in.files, "Log files of all hosts; - for standard input")->required();

    try {
        app.parse(argc, argv);
    } catch(const CLI::Success &help) {
        return app.exit(help);
    } catch(const CLI::ParseError &failure) {
        heathermoor::log(heathermoor::log_level::error, "ctl", "Invalid arguments. reason=\"{}\"", failure.what());
        return ctl::exit_invalid;
    }
    return run();
}
