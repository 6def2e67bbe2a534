#include <CLI/CLI.hpp>
#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using json = nlohmann::json;

// Target deployment: its size, its load and the limits of control overhead per daemon (share of a core, MB, bytes/s).
constexpr double workers = 28'000;
constexpr double accelerators = 52'000;
constexpr double starts_per_s = 810'000;
constexpr double teams = 450;
constexpr double regions = 9;
constexpr double domains = 34;
constexpr double changes_per_day = 83'000;
constexpr double in_force_s = 13;
constexpr double restarts_per_day = 11'000;
constexpr double failures_per_day = 330;
constexpr double cpu_limit = 0.014;
constexpr double memory_limit_mb = 128;
constexpr double bytes_limit = 10'000;

// Assumptions of the capacity model beyond the target.
constexpr double tasks_per_job = 20;
constexpr double services_per_team = 20;
constexpr double host_cores = 4;
constexpr double hosts_per_domain = 8;
constexpr double slots_per_worker = 8;
constexpr double retention_s = 120;
constexpr double key_retention_s = 1'800;
constexpr double recorded_share = 0.3;
constexpr double plain_jobs_share = recorded_share;
constexpr double beats_per_s = 5;
constexpr double far_beats_per_s = 1;
constexpr double journal_writes_per_s = 5;
constexpr double log_appends_limit = 300;
constexpr double result_bytes = 60;
constexpr double seconds_per_day = 86'400;
constexpr double busy_factor = 10;

class page {
  public:
    explicit page(const json &slopes) : m_slopes{slopes} {}

    [[nodiscard]] double slope(const std::string &name) const { return m_slopes.at(name).at("slope").get<double>(); }
    [[nodiscard]] double at(const std::string &name, double size) const {
        return slope(name) * size + m_slopes.at(name).at("intercept").get<double>();
    }

    void line(const std::string &text) { m_text += text + "\n"; }

    void row(const std::string &name, const std::string &value, const std::string &limit, bool holds, const std::string &mechanism) {
        line(fmt::format("| {} | {} | {} | {} | {} |", name, value, limit, holds ? "holds" : "**breaks**", mechanism));
    }

    void print_slopes() {
        line("| slope | value | unit | per | intercept | largest residual | points (size: value) |");
        line("|---|---|---|---|---|---|---|");
        for(const auto &[name, entry]: m_slopes.items()) {
            if(!entry.is_object()) {
                continue;
            }
            std::string points;
            for(const auto &pair: entry["points"]) {
                points += fmt::format("{:.4g}: {:.4g}; ", pair[0].get<double>(), pair[1].get<double>());
            }
            line(fmt::format("| `{}` | {:.4g} | {} | {} | {:.4g} | {:.0f}% | {} |", name, entry["slope"].get<double>(),
                             entry["unit"].get<std::string>(), entry["per"].get<std::string>(), entry["intercept"].get<double>(),
                             entry["residual"].get<double>() * 100.0, points));
        }
    }

    [[nodiscard]] const std::string &text() const noexcept { return m_text; }

  private:
    const json &m_slopes;
    std::string m_text;
};

void print_inputs(page &out, const json &slopes) {
    out.line("# Capacity");
    out.line("");
    out.line("Written by `heathermoor-capacity` from `docs/bench/slopes.json`; a test fails when the two disagree. The slopes were");
    out.line(fmt::format("measured by `bench-slopes` at commit {}, seed {}, on one 8-core machine. Change a slope or an assumption and",
                         slopes["commit"].get<std::string>(), slopes["seed"].get<int>()));
    out.line("run `make bench` to write this page anew.");
    out.line("");
    out.line("## The target and what the page assumes");
    out.line("");
    out.line(
        fmt::format("Target: {:.0f} workers, {:.0f} accelerators, {:.0f} task starts/s at peak, jobs of up to 120 tasks, {:.0f} teams,",
                    workers, accelerators, starts_per_s, teams));
    out.line(fmt::format(
        "{:.0f} regions, {:.0f} failure domains, {:.0f} configuration changes a day in force within {:.0f} s; control per daemon at",
        regions, domains, changes_per_day, in_force_s));
    out.line(fmt::format("most {:.1f}% of a core, {:.0f} MB and {:.0f} KB/s; {:.0f} hosts fail and {:.0f} restart a day.",
                         cpu_limit * 100.0, memory_limit_mb, bytes_limit / 1000.0, failures_per_day, restarts_per_day));
    out.line("");
    out.line(fmt::format("Assumed: {:.0f} tasks a job on average, {:.0f} services a team, {:.0f} slots a worker, {:.0f} entry hosts of "
                         "{:.0f} cores a failure",
                         tasks_per_job, services_per_team, slots_per_worker, hosts_per_domain, host_cores));
    out.line(fmt::format(
        "domain, answers kept {:.0f} s, keys of forgotten answers {:.0f} s, {:.0f}% of jobs with plain or domain-scoped ids (the others",
        retention_s, key_retention_s, recorded_share * 100.0));
    out.line(fmt::format("are host-minted and need no record), {:.0f} heartbeats/s, {:.0f} journal writes/s, a log of {:.0f} appends/s.",
                         beats_per_s, journal_writes_per_s, log_appends_limit));
    out.line("");
    out.line("## Slopes");
    out.line("");
    out.print_slopes();
    out.line("");
    out.line("`owner_us` and `job_us` are fitted over jobs of 1 to 120 tasks; the large residual of `owner_us` is the fixed cost of a");
    out.line("job, which the one-task point (no fit) gives directly.");
    out.line("");
}

