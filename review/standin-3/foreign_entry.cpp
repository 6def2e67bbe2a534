#include "cases.hpp"

#include <fmt/format.h>
#include <set>

namespace heathermoor::review {

namespace internal {

constexpr std::size_t cancelled_jobs = 6;
constexpr milliseconds cancel_limit{3'000};

/// Key of an entry by a writer that spells names in Latin-1.
constexpr auto unreadable_key = "werk-k\xf6ln-01";

} // namespace internal

int play_foreign_entry(world &played, bool trouble) {
    constexpr int ok = 200;
    constexpr int gone = 410;
    constexpr double jobs_per_s = 60;
    constexpr milliseconds lead{12'000};
    constexpr milliseconds between{200};
    played.run_for(milliseconds{2'000});
    if(trouble) {
        played.note("entry_written key=werk-k<f6>ln-01, with the fields of an entry of another target");
        played.store().put("keyed.servers", internal::unreadable_key, played.sample_entry(played.silent_address()));
    }
    played.run_for(lead);
    played.note("traffic_begins");
    played.set_load(jobs_per_s);
    std::map<std::string, time_point> acknowledged;
    std::vector<std::string> ids;
    for(std::size_t one = 0; one < internal::cancelled_jobs; ++one) {
        ids.push_back(played.make_job({2, {milliseconds{900}, 20'000}, milliseconds{1'500}}));
        const auto &id = ids.back();
        played.send("POST", id, one % played.hosts(), [](const caller_answer &) {});
        played.run_for(between);
        played.send("DELETE", id, (one + 1) % played.hosts(), [&acknowledged, id](const caller_answer &answer) {
            if(answer.status == ok || answer.status == gone) {
                acknowledged[id] = answer.at;
            }
        });
        played.run_for(between);
    }
    played.run_for(milliseconds{5'000});
    const auto copies_at = played.now();
    for(std::size_t one = 0; one < ids.size(); ++one) {
        played.send("POST", ids[one], (one + 2) % played.hosts(), [](const caller_answer &) {});
    }
    played.run_for(milliseconds{10'000});
    played.set_load(0);
    played.run_for(milliseconds{2'000});
    std::set<std::string> started;
    for(const auto &start: played.starts()) {
        const auto found = acknowledged.find(start.job);
        if(found != acknowledged.end() && start.at - found->second > internal::cancel_limit && start.at >= copies_at) {
            started.insert(start.job);
        }
    }
    for(const auto &[status, count]: played.load_answers()) {
        played.note(fmt::format("answers status={} count={}", status, count));
    }
    played.note(fmt::format("verdict {}: {} cancellings acknowledged, {} of these jobs started more than {} ms later",
                            started.empty() ? "held" : "broken", acknowledged.size(), started.size(), internal::cancel_limit.count()));
    if(acknowledged.empty()) {
        return 2;
    }
    return started.empty() ? 0 : 1;
}

} // namespace heathermoor::review
