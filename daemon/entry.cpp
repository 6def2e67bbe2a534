#include "heathermoor/adapter/host_process.hpp"
#include "heathermoor/core/log.hpp"
#include <CLI/CLI.hpp>
#include <chrono>
#include <fmt/format.h>
#include <map>

namespace {

using heathermoor::errc;

constexpr int exit_invalid_setting = 2;
constexpr int exit_bind_failed = 3;

struct arguments {
    std::string host;
    std::string domain;
    std::vector<std::string> domains;
    std::vector<std::string> neighbours;
    std::uint32_t far_heartbeat_every{1};
    std::string platform;
    std::string bind{"127.0.0.1"};
    int http_port{8080};
    int admin_port{8081};
    std::string peer_address{"tcp://127.0.0.1:8090"};
    std::vector<std::string> peers;
    double weight{1.0};
    std::size_t caller_threads{256};
    bool allow_anonymous{};
    std::size_t table_mb{64};
    int retention_s{120};
    int drain_s{30};
    heathermoor::log_level level{heathermoor::log_level::info};
    bool check{};
};

[[nodiscard]] std::uint64_t start_time() {
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

void define(CLI::App &app, arguments &in) {
    const std::map<std::string, heathermoor::log_level> levels{{"debug", heathermoor::log_level::debug},
                                                               {"info", heathermoor::log_level::info},
                                                               {"warning", heathermoor::log_level::warning},
                                                               {"error", heathermoor::log_level::error}};
    const auto env = [](CLI::Option *option, const char *name) { return option->envname(name); };
    const auto name = CLI::Validator{[](std::string &text) {
                                         const auto bad = text.empty() || text.find_first_of(".\n/= ") != std::string::npos;
                                         return bad ? std::string{"must be a non-empty name without '.', '/', '=', spaces or line breaks"}
                                                    : std::string{};
                                     },
                                     "NAME"};
    env(app.add_option("--host", in.host, "Name of this host, unique in the deployment")->required()->check(name), "HEATHERMOOR_HOST");
    env(app.add_option("--failure-domain", in.domain, "Failure domain of this host")->required()->check(name),
        "HEATHERMOOR_FAILURE_DOMAIN");
    env(app.add_option("--failure-domains", in.domains, "All failure domains, in the same order on every host")->required()->delimiter(','),
        "HEATHERMOOR_FAILURE_DOMAINS");
    env(app.add_option("--neighbours", in.neighbours, "Failure domains to exchange work with; all if omitted")->delimiter(','),
        "HEATHERMOOR_NEIGHBOURS");
    env(app.add_option("--far-heartbeat-every", in.far_heartbeat_every, "Send every Nth heartbeat to other failure domains")
            ->check(CLI::Range(1, 100))
            ->capture_default_str(),
        "HEATHERMOOR_FAR_HEARTBEAT_EVERY");
    env(app.add_option("--platform", in.platform, "Address of the platform log and host list, as HOST:PORT")->required(),
        "HEATHERMOOR_PLATFORM");
    env(app.add_option("--bind", in.bind, "IP address to listen on")->capture_default_str(), "HEATHERMOOR_BIND");
    env(app.add_option("--http-port", in.http_port, "Client HTTP port; 0 selects a free port")
            ->check(CLI::Range(0, 65535))
            ->capture_default_str(),
        "HEATHERMOOR_HTTP_PORT");
    env(app.add_option("--admin-port", in.admin_port, "Port for health checks and metrics; 0 selects a free port")
            ->check(CLI::Range(0, 65535))
            ->capture_default_str(),
        "HEATHERMOOR_ADMIN_PORT");
    env(app.add_option("--peer-address", in.peer_address, "Endpoint of this host for messages from other hosts")->capture_default_str(),
        "HEATHERMOOR_PEER_ADDRESS");
    env(app.add_option("--peer", in.peers, "Initial peer, as HOST=ADDRESS; may be repeated")->delimiter(','), "HEATHERMOOR_PEERS");
    env(app.add_option("--weight", in.weight, "Relative capacity of this host")->check(CLI::Range(0.01, 1000.0))->capture_default_str(),
        "HEATHERMOOR_WEIGHT");
    env(app.add_option("--caller-threads", in.caller_threads, "Number of threads that serve client requests")
            ->check(CLI::Range(1, 4096))
            ->capture_default_str(),
        "HEATHERMOOR_CALLER_THREADS");
    env(app.add_flag("--allow-anonymous", in.allow_anonymous, "Accept requests without a credential"), "HEATHERMOOR_ALLOW_ANONYMOUS");
    env(app.add_option("--table-mb", in.table_mb, "Memory limit of the submission tables in MiB")
            ->check(CLI::Range(1, 65536))
            ->capture_default_str(),
        "HEATHERMOOR_TABLE_MB");
    env(app.add_option("--retention-s", in.retention_s, "Retention of completed responses in seconds")
            ->check(CLI::Range(1, 86400))
            ->capture_default_str(),
        "HEATHERMOOR_RETENTION_S");
    env(app.add_option("--drain-s", in.drain_s, "Graceful shutdown timeout in seconds")->check(CLI::Range(1, 3600))->capture_default_str(),
        "HEATHERMOOR_DRAIN_S");
    env(app.add_option("--log-level", in.level, "Minimum log level")->transform(CLI::CheckedTransformer(levels, CLI::ignore_case)),
        "HEATHERMOOR_LOG_LEVEL");
    app.add_flag("--check", in.check, "Validate the settings and exit");
}

[[nodiscard]] bool convert(const arguments &in, heathermoor::adapter::process_settings &out) {
    out.host.host = heathermoor::host_id{in.host};
    out.host.domain = heathermoor::failure_domain_id{in.domain};
    out.host.process = static_cast<heathermoor::incarnation>(start_time());
    out.host.weight = in.weight;
    out.host.peer_address = in.peer_address;
    out.host.http_address = fmt::format("{}:{}", in.bind, in.http_port);
    out.host.table.max_bytes = in.table_mb << 20U;
    out.host.table.retention = std::chrono::seconds{in.retention_s};
    out.api.bind_host = in.bind;
    out.api.port = in.http_port;
    out.api.admin_port = in.admin_port;
    out.api.caller_threads = in.caller_threads;
    out.api.allow_anonymous = in.allow_anonymous;
    out.platform = in.platform;
    out.host.far_heartbeat_every = in.far_heartbeat_every;
    out.drain_limit = std::chrono::seconds{in.drain_s};
    auto known = false;
    for(const auto &domain: in.domains) {
        out.host.domains.emplace_back(domain);
        known = known || domain == in.domain;
    }
    if(!known) {
        heathermoor::log(heathermoor::log_level::error, "settings", "Invalid setting. flag=--failure-domain given={} allowed={}", in.domain,
                         fmt::join(in.domains, ","));
        return false;
    }
    for(const auto &domain: in.neighbours) {
        out.host.neighbours.emplace_back(domain);
    }
    for(const auto &peer: in.peers) {
        const auto split = peer.find('=');
        if(split == std::string::npos || split == 0 || split + 1 == peer.size()) {
            heathermoor::log(heathermoor::log_level::error, "settings", "Invalid setting. flag=--peer given={} allowed=HOST=ADDRESS", peer);
            return false;
        }
        out.seeds.emplace_back(heathermoor::host_id{peer.substr(0, split)}, peer.substr(split + 1));
    }
    return true;
}

} // namespace

int main(int argc, char **argv) {
    CLI::App app{"Entry host of heathermoor: accepts jobs, owns submissions and dispatches tasks to targets.\n"
                 "Each option can also be set by the environment variable shown next to it."};
    arguments in;
    define(app, in);
    try {
        app.parse(argc, argv);
    } catch(const CLI::Success &help) {
        return app.exit(help);
    } catch(const CLI::ParseError &failure) {
        heathermoor::log(heathermoor::log_level::error, "settings", "Invalid setting. reason=\"{}\"", failure.what());
        return exit_invalid_setting;
    }
    heathermoor::set_log_level(in.level);
    heathermoor::adapter::process_settings options;
    if(!convert(in, options)) {
        return exit_invalid_setting;
    }
    if(in.check) {
        return 0;
    }
    heathermoor::adapter::host_process process{options};
    std::error_code error;
    process.start(error);
    if(error) {
        heathermoor::log(heathermoor::log_level::error, "host",
                         "Failed to start the host process. http_port={} admin_port={} peer_address={} error=\"{}\"", in.http_port,
                         in.admin_port, in.peer_address, error.message());
        return exit_bind_failed;
    }
    process.run();
    return 0;
}
