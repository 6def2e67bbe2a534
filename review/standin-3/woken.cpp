#include "cases.hpp"

#include <csignal>
#include <fmt/format.h>
#include <set>

namespace heathermoor::review {

namespace internal {

constexpr milliseconds retransmit{1'300};
constexpr milliseconds deadline{1'500};
constexpr milliseconds freeze_time{2'000};
constexpr milliseconds between_freezes{4'000};
constexpr std::size_t freezes = 10;

/// Callers that send a job again, to another host, when they have had no response for `retransmit`.
class repeating_callers {
  public:
    explicit repeating_callers(world &played) : m_played{played} {}

    void advance(double per_s) {
        const auto now = m_played.now();
        constexpr double ms_per_s = 1'000;
        m_owed += m_last == time_point{} ? 0 : per_s * to_ms(now - m_last) / ms_per_s;
        m_last = now;
        for(; m_owed >= 1; m_owed -= 1) {
            const auto host = pick(m_played.hosts());
            if(host) {
                const auto id = m_played.make_job({1, {milliseconds{760}, 20'000}, deadline});
                m_open[id] = {*host, now};
                m_played.send("POST", id, *host, [this, id](const caller_answer &) { m_open.erase(id); });
            }
        }
        for(auto &[id, sent]: m_open) {
            if(!sent.again && now - sent.at >= retransmit) {
                sent.again = true;
                if(const auto other = pick(sent.host)) {
                    m_played.send("POST", id, *other, [](const caller_answer &) {});
                }
            }
        }
    }

  private:
    struct sent_job {
        std::size_t host{};
        time_point at;
        bool again{};
    };

    [[nodiscard]] std::optional<std::size_t> pick(std::size_t except) {
        std::vector<std::size_t> usable;
        for(std::size_t host = 0; host < m_played.hosts(); ++host) {
            if(m_played.ready(host) && host != except) {
                usable.push_back(host);
            }
        }
        return usable.empty() ? std::nullopt : std::optional{usable[m_played.random()() % usable.size()]};
    }

    world &m_played;
    std::map<std::string, sent_job> m_open;
    time_point m_last;
    double m_owed{};
};

} // namespace internal

int play_woken(world &played, bool trouble) {
    constexpr double jobs_per_s = 80;
    constexpr milliseconds step{2};
    internal::repeating_callers callers{played};
    std::map<std::string, std::string> seen;
    const auto run = [&](milliseconds length) {
        const auto end = played.now() + length;
        while(played.now() < end) {
            played.run_for(step);
            callers.advance(jobs_per_s);
            for(const auto &[task, targets]: played.overlaps()) {
                if(seen.emplace(task, targets).second) {
                    played.note(fmt::format("two_runs task={} targets={}", task, targets));
                }
            }
        }
    };
    run(milliseconds{6'000});
    for(std::size_t freeze = 0; freeze < internal::freezes; ++freeze) {
        const auto leader = played.find_leader();
        if(!leader) {
            played.note("verdict could not run: no host leads");
            return 2;
        }
        if(trouble) {
            played.send_signal(*leader, SIGSTOP);
        }
        run(internal::freeze_time);
        if(trouble) {
            played.send_signal(*leader, SIGCONT);
        }
        run(internal::between_freezes);
    }
    played.note(fmt::format("verdict {}: {} tasks ran on two workers at the same time", seen.empty() ? "held" : "broken", seen.size()));
    return seen.empty() ? 0 : 1;
}

} // namespace heathermoor::review
