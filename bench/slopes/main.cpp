#include "heathermoor/config/config_state.hpp"
#include "heathermoor/core/hash.hpp"
#include "heathermoor/core/log.hpp"
#include "heathermoor/host/convert.hpp"
#include "heathermoor/placement/scheduler.hpp"
#include "heathermoor/submission/owner_table.hpp"
#include "support/virtual_system.hpp"
#include <CLI/CLI.hpp>
#include <chrono>
#include <cmath>
#include <ctime>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <google/protobuf/util/json_util.h>
#include <httplib.h>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace heathermoor;
using json = nlohmann::json;

struct point {
    double size{};
    double value{};
};

/// Least-squares line and its largest relative residual.
struct fit {
    double slope{};
    double intercept{};
    double residual{};
};

[[nodiscard]] fit fit_line(const std::vector<point> &points) {
    auto n = 0.0;
    auto sx = 0.0;
    auto sy = 0.0;
    auto sxx = 0.0;
    auto sxy = 0.0;
    for(const auto &[x, y]: points) {
        n += 1.0;
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
    }
    fit line;
    line.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    line.intercept = (sy - line.slope * sx) / n;
    for(const auto &[x, y]: points) {
        line.residual = std::max(line.residual, std::abs(y - line.slope * x - line.intercept) / std::max(std::abs(y), 1e-9));
    }
    return line;
}

[[nodiscard]] double seconds_of(const std::function<void()> &action) {
    const auto started_at = std::chrono::steady_clock::now();
    action();
    return std::chrono::duration<double>{std::chrono::steady_clock::now() - started_at}.count();
}

[[nodiscard]] double heap_bytes() {
    return static_cast<double>(mallinfo2().uordblks);
}

[[nodiscard]] submission::job_spec make_spec(std::uint64_t number, std::size_t tasks) {
    submission::job_spec spec;
    spec.customer = customer_id{"caroni-mats"};
    spec.service = service_id{"matloom"};
    spec.id = submission_id{fmt::format("plain-{:016x}", number)};
    spec.deadline = seconds{10};
    for(std::size_t index = 0; index < tasks; ++index) {
        spec.tasks.push_back({request_name{"stock-check"}, milliseconds{60}, R"({"kind":"reed","bundle":12345})"});
    }
    spec.digest = host::job_digest(spec);
    return spec;
}

/// Drives jobs through the owner table from submission to completion; every task succeeds.
void run_jobs(submission::owner_table &table, std::uint64_t first, std::size_t count, std::size_t tasks) {
    const time_point now{seconds{1}};
    const host_id self{"entry-1"};
    for(std::uint64_t number = first; number < first + count; ++number) {
        submission::owner_effects effects;
        submission::admission terms;
        table.submit(make_spec(number, tasks), terms, {self, correlation{number}}, now, effects);
        const auto job = effects.records.front().job;
        table.recorded(job, true, now, effects);
        const auto placements = std::move(effects.placements);
        for(const auto &request: placements) {
            table.placed(request, self, errc::ok, now, effects);
        }
        for(const auto &request: placements) {
            table.task_ended(job, {request.index, 0, submission::task_report::done, errc::ok, R"({"free":12})"}, false, now, effects);
        }
    }
}

[[nodiscard]] std::vector<point> owner_time_by_tasks() {
    std::vector<point> points;
    for(const std::size_t tasks: {1, 10, 30, 60, 120}) {
        submission::owner_table_settings settings;
        settings.max_bytes = 4ULL << 30U;
        submission::owner_table table{settings};
        const auto jobs = 60'000 / (tasks + 2);
        const auto spent = seconds_of([&] { run_jobs(table, 1, jobs, tasks); });
        points.push_back({static_cast<double>(tasks), spent * 1e6 / static_cast<double>(jobs)});
    }
    return points;
}

