#include "world.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <random>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace review {

using heathermoor::adapter::http_call;
using heathermoor::adapter::http_call_result;
using heathermoor::adapter::http_message;

namespace {

constexpr milliseconds step_interval{2};
constexpr milliseconds check_interval{200};

/// Longest lease that a worker grants.
constexpr std::int64_t hold_max_ms = 1'000;

/// Time that a worker takes to stop a task; `stop_timeout_ms` is 50.
constexpr milliseconds stop_time{20};

/// Port of the metrics in the deploy file.
constexpr int metrics_port = 9464;

/// Ports of a host, as offsets from the first one.
constexpr int front_offset = 0;
constexpr int ready_offset = 1;
constexpr int control_offset = 2;
constexpr int internal_offset = 3;
constexpr int last_offset = 18;

constexpr auto program = "target/heathermoor-platform";
constexpr auto client_host = "jobs.example";

[[nodiscard]] bool is_free(const std::string &ip, int port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool free = ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    ::close(socket);
    return free;
}

[[nodiscard]] std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Processor time of a child process; zero if it cannot be read.
[[nodiscard]] std::int64_t cpu_ms_of(::pid_t pid) {
    std::ifstream file{fmt::format("/proc/{}/stat", pid)};
    std::string text;
    std::getline(file, text);
    const auto close = text.rfind(')');
    if(close == std::string::npos) {
        return 0;
    }
    std::istringstream rest{text.substr(close + 1)};
    std::string skipped;
    constexpr int fields_before = 11;
    for(int field = 0; field < fields_before; ++field) {
        rest >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t system = 0;
    rest >> user >> system;
    return (user + system) * 1'000 / ::sysconf(_SC_CLK_TCK);
}

/// Processes that were started and have not ended, for the signal handler; zero in unused places.
std::array<std::atomic<::pid_t>, 16> started_processes{};

void end_processes(int) {
    for(const auto &pid: started_processes) {
        if(pid != 0) {
            (void)::kill(pid, SIGKILL);
        }
    }
    ::_exit(2);
}

/// Keeps the descriptors of the stand-ins out of the processes that are started.
void close_on_exec() {
    constexpr int last_descriptor = 4'096;
    for(int descriptor = STDERR_FILENO + 1; descriptor <= last_descriptor; ++descriptor) {
        (void)::fcntl(descriptor, F_SETFD, FD_CLOEXEC);
    }
}

} // namespace

void end_processes_on_signals() {
    (void)std::signal(SIGTERM, &end_processes);
    (void)std::signal(SIGINT, &end_processes);
}

worker::worker(asio::io_context &context, std::string id, std::string zone, asio::ip::tcp::endpoint address, worker_kind kind,
               start_handler started, end_handler ended)
    : m_context{context}, m_id{std::move(id)}, m_zone{std::move(zone)}, m_kind{std::move(kind)}, m_started{std::move(started)},
      m_ended{std::move(ended)}, m_address{std::move(address)} {
    boot(m_kind);
}

std::int64_t worker::clock_ms() const {
    return std::chrono::duration_cast<milliseconds>(m_clock.now() - m_booted).count();
}

void worker::listen() {
    m_server = std::make_unique<server>(m_context, m_address,
                                        [this](std::uint64_t request, const http_message &message) { handle(request, message); });
}

void worker::boot(worker_kind kind) {
    m_kind = std::move(kind);
    m_booted = m_clock.now();
    m_born = unix_ms();
    m_seq = 0;
    m_fence = 0;
    m_lease_until = 0;
    m_last_end = 0;
    m_closed.clear();
    m_ends.clear();
    listen();
}

void worker::crash() {
    for(const auto &task: tasks()) {
        m_ended(m_id, task, m_runs.at(task).number, "crashed");
    }
    m_runs.clear();
    m_waiting.clear();
    m_server.reset();
}

std::set<std::string> worker::tasks() const {
    std::set<std::string> result;
    for(const auto &[task, entry]: m_runs) {
        result.insert(task);
    }
    return result;
}

std::string worker::entry() const {
    return json{{"service", "work"},
                {"address", fmt::format("{}:{}", m_address.address().to_string(), m_address.port())},
                {"zone", m_zone},
                {"machine", "m-" + m_id},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_left_ms", 0},
                {"seq", m_seq},
                {"born", m_born},
                {"labels", {m_kind.label, "r1"}},
                {"capacity", {{"cpu", m_kind.cpu}, {"mem_mb", m_kind.mem_mb}, {"gpu", 0}}},
                {"clock_ms", clock_ms()}}
        .dump();
}

void worker::handle(std::uint64_t request, const http_message &message) {
    advance();
    const auto expected = message.header("Expect-Instance");
    if(!expected.empty() && expected != m_id) {
        m_server->reply(request, 421, {});
        return;
    }
    const auto body = json::parse(message.body, nullptr, false);
    if(!body.is_object()) {
        m_server->reply(request, 400, {});
    } else if(message.target == "/run-start") {
        start(request, body);
    } else if(message.target == "/run-stop") {
        stop(request, body);
    } else if(message.target == "/hold") {
        hold(request, body);
    } else {
        m_server->reply(request, 404, {});
    }
}

bool worker::fenced(const json &body) {
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if(token < m_fence) {
        return true;
    }
    m_fence = token;
    return false;
}

void worker::extend(const json &body) {
    if(body.contains("until_ms")) {
        m_lease_until = std::max(m_lease_until, std::min(body["until_ms"].get<std::int64_t>(), clock_ms() + hold_max_ms));
    }
}

void worker::reject(std::uint64_t request, const char *reason) {
    m_server->reply(request, 409, json{{"clock_ms", clock_ms()}, {"reason", reason}}.dump());
}

void worker::accept(std::uint64_t request) {
    m_server->reply(request, 200, json{{"clock_ms", clock_ms()}}.dump());
}

void worker::start(std::uint64_t request, const json &body) {
    if(fenced(body)) {
        reject(request, "fence");
        return;
    }
    const auto task = body.value("task", std::string{});
    const auto number = body.value("run", std::uint64_t{0});
    const auto running = m_runs.find(task);
    if(running != m_runs.end() && running->second.number == number) {
        extend(body);
        accept(request);
        return;
    }
    const auto closed = m_closed.find(task);
    if(running != m_runs.end() || (closed != m_closed.end() && number <= closed->second)) {
        extend(body);
        reject(request, "old");
        return;
    }
    if(body.value("until_ms", std::int64_t{0}) <= clock_ms()) {
        reject(request, "late");
        return;
    }
    extend(body);
    const auto spec = body.value("spec", std::string{});
    std::istringstream text{spec};
    std::int64_t length_ms = 10;
    std::int64_t cpu = 0;
    text >> length_ms >> cpu;
    const auto now = m_clock.now();
    m_runs[task] = {number, cpu, now, now + milliseconds{length_ms}, false};
    task_start begun{now, m_id, m_kind, task, number, spec, 0};
    for(const auto &[name, entry]: m_runs) {
        begun.cpu_used += entry.cpu;
    }
    m_started(begun);
    accept(request);
}

void worker::stop(std::uint64_t request, const json &body) {
    if(fenced(body)) {
        reject(request, "fence");
        return;
    }
    const auto task = body.value("task", std::string{});
    const auto number = body.value("run", std::uint64_t{0});
    const auto running = m_runs.find(task);
    const auto ends = m_clock.now() + stop_time;
    if(running != m_runs.end() && running->second.number <= number && ends < running->second.ends) {
        running->second.ends = ends;
        running->second.stopped = true;
    }
    auto &closed = m_closed[task];
    closed = std::max(closed, number);
    accept(request);
}

void worker::hold(std::uint64_t request, const json &body) {
    if(fenced(body)) {
        reject(request, "fence");
        return;
    }
    extend(body);
    const auto last_seen = body.value("last_seen", std::uint64_t{0});
    std::erase_if(m_ends, [last_seen](const end &one) { return one.number <= last_seen; });
    const milliseconds wait{body.value("wait_ms", std::int64_t{0})};
    if(wait == milliseconds{0} || !m_ends.empty()) {
        report(request);
        return;
    }
    m_waiting.push_back({request, m_clock.now() + wait});
}

void worker::report(std::uint64_t request) {
    auto running = json::array();
    for(const auto &[task, entry]: m_runs) {
        const auto share =
            heathermoor::to_ms(m_clock.now() - entry.started) / std::max(1.0, heathermoor::to_ms(entry.ends - entry.started));
        running.push_back({task, entry.number, "", static_cast<std::int64_t>(share * 100)});
    }
    auto ended = json::array();
    constexpr std::size_t max_ends = 500;
    for(const auto &one: m_ends) {
        if(ended.size() < max_ends) {
            ended.push_back({one.number, one.task, one.run, one.how, ""});
        }
    }
    m_server->reply(request, 200, json{{"clock_ms", clock_ms()}, {"born", m_born}, {"running", running}, {"ended", ended}}.dump());
}

void worker::close(const std::string &task, const char *how) {
    const auto entry = m_runs.at(task);
    m_runs.erase(task);
    auto &closed = m_closed[task];
    closed = std::max(closed, entry.number);
    m_ends.push_back({++m_last_end, task, entry.number, how});
    m_ended(m_id, task, entry.number, how);
}

void worker::advance() {
    if(!up()) {
        return;
    }
    const auto now = m_clock.now();
    const bool lapsed = clock_ms() >= m_lease_until;
    for(const auto &task: tasks()) {
        const auto &entry = m_runs.at(task);
        if(now >= entry.ends) {
            close(task, entry.stopped ? "stopped" : "done");
        } else if(lapsed) {
            close(task, "lapsed");
        }
    }
    const auto due = [&](const waiting_call &one) { return !m_ends.empty() || now >= one.until; };
    std::vector<std::uint64_t> answered;
    std::erase_if(m_waiting, [&](const waiting_call &one) {
        if(due(one)) {
            answered.push_back(one.request);
        }
        return due(one);
    });
    for(const auto request: answered) {
        report(request);
    }
}

world::world(layout plan, const std::string &record) : m_client{m_context, m_clock}, m_store{m_context}, m_record{record} {
    m_started_at = m_clock.now();
    std::random_device random;
    m_seed = random();
    std::string name = (std::filesystem::temp_directory_path() / "heathermoor-review-XXXXXX").string();
    if(::mkdtemp(name.data()) == nullptr) {
        throw std::system_error{errno, std::generic_category(), name};
    }
    m_folder = name;
    std::mt19937 draw{static_cast<std::uint32_t>(m_seed)};
    constexpr int attempts = 100;
    bool found = false;
    std::vector<std::string> worker_ips;
    for(int attempt = 0; attempt < attempts && !found; ++attempt) {
        const auto block = fmt::format("127.{}.{}", 20 + draw() % 200, draw() % 250);
        m_port = static_cast<int>(20'000 + draw() % 10'000);
        m_hosts.clear();
        worker_ips.clear();
        found = true;
        for(std::size_t index = 0; index < plan.workers; ++index) {
            worker_ips.push_back(fmt::format("{}.{}", block, 100 + index));
            found = found && is_free(worker_ips.back(), m_port);
        }
        for(std::size_t index = 0; index < plan.hosts; ++index) {
            m_hosts.push_back({fmt::format("{}.{}", block, 10 + index), fmt::format("z{}", index % plan.zones), 0, {}, false, 0});
            found = found && is_free(m_hosts.back().ip, metrics_port);
            for(int offset = 0; offset <= last_offset; ++offset) {
                found = found && is_free(m_hosts.back().ip, m_port + offset);
            }
        }
    }
    if(!found) {
        throw std::runtime_error{"no free ports on the loopback addresses"};
    }
    write_config(plan.queues);
    for(std::size_t index = 0; index < plan.workers; ++index) {
        m_workers.push_back(std::make_unique<worker>(
            m_context, fmt::format("i-{:04x}", 0x1000 + index), fmt::format("z{}", index % plan.zones),
            asio::ip::tcp::endpoint{asio::ip::make_address(worker_ips.at(index)), static_cast<std::uint16_t>(m_port)}, plan.kind(index),
            [this](const task_start &begun) {
                m_starts.push_back(begun);
                if(note_tasks) {
                    note(fmt::format("worker {} (kind {}) starts {} run {}", begun.worker, begun.kind.label, begun.task, begun.run));
                }
                if(on_start) {
                    on_start(begun);
                }
            },
            [this](const std::string &id, const std::string &task, std::uint64_t run, const char *how) {
                if(note_tasks) {
                    note(fmt::format("worker {} ends {} run {}: {}", id, task, run, how));
                }
            }));
        publish(*m_workers.back());
    }
}

world::~world() {
    for(std::size_t index = 0; index < m_hosts.size(); ++index) {
        kill(index);
    }
    std::error_code error;
    if(std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder, error);
    }
}

