#include "heathermoor/core/log.hpp"
#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fmt/format.h>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <thread>

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;

constexpr int status_ok = 200;
constexpr int max_attempts = 12;
constexpr milliseconds resubmit_delay{300};
constexpr seconds resubmit_limit{9};
constexpr double long_task_ms = 800.0;
constexpr int ready_attempts = 200;

struct settings {
    std::string platform;
    std::vector<std::string> hosts;
    int seconds{12};
    int threads{10};
    std::uint64_t seed{1};
    int kill_pid{};
    int kill_after_s{5};
    bool graceful{};
};

struct request_kind {
    std::string request;
    double median_ms{};
    int max_tasks{};
    double weight{};
};

struct workload {
    std::string service;
    std::vector<std::string> customers;
    std::vector<request_kind> kinds;
};

const std::vector<workload> workloads{
    {"matloom", {"caroni-mats", "chaguanas-weavers"}, {{"stock-check", 60, 6, 0.7}, {"hold", 90, 1, 0.2}, {"dye-lot-match", 900, 2, 0.1}}},
    {"fill-service",
     {"gent-tyres", "kortrijk-agri"},
     {{"fill-mix-quote", 80, 4, 0.5}, {"pressure-verdict", 150, 2, 0.3}, {"valve-lock-confirm", 60, 1, 0.2}}},
};

struct job {
    std::string id;
    std::string customer;
    std::size_t tasks{};
    double longest_ms{};
    double response_ms{};
    int attempts{};
    std::string outcome;
    std::string code;
    bool said_not_run{};
    bool wrong_answer{};
    std::string service;
};

struct results {
    std::mutex mutex;
    std::vector<job> jobs;
};

[[nodiscard]] std::string make_id(std::mt19937_64 &random, httplib::Client &client, const std::string &domain) {
    switch(random() % 3) {
    case 0: {
        const auto answer = client.Post("/v1/submission-ids", R"({"count":1})", "application/json");
        if(answer && answer->status == status_ok) {
            return json::parse(answer->body)["ids"][0].get<std::string>();
        }
        [[fallthrough]];
    }
    case 1:
        return fmt::format("demo-{:016x}", random());
    default:
        return fmt::format("ds1.{}.demo-{:016x}", domain, random());
    }
}

/// Checks that the response has a result for every task and echoes the nonce and task indices of the job.
[[nodiscard]] bool is_complete(const json &answer, const job &item, const std::string &nonce) {
    if(answer["results"].size() != item.tasks) {
        return false;
    }
    for(std::size_t index = 0; index < item.tasks; ++index) {
        const auto &result = answer["results"][index];
        if(result["echo"]["nonce"] != nonce || result["echo"]["index"] != index) {
            return false;
        }
    }
    return true;
}

/// Submits one job and resubmits it through the next host after a lost response or a retryable error.
void run_job(const settings &options, const workload &load, std::mt19937_64 &random, std::vector<std::unique_ptr<httplib::Client>> &clients,
             results &out) {
    std::vector<double> weights;
    for(const auto &kind: load.kinds) {
        weights.push_back(kind.weight);
    }
    const auto &kind = load.kinds[std::discrete_distribution<std::size_t>{weights.begin(), weights.end()}(random)];
    job item;
    item.service = load.service;
    item.customer = load.customers[random() % load.customers.size()];
    item.tasks = 1 + random() % static_cast<std::uint64_t>(kind.max_tasks);
    auto host = random() % clients.size();
    item.id = make_id(random, *clients[host], random() % 2 == 0 ? "couva" : "chaguanas");
    const auto nonce = fmt::format("{:016x}", random());
    json body{{"customer", item.customer},
              {"service", load.service},
              {"submission_id", item.id},
              {"deadline_ms", 4000},
              {"tasks", json::array()}};
    std::lognormal_distribution<double> run_time{std::log(kind.median_ms), 0.4};
    for(std::size_t index = 0; index < item.tasks; ++index) {
        const auto ms = run_time(random);
        item.longest_ms = std::max(item.longest_ms, ms);
        body["tasks"].push_back({{"request", kind.request}, {"body", {{"run_ms", ms}, {"nonce", nonce}, {"index", index}}}});
    }
    const auto text = body.dump();
    const auto started_at = steady::now();
    const httplib::Headers headers{{"Authorization", "Bearer " + item.customer + "-token"}};
    while(item.attempts < max_attempts && steady::now() - started_at < resubmit_limit) {
        ++item.attempts;
        const auto answer = clients[host]->Post("/v1/jobs", headers, text, "application/json");
        if(answer) {
            const auto parsed = json::parse(answer->body, nullptr, false);
            item.outcome = answer->status == status_ok ? "complete" : parsed.value("outcome", std::string{"malformed"});
            item.code = answer->status == status_ok ? "ok" : parsed.value("code", std::string{"malformed"});
            item.said_not_run = item.said_not_run || (parsed.is_object() && parsed.value("not_run", false));
            item.wrong_answer = item.wrong_answer || (answer->status == status_ok && !is_complete(parsed, item, nonce));
            const auto retryable = item.code == "owner_unavailable" || item.code == "not_ready" || item.code == "draining";
            if(item.outcome != "unknown" || !retryable) {
                break;
            }
        } else {
            item.outcome = "no answer";
        }
        host = (host + 1) % options.hosts.size();
        std::this_thread::sleep_for(resubmit_delay);
    }
    item.response_ms = std::chrono::duration<double, std::milli>{steady::now() - started_at}.count();
    const std::lock_guard lock{out.mutex};
    out.jobs.push_back(std::move(item));
}

