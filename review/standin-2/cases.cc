// Cases of the review, one for each name on the command line. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

#include "world.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <functional>
#include <iostream>
#include <map>
#include <stdexcept>

namespace review {

namespace {

/// @brief Whether the disruption of the case takes place.
[[nodiscard]] bool trouble() {
    const auto *value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

/// @brief Body of a job that needs not be kept.
[[nodiscard]] std::string job_body(int length_ms, std::int64_t work_cpu, const json &steps) {
    return json{{"spec", fmt::format("{} {}", length_ms, work_cpu)}, {"steps", steps}, {"best_effort", true}}.dump();
}

/// @brief Sends jobs at a fixed rate, to the hosts that are ready, in turn.
class job_stream {
  public:
    job_stream(world &of, std::string queue, double per_s, std::string body, std::function<bool(std::size_t)> takes)
        : m_world{of}, m_queue{std::move(queue)},
          m_interval{heathermoor::from_ms(1'000.0 / per_s)}, m_body{std::move(body)}, m_takes{std::move(takes)}, m_due{of.now()} {}

    void step() {
        for(; m_world.now() >= m_due; m_due += m_interval) {
            send();
        }
    }

    [[nodiscard]] std::string summary() const {
        std::string result = fmt::format("queue {}: {} sent", m_queue, m_sent);
        for(const auto &[status, count]: m_answers) {
            result += status == 0 ? fmt::format(", {} without an answer", count) : fmt::format(", {} answered {}", count, status);
        }
        return result;
    }

    void restart_counts() {
        m_sent = 0;
        m_answers.clear();
    }

  private:
    void send() {
        constexpr milliseconds limit{1'500};
        auto &hosts = m_world.hosts();
        for(std::size_t tried = 0; tried < hosts.size(); ++tried) {
            const auto index = m_next++ % hosts.size();
            if(hosts[index].ready && m_takes(index)) {
                ++m_sent;
                m_world.request(index, "POST", world::path(m_queue, m_world.new_id()), m_body, limit,
                                [this](const answer &given) { ++m_answers[given.status]; });
                return;
            }
        }
    }

    world &m_world;
    std::string m_queue;
    heathermoor::duration m_interval;
    std::string m_body;
    std::function<bool(std::size_t)> m_takes;
    time_point m_due;
    std::size_t m_next{};
    std::uint64_t m_sent{};
    std::map<int, std::uint64_t> m_answers;
};

void start_all(world &all) {
    for(std::size_t index = 0; index < all.hosts().size(); ++index) {
        all.start(index);
    }
    all.wait_ready();
    all.run_for(milliseconds{2'000});
}

/// @brief A host is killed while tasks of its clients run; tasks that need no capacity are waiting elsewhere.
int hang(const std::string &record) {
    layout plan;
    plan.queues = {{"long", 1'500}, {"light", 1'500}};
    world all{plan, record};
    all.note_tasks = false;
    start_all(all);
    const json long_step{{"count", 2}, {"cpu", 1'000}, {"mem_mb", 64}, {"est_runtime_ms", 600}};
    const json light_step{{"count", 1}, {"est_runtime_ms", 20}};
    const auto any_host = [](std::size_t) { return true; };
    job_stream heavy{all, "long", 12, job_body(600, 1'000, json::array({long_step})), any_host};
    job_stream light{all, "light", 60, job_body(20, 0, json::array({light_step})), any_host};
    all.on_step = [&] {
        heavy.step();
        light.step();
    };
    all.run_for(milliseconds{3'000});
    all.note("before: " + heavy.summary() + "; " + light.summary());
    const auto leads = all.leader();
    if(!leads) {
        throw std::runtime_error{"no host leads"};
    }
    const auto killed = (*leads + 1) % all.hosts().size();
    all.note(fmt::format("host {} gives the orders to the workers", *leads));
    if(trouble()) {
        all.note(fmt::format("host {} is killed", killed));
        all.kill(killed);
        all.run_for(milliseconds{1'000});
        all.start(killed);
    }
    all.run_for(milliseconds{8'000});
    heavy.restart_counts();
    light.restart_counts();
    std::vector<std::int64_t> cpu_before;
    for(const auto &one: all.hosts()) {
        cpu_before.push_back(one.cpu_ms);
    }
    const auto watched_from = all.now();
    constexpr milliseconds watch{6'000};
    for(std::size_t index = 0; index < all.hosts().size(); ++index) {
        all.request(index, "POST", world::path("light", all.new_id()), job_body(20, 0, json::array({light_step})), milliseconds{1'500},
                    [&all, index](const answer &given) {
                        all.note(given.status == 0 ? fmt::format("a POST to host {} got no answer within its time limit of 1500 ms", index)
                                                   : fmt::format("a POST to host {} was answered {}", index, given.status));
                    });
    }
    all.run_for(watch);
    all.note("after: " + heavy.summary() + "; " + light.summary());
    bool broken = false;
    for(std::size_t index = 0; index < all.hosts().size(); ++index) {
        const auto &one = all.hosts()[index];
        const auto spent = one.cpu_ms - cpu_before[index];
        const bool silent = one.pid != 0 && one.answered_at < watched_from;
        const bool spins = spent * 10 > watch.count() * 9;
        all.note(fmt::format("host {}: {}, used {} ms of processor time in the last {} ms{}", index,
                             one.pid == 0 ? "not running" : (silent ? "answered no GET /ready" : "answers GET /ready"), spent,
                             watch.count(), silent && spins ? ": it does not hand back the processor" : ""));
        broken = broken || (silent && spins);
    }
    if(broken) {
        constexpr milliseconds grace{6'000};
        for(std::size_t index = 0; index < all.hosts().size(); ++index) {
            if(all.hosts()[index].pid != 0 && all.hosts()[index].answered_at < watched_from) {
                all.note(fmt::format("SIGTERM to host {}", index));
                (void)::kill(all.hosts()[index].pid, SIGTERM);
            }
        }
        all.run_for(grace);
        for(std::size_t index = 0; index < all.hosts().size(); ++index) {
            if(all.hosts()[index].pid != 0 && all.hosts()[index].answered_at < watched_from) {
                all.note(fmt::format("host {} has not ended {} ms after SIGTERM", index, grace.count()));
            }
        }
    }
    return broken ? 1 : 0;
}

/// @brief Job of several steps, one after the other.
struct sent_job {
    std::string id;
    std::string body;
    time_point sent_at;
    std::optional<answer> response;
    std::optional<answer> cancelled;
    std::size_t late_starts{};
};

constexpr milliseconds cancel_bound{3'000};

/// Chain of steps with one task each, which takes two seconds.
[[nodiscard]] sent_job make_chain(world &all) {
    constexpr int steps = 5;
    constexpr int step_ms = 2'000;
    auto chain = json::array();
    for(int step = 0; step < steps; ++step) {
        json one{{"count", 1}, {"cpu", 1'000}, {"mem_mb", 64}, {"est_runtime_ms", step_ms}};
        if(step > 0) {
            one["after"] = {step - 1};
        }
        chain.push_back(one);
    }
    return {all.new_id(), job_body(step_ms, 1'000, chain), {}, {}, {}, 0};
}

constexpr milliseconds chain_limit{20'000};

/// Counts the starts of tasks later than `cancel_ms` after the job's cancelling was acknowledged.
void watch_cancelled(world &all, std::vector<sent_job> &jobs) {
    all.on_start = [&all, &jobs](const task_start &begun) {
        for(auto &job: jobs) {
            if(begun.task.starts_with(job.id) && job.cancelled && begun.at - job.cancelled->at > cancel_bound) {
                ++job.late_starts;
                all.note(fmt::format("task {} starts {:.0f} ms after the cancelling of its job was acknowledged", begun.task,
                                     heathermoor::to_ms(begun.at - job.cancelled->at)));
            }
        }
    };
}

void send(world &all, sent_job &job, std::size_t index, milliseconds limit) {
    all.note(fmt::format("POST of job {} to host {}", job.id, index));
    job.sent_at = all.now();
    all.request(index, "POST", world::path("work", job.id), job.body, limit, [&all, &job](const answer &given) {
        all.note(fmt::format("POST of job {}: {} {}", job.id, given.status, given.body));
        job.response = given;
    });
}

void cancel(world &all, sent_job &job, std::size_t index) {
    all.note(fmt::format("DELETE of job {} to host {}", job.id, index));
    all.request(index, "DELETE", world::path("work", job.id), {}, milliseconds{4'000}, [&all, &job](const answer &given) {
        all.note(fmt::format("DELETE of job {}: {} {}", job.id, given.status, given.body));
        if((given.status >= 200 && given.status < 300) || given.status == 410) {
            job.cancelled = given;
        }
    });
}

[[nodiscard]] int judge_cancelled(world &all, const std::vector<sent_job> &jobs) {
    std::size_t broken = 0;
    for(const auto &job: jobs) {
        if(!job.cancelled) {
            throw std::runtime_error{"a cancelling was not acknowledged"};
        }
        broken += job.late_starts > 0 ? 1 : 0;
    }
    all.note(fmt::format("{} of {} jobs had a task started later than {} ms after their cancelling was acknowledged", broken, jobs.size(),
                         cancel_bound.count()));
    return broken > 0 ? 1 : 0;
}

constexpr std::size_t chains = 4;

[[nodiscard]] layout chain_layout() {
    layout plan;
    plan.queues = {{"work", 30'000}};
    return plan;
}

/// @brief Clients move to another zone and cancel their jobs there.
int moved_cancel(const std::string &record) {
    world all{chain_layout(), record};
    start_all(all);
    std::vector<sent_job> jobs(chains);
    watch_cancelled(all, jobs);
    for(auto &job: jobs) {
        job = make_chain(all);
        send(all, job, 0, chain_limit);
    }
    all.run_for(milliseconds{1'000});
    if(trouble()) {
        all.note("half of the clients move from zone z0 to zone z1; their open channels stay");
    }
    for(std::size_t index = 0; index < jobs.size(); ++index) {
        const bool moved = trouble() && index % 2 == 0;
        cancel(all, jobs[index], moved ? 1 : 0);
    }
    all.run_for(milliseconds{12'000});
    return judge_cancelled(all, jobs);
}

/// @brief Workers crash and start again under the same id, as another kind.
int other_kind(const std::string &record) {
    layout plan;
    plan.workers = 8;
    plan.kind = [](std::size_t index) { return index % 2 == 0 ? worker_kind{"a", 16'000, 32'768} : worker_kind{"b", 24'000, 49'152}; };
    world all{plan, record};
    all.note_tasks = false;
    start_all(all);
    std::size_t wrong = 0;
    all.on_start = [&](const task_start &begun) {
        if(begun.spec.ends_with(" a") && begun.kind.label != "a") {
            ++wrong;
            all.note(fmt::format("worker {} of kind {} starts task {}, whose step requires a", begun.worker, begun.kind.label, begun.task));
        }
    };
    const json step{{"count", 3}, {"cpu", 3'000}, {"mem_mb", 64}, {"est_runtime_ms", 100}, {"requires", "a"}};
    const auto body = json{{"spec", "100 3000 a"}, {"steps", json::array({step})}, {"best_effort", true}}.dump();
    job_stream stream{all, "work", 40, body, [](std::size_t) { return true; }};
    all.on_step = [&] { stream.step(); };
    all.run_for(milliseconds{3'000});
    constexpr int rounds = 12;
    constexpr milliseconds down_time{500};
    for(int round = 0; round < rounds; ++round) {
        auto &one = *all.workers().at(static_cast<std::size_t>(round) % all.workers().size());
        if(trouble()) {
            const auto kind = one.kind().label == "a" ? worker_kind{"b", 24'000, 49'152} : worker_kind{"a", 16'000, 32'768};
            all.note(fmt::format("worker {} (kind {}) crashes", one.id(), one.kind().label));
            one.crash();
            all.run_for(down_time);
            one.boot(kind);
            all.publish(one);
            all.note(fmt::format("worker {} has started again as kind {}, and its entry is in the store", one.id(), kind.label));
        } else {
            all.run_for(down_time);
        }
        all.run_for(milliseconds{2'000});
    }
    all.note(stream.summary());
    all.note(fmt::format("{} tasks whose step requires a were started on a worker of kind b", wrong));
    return wrong > 0 ? 1 : 0;
}

} // namespace

} // namespace review

int main(int argc, char **argv) {
    review::end_processes_on_signals();
    const std::map<std::string, std::function<int(const std::string &)>> cases{
        {"hang", &review::hang}, {"moved-cancel", &review::moved_cancel}, {"other-kind", &review::other_kind}};
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if(found == cases.end()) {
        std::cerr << "usage: cases-2 CASE RECORD\n";
        return 2;
    }
    try {
        const auto result = found->second(argv[2]);
        std::cout << argv[1] << (result == 0 ? ": the rule held\n" : ": the rule was broken\n");
        return result;
    } catch(const std::exception &error) {
        std::cerr << argv[1] << ": could not run: " << error.what() << '\n';
        return 2;
    }
}
