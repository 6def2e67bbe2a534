// A host is killed and soon back: its leader takes the new process for the one that held the jobs and lets them run on. The
// clients send the jobs again; at a host of another zone they run a second time, at the same time.

#include "standin/scene.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace {

using review::milliseconds;

constexpr milliseconds contact_time{3'000};
constexpr milliseconds down_time{300};
constexpr milliseconds retransmit_delay{1'300};
constexpr milliseconds client_deadline{30'000};
constexpr milliseconds work_length{8'000};
constexpr std::size_t tasks = 2;
constexpr std::size_t jobs = 4;

/// Overlap of two runs of one task from which they count as running at the same time.
constexpr milliseconds least_overlap{100};

struct sent_job {
    std::string id;
    bool broken_off{};
};

/// Longest time for which two runs of a task were at work at the same time, on different workers.
[[nodiscard]] milliseconds overlap(const std::vector<review::seen_run> &runs, milliseconds now) {
    milliseconds longest{};
    for(const auto &left: runs) {
        for(const auto &right: runs) {
            if(left.task == right.task && left.worker != right.worker) {
                const auto begin = std::max(left.started, right.started);
                const auto end = std::min(left.ended.value_or(now), right.ended.value_or(now));
                longest = std::max(longest, end - begin);
            }
        }
    }
    return longest;
}

} // namespace

int main(int argc, char **argv) {
    review::scene_options options;
    options.zones = 2;
    options.workers = 80;
    review::scene scene{options, argc > 1 ? argv[1] : "record.txt"};
    if(!scene.wait_ready(milliseconds{20'000})) {
        scene.note("the hosts are not ready");
        return review::not_run;
    }
    scene.run_for(contact_time + milliseconds{1'000});
    const auto leaders = scene.leaders();
    std::optional<std::size_t> killed;
    std::optional<std::size_t> other;
    for(std::size_t host = 0; host < scene.hosts(); ++host) {
        const bool leads = std::find(leaders.begin(), leaders.end(), host) != leaders.end();
        if(!killed && !leads) {
            killed = host;
        } else if(killed && !other && scene.zone_of(host) != scene.zone_of(*killed)) {
            other = host;
        }
    }
    if(leaders.empty() || !killed || !other) {
        scene.note("nobody leads, or there is no host to be killed");
        return review::not_run;
    }
    for(const auto leader: leaders) {
        scene.note(fmt::format("host {} of {} leads", leader, scene.zone_of(leader)));
    }
    scene.note(fmt::format("host {} of {} is to be killed, host {} of {} gets the repeated requests", *killed, scene.zone_of(*killed),
                           *other, scene.zone_of(*other)));
    const auto body = review::scene::job_body(tasks, work_length);
    std::vector<sent_job> sent(jobs);
    for(std::size_t index = 0; index < jobs; ++index) {
        auto &job = sent[index];
        job.id = fmt::format("5c0e7a21d94b36{:02x}", index);
        scene.call(*killed, "POST", job.id, body, client_deadline,
                   [&job](const review::client_answer &answer) { job.broken_off = !answer.answered; });
    }
    const auto started = [&] {
        return std::all_of(sent.begin(), sent.end(), [&](const sent_job &job) { return scene.runs_of(job.id).size() == tasks; });
    };
    if(!scene.run_until(started, milliseconds{3'000})) {
        scene.note("the jobs have not started");
        return review::not_run;
    }
    scene.run_for(milliseconds{1'000});
    if(review::trouble()) {
        scene.note(fmt::format("host {} is killed", *killed));
        scene.kill_host(*killed);
        scene.run_for(down_time);
        scene.note(fmt::format("host {} starts again", *killed));
        scene.start_host(*killed);
    }
    scene.run_for(retransmit_delay - down_time);
    for(const auto &job: sent) {
        if(job.broken_off) {
            scene.call(*other, "POST", job.id, body, client_deadline, [](const review::client_answer &) {});
        }
    }
    scene.run_for(work_length + milliseconds{2'000});
    std::size_t broken = 0;
    for(const auto &job: sent) {
        const auto runs = scene.runs_of(job.id);
        const auto together = overlap(runs, scene.now());
        if(together >= least_overlap) {
            ++broken;
            scene.note(fmt::format("BROKEN: a task of job {} ran on two workers at the same time for {} ms", job.id, together.count()));
        }
    }
    scene.note(fmt::format("jobs with a task that ran twice at the same time: {}", broken));
    return broken > 0 ? review::rule_broken : review::rule_held;
}