[[nodiscard]] bool wait_until_ready(const settings &options) {
    for(int attempt = 0; attempt < ready_attempts; ++attempt) {
        const auto ready = std::count_if(options.hosts.begin(), options.hosts.end(), [](const auto &address) {
            httplib::Client client{"http://" + address};
            const auto answer = client.Get("/v1/status");
            if(!answer || answer->status != status_ok) {
                return false;
            }
            const auto body = json::parse(answer->body, nullptr, false);
            return body.value("ready", false) && body.value("lease_valid", false) && body.value("partitions_serving", 0) > 0;
        });
        if(ready == static_cast<std::ptrdiff_t>(options.hosts.size())) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{100});
    }
    return false;
}

/// Number of starts per task, summed over the ledgers of all targets.
[[nodiscard]] std::map<std::string, std::uint64_t> read_ledgers(const settings &options) {
    std::map<std::string, std::uint64_t> starts;
    httplib::Client platform{"http://" + options.platform};
    const auto answer = platform.Get("/v1/hosts");
    if(!answer) {
        return starts;
    }
    const auto listed = json::parse(answer->body, nullptr, false);
    for(const auto &host: listed["hosts"]) {
        if(host.value("kind", std::string{}) != "target") {
            continue;
        }
        httplib::Client client{"http://" + host["address"].get<std::string>()};
        const auto ledger = client.Get("/ledger");
        if(!ledger) {
            continue;
        }
        const auto body = json::parse(ledger->body, nullptr, false);
        for(const auto &[task, count]: body["starts"].items()) {
            starts[task] += count.get<std::uint64_t>();
        }
    }
    return starts;
}

[[nodiscard]] double message_count(const settings &options) {
    constexpr std::string_view name = "\nheathermoor_peer_messages_sent_total ";
    auto total = 0.0;
    for(const auto &address: options.hosts) {
        httplib::Client client{"http://" + address};
        const auto page = client.Get("/metrics");
        if(page) {
            const auto found = page->body.find(name);
            total += found == std::string::npos ? 0.0 : std::strtod(page->body.c_str() + found + name.size(), nullptr);
        }
    }
    return total;
}

