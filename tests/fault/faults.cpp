#include "fault/faults.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace heathermoor::test {

namespace {

const std::array<std::string, 4> host_names{"n1", "n2", "s1", "s2"};
/// Time of each fault in a schedule; submissions begin before it and end after it.
constexpr duration fault_time = milliseconds{1'000};

[[nodiscard]] std::string domain_of(const std::string &host) {
    return host.front() == 'n' ? "north" : "south";
}

/// Fault that is switched on at `fault_time` and off again after a while.
[[nodiscard]] named_fault temporary_fault(const std::string &name, duration length, std::function<void(virtual_system &, bool)> set) {
    return {name, [=] {
                return schedule{{fault_time, name, [set](virtual_system &s) { set(s, true); }},
                                {fault_time + length, name + " ends", [set](virtual_system &s) { set(s, false); }}};
            }};
}

/// Kill of a host that is restarted 700 ms later, before its peers' heartbeat timeout, or not at all.
[[nodiscard]] named_fault kill_fault(const std::string &host, bool replaced) {
    const auto name = fmt::format("kill {}{}", host, replaced ? " and replace it" : "");
    return {name, [=] {
                schedule steps{{fault_time, name, [host](virtual_system &s) { s.kill_host(host); }}};
                if(replaced) {
                    steps.push_back({fault_time + milliseconds{700}, "start " + host, [host](virtual_system &s) {
                                         if(!s.running(host)) {
                                             s.start_host(host, domain_of(host));
                                         }
                                     }});
                }
                return steps;
            }};
}

} // namespace

const std::vector<named_fault> &fault_table() {
    static const std::vector<named_fault> table{
        kill_fault("n1", false),
        kill_fault("n2", true),
        kill_fault("s1", true),
        temporary_fault("pause n1 past its lease", milliseconds{5'000},
                        [](virtual_system &s, bool on) { on ? s.pause_host("n1") : s.resume_host("n1"); }),
        temporary_fault("pause n2 briefly", milliseconds{600},
                        [](virtual_system &s, bool on) { on ? s.pause_host("n2") : s.resume_host("n2"); }),
        temporary_fault("cut north from south", milliseconds{3'000},
                        [](virtual_system &s, bool on) { s.cut_domains("north", "south", on); }),
        temporary_fault("cut north from the platform", milliseconds{6'000},
                        [](virtual_system &s, bool on) { s.cut_platform("north", on); }),
        temporary_fault("cut n1 from the platform", milliseconds{6'000}, [](virtual_system &s, bool on) { s.cut_host_platform("n1", on); }),
        temporary_fault("cut n1 from n2", milliseconds{5'000}, [](virtual_system &s, bool on) { s.cut_hosts("n1", "n2", on); }),
        temporary_fault("log outage", milliseconds{5'000}, [](virtual_system &s, bool on) { s.log_outage = on; }),
        temporary_fault("slow log", milliseconds{5'000},
                        [](virtual_system &s, bool on) { s.append_time = on ? milliseconds{900} : milliseconds{5}; }),
        {"append answers lost",
         [] {
             return schedule{{fault_time, "append answers lost", [](virtual_system &s) { s.lose_append_answers = 5; }}};
         }},
        temporary_fault("peer messages late", milliseconds{4'000}, [](virtual_system &s, bool on) { s.faults.delay = on ? 0.3 : 0.0; }),
        temporary_fault("peer messages twice", milliseconds{4'000},
                        [](virtual_system &s, bool on) { s.faults.duplicate = on ? 0.5 : 0.0; }),
        temporary_fault("peer messages lost", milliseconds{2'000}, [](virtual_system &s, bool on) { s.faults.lose = on ? 0.2 : 0.0; }),
        temporary_fault("targets die with answers unsent", milliseconds{2'000},
                        [](virtual_system &s, bool on) { s.lose_task_answers = on ? 0.3 : 0.0; }),
        temporary_fault("targets fail", milliseconds{2'000}, [](virtual_system &s, bool on) { s.fail_tasks = on ? 0.3 : 0.0; }),
        {"drain n1",
         [] {
             return schedule{{fault_time, "drain n1", [](virtual_system &s) { s.drain_host("n1"); }}};
         }},
        {"drain s2 and replace it",
         [] {
             return schedule{{fault_time, "drain s2", [](virtual_system &s) { s.drain_host("s2"); }},
                             {fault_time + milliseconds{2'500}, "start s2", [](virtual_system &s) {
                                  s.kill_host("s2");
                                  s.start_host("s2", "south");
                              }}};
         }},
        {"host joins",
         [] {
             return schedule{{fault_time, "n3 joins", [](virtual_system &s) { s.start_host("n3", "north"); }}};
         }},
    };
    return table;
}

schedule make_load(std::uint64_t seed, std::size_t count) {
    std::mt19937_64 random{seed};
    schedule steps;
    for(std::size_t index = 0; index < count; ++index) {
        const auto first = milliseconds{static_cast<std::int64_t>(random() % 3'500)};
        const auto &host = host_names.at(random() % host_names.size());
        const auto tasks = 1 + random() % 4;
        const auto deadline = milliseconds{1'500 + static_cast<std::int64_t>(random() % 4'000)};
        const auto run_ms = random() % 6 == 0 ? 1'200.0 : 20.0 + static_cast<double>(random() % 200);
        const auto kind = random() % 3;
        const auto id = std::make_shared<submission_id>(
            kind == 1 ? fmt::format("ds1.{}.{:x}", random() % 2 == 0 ? "north" : "south", random()) : fmt::format("plain-{:x}", random()));
        steps.push_back({first, fmt::format("submit {} via {}", kind == 0 ? "issued id" : id->str(), host), [=](virtual_system &s) {
                             if(kind == 0 && s.running(host)) {
                                 *id = s.issue_id(host);
                             }
                             s.submit(host, *id, tasks, deadline, run_ms);
                         }});
        for(std::uint64_t again = random() % 4; again > 0; --again) {
            const auto other = host_names.at(random() % host_names.size());
            const auto later = first + milliseconds{static_cast<std::int64_t>(random() % 5'000)};
            steps.push_back({later, "resubmit via " + other, [=](virtual_system &s) { s.submit(other, *id, tasks, deadline, run_ms); }});
        }
        if(random() % 8 == 0) {
            const auto later = first + milliseconds{static_cast<std::int64_t>(random() % 400)};
            steps.push_back({later, "cancel via " + host, [=](virtual_system &s) { s.cancel(host, *id); }});
        }
    }
    return steps;
}

std::vector<std::string> run_schedule(std::uint64_t seed, schedule steps, answer_counts *counts) {
    virtual_system system{seed};
    for(const auto &host: host_names) {
        system.start_host(host, domain_of(host));
        system.add_target("t-" + host, domain_of(host), 8);
    }
    if(seed % 2 == 0) {
        system.start_host("n4", "north");
        system.start_host("s4", "south");
    }
    publish_example(system);
    if(!system.run_until([&] { return system.settled(); }, seconds{20})) {
        return {"the system did not settle"};
    }
    std::stable_sort(steps.begin(), steps.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    const auto start = system.now();
    for(const auto &next: steps) {
        if(start + next.at > system.now()) {
            system.run_for(start + next.at - system.now());
        }
        next.action(system);
    }
    system.run_for(seconds{14});
    for(const auto &caller: system.callers) {
        if(counts != nullptr) {
            const auto kind = caller.answer.result.kind;
            ++counts->callers;
            counts->complete += caller.answered && kind == submission::outcome_kind::complete ? 1U : 0U;
            counts->not_run += caller.answered && kind == submission::outcome_kind::not_run ? 1U : 0U;
            counts->failed += caller.answered && kind == submission::outcome_kind::failed ? 1U : 0U;
            counts->unknown += caller.answered && kind == submission::outcome_kind::unknown ? 1U : 0U;
        }
    }
    return system.violated_guarantees();
}

schedule shrink(std::uint64_t seed, schedule steps) {
    auto shorter = true;
    while(shorter) {
        shorter = false;
        for(std::size_t index = 0; index < steps.size(); ++index) {
            auto fewer = steps;
            fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(index));
            if(!run_schedule(seed, fewer).empty()) {
                steps = std::move(fewer);
                shorter = true;
                --index;
            }
        }
    }
    return steps;
}

} // namespace heathermoor::test
