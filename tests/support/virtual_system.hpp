#pragma once

#include "heathermoor/host/node.hpp"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace heathermoor::test {

/// @brief Answer that a caller got, or the lack of one.
struct caller_record {
    std::string host;
    submission_id id;
    std::string nonce;
    std::size_t tasks{};
    time_point asked;
    time_point answered_at;
    bool answered{};
    bool host_died{};
    host::reply answer;
};

/// @brief Several hosts on one virtual clock, with fakes at their ports.
///
/// The product's own modules run inside; only time, transport, log and targets
/// are fakes. Everything is driven by one seeded generator in one thread.
class virtual_system {
  public:
    /// @brief Faults of the transport between hosts.
    struct network_faults {
        double lose{};
        double duplicate{};
        double delay{};
        duration extra_delay{milliseconds{300}};
    };

    /// @brief System with empty failure domains.
    /// @param seed Seed of delays, faults and run times.
    explicit virtual_system(std::uint64_t seed);
    ~virtual_system();
    virtual_system(const virtual_system &) = delete;
    virtual_system &operator=(const virtual_system &) = delete;
    virtual_system(virtual_system &&) = delete;
    virtual_system &operator=(virtual_system &&) = delete;

    /// @brief Starts a host, or a new process under an old name.
    void start_host(const std::string &name, const std::string &domain);

    /// @brief Adds a target to the host list.
    void add_target(const std::string &name, const std::string &domain, std::uint32_t slots);

    /// @brief Ends a process without notice.
    void kill_host(const std::string &name);

    /// @brief Stops a process from running; its events wait.
    void pause_host(const std::string &name);

    /// @brief Lets a paused process go on.
    void resume_host(const std::string &name);

    /// @brief Begins a graceful shutdown; the process ends when it is drained.
    void drain_host(const std::string &name);

    /// @brief Cuts or restores the connection between two failure domains.
    void cut_domains(const std::string &a, const std::string &b, bool cut);

    /// @brief Cuts or restores the connection of a failure domain to the platform.
    void cut_platform(const std::string &domain, bool cut);

    /// @brief Cuts or restores the connection of one host to the platform.
    void cut_host_platform(const std::string &host, bool cut);

    /// @brief Cuts or restores the connection between two hosts.
    void cut_hosts(const std::string &a, const std::string &b, bool cut);

    /// @brief Publishes a change of the configuration.
    void publish(const std::string &template_text, const std::string &service_text);

    /// @brief Submits a job.
    /// @return Index of the caller's record.
    std::size_t submit(const std::string &host, const submission_id &id, std::size_t tasks, duration deadline, double run_ms = 80.0);

    /// @brief Asks a host to cancel a job.
    void cancel(const std::string &host, const submission_id &id);

    /// @brief Issues a submission id.
    [[nodiscard]] submission_id mint(const std::string &host);

    /// @brief Runs everything that happens within a time.
    void run_for(duration time);

    /// @brief Runs until a condition holds.
    /// @return False if it did not hold within the limit.
    [[nodiscard]] bool run_until(const std::function<bool()> &condition, duration limit);

    /// @brief Whether a host runs, for faults that need one.
    [[nodiscard]] bool running(const std::string &name) const { return m_hosts.contains(name); }

    /// @brief A running host.
    [[nodiscard]] host::node &node(const std::string &name);

    /// @brief Whether every host has its configuration and every partition is served.
    [[nodiscard]] bool settled() const;

    /// @brief Checks the promises against the targets' ledger and the callers' answers.
    /// @return One line per broken promise.
    [[nodiscard]] std::vector<std::string> violated_guarantees() const;

    network_faults faults;
    bool log_outage{};
    int lose_append_answers{};
    duration append_time{milliseconds{5}};
    /// Share of started tasks whose target dies with the answer unsent.
    double lose_task_answers{};
    double fail_tasks{};
    std::vector<caller_record> callers;
    std::map<std::string, int> starts;
    std::vector<std::string> trace;

    [[nodiscard]] time_point now() const noexcept { return m_now; }
    [[nodiscard]] std::mt19937_64 &random() noexcept { return m_random; }
    [[nodiscard]] const std::vector<std::string> &log_records(port::log_stream stream, const std::string &domain);

  private:
    struct fake_host;
    using event = std::function<void()>;

    struct timed_event {
        time_point at;
        std::uint64_t order{};
        std::shared_ptr<event> action;
        bool operator<(const timed_event &other) const noexcept { return std::pair{other.at, other.order} < std::pair{at, order}; }
    };

    void at(duration delay, event action);
    void on_host(const std::string &name, std::uint64_t generation, event action);
    void tick_host(const std::string &name, std::uint64_t generation);
    void poll_log(const std::string &name, std::uint64_t generation, port::log_stream stream);
    void poll_hosts(const std::string &name, std::uint64_t generation);
    [[nodiscard]] bool connected(const std::string &from, const std::string &to) const;
    [[nodiscard]] bool reaches_platform(const std::string &host) const;
    [[nodiscard]] bool chance(double probability);

    time_point m_now{seconds{1'000}};
    std::mt19937_64 m_random;
    std::uint64_t m_order{};
    std::uint64_t m_generation{};
    std::priority_queue<timed_event> m_events;
    std::map<std::string, std::unique_ptr<fake_host>> m_hosts;
    std::vector<std::unique_ptr<fake_host>> m_dead;
    std::map<std::string, std::string> m_host_domains;
    std::vector<failure_domain_id> m_domains{failure_domain_id{"north"}, failure_domain_id{"south"}};
    std::vector<port::listed_host> m_targets;
    std::set<std::pair<std::string, std::string>> m_cut_domains;
    std::set<std::pair<std::string, std::string>> m_cut_hosts;
    std::set<std::string> m_cut_platform;
    std::set<std::string> m_cut_host_platform;
    std::map<std::string, std::vector<std::string>> m_log;
    int m_changes{};
};

/// @brief Small configuration: service `matloom` with customer `caroni`.
void publish_example(virtual_system &system);

} // namespace heathermoor::test