[[nodiscard]] double quantile(std::vector<double> values, double q) {
    if(values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

void print_times(const std::vector<job> &jobs, const std::string &service, bool long_jobs) {
    std::vector<double> ratio;
    std::vector<double> response;
    for(const auto &item: jobs) {
        if(item.service == service && item.outcome == "complete" && (item.longest_ms >= long_task_ms) == long_jobs) {
            ratio.push_back(item.response_ms / (item.longest_ms + 1.0));
            response.push_back(item.response_ms);
        }
    }
    fmt::print("  {:<14} {:<6} jobs={:<6} response p50={:.0f} ms p99={:.0f} ms, over own run time at speed 1: p50={:.2f} p99={:.2f}\n",
               service, long_jobs ? "long" : "short", ratio.size(), quantile(response, 0.5), quantile(response, 0.99), quantile(ratio, 0.5),
               quantile(ratio, 0.99));
}

int report(const settings &options, const std::vector<job> &jobs, double messages) {
    const auto starts = read_ledgers(options);
    const auto twice = std::count_if(starts.begin(), starts.end(), [](const auto &entry) { return entry.second > 1; });
    std::map<std::string, std::size_t> outcomes;
    std::map<std::string, std::size_t> codes;
    std::size_t falsely_not_run{};
    std::size_t wrong{};
    std::size_t unanswered{};
    std::size_t resubmitted{};
    for(const auto &item: jobs) {
        ++outcomes[item.outcome];
        ++codes[item.code];
        wrong += item.wrong_answer ? 1U : 0U;
        unanswered += item.outcome == "no answer" || item.outcome == "malformed" ? 1U : 0U;
        resubmitted += item.attempts > 1 ? 1U : 0U;
        for(std::size_t index = 0; index < item.tasks; ++index) {
            const auto found = starts.contains(fmt::format("{}/{}/{}", item.customer, item.id, index));
            falsely_not_run += item.said_not_run && found ? 1U : 0U;
            wrong += item.outcome == "complete" && !found ? 1U : 0U;
        }
    }
    fmt::print("submitted            {}\n", jobs.size());
    fmt::print("answered whole       {}\n", outcomes["complete"]);
    fmt::print("refused \"not run\"    {}\n", outcomes["not_run"]);
    fmt::print("failed               {}\n", outcomes["failed"]);
    fmt::print("outcome unknown      {}\n", outcomes["unknown"]);
    fmt::print("no answer            {}\n", unanswered);
    fmt::print("resubmitted          {}\n", resubmitted);
    fmt::print("tasks started        {}\n", starts.size());
    fmt::print("started twice        {}\n", twice);
    fmt::print("untrue \"not run\"     {}\n", falsely_not_run);
    fmt::print("wrong or partial     {}\n", wrong);
    fmt::print("messages per task    {:.2f} (heartbeats and messages to the own host included)\n",
               messages / std::max<double>(1.0, static_cast<double>(starts.size())));
    for(const auto &[code, count]: codes) {
        fmt::print("  code {:<22} {}\n", code, count);
    }
    for(const auto &load: workloads) {
        print_times(jobs, load.service, false);
        print_times(jobs, load.service, true);
    }
    const auto broken = twice > 0 || falsely_not_run > 0 || wrong > 0 || unanswered > 0 || outcomes["complete"] == 0;
    fmt::print("{}\n", broken ? "A PROMISE BROKE" : "every promise held");
    return broken ? 1 : 0;
}

} // namespace

int main(int argc, char **argv) {
    CLI::App app{"Submits a mixed workload for both example deployments, optionally stops an entry host during the run, and checks the "
                 "delivery guarantees against the ledgers of the targets."};
    settings options;
    app.add_option("--platform", options.platform, "Address of the platform, as HOST:PORT")->required();
    app.add_option("--hosts", options.hosts, "Addresses of the entry hosts, as HOST:PORT")->required()->delimiter(',');
    app.add_option("--seconds", options.seconds, "Duration of the run in seconds")->capture_default_str();
    app.add_option("--threads", options.threads, "Client threads per service")->capture_default_str();
    app.add_option("--seed", options.seed, "Random seed of the workload")->capture_default_str();
    app.add_option("--kill-pid", options.kill_pid, "Process ID that gets SIGKILL during the run; 0 for none");
    app.add_flag("--graceful", options.graceful, "Send SIGTERM instead of SIGKILL");
    app.add_option("--kill-after-s", options.kill_after_s, "Seconds from the start of the run to the signal")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    if(!wait_until_ready(options)) {
        heathermoor::log(heathermoor::log_level::error, "demo", "The hosts did not become ready.");
        return 1;
    }
    results out;
    std::atomic<bool> stopped{false};
    std::vector<std::thread> client_threads;
    const auto messages_before = message_count(options);
    for(int index = 0; index < options.threads; ++index) {
        for(std::size_t which = 0; which < workloads.size(); ++which) {
            client_threads.emplace_back([&, index, which] {
                std::mt19937_64 random{options.seed * 1000 + static_cast<std::uint64_t>(index) * 10 + which};
                std::vector<std::unique_ptr<httplib::Client>> clients;
                for(const auto &address: options.hosts) {
                    clients.push_back(std::make_unique<httplib::Client>("http://" + address));
                    clients.back()->set_keep_alive(true);
                    clients.back()->set_tcp_nodelay(true);
                    clients.back()->set_read_timeout(seconds{20});
                    clients.back()->set_connection_timeout(seconds{1});
                }
                while(!stopped) {
                    run_job(options, workloads[which], random, clients, out);
                    std::this_thread::sleep_for(milliseconds{random() % 150});
                }
            });
        }
    }
    std::this_thread::sleep_for(seconds{options.kill_after_s});
    if(options.kill_pid > 0) {
        ::kill(options.kill_pid, options.graceful ? SIGTERM : SIGKILL);
        fmt::print("{} entry host with pid {}\n", options.graceful ? "shut down" : "killed", options.kill_pid);
    }
    std::this_thread::sleep_for(seconds{std::max(options.seconds - options.kill_after_s, 0)});
    stopped = true;
    for(auto &thread: client_threads) {
        thread.join();
    }
    std::this_thread::sleep_for(seconds{2});
    return report(options, out.jobs, message_count(options) - messages_before);
}