void print_data_path(page &out) {
    const auto hosts = domains * hosts_per_domain;
    const auto starts = starts_per_s / hosts;
    const auto modules = out.slope("job_us") * starts / 1e6;
    const auto http = out.slope("http_us") / 2.0 * starts / 1e6;
    const auto callers = out.slope("http_us") / 2.0 * starts / tasks_per_job / 1e6;
    const auto messages = out.slope("message_us") * 2.0 * starts / 1e6;
    const auto total = modules + http + callers + messages;
    out.line("## The data path: entry, owner and dispatcher");
    out.line("");
    out.line(fmt::format("{:.0f} entry hosts carry {:.0f} starts/s each. Processor time per host, in cores:", hosts, starts));
    out.line("");
    out.line("| part | cores | from |");
    out.line("|---|---|---|");
    out.line(fmt::format("| decisions of all roles | {:.2f} | `job_us` x starts |", modules));
    out.line(fmt::format("| HTTP to targets, our half | {:.2f} | `http_us` / 2 x starts |", http));
    out.line(fmt::format("| HTTP from callers, our half | {:.2f} | `http_us` / 2 x jobs |", callers));
    out.line(fmt::format("| messages between hosts, one hop each way | {:.2f} | `message_us` x 2 x starts |", messages));
    out.line(fmt::format("| **sum** | **{:.2f}** of {:.0f} | |", total, host_cores));
    out.line("");
    const auto targets = workers / hosts;
    const auto decision = out.at("scheduler_targets_us", std::log2(targets));
    out.line(fmt::format(
        "A host's share is {:.0f} workers ({:.0f} slots). One decision of the scheduler with 10,000 waiting tasks costs {:.1f} us", targets,
        targets * slots_per_worker, decision));
    out.line(
        fmt::format("(`scheduler_targets_us`), {:.2f} cores at {:.0f} starts/s; the limit of 5 us holds up to 800 targets and grows by",
                    decision * starts / 1e6, starts));
    out.line(fmt::format(
        "{:.2f} us with each doubling of them. One connection per outstanding task needs {:.0f} threads at full slots: the thread",
        out.slope("scheduler_targets_us"), targets * slots_per_worker));
    out.line("per connection of cpp-httplib is what **breaks first** here (see below).");
    out.line("");
}