[[nodiscard]] std::vector<point> retained_bytes() {
    std::vector<point> points;
    for(const std::size_t jobs: {10'000, 50'000, 100'000}) {
        submission::owner_table_settings settings;
        settings.max_bytes = 4ULL << 30U;
        const auto before = heap_bytes();
        submission::owner_table table{settings};
        run_jobs(table, 1, jobs, 1);
        points.push_back({static_cast<double>(jobs), heap_bytes() - before});
    }
    return points;
}

[[nodiscard]] std::vector<point> barred_bytes() {
    std::vector<point> points;
    for(const std::size_t keys: {100'000, 300'000, 1'000'000}) {
        submission::owner_table_settings settings;
        const auto before = heap_bytes();
        submission::owner_table table{settings};
        for(std::uint64_t key = 0; key < keys; ++key) {
            table.mark_may_have_run(key * 7919, time_point{});
        }
        points.push_back({static_cast<double>(keys), heap_bytes() - before});
    }
    return points;
}

/// Microseconds to enqueue, start and end one task while the queue length stays constant.
[[nodiscard]] double scheduler_us(std::size_t targets, std::size_t waiting, std::size_t customers) {
    placement::scheduler policy;
    time_point now{seconds{1}};
    for(std::uint32_t index = 0; index < targets; ++index) {
        policy.set_target(static_cast<placement::target_index>(index), 8);
    }
    for(std::uint32_t index = 0; index < customers; ++index) {
        policy.set_customer(static_cast<placement::customer_index>(index), {8.0, 0});
    }
    std::uint64_t next{};
    std::deque<placement::task_handle> running;
    const auto add = [&] {
        policy.enqueue({static_cast<placement::task_handle>(++next), static_cast<placement::customer_index>(next % customers), next % 7,
                        milliseconds{50 + next % 300}, now + seconds{1000}, now});
    };
    const auto start = [&] {
        while(const auto chosen = policy.next(now)) {
            running.push_back(chosen->handle);
        }
    };
    for(std::size_t index = 0; index < waiting + targets * 8; ++index) {
        add();
    }
    start();
    constexpr std::size_t rounds = 30'000;
    return seconds_of([&] {
               for(std::size_t round = 0; round < rounds; ++round) {
                   now += microseconds{100};
                   add();
                   policy.ended(running.front(), placement::task_end::done, now);
                   running.pop_front();
                   start();
               }
           }) *
           1e6 / rounds;
}

[[nodiscard]] std::vector<point> scheduler_by_log_targets() {
    std::vector<point> points;
    for(const std::size_t targets: {50, 200, 800, 3'200}) {
        points.push_back({std::log2(static_cast<double>(targets)), scheduler_us(targets, 10'000, 8)});
    }
    return points;
}

[[nodiscard]] std::vector<point> scheduler_by_log_waiting() {
    std::vector<point> points;
    for(const std::size_t waiting: {1'000, 10'000, 100'000}) {
        points.push_back({std::log2(static_cast<double>(waiting)), scheduler_us(800, waiting, 8)});
    }
    return points;
}

[[nodiscard]] std::vector<point> scheduler_by_log_customers() {
    std::vector<point> points;
    for(const std::size_t customers: {4, 50, 450}) {
        points.push_back({std::log2(static_cast<double>(customers)), scheduler_us(800, 10'000, customers)});
    }
    return points;
}

[[nodiscard]] std::vector<point> target_bytes() {
    std::vector<point> points;
    for(const std::uint32_t targets: {100, 1'000, 5'000}) {
        const auto before = heap_bytes();
        placement::scheduler policy;
        for(std::uint32_t index = 0; index < targets; ++index) {
            policy.set_target(static_cast<placement::target_index>(index), 8);
        }
        points.push_back({static_cast<double>(targets), heap_bytes() - before});
    }
    return points;
}

[[nodiscard]] std::vector<point> waiting_bytes() {
    std::vector<point> points;
    for(const std::uint64_t waiting: {1'000, 10'000, 100'000}) {
        const auto before = heap_bytes();
        placement::scheduler policy;
        for(std::uint64_t index = 0; index < waiting; ++index) {
            policy.enqueue(
                {static_cast<placement::task_handle>(index), placement::customer_index{}, 1, milliseconds{60}, time_point{seconds{9}}, {}});
        }
        points.push_back({static_cast<double>(waiting), heap_bytes() - before});
    }
    return points;
}

[[nodiscard]] wire::envelope make_submit_message(std::size_t tasks) {
    wire::envelope message;
    message.set_from("entry-1");
    message.set_domain("couva");
    message.set_correlation(1ULL << 60U);
    message.set_incarnation(1ULL << 60U);
    message.set_sent_us(1'000'000'000);
    message.set_echo_us(1'000'000'000);
    message.set_to_incarnation(1ULL << 60U);
    *message.mutable_submit_job()->mutable_job() = host::to_wire(make_spec(1, tasks), seconds{10});
    return message;
}

[[nodiscard]] std::vector<point> message_us() {
    std::vector<point> points;
    for(const std::size_t tasks: {1, 30, 60, 120}) {
        const auto message = make_submit_message(tasks);
        const auto rounds = 200'000 / (tasks + 5);
        const auto spent = seconds_of([&] {
            for(std::size_t round = 0; round < rounds; ++round) {
                wire::envelope read;
                (void)read.ParseFromString(message.SerializeAsString());
            }
        });
        points.push_back({static_cast<double>(tasks), spent * 1e6 / static_cast<double>(rounds)});
    }
    return points;
}

[[nodiscard]] std::vector<point> message_bytes() {
    std::vector<point> points;
    for(const std::size_t tasks: {1, 30, 60, 120}) {
        points.push_back({static_cast<double>(tasks), static_cast<double>(make_submit_message(tasks).ByteSizeLong())});
    }
    return points;
}

[[nodiscard]] std::vector<point> heartbeat_bytes(bool full) {
    std::vector<point> points;
    for(const int pools: {1, 4, 16}) {
        auto message = make_submit_message(1);
        auto &beat = *message.mutable_beat();
        for(auto pool = 0; pool < pools; ++pool) {
            *beat.add_load() = host::to_wire(pool_id{fmt::format("pool-{}", pool)}, {100.0, 1'000.0, 500.0, 64, 12, 9});
        }
        if(full) {
            beat.set_config_hash("0123456789abcdef");
            beat.set_peer_address("tcp://10.0.0.1:8090");
            beat.set_http_address("10.0.0.1:8080");
            beat.set_weight(1.0);
        }
        beat.set_config_offset(1'000'000);
        beat.set_ownership_offset(1'000'000);
        beat.set_log_evidence(true);
        beat.set_no_claim(true);
        beat.set_log_age_ms(200);
        points.push_back({static_cast<double>(pools), static_cast<double>(message.ByteSizeLong())});
    }
    return points;
}

/// Wall time in microseconds per host and second of virtual time, in an idle system that only exchanges heartbeats.
[[nodiscard]] std::vector<point> membership_us() {
    std::vector<point> points;
    for(const int hosts: {2, 6, 12, 24}) {
        test::virtual_system system{1};
        for(auto index = 0; index < hosts; ++index) {
            system.start_host(fmt::format("n{:02}", index), "north");
        }
        test::publish_example(system);
        system.run_for(seconds{8});
        constexpr auto measured = 5;
        const auto spent = seconds_of([&] { system.run_for(seconds{measured}); });
        points.push_back({static_cast<double>(hosts), spent * 1e6 / hosts / measured});
    }
    return points;
}

/// Heartbeat receivers per host in the other one of two failure domains, by the number of hosts per domain.
[[nodiscard]] std::vector<point> far_heartbeat_receivers() {
    std::vector<point> points;
    for(const int hosts: {2, 4, 8}) {
        test::virtual_system system{1};
        for(auto index = 0; index < hosts; ++index) {
            system.start_host(fmt::format("n{:02}", index), "north");
            system.start_host(fmt::format("s{:02}", index), "south");
        }
        test::publish_example(system);
        system.run_for(seconds{8});
        auto beats = 0.0;
        for(auto index = 0; index < hosts; ++index) {
            beats += static_cast<double>(system.node(fmt::format("n{:02}", index)).control().heartbeat_receivers(true).size());
        }
        points.push_back({static_cast<double>(hosts), beats / hosts - (hosts - 1)});
    }
    return points;
}

/// Wall time in microseconds of one job through all roles on the virtual system, without real transport and targets.
[[nodiscard]] std::vector<point> job_us() {
    std::vector<point> points;
    for(const std::size_t tasks: {1, 10, 40, 120}) {
        test::virtual_system system{1};
        for(const auto *name: {"n1", "n2"}) {
            system.start_host(name, "north");
            system.start_host(std::string{"s"} + name, "south");
            for(auto index = 0; index < 8; ++index) {
                system.add_target(fmt::format("t{}{}", name, index), index % 2 == 0 ? "north" : "south", 64);
            }
        }
        test::publish_example(system);
        (void)system.run_until([&] { return system.settled(); }, seconds{20});
        const auto jobs = 2'000 / tasks;
        const auto spent = seconds_of([&] {
            for(std::size_t job = 0; job < jobs; ++job) {
                system.submit(job % 2 == 0 ? "n1" : "sn1", submission_id{fmt::format("job-{}", job)}, tasks, seconds{20}, 20.0);
                system.run_for(microseconds{static_cast<std::int64_t>(200 * tasks)});
            }
        });
        points.push_back({static_cast<double>(tasks), spent * 1e6 / static_cast<double>(jobs)});
    }
    return points;
}

/// Process CPU time in microseconds, client and server together, of HTTP requests on one keep-alive connection.
[[nodiscard]] std::vector<point> http_us() {
    std::vector<point> points;
    httplib::Server server;
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(1'000'000);
    server.Post("/v1/tasks", [](const httplib::Request &request, httplib::Response &response) {
        response.set_content(request.body, "application/json");
    });
    const auto port = server.bind_to_any_port("127.0.0.1");
    std::thread listener{[&] { server.listen_after_bind(); }};
    httplib::Client client{"127.0.0.1", port};
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    const std::string body(200, 'x');
    (void)client.Post("/v1/tasks", body, "application/json");
    for(const auto count: {2'000, 8'000, 20'000}) {
        const auto before = std::clock();
        for(auto index = 0; index < count; ++index) {
            (void)client.Post("/v1/tasks", body, "application/json");
        }
        points.push_back({static_cast<double>(count), static_cast<double>(std::clock() - before) * 1e6 / CLOCKS_PER_SEC});
    }
    server.stop();
    listener.join();
    return points;
}

[[nodiscard]] std::vector<point> journal_bytes() {
    std::vector<point> points;
    for(const int keys: {10, 100, 1'000, 5'000}) {
        wire::journal_record record;
        record.set_domain("couva");
        record.set_host("entry-1");
        record.set_incarnation(1ULL << 60U);
        std::vector<std::uint64_t> packed;
        for(auto key = 0; key < keys; ++key) {
            packed.push_back(hash64(fmt::format("{}", key)));
        }
        record.set_packed_keys(host::pack_keys(packed));
        std::string text;
        (void)google::protobuf::util::MessageToJsonString(record, &text);
        points.push_back({static_cast<double>(keys), static_cast<double>(text.size())});
    }
    return points;
}

const std::string bench_template = R"(schema: 1
kind: template
name: stock
parameters:
  pool: {type: name}
pool: ${pool}
requests:
  hold: {never_repeat: true}
  stock-check: {}
)";

[[nodiscard]] std::string bench_service(std::size_t number, int share) {
    return fmt::format(R"(schema: 1
kind: service
name: service-{}
template: stock
parameters: {{pool: loom}}
customers:
  team-{}:
    credential_sha256: "{}"
    requests: [hold, stock-check]
    share: {}
)",
                       number, number % 450, sha256_hex(fmt::format("{}", number)), share);
}

[[nodiscard]] std::string encode_test_change(std::uint64_t id, const std::string &kind, const std::string &name, const std::string &text,
                                             std::uint64_t base) {
    wire::config_change change;
    change.set_change_id(fmt::format("c{}", id));
    change.set_author("bench");
    change.set_schema(1);
    auto *item = change.add_items();
    item->set_kind(kind);
    item->set_name(name);
    item->set_document(text);
    item->set_base(base);
    return config::encode_change(change);
}

struct config_figures {
    std::vector<point> apply_us;
    std::vector<point> heap;
    std::vector<point> snapshot_bytes;
    std::vector<point> start_ms;
    double change_bytes{};
};

[[nodiscard]] config_figures measure_config() {
    config_figures out;
    for(const std::size_t services: {300, 1'000, 3'000, 9'000}) {
        const auto before = heap_bytes();
        config::config_state state;
        std::uint64_t offset = 1;
        state.apply(static_cast<log_offset>(offset), encode_test_change(offset, "template", "stock", bench_template, 0));
        for(std::size_t number = 0; number < services; ++number) {
            ++offset;
            state.apply(static_cast<log_offset>(offset),
                        encode_test_change(offset, "service", fmt::format("service-{}", number), bench_service(number, 1), 0));
        }
        out.heap.push_back({static_cast<double>(services), heap_bytes() - before});
        constexpr std::size_t changes = 100;
        const auto spent = seconds_of([&] {
            for(std::size_t number = 0; number < changes; ++number) {
                ++offset;
                const auto text =
                    encode_test_change(offset, "service", fmt::format("service-{}", number), bench_service(number, 2), number + 2);
                out.change_bytes = static_cast<double>(text.size());
                state.apply(static_cast<log_offset>(offset), text);
            }
        });
        out.apply_us.push_back({static_cast<double>(services), spent * 1e6 / changes});
        const auto snapshot = state.snapshot();
        out.snapshot_bytes.push_back({static_cast<double>(services), static_cast<double>(snapshot.size())});
        config::config_state fresh;
        fresh.truncated(static_cast<log_offset>(offset + 1));
        const auto start = seconds_of([&] { fresh.apply(static_cast<log_offset>(offset + 1), snapshot); });
        out.start_ms.push_back({static_cast<double>(services), fresh.complete() ? start * 1e3 : -1.0});
    }
    return out;
}

/// Fits a line to the points, prints it and stores it in the JSON output.
void put(json &all, const std::string &name, const std::string &unit, const std::string &per, const std::vector<point> &points) {
    const auto line = fit_line(points);
    std::string sizes;
    auto list = json::array();
    for(const auto &[size, value]: points) {
        sizes += fmt::format(" {:.4g}:{:.4g}", size, value);
        list.push_back({std::round(size * 1000) / 1000, std::round(value * 1000) / 1000});
    }
    fmt::print("{:<24} {:>12.5g} {} per {}, intercept {:.5g}, largest residual {:.1f}%, points{}\n", name, line.slope, unit, per,
               line.intercept, line.residual * 100.0, sizes);
    const auto round = [](double value) { return std::stod(fmt::format("{:.4g}", value)); };
    all[name] = {{"unit", unit},
                 {"per", per},
                 {"slope", round(line.slope)},
                 {"intercept", round(line.intercept)},
                 {"residual", round(line.residual)},
                 {"points", list}};
}

} // namespace

int main(int argc, char **argv) {
    CLI::App app{"Measures the slopes from which docs/CAPACITY.md is computed."};
    std::string out;
    std::string commit;
    app.add_option("--out", out, "JSON output file; not written if omitted");
    app.add_option("--commit", commit, "Commit ID stored with the slopes");
    CLI11_PARSE(app, argc, argv);
    set_log_level(log_level::error);

    json slopes;
    put(slopes, "owner_us", "us", "task of a job", owner_time_by_tasks());
    put(slopes, "retained_bytes", "bytes", "retained answer", retained_bytes());
    put(slopes, "barred_bytes", "bytes", "barred key", barred_bytes());
    put(slopes, "scheduler_targets_us", "us", "doubling of targets", scheduler_by_log_targets());
    put(slopes, "scheduler_waiting_us", "us", "doubling of waiting tasks", scheduler_by_log_waiting());
    put(slopes, "scheduler_customers_us", "us", "doubling of customers", scheduler_by_log_customers());
    put(slopes, "target_bytes", "bytes", "target", target_bytes());
    put(slopes, "waiting_bytes", "bytes", "waiting task", waiting_bytes());
    put(slopes, "message_us", "us", "task of a message", message_us());
    put(slopes, "message_bytes", "bytes", "task of a message", message_bytes());
    put(slopes, "heartbeat_bytes", "bytes", "pool", heartbeat_bytes(true));
    put(slopes, "short_heartbeat_bytes", "bytes", "pool, four of five heartbeats", heartbeat_bytes(false));
    put(slopes, "membership_us", "us", "host, for each host and second", membership_us());
    put(slopes, "far_peers", "peers", "host of another failure domain", far_heartbeat_receivers());
    put(slopes, "job_us", "us", "task of a job, all roles", job_us());
    put(slopes, "http_us", "us", "request, client and server", http_us());
    put(slopes, "journal_bytes", "bytes", "key", journal_bytes());
    const auto config = measure_config();
    put(slopes, "config_apply_us", "us", "service, for each change", config.apply_us);
    put(slopes, "config_bytes", "bytes", "service", config.heap);
    put(slopes, "snapshot_bytes", "bytes", "service", config.snapshot_bytes);
    put(slopes, "snapshot_start_ms", "ms", "service", config.start_ms);
    slopes["change_bytes"] = config.change_bytes;
    slopes["commit"] = commit;
    slopes["seed"] = 1;
    if(!out.empty()) {
        std::ofstream{out} << slopes.dump(1) << "\n";
    }
    return 0;
}
