#include "world.hpp"

#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace heathermoor::review {

namespace internal {

using nlohmann::json;

constexpr milliseconds step_interval{2};
constexpr milliseconds ready_interval{1'000};
constexpr milliseconds restart_delay{300};
constexpr std::int64_t memory_mb = 260;
constexpr std::size_t targets_per_zone = 16;
constexpr std::int64_t target_cpu = 64'000;
constexpr int front_port = 8'161;
constexpr int ready_port = 8'167;
constexpr int control_port = 8'166;
constexpr int metrics_port = 9'464;
constexpr int first_internal_port = 7'720;
constexpr int last_internal_port = 7'735;
constexpr auto caller_host = "nony24.example";
constexpr auto prefix = "/lohu930/";

/// Zones of the hosts, as on the smaller of the sheets' deployments.
const std::vector<std::string> host_zones{"gent", "gent", "gent", "brugge", "kortrijk", "kortrijk"};
const std::vector<std::string> zones{"gent", "brugge", "kortrijk"};

volatile std::sig_atomic_t end_requested = 0;

[[nodiscard]] json bounds() {
    return {{"seed_lag_s", 3},
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
            {"lease_ttl_ms", 3000},
            {"fencing_enforced", false},
            {"thaw_slack_ms", 300},
            {"pace_ms", 100},
            {"harm_ms", 4000},
            {"retransmit_ms", 1300}};
}

[[nodiscard]] std::int64_t resident_mb(::pid_t pid) {
    std::ifstream file{fmt::format("/proc/{}/statm", pid)};
    std::int64_t total = 0;
    std::int64_t resident = 0;
    file >> total >> resident;
    return resident * ::sysconf(_SC_PAGESIZE) / (1024 * 1024);
}

} // namespace internal

world::world(std::vector<std::string> program, const std::string &record)
    : m_program{std::move(program)}, m_record{record}, m_client{m_context, m_clock}, m_store{m_context}, m_random{std::random_device{}()} {
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if(::mkdtemp(folder.data()) == nullptr) {
        throw std::system_error{errno, std::generic_category(), folder};
    }
    m_folder = folder;
    m_started = m_clock.now();
    m_last_step = m_started;
    constexpr int first_net = 32;
    constexpr int nets = 200;
    m_prefix = fmt::format("127.{}.{}", first_net + m_random() % nets, 1 + m_random() % nets);
    for(const auto &zone: internal::host_zones) {
        host_process host;
        host.ip = fmt::format("{}.{}", m_prefix, 11 + m_hosts.size());
        host.zone = zone;
        m_hosts.push_back(std::move(host));
    }
    for(const auto &zone: internal::zones) {
        for(std::size_t index = 0; index < internal::targets_per_zone; ++index) {
            catalog::target_entry entry;
            entry.id = target_id{fmt::format("w-{}-{:02}", zone, index)};
            entry.service = service_id{"huvo11a"};
            entry.domain = failure_domain_id{zone};
            entry.machine = machine_id{fmt::format("m-{}-{:02}", zone, index)};
            entry.capacity = {internal::target_cpu, 131'072, 0};
            entry.labels = {"a", fmt::format("r-{}-{}", zone, index / 8)};
            const auto speed = index % 4 == 0 ? 0.55 : 1.2;
            m_targets.push_back(std::make_unique<platform::standin::target>(
                m_context, entry, speed, [this](const platform::standin::target &where, const job::task_ref &task) {
                    const auto &target = where.model().entry().id.str();
                    m_starts.push_back({task.job.str(), task.index, target, m_clock.now()});
                    note(fmt::format("start job={} index={} target={}", task.job.str(), task.index, target));
                }));
            m_store.put("keyed.servers", entry.id.str(), m_targets.back()->list_entry());
        }
    }
    const internal::json route{{"name", "r-3hwrr6x"},
                               {"host", internal::caller_host},
                               {"path_prefix", internal::prefix},
                               {"kind", "non_idempotent"},
                               {"service", "huvo11a"},
                               {"priority", 0},
                               {"max_attempts", 3},
                               {"stretch", 1.6},
                               {"target_latency_ms", 60},
                               {"timeout_ms", 1500}};
    const internal::json service{{"name", "huvo11a"}, {"health_path", "/health"}, {"max_conns", 64}, {"admission_check", false}};
    const internal::json limits{
        {"max_header_bytes", 16384}, {"max_body_bytes", 262144}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    m_store.put("keyed.op", "config",
                internal::json{{"version", 7}, {"routes", {route}}, {"services", {service}}, {"limits", limits}}.dump());
}

world::~world() {
    for(auto &host: m_hosts) {
        if(host.pid != 0) {
            (void)::kill(host.pid, SIGKILL);
            (void)::waitpid(host.pid, nullptr, 0);
        }
    }
    const auto *logs = std::getenv("REVIEW_LOGS");
    std::error_code ignored;
    if(logs != nullptr) {
        std::filesystem::copy(m_folder, logs, std::filesystem::copy_options::recursive, ignored);
    }
    std::filesystem::remove_all(m_folder, ignored);
}

std::int64_t world::since_start(time_point at) const {
    return std::chrono::duration_cast<milliseconds>(at - m_started).count();
}

void world::note(std::string_view line) {
    m_record << fmt::format("{:>7} {}\n", since_start(m_clock.now()), line) << std::flush;
}

std::string world::front_of(std::size_t host) const {
    return fmt::format("{}:{}", m_hosts.at(host).ip, internal::front_port);
}

std::string world::sample_entry(const std::string &address) const {
    auto entry = internal::json::parse(m_targets.front()->list_entry());
    entry["address"] = address;
    entry["machine"] = "m-other";
    return entry.dump();
}

void world::write_settings(std::size_t host) const {
    const auto &own = m_hosts.at(host);
    const auto control = [](const host_process &one) { return fmt::format("{}:{}", one.ip, internal::control_port); };
    const internal::json settings{
        {"node", fmt::format("front-{}", host)},
        {"role", "entry"},
        {"machine_class", "front"},
        {"serves", {"front", "control"}},
        {"ip", own.ip},
        {"zone", own.zone},
        {"region", "vlaanderen"},
        {"listen", {{"front", front_of(host)}, {"ready", fmt::format("{}:{}", own.ip, internal::ready_port)}, {"control", control(own)}}},
        {"internal_ports", {internal::first_internal_port, internal::last_internal_port}},
        {"seeds", {control(m_hosts.at(0)), control(m_hosts.at(3)), control(m_hosts.at(4))}},
        {"bootstrap", true},
        {"limits",
         {{"cpu_share", 0.25}, {"cores", 1}, {"memory_mb", internal::memory_mb}, {"max_fds", 4100}, {"link_mbps", 1000.0}, {"disk_mb", 0}}},
        {"data_dir", nullptr},
        {"heartbeat_ms", 1500},
        {"bounds", internal::bounds()},
        {"orders", "call"},
        {"platform", {{"address", m_store.address()}, {"form", "log"}}}};
    std::ofstream{m_folder / fmt::format("host-{}.json", host)} << settings.dump(2);
}

void world::start(std::size_t host) {
    write_settings(host);
    auto &process = m_hosts.at(host);
    const auto log = (m_folder / fmt::format("host-{}.log", host)).string();
    ::posix_spawn_file_actions_t actions{};
    (void)::posix_spawn_file_actions_init(&actions);
    (void)::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    (void)::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A client's connection ends when the stand-in closes it, and not when a process that inherited it ends.
    (void)::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::vector<char *> arguments;
    for(auto &word: m_program) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    auto config = "HEATHERMOOR_CONFIG=" + (m_folder / fmt::format("host-{}.json", host)).string();
    std::vector<char *> variables{config.data(), nullptr};
    const auto failure = ::posix_spawn(&process.pid, m_program.front().c_str(), &actions, nullptr, arguments.data(), variables.data());
    (void)::posix_spawn_file_actions_destroy(&actions);
    if(failure != 0) {
        process.pid = 0;
        throw std::system_error{failure, std::generic_category(), m_program.front()};
    }
    note(fmt::format("process_started host={}", host));
}

void world::send_signal(std::size_t host, int signal) {
    if(m_hosts.at(host).pid != 0) {
        note(fmt::format("signal host={} signal={}", host, signal));
        (void)::kill(m_hosts.at(host).pid, signal);
    }
}

bool world::start_all() {
    for(std::size_t host = 0; host < m_hosts.size(); ++host) {
        start(host);
    }
    constexpr milliseconds limit{10'000};
    return run_until(
        [this] {
            for(const auto &host: m_hosts) {
                if(!host.ready) {
                    return false;
                }
            }
            return true;
        },
        limit);
}

void world::check_processes() {
    const auto now = m_clock.now();
    for(std::size_t index = 0; index < m_hosts.size(); ++index) {
        auto &host = m_hosts[index];
        int status = 0;
        if(host.pid != 0 && ::waitpid(host.pid, &status, WNOHANG) == host.pid) {
            note(fmt::format("process_ended host={} status={}", index, status));
            host.pid = 0;
            host.restart_at = now + internal::restart_delay;
        }
        if(host.pid == 0 && host.restart_at && now >= *host.restart_at) {
            host.restart_at.reset();
            start(index);
        }
        if(m_watches_memory && host.pid != 0) {
            const auto resident = internal::resident_mb(host.pid);
            if(resident > internal::memory_mb) {
                note(fmt::format("memory_exceeded host={} resident_mb={} memory_mb={}", index, resident, internal::memory_mb));
                ++host.memory_ends;
                (void)::kill(host.pid, SIGKILL);
                (void)::waitpid(host.pid, nullptr, 0);
                host.pid = 0;
                host.restart_at = now + internal::restart_delay;
            }
        }
    }
}

void world::check_ready(std::size_t host) {
    adapter::http_call call;
    call.address = fmt::format("{}:{}", m_hosts.at(host).ip, internal::ready_port);
    call.lane = "ready";
    call.method = "GET";
    call.target = "/ready";
    call.timeout = internal::ready_interval / 2;
    m_client.send(std::move(call), [this, host](adapter::http_call_result result, const adapter::http_message &message) {
        constexpr int ok = 200;
        auto &known = m_hosts.at(host);
        const bool good = result == adapter::http_call_result::answered && message.status == ok;
        known.misses = good ? 0 : known.misses + 1;
        known.ready = good || (known.ready && known.misses < 2);
    });
}

std::map<std::string, std::string> world::overlaps() const {
    std::map<std::string, std::string> seen;
    std::map<std::string, std::string> result;
    for(const auto &target: m_targets) {
        for(const auto &[task, run]: target->model().runs()) {
            const auto name = fmt::format("{}.{}", task.job.str(), task.index);
            const auto [found, added] = seen.emplace(name, target->model().entry().id.str());
            if(!added) {
                result[name] = found->second + "+" + target->model().entry().id.str();
            }
        }
    }
    return result;
}

std::optional<std::size_t> world::find_leader() {
    std::optional<std::size_t> leader;
    std::size_t answered = 0;
    for(std::size_t host = 0; host < m_hosts.size(); ++host) {
        adapter::http_call call;
        call.address = fmt::format("{}:{}", m_hosts[host].ip, internal::metrics_port);
        call.lane = "metrics";
        call.method = "GET";
        call.target = "/metrics";
        call.timeout = internal::ready_interval;
        m_client.send(std::move(call), [&, host](adapter::http_call_result, const adapter::http_message &message) {
            ++answered;
            if(message.body.find("\nheathermoor_leading 1") != std::string::npos) {
                leader = host;
            }
        });
    }
    (void)run_until([&] { return answered == m_hosts.size(); }, internal::ready_interval * 2);
    return leader;
}

milliseconds world::processor_time(std::size_t host) const {
    std::ifstream file{fmt::format("/proc/{}/stat", m_hosts.at(host).pid)};
    std::string word;
    constexpr int user_column = 14;
    for(int column = 1; column < user_column; ++column) {
        file >> word;
    }
    std::int64_t user = 0;
    std::int64_t kernel = 0;
    file >> user >> kernel;
    constexpr std::int64_t ms_per_s = 1'000;
    return milliseconds{(user + kernel) * ms_per_s / ::sysconf(_SC_CLK_TCK)};
}

std::string world::keep_job(std::string body, milliseconds deadline) {
    auto id = fmt::format("{:016x}", m_random());
    m_jobs[id] = {std::move(body), deadline};
    return id;
}

std::string world::make_job(const job_shape &shape) {
    auto id = fmt::format("{:016x}", m_random());
    const internal::json step{
        {"count", shape.tasks}, {"cpu", shape.work.cpu_millicores}, {"mem_mb", 64}, {"est_runtime_ms", shape.work.length.count()}};
    return keep_job(internal::json{{"spec", shape.work.encode()}, {"steps", {step}}, {"best_effort", true}}.dump(), shape.deadline);
}

void world::send(const std::string &method, const std::string &id, std::size_t host, std::function<void(const caller_answer &)> handle) {
    const auto &[body, deadline] = m_jobs.at(id);
    adapter::http_call call;
    call.address = front_of(host);
    call.host = internal::caller_host;
    call.lane = fmt::format("{}", m_next_lane++);
    call.method = method;
    call.target = internal::prefix + id;
    call.headers = {{"Content-Type", "application/json"}, {"Deadline-Ms", fmt::format("{}", deadline.count())}};
    call.body = method == "POST" ? body : std::string{};
    call.timeout = deadline;
    note(fmt::format("{} job={} host={}", method, id, host));
    m_client.send(std::move(call), [this, method, id, host, handle = std::move(handle)](adapter::http_call_result result,
                                                                                        const adapter::http_message &message) {
        const bool answered = result == adapter::http_call_result::answered;
        const caller_answer answer{answered ? message.status : 0, message.body, m_clock.now()};
        note(fmt::format("answer {} job={} host={} status={} {}", method, id, host, answer.status, answer.body));
        handle(answer);
    });
}

void world::send_load() {
    std::vector<std::size_t> usable;
    for(std::size_t host = 0; host < m_hosts.size(); ++host) {
        if(m_hosts[host].ready) {
            usable.push_back(host);
        }
    }
    if(usable.empty()) {
        ++m_load_answers[0];
        return;
    }
    job_shape shape;
    shape.tasks = 2;
    shape.work = {milliseconds{static_cast<std::int64_t>(100 + m_random() % 140)}, 27'000};
    send("POST", make_job(shape), usable[m_random() % usable.size()],
         [this](const caller_answer &answer) { ++m_load_answers[answer.status]; });
}

void world::request_end() noexcept {
    internal::end_requested = 1;
}

void world::step() {
    if(internal::end_requested != 0) {
        throw std::runtime_error{"ended by a signal"};
    }
    m_context.run_for(internal::step_interval);
    m_context.restart();
    m_client.expire();
    for(const auto &target: m_targets) {
        target->advance();
    }
    check_processes();
    const auto now = m_clock.now();
    if(now >= m_next_ready_check) {
        m_next_ready_check = now + internal::ready_interval;
        for(std::size_t host = 0; host < m_hosts.size(); ++host) {
            check_ready(host);
        }
    }
    constexpr double ms_per_s = 1'000.0;
    m_load_due += m_load * to_ms(now - m_last_step) / ms_per_s;
    m_last_step = now;
    for(; m_load_due >= 1; m_load_due -= 1) {
        send_load();
    }
}

void world::run_for(milliseconds length) {
    const auto end = m_clock.now() + length;
    while(m_clock.now() < end) {
        step();
    }
}

bool world::run_until(const std::function<bool()> &condition, milliseconds limit) {
    const auto end = m_clock.now() + limit;
    while(!condition()) {
        if(m_clock.now() >= end) {
            return false;
        }
        step();
    }
    return true;
}

} // namespace heathermoor::review