void world::publish(const worker &one) {
    m_store.put("keyed.servers", one.id(), one.entry());
}

void world::write_config(const std::vector<queue> &queues) {
    auto routes = json::array();
    int priority = 0;
    for(const auto &one: queues) {
        routes.push_back({{"name", "r-" + one.name},
                          {"host", client_host},
                          {"path_prefix", "/" + one.name + "/"},
                          {"kind", "non_idempotent"},
                          {"timeout_ms", one.timeout_ms},
                          {"target_latency_ms", 60},
                          {"priority", priority++},
                          {"service", "work"},
                          {"max_attempts", 3},
                          {"stretch", 1.6}});
    }
    const json service{{"name", "work"}, {"health_path", "/health"}, {"max_conns", 64}, {"protocol", "h1"},
                       {"tls", false},   {"admission_check", false}, {"standby", false}};
    const json limits{{"max_header_bytes", 16384}, {"max_body_bytes", 262144}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    m_store.put("keyed.op", "config",
                json{{"version", 7}, {"routes", routes}, {"services", json::array({service})}, {"limits", limits}}.dump());
}

std::string world::address(std::size_t index, int offset) const {
    return fmt::format("{}:{}", m_hosts.at(index).ip, m_port + offset);
}

void world::write_settings(std::size_t index) const {
    const auto &one = m_hosts.at(index);
    auto seeds = json::array();
    auto zones = json::object();
    constexpr std::size_t max_seeds = 3;
    for(std::size_t other = 0; other < m_hosts.size(); ++other) {
        if(other < max_seeds) {
            seeds.push_back(address(other, control_offset));
        }
        zones[m_hosts[other].zone] = "region";
    }
    const json bounds{{"seed_lag_s", 3},
                      {"addr_reuse_s", 2},
                      {"contact_ms", 3000},
                      {"ack_ms", 4000},
                      {"catch_up_s", 4},
                      {"drain_ms", 2000},
                      {"grace_s", 6},
                      {"loss_slack_ms", 200},
                      {"config_apply_ms", 2000},
                      {"rollback_slack_ms", 250},
                      {"max_stretch_ms", 5000},
                      {"recovery_s", 12},
                      {"hold_max_ms", 1000},
                      {"stop_timeout_ms", 50},
                      {"gang_timeout_ms", 3000},
                      {"cancel_ms", 3000},
                      {"visible_ms", 3000},
                      {"early_ms", 250},
                      {"finish_s", 14},
                      {"status_s", 120},
                      {"far_factor", 1.5},
                      {"checkpoint_s", 1},
                      {"restore_ms", 100},
                      {"notice_ms", 4500},
                      {"move_s", 1.5},
                      {"maintenance_s", 2},
                      {"fencing_enforced", false},
                      {"lease_ttl_ms", 3000},
                      {"thaw_slack_ms", 300},
                      {"pace_ms", 100},
                      {"harm_ms", 4000},
                      {"retransmit_ms", 1300}};
    const json settings{
        {"node", fmt::format("front-{}-{}", one.zone, index)},
        {"role", "entry"},
        {"machine_class", "front"},
        {"serves", {"front", "control"}},
        {"ip", one.ip},
        {"zone", one.zone},
        {"region", "region"},
        {"zones", zones},
        {"listen",
         {{"front", address(index, front_offset)}, {"ready", address(index, ready_offset)}, {"control", address(index, control_offset)}}},
        {"internal_ports", {m_port + internal_offset, m_port + last_offset}},
        {"seeds", seeds},
        {"bootstrap", true},
        {"in_fault_budget", false},
        {"limits", {{"cpu_share", 0.25}, {"cores", 1}, {"memory_mb", 260}, {"max_fds", 4100}, {"link_mbps", 1000.0}, {"disk_mb", 0}}},
        {"data_dir", nullptr},
        {"discovery", "platform"},
        {"entry", "virtual_ip"},
        {"heartbeat_ms", 1500},
        {"contracts", {"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"}},
        {"fault_tolerance", {{"machines", 1}, {"zones", 1}, {"regions", 0}}},
        {"bounds", bounds},
        {"orders", "call"},
        {"platform",
         {{"address", m_store.address()},
          {"form", "log"},
          {"writes_per_s", 600},
          {"reads_per_s", 2000},
          {"parts", 12},
          {"append_ms", 2.0},
          {"part_mb_s", 20.0},
          {"read_mb_s", 80.0},
          {"record_bytes", 262144},
          {"call_bytes", 2097152},
          {"keep_s", 300},
          {"part_mb", 200},
          {"ttl_min_ms", 1000}}}};
    std::ofstream{m_folder / fmt::format("host-{}.json", index)} << settings.dump(2);
}

void world::start(std::size_t index) {
    auto &one = m_hosts.at(index);
    write_settings(index);
    close_on_exec();
    const auto log = (m_folder / fmt::format("host-{}.log", index)).string();
    ::posix_spawn_file_actions_t actions{};
    (void)::posix_spawn_file_actions_init(&actions);
    (void)::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    (void)::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<std::string> words{program, "--metrics-port", std::to_string(metrics_port)};
    std::vector<std::string> variables{"HEATHERMOOR_CONFIG=" + (m_folder / fmt::format("host-{}.json", index)).string()};
    for(const auto *name: {"PATH", "HOME", "LANG"}) {
        if(const auto *value = std::getenv(name)) {
            variables.push_back(fmt::format("{}={}", name, value));
        }
    }
    const auto pointers = [](std::vector<std::string> &texts) {
        std::vector<char *> result;
        for(auto &text: texts) {
            result.push_back(text.data());
        }
        result.push_back(nullptr);
        return result;
    };
    const auto failure = ::posix_spawn(&one.pid, program, &actions, nullptr, pointers(words).data(), pointers(variables).data());
    (void)::posix_spawn_file_actions_destroy(&actions);
    if(failure != 0) {
        one.pid = 0;
        throw std::system_error{failure, std::generic_category(), program};
    }
    started_processes.at(index) = one.pid;
    one.ready = false;
    one.answered_at = now();
    note(fmt::format("host {} ({}, zone {}) is started", index, address(index, front_offset), one.zone));
}

void world::kill(std::size_t index) {
    auto &one = m_hosts.at(index);
    if(one.pid == 0) {
        return;
    }
    (void)::kill(one.pid, SIGKILL);
    (void)::waitpid(one.pid, nullptr, 0);
    started_processes.at(index) = 0;
    one.pid = 0;
    one.ready = false;
}

void world::check_hosts() {
    for(std::size_t index = 0; index < m_hosts.size(); ++index) {
        auto &one = m_hosts[index];
        if(one.pid == 0) {
            continue;
        }
        int status = 0;
        if(::waitpid(one.pid, &status, WNOHANG) == one.pid) {
            note(fmt::format("host {} has ended by itself, wait status {}", index, status));
            started_processes.at(index) = 0;
            one.pid = 0;
            one.ready = false;
            continue;
        }
        one.cpu_ms = cpu_ms_of(one.pid);
        http_call call;
        call.address = address(index, ready_offset);
        call.lane = "ready";
        call.method = "GET";
        call.target = "/ready";
        call.timeout = milliseconds{1'000};
        m_client.send(std::move(call), [this, index](http_call_result result, const http_message &message) {
            auto &asked = m_hosts.at(index);
            asked.ready = result == http_call_result::answered && message.status == 200;
            if(result == http_call_result::answered) {
                asked.answered_at = now();
            }
        });
    }
}

void world::step() {
    m_context.run_for(step_interval);
    m_context.restart();
    m_client.expire();
    for(const auto &one: m_workers) {
        one->advance();
    }
    if(now() >= m_next_check) {
        m_next_check = now() + check_interval;
        check_hosts();
    }
    if(on_step) {
        on_step();
    }
}

void world::run_for(milliseconds length) {
    const auto end = now() + length;
    while(now() < end) {
        step();
    }
}

void world::wait_ready() {
    const auto give_up = now() + milliseconds{30'000};
    const auto all = [this] { return std::all_of(m_hosts.begin(), m_hosts.end(), [](const host &one) { return one.ready; }); };
    while(!all()) {
        step();
        if(now() > give_up) {
            throw std::runtime_error{"the hosts are not ready after 30 s"};
        }
    }
}

std::optional<std::size_t> world::leader() {
    std::optional<std::size_t> result;
    for(std::size_t index = 0; index < m_hosts.size(); ++index) {
        bool done = m_hosts[index].pid == 0;
        http_call call;
        call.address = fmt::format("{}:{}", m_hosts[index].ip, metrics_port);
        call.lane = "metrics";
        call.method = "GET";
        call.target = "/metrics";
        call.timeout = milliseconds{1'000};
        if(!done) {
            m_client.send(std::move(call), [&](http_call_result, const http_message &message) {
                done = true;
                if(message.body.find("\nheathermoor_leading 1") != std::string::npos) {
                    result = index;
                }
            });
        }
        while(!done) {
            step();
        }
    }
    return result;
}

void world::request(std::size_t index, const std::string &method, const std::string &path, const std::string &body, milliseconds limit,
                    answer_handler handle) {
    http_call call;
    call.address = address(index, front_offset);
    call.host = client_host;
    call.lane = "client";
    call.method = method;
    call.target = path;
    call.headers = {{"Content-Type", "application/json"}, {"Deadline-Ms", std::to_string(limit.count())}};
    call.body = body;
    call.timeout = limit;
    m_client.send(std::move(call), [this, handle = std::move(handle)](http_call_result result, const http_message &message) {
        const bool answered = result == http_call_result::answered;
        handle({answered ? message.status : 0, answered ? message.body : std::string{}, now()});
    });
}

std::string world::new_id() {
    return fmt::format("{:08x}{:08x}", static_cast<std::uint32_t>(m_seed), ++m_jobs);
}

double world::since_start(time_point at) const {
    return heathermoor::to_ms(at - m_started_at);
}

void world::note(const std::string &line) {
    m_record << fmt::format("{:10.1f} ms  {}\n", since_start(now()), line) << std::flush;
}

} // namespace review
