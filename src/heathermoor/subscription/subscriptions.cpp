#include "heathermoor/subscription/subscriptions.hpp"

#include "heathermoor/core/event.hpp"
#include <utility>

namespace heathermoor::subscription {

namespace internal {

/// Key of the configuration among the operators' records.
constexpr auto config_key = "config";

/// Long polling of the configuration; the store answers as soon as it changes.
constexpr feed::poll_timing config_timing{milliseconds{0}, milliseconds{20'000}};

/// Polling of the list of targets by the leader: well within the time after which
/// a draining target must get no new work.
constexpr feed::poll_timing targets_timing_leading{milliseconds{500}, milliseconds{0}};

/// Polling of the list of targets by all other hosts: a host that becomes leader
/// has to know within the same time which targets are draining.
constexpr feed::poll_timing targets_timing_following{milliseconds{1'000}, milliseconds{0}};

/// Polling of the list of hosts.
constexpr feed::poll_timing hosts_timing{milliseconds{4'000}, milliseconds{0}};

[[nodiscard]] confirmation::loss to_loss(feed::read_problem problem) noexcept {
    return problem == feed::read_problem::overdue ? confirmation::loss::overdue : confirmation::loss::failed;
}

} // namespace internal

config_subscription::config_subscription(member::member &member, feed::topic_port &topic, const record_decoder &decoder)
    : m_member{member}, m_decoder{decoder}, m_follower{topic, *this, internal::config_timing} {}

void config_subscription::tick(time_point now) {
    m_follower.tick(now);
}

void config_subscription::topic_changed(const std::vector<feed::keyed_record> &records, log_offset, bool) {
    for(const auto &record: records) {
        if(record.key != internal::config_key || !record.value) {
            continue;
        }
        auto config = m_decoder.decode_config(*record.value);
        if(!config) {
            log_event(log_level::error, "config", "config_unreadable", {{"offset", record.offset}});
            continue;
        }
        (void)m_member.apply_config(std::move(*config));
    }
}

void config_subscription::topic_confirmed(time_point as_of) {
    m_member.store_confirmed(confirmation::subject::configuration, as_of);
}

void config_subscription::topic_unanswered(feed::read_problem problem) {
    m_member.store_lost(confirmation::subject::configuration, internal::to_loss(problem));
}

target_subscription::target_subscription(member::member &member, feed::topic_port &topic, const record_decoder &decoder)
    : m_member{member}, m_decoder{decoder}, m_follower{topic, *this, internal::targets_timing_following} {}

void target_subscription::tick(time_point now) {
    m_follower.set_timing(m_member.leading() ? internal::targets_timing_leading : internal::targets_timing_following);
    m_follower.tick(now);
}

void target_subscription::topic_changed(const std::vector<feed::keyed_record> &records, log_offset next, bool complete) {
    std::vector<catalog::catalog_record> decoded;
    for(const auto &record: records) {
        if(record.key.empty()) {
            continue;
        }
        catalog::catalog_record entry{record.offset, target_id{record.key}, std::nullopt};
        if(record.value) {
            entry.entry = m_decoder.decode_target(record.key, *record.value);
            if(!entry.entry) {
                log_event(log_level::warning, "catalog", "target_unreadable", {{"target", record.key}, {"offset", record.offset}});
                continue;
            }
        }
        decoded.push_back(std::move(entry));
    }
    m_member.apply_catalog(decoded, next, complete);
}

void target_subscription::topic_confirmed(time_point as_of) {
    m_member.store_confirmed(confirmation::subject::target_list, as_of);
}

void target_subscription::topic_unanswered(feed::read_problem problem) {
    m_member.store_lost(confirmation::subject::target_list, internal::to_loss(problem));
}

host_subscription::host_subscription(member::member &member, feed::topic_port &topic)
    : m_member{member}, m_follower{topic, *this, internal::hosts_timing} {}

void host_subscription::tick(time_point now) {
    m_follower.tick(now);
}

void host_subscription::topic_changed(const std::vector<feed::keyed_record> &records, log_offset next, bool) {
    for(const auto &record: records) {
        if(record.value && !record.key.empty()) {
            m_member.add_host(host_id{record.key}, failure_domain_id{*record.value});
        }
    }
    m_member.hosts_read_to(next);
}

void host_subscription::topic_confirmed(time_point as_of) {
    m_member.store_confirmed(confirmation::subject::host_list, as_of);
}

void host_subscription::topic_unanswered(feed::read_problem problem) {
    m_member.store_lost(confirmation::subject::host_list, internal::to_loss(problem));
}

} // namespace heathermoor::subscription
