#include "cases.hpp"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <set>

namespace heathermoor::review {

namespace internal {

constexpr std::size_t jobs = 6;
constexpr milliseconds cancel_bound{3'000};
constexpr milliseconds contact_bound{3'000};
constexpr milliseconds roll_gap{1'300};

} // namespace internal

int play_cancelled(world &played, bool trouble) {
    constexpr int ok = 200;
    constexpr int gone = 410;
    played.run_for(milliseconds{3'000});
    std::map<std::string, time_point> acknowledged;
    std::vector<std::string> ids;
    for(std::size_t one = 0; one < internal::jobs; ++one) {
        const auto id = played.make_job({2, {milliseconds{600}, 20'000}, milliseconds{1'500}});
        ids.push_back(id);
        played.send("POST", id, 1 + one % (played.hosts() - 1), [](const caller_answer &) {});
        played.run_for(milliseconds{150});
        played.send("DELETE", id, 0, [&acknowledged, id](const caller_answer &answer) {
            if(answer.status == ok || answer.status == gone) {
                acknowledged[id] = answer.at;
            }
        });
        played.run_for(milliseconds{150});
    }
    if(!played.run_until([&] { return acknowledged.size() == ids.size(); }, milliseconds{3'000})) {
        played.note("verdict could not run: a cancelling was not acknowledged");
        return 2;
    }
    for(std::size_t host = 0; host < played.hosts(); ++host) {
        if(trouble) {
            played.send_signal(host, SIGTERM);
        }
        played.run_for(internal::roll_gap);
    }
    // The last host is back, and in touch.
    constexpr milliseconds stop_time{3'500};
    played.run_for(stop_time);
    played.run_for(internal::contact_bound + milliseconds{500});
    const auto copies_at = played.now();
    for(std::size_t one = 0; one < ids.size(); ++one) {
        played.send("POST", ids[one], one % played.hosts(), [](const caller_answer &) {});
    }
    played.run_for(milliseconds{2'500});
    std::set<std::string> started;
    for(const auto &start: played.starts()) {
        const auto found = acknowledged.find(start.job);
        if(found != acknowledged.end() && start.at - found->second > internal::cancel_bound && start.at >= copies_at) {
            started.insert(start.job);
            played.note(fmt::format("started_after_cancelling job={} ms={}", start.job,
                                    std::chrono::duration_cast<milliseconds>(start.at - found->second).count()));
        }
    }
    played.note(fmt::format("verdict {}: {} of {} cancelled jobs were started again", started.empty() ? "held" : "broken", started.size(),
                            ids.size()));
    return started.empty() ? 0 : 1;
}

} // namespace heathermoor::review