void print_control(page &out) {
    const auto hosts = domains * hosts_per_domain;
    const auto jobs = starts_per_s / tasks_per_job / hosts;
    const auto services = teams * services_per_team;
    const auto full_heartbeat_bytes = out.at("heartbeat_bytes", 2.0);
    const auto beat = (full_heartbeat_bytes + 4.0 * out.at("short_heartbeat_bytes", 2.0)) / 5.0;
    const auto mesh_bytes = full_heartbeat_bytes * beats_per_s * (hosts - 1);
    const auto mesh_cpu = out.at("membership_us", hosts) / 1e6;
    const auto far_peers = out.at("far_peers", hosts_per_domain) * (domains / regions - 1.0);
    const auto near_bytes = beat * (beats_per_s * (hosts_per_domain - 1) + far_beats_per_s * far_peers);
    const auto near_cpu = out.at("membership_us", hosts_per_domain + far_peers) / 1e6;
    const auto recorded = jobs * plain_jobs_share;
    const auto journal_bytes = out.slope("journal_bytes") * recorded + out.at("journal_bytes", 0.0) * journal_writes_per_s;
    const auto journal_appends = journal_writes_per_s * hosts;
    const auto retained_mb = jobs * retention_s * (out.slope("retained_bytes") + tasks_per_job * result_bytes) / 1e6;
    const auto barred_mb = jobs * key_retention_s * out.slope("barred_bytes") / 1e6;
    const auto witness_mb = recorded * key_retention_s * 16.0 / 1e6;
    const auto config_mb = out.at("config_bytes", services) / 1e6;
    const auto snapshot_kb = out.at("snapshot_bytes", services) / 1e3;
    const auto change_rate = changes_per_day / seconds_per_day;
    const auto change_cpu = out.at("config_apply_us", services) * change_rate / 1e6;
    const auto change_bytes = 700.0 * change_rate;
    const auto start_s = out.at("snapshot_start_ms", services) / 1e3;
    const auto claims = (restarts_per_day * hosts / (workers + hosts)) / seconds_per_day * 2.0;
    out.line("## Control, per daemon");
    out.line("");
    out.line("| what | at the target | limit | | mechanism |");
    out.line("|---|---|---|---|---|");
    out.row("heartbeats, full mesh: bytes", fmt::format("{:.0f} KB/s", mesh_bytes / 1e3), "10 KB/s", mesh_bytes < bytes_limit,
            "the first version; carries 6 hosts, not 272");
    out.row("heartbeats, full mesh: processor", fmt::format("{:.2f}%", mesh_cpu * 100), "1.4%", mesh_cpu < cpu_limit, "as above");
    out.row("heartbeats, own domain and gateways of the region: bytes", fmt::format("{:.1f} KB/s", near_bytes / 1e3), "10 KB/s",
            near_bytes < bytes_limit,
            "all hosts of the own domain; two paired hosts of each neighbour, once a second (`--neighbours`, `--far-heartbeat-every 5`)");
    out.row("heartbeats, own domain and gateways of the region: processor", fmt::format("{:.3f}%", near_cpu * 100), "1.4%",
            near_cpu < cpu_limit, "as above");
    out.row("journal bytes", fmt::format("{:.1f} KB/s", journal_bytes / 1e3), "10 KB/s", journal_bytes < bytes_limit,
            "keys packed to 8 bytes; host-minted ids need none");
    out.row("journal appends, all hosts", fmt::format("{:.0f}/s", journal_appends), "300/s", journal_appends < log_appends_limit,
            fmt::format("an interval of 2 s gives {:.0f}/s; the witness, not the journal, is the first record", hosts / 2.0));
    out.row("claims and joins, all hosts", fmt::format("{:.4f}/s", claims), "300/s", claims < log_appends_limit,
            "one record moves all partitions of a host; a lost domain is one record for each heir");
    out.row("configuration: processor", fmt::format("{:.2f}%", change_cpu * 100), "1.4%", change_cpu < cpu_limit,
            "only the services that a change touches are resolved again");
    out.row("configuration: processor at ten times the mean rate", fmt::format("{:.2f}%", change_cpu * 100 * busy_factor), "1.4%",
            change_cpu * busy_factor < cpu_limit, "batch the records of one read into one resolved policy");
    out.row("configuration: bytes", fmt::format("{:.1f} KB/s", change_bytes / 1e3), "10 KB/s", change_bytes < bytes_limit,
            "each record is read once by long poll, or passed on by a peer");
    const auto control_bytes = near_bytes + journal_bytes + change_bytes;
    out.row("**control bytes, sum**", fmt::format("{:.1f} KB/s", control_bytes / 1e3), "10 KB/s", control_bytes < bytes_limit,
            "four of five heartbeats leave out what seldom changes");
    out.row("configuration: memory", fmt::format("{:.0f} MB", config_mb), "128 MB", config_mb < memory_limit_mb,
            "documents and resolved services are shared between versions");
    out.row("snapshot", fmt::format("{:.0f} KB, started from in {:.1f} s", snapshot_kb, start_s), "13 s", start_s < in_force_s,
            "written by turns every 200 records");
    out.row("retained answers", fmt::format("{:.0f} MB", retained_mb), "128 MB", retained_mb < memory_limit_mb,
            "bounded in bytes and time");
    out.row("keys of forgotten answers", fmt::format("{:.0f} MB", barred_mb), "128 MB", barred_mb < memory_limit_mb,
            "bounded in number; a sorted array would hold a key in 16 bytes");
    out.row("witnessed ids", fmt::format("{:.0f} MB", witness_mb), "128 MB", witness_mb < memory_limit_mb,
            "16 bytes an id, dropped with age");
    const auto sum = config_mb + retained_mb + barred_mb + witness_mb;
    out.row("**memory of state, sum**", fmt::format("{:.0f} MB", sum), "128 MB", sum < memory_limit_mb,
            "retention is a setting; see below");
    out.line("");
}

