#include "heathermoor/subscription/subscriptions.hpp"

#include "heathermoor/core/event.hpp"
#include <algorithm>
#include <chrono>
#include <utility>

namespace heathermoor::subscription {

namespace internal {

/// Key of the configuration among the operators' records.
constexpr auto config_key = "config";

/// Long polling of the configuration by a host that another one confirms; the store answers as soon as it changes.
constexpr milliseconds config_wait_confirmed{20'000};

/// Time within which a host that no other one confirms has its configuration confirmed by the store.
constexpr milliseconds config_confirm_interval{1'000};

/// Shortest wait of a read that is to confirm the configuration.
constexpr milliseconds min_config_wait{250};

/// Age of the configuration at which the pending read of a leader is suspected: its followers rely on it.
constexpr milliseconds config_age_limit_leading{1'400};

/// Time after a peer has passed on a version in which the store answers a read that waits for it.
constexpr milliseconds peer_lead_limit{400};

/// Polling of the list of targets by the leader: well within the time after which
/// a draining target must get no new work.
constexpr feed::poll_timing targets_timing_leading{milliseconds{500}, milliseconds{0}};

/// Polling of the list of targets by all other hosts: a host that becomes leader
/// has to know within the same time which targets are draining.
constexpr feed::poll_timing targets_timing_following{milliseconds{1'000}, milliseconds{0}};

/// Polling of the list of hosts by a host that no other one confirms.
constexpr feed::poll_timing hosts_timing{milliseconds{4'000}, milliseconds{0}};

/// Polling of the list of hosts by a host that another one confirms.
constexpr feed::poll_timing hosts_timing_confirmed{milliseconds{20'000}, milliseconds{0}};

[[nodiscard]] confirmation::loss to_loss(feed::read_problem problem) noexcept {
    switch(problem) {
    case feed::read_problem::overdue:
        return confirmation::loss::overdue;
    case feed::read_problem::suspected:
        return confirmation::loss::suspected;
    case feed::read_problem::failed:
        break;
    }
    return confirmation::loss::failed;
}

/// Whether another host confirms a subject, so that this host need not have it confirmed by the store.
[[nodiscard]] bool confirmed_by_peer(const member::member &member, confirmation::subject what, time_point now) {
    const auto &as_of = member.confirmations().state(what, confirmation::source::peer).as_of;
    return !member.leading() && as_of && now - *as_of <= confirmation::limit_of(what);
}

} // namespace internal

config_subscription::config_subscription(member::member &member, feed::topic_port &topic, const record_decoder &decoder)
    : m_member{member}, m_decoder{decoder}, m_follower{topic, *this, {milliseconds{0}, internal::config_confirm_interval}} {}

milliseconds config_subscription::wait(time_point now) const {
    if(internal::confirmed_by_peer(m_member, confirmation::subject::configuration, now)) {
        return internal::config_wait_confirmed;
    }
    const auto age = m_member.confirmations().age(confirmation::subject::configuration, now);
    if(age >= internal::config_confirm_interval) {
        return milliseconds{0};
    }
    const auto left = std::chrono::duration_cast<milliseconds>(internal::config_confirm_interval - age);
    return std::max(internal::min_config_wait, left);
}

bool config_subscription::read_is_suspect(time_point now) const {
    const auto subject = confirmation::subject::configuration;
    const auto limit = m_member.leading() ? duration{internal::config_age_limit_leading} : confirmation::limit_of(subject);
    if(m_member.confirmations().age(subject, now) > limit) {
        return true;
    }
    const auto passed_on = m_member.config_from_peer_at();
    const auto started = m_follower.pending_since();
    return passed_on && started && *started < *passed_on && now - *passed_on > internal::peer_lead_limit;
}

void config_subscription::tick(time_point now) {
    m_follower.set_timing({milliseconds{0}, wait(now)});
    if(read_is_suspect(now)) {
        m_follower.suspect_read(now);
    }
    m_follower.tick(now);
}

void config_subscription::pass_evacuations(const std::vector<feed::keyed_record> &records, log_offset next, bool complete) {
    std::vector<evacuation::evacuation_request> requests;
    for(const auto &record: records) {
        auto domain = m_decoder.decode_evacuation(record.key);
        if(!domain) {
            continue;
        }
        if(domain->empty() || domain->str().size() > evacuation::max_domain_name) {
            log_event(log_level::warning, "evacuation", "request_unreadable", {{"key", record.key}, {"offset", record.offset}});
            continue;
        }
        requests.push_back({std::move(*domain), record.offset, record.value.has_value()});
    }
    m_member.apply_evacuations(requests, next, complete);
}

void config_subscription::topic_changed(const std::vector<feed::keyed_record> &records, log_offset next, bool complete) {
    // Before the configuration, so that no host serves routes without knowing what is evacuated.
    pass_evacuations(records, next, complete);
    for(const auto &record: records) {
        if(record.key != internal::config_key || !record.value) {
            continue;
        }
        auto decoded = m_decoder.decode_config(*record.value);
        if(!decoded.config) {
            reject(decoded, record.offset);
            continue;
        }
        m_rejected.reset();
        (void)m_member.apply_config(std::move(*decoded.config));
    }
}

void config_subscription::reject(const decoded_config &decoded, log_offset offset) {
    m_rejected = decoded.version;
    ++m_rejections;
    const auto &routes = m_member.routes();
    log_event(log_level::error, "config", "config_unreadable",
              {{"offset", offset},
               {"version", decoded.version},
               {"problem", decoded.problem},
               {"version_in_force", routes.configured() ? routes.current().version : config_version{}}});
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
    const bool confirmed = internal::confirmed_by_peer(m_member, confirmation::subject::host_list, now);
    m_follower.set_timing(confirmed ? internal::hosts_timing_confirmed : internal::hosts_timing);
    if(m_member.host_list_behind()) {
        m_follower.read_soon(now);
    }
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
