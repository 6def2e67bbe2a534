#include "cases.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace heathermoor::review {

namespace internal {

constexpr std::size_t requests = 12;
constexpr std::size_t list_entries = 100'000;
constexpr std::size_t list_tasks = 9'000;

/// A job of two steps whose second names the first one again and again; below the limit of 262,144 bytes.
[[nodiscard]] std::string long_list_body() {
    std::string after = "0";
    for(std::size_t entry = 1; entry < list_entries; ++entry) {
        after += ",0";
    }
    return fmt::format(R"({{"spec":"10 100","best_effort":true,"steps":[{{"count":1,"cpu":100}},{{"count":{},"cpu":1,"after":[{}]}}]}})",
                       list_tasks, after);
}

} // namespace internal

int play_long_lists(world &played, bool trouble) {
    constexpr double jobs_per_s = 40;
    constexpr milliseconds before{5'000};
    constexpr milliseconds pause{2'500};
    constexpr milliseconds watched{20'000};
    constexpr double busy_share = 0.9;
    constexpr std::size_t missed_probes = 15;
    played.set_load(jobs_per_s);
    played.run_for(before);
    for(std::size_t request = 0; request < internal::requests; ++request) {
        std::vector<std::size_t> ready;
        for(std::size_t host = 0; host < played.hosts(); ++host) {
            if(played.ready(host)) {
                ready.push_back(host);
            }
        }
        if(trouble && !ready.empty()) {
            const auto id = played.keep_job(internal::long_list_body(), milliseconds{1'500});
            played.send("POST", id, ready[played.random()() % ready.size()], [](const caller_answer &) {});
        }
        played.run_for(pause);
    }
    // From here on nobody sends such a request.
    std::vector<milliseconds> used;
    for(std::size_t host = 0; host < played.hosts(); ++host) {
        used.push_back(played.processor_time(host));
    }
    const auto answers = played.load_answers();
    played.run_for(watched);
    std::size_t hung = 0;
    for(std::size_t host = 0; host < played.hosts(); ++host) {
        const auto more = played.processor_time(host) - used[host];
        const bool busy = to_ms(more) >= busy_share * to_ms(watched);
        const bool silent = played.missed(host) >= missed_probes;
        played.note(
            fmt::format("host={} processor_ms={} of {} probes_missed={}", host, more.count(), watched.count(), played.missed(host)));
        hung += busy && silent ? 1 : 0;
    }
    for(const auto &[status, count]: played.load_answers()) {
        const auto earlier = answers.find(status);
        played.note(fmt::format("answers status={} count={}", status, count - (earlier == answers.end() ? 0 : earlier->second)));
    }
    played.note(hung > 0 ? fmt::format("verdict broken: {} processes keep the processor and answer nothing", hung) : "verdict held");
    return hung > 0 ? 1 : 0;
}

} // namespace heathermoor::review