void print_mechanisms(page &out) {
    const auto hosts = domains * hosts_per_domain;
    out.line("## Where today's design breaks first, and what mends it");
    out.line("");
    out.line("1. **The heartbeat mesh.** Weighed: (a) fewer beats, 1 s apart with 5 s of silence: a fifth of the bytes, but a killed");
    out.line(fmt::format("   host's ids are served again after 8 s instead of 4, and {:.0f} hosts still cost {:.0f} KB/s; (b) beats inside "
                         "the failure domain",
                         hosts, out.at("heartbeat_bytes", 2.0) * (hosts - 1) / 1e3));
    out.line("   only, loads to two paired hosts of each other domain of the region, and forwards to owners that were never heard, found");
    out.line("   by the ownership stream. (b) is built: the promises use nothing but the own domain. Its price: a lost host of another");
    out.line("   domain is noticed after 5 s instead of 1 s, and work flows only to hosts whose load is known.");
    out.line(
        "2. **Journal appends.** Weighed: (a) a longer interval; (b) one writer for each domain, with one more hop. (a) is chosen: ids");
    out.line("   wait for the journal only where no witness answers, and then group commit bounds the appends by their own latency.");
    out.line(
        "3. **A thread for each connection to a target.** Weighed: (a) more entry hosts; (b) a batched protocol on one connection for");
    out.line("   each target, over the library's HTTP/2 kin. Today 50 workers on 6 hosts need 67 threads a host, which holds.");
    out.line("4. **Memory of retained answers.** Large results dominate; the retention falls from 120 s to 30 s where callers resubmit");
    out.line("   within seconds, which divides that row by four.");
    out.line("");
    out.line("## Roles");
    out.line("");
    out.line("| role | state | messages | mechanism |");
    out.line("|---|---|---|---|");
    out.line("| entry | one record a waiting caller | 1 forward and 1 answer a job | resends to the owner until the deadline; owners admit "
             "once |");
    out.line("| owner | running jobs, retained answers, barred keys | 1 witness and 1 ack a recorded job, 1 dispatch a host and job | "
             "partitions of the own domain, compare-and-set in the log |");
    out.line("| dispatcher | its share of the targets, the queue | 1 result a task, with the load | weighted rendezvous; late binding |");
    out.line("| membership | one record a peer | beats inside the domain | heartbeats, lagging host list |");
    out.line("| configuration reader | documents and resolved services | one long poll | verdicts are a function of the prefix |");
    out.line("| journal | keys since the last write | packed keys | group commit |");
    out.line("| snapshot writer | none | one record in 200 | by turns, rendezvous over live hosts |");
    out.line("| operator's command | none | reads the stream, one append | looks a lost answer up by change id |");
    out.line("");
    out.line("## Failures at this size");
    out.line("");
    const auto entry_restarts = restarts_per_day * hosts / (workers + hosts);
    out.line(fmt::format(
        "Of {:.0f} restarts a day about {:.0f} concern entry hosts: each is one drain (one transfer for each heir, one record each) and",
        restarts_per_day, entry_restarts));
    out.line("one balancing transfer back. A lost domain is claimed by its replacements after the evidence period; ids of its former");
    out.line("owners that no journal holds are answered `outcome_lost`. Regions that lose each other for an hour go on alone: owners need");
    out.line("only their own domain's promises, configuration is frozen at the last record read, and nothing is claimed across domains.");
    out.line(fmt::format(
        "{:.0f} accelerators are pools of their own; quotas of {:.0f} teams are shares and caps in each scheduler, which costs {:.2f} us a",
        accelerators, teams, out.slope("scheduler_customers_us")));
    out.line("doubling of customers. A cap holds for one host's share; a cap across dispatchers would need the shares' sums in the");
    out.line("heartbeats and is not built.");
}

} // namespace

int main(int argc, char **argv) {
    CLI::App app{"Prints docs/CAPACITY.md, computed from measured slopes, to standard output."};
    std::string path;
    app.add_option("--slopes", path, "JSON file of slopes written by bench-slopes")->required();
    CLI11_PARSE(app, argc, argv);
    std::ifstream stream{path};
    const auto slopes = json::parse(stream, nullptr, false);
    if(slopes.is_discarded()) {
        fmt::print(stderr, "[capacity] Cannot parse the slopes file. file={}\n", path);
        return 2;
    }
    page out{slopes};
    print_inputs(out, slopes);
    print_data_path(out);
    print_control(out);
    print_mechanisms(out);
    std::cout << out.text();
    return 0;
}
