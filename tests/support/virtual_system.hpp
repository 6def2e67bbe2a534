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

/// @brief Submission of one caller and the answer to it, if any.
struct caller_record {
    std::string host;
    submission_id id;
    /// Text in the task bodies by which the caller recognizes its own results.
    std::string nonce;
    std::size_t tasks{};
    time_point asked;
    time_point answered_at;
    bool answered{};
    /// Whether the host was not running or was killed before it answered, so that no answer is due.
    bool host_died{};
    host::reply answer;
};

/// @brief Deterministic simulation of several hosts on one virtual clock.
///
/// The hosts run the production modules; time, transport, log, host list and targets are fakes behind the ports. All events
/// run in one thread, and one seeded generator decides about delays and faults.
class virtual_system {
  public:
    /// @brief Probabilities, from 0 to 1 for each message, of faults of the transport between hosts.
    struct network_faults {
        double lose{};
        double duplicate{};
        double delay{};
        /// Upper limit of the random delay.
        duration extra_delay{milliseconds{300}};
    };

    /// @brief Creates a system without hosts and targets.
    /// @param seed Seed of delays and faults.
    explicit virtual_system(std::uint64_t seed);
    ~virtual_system();
    virtual_system(const virtual_system &) = delete;
    virtual_system &operator=(const virtual_system &) = delete;
    virtual_system(virtual_system &&) = delete;
    virtual_system &operator=(virtual_system &&) = delete;

    /// @brief Starts a host; a name that was used before gets a new incarnation.
    void start_host(const std::string &name, const std::string &domain);

    /// @brief Adds a target of the pool `loom` to the host list.
    void add_target(const std::string &name, const std::string &domain, std::uint32_t slots);

    /// @brief Ends a process without a shutdown; does nothing if it is not running.
    void kill_host(const std::string &name);

    /// @brief Suspends a process; its events are queued.
    void pause_host(const std::string &name);

    /// @brief Resumes a suspended process, which handles its queued events at once.
    void resume_host(const std::string &name);

    /// @brief Starts a graceful shutdown; the process ends when it is drained.
    void drain_host(const std::string &name);

    /// @brief Cuts or restores the connection between two failure domains.
    void cut_domains(const std::string &a, const std::string &b, bool cut);

    /// @brief Cuts or restores the connection of a failure domain to the platform.
    void cut_platform(const std::string &domain, bool cut);

    /// @brief Cuts or restores the connection of one host to the platform.
    void cut_host_platform(const std::string &host, bool cut);

    /// @brief Cuts or restores the connection between two hosts.
    void cut_hosts(const std::string &a, const std::string &b, bool cut);

    /// @brief Appends a configuration change with a template and a service, both as YAML, to the log.
    void publish(const std::string &template_text, const std::string &service_text);

    /// @brief Submits a job of customer `caroni` to service `matloom`; each task runs for `run_ms` milliseconds.
    /// @return Index of the caller's record in `callers`.
    std::size_t submit(const std::string &host, const submission_id &id, std::size_t tasks, duration deadline, double run_ms = 80.0);

    /// @brief Cancels a job through a host; the answer is ignored.
    void cancel(const std::string &host, const submission_id &id);

    /// @brief Issues a submission id at a running host.
    [[nodiscard]] submission_id issue_id(const std::string &host);

    /// @brief Advances the clock and runs all events that are due meanwhile.
    void run_for(duration time);

    /// @brief Advances the clock in steps of 10 ms until a condition holds.
    /// @return False if the condition did not hold within the limit.
    [[nodiscard]] bool run_until(const std::function<bool()> &condition, duration limit);

    /// @brief Whether a process runs under this name, suspended or not.
    [[nodiscard]] bool running(const std::string &name) const { return m_hosts.contains(name); }

    /// @brief Node of a running host.
    [[nodiscard]] host::node &node(const std::string &name);

    /// @brief Whether every host is ready with a valid lease and every partition is served.
    [[nodiscard]] bool settled() const;

    /// @brief Checks the guarantees about outcomes against the started tasks and the callers' answers.
    ///
    /// No task starts twice; every caller is answered unless its host died; "not run" means that no task started; a
    /// complete answer has the caller's own result for each task.
    /// @return One line for each violated guarantee.
    [[nodiscard]] std::vector<std::string> violated_guarantees() const;

    network_faults faults;
    bool log_outage{};
    /// Number of appends that are stored but reported as unknown.
    int lose_append_answers{};
    duration append_time{milliseconds{5}};
    /// Share of started tasks whose target dies before it answers.
    double lose_task_answers{};
    /// Share of started tasks that fail.
    double fail_tasks{};
    std::vector<caller_record> callers;
    /// Number of starts of each task, by its full name.
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

/// @brief Publishes a small configuration with service `matloom` and customer `caroni`.
void publish_example(virtual_system &system);

} // namespace heathermoor::test
