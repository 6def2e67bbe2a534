#include "heathermoor/core/event.hpp"
#include "heathermoor/member/convert.hpp"
#include "heathermoor/member/member.hpp"
#include <algorithm>

namespace heathermoor::member {

namespace internal {

/// Time since its last heartbeat for which a peer counts as one that can tell what is evacuated.
constexpr milliseconds informed_peer_validity{2'500};

/// Age in milliseconds as logged if there is none.
constexpr double no_age = -1.0;

/// Age of what a peer knows, in milliseconds, at most: from its own confirmation, and from the message that it echoes. In floating
/// point, as a peer may send any number.
[[nodiscard]] double age_ms(const wire::envelope &message, const wire::pool_evacuations &known, time_point now) {
    if(message.echo_us() == 0 || known.as_of_us() == 0) {
        return no_age;
    }
    constexpr double us_per_ms = 1'000.0;
    const auto now_us = static_cast<double>(now.time_since_epoch().count());
    const auto echoed_us = std::min(now_us, static_cast<double>(message.echo_us()));
    return (static_cast<double>(message.sent_us()) - static_cast<double>(known.as_of_us()) + now_us - echoed_us) / us_per_ms;
}

} // namespace internal

void member::apply_evacuations(const std::vector<evacuation::evacuation_request> &records, log_offset next, bool complete) {
    const auto changes = complete ? m_evacuations.merge(records, next) : m_evacuations.apply(records, next);
    evacuations_changed(changes, name_of(confirmation::source::store), 0);
}

void member::take_evacuations(const wire::envelope &message, const wire::pool_evacuations &known) {
    const auto requests = from_wire(known);
    const log_offset next{known.next()};
    if(!evacuation::plausible(requests) || !m_evacuations.may_be_next(next)) {
        log_event(log_level::warning, "evacuation", "evacuations_invalid",
                  {{"from", message.from()}, {"next", next}, {"requests", requests.size()}});
        return;
    }
    if(next > m_evacuations.next()) {
        m_config_from_peer_at = now();
    }
    evacuations_changed(m_evacuations.merge(requests, next), message.from(), internal::age_ms(message, known, now()));
}

void member::fill_evacuations(wire::pool_evacuations &body) const {
    body = to_wire(m_evacuations);
    const auto as_of = m_confirmations.as_of(confirmation::subject::configuration);
    body.set_as_of_us(as_of ? as_of->time_since_epoch().count() : 0);
}

void member::evacuations_changed(const std::vector<evacuation::evacuation_change> &changes, std::string_view by, double age_ms) {
    m_scheduler.set_uninformed(uninformed(now()));
    if(changes.empty()) {
        return;
    }
    m_scheduler.set_evacuated(m_evacuations.domains());
    for(const auto &change: changes) {
        log_event(log_level::info, "evacuation", change.in_force ? "evacuation_in_force" : "evacuation_taken_back",
                  {{"domain", change.domain}, {"offset", change.offset}, {"by", by}, {"age_ms", age_ms}});
    }
    m_contacts.make_links_due();
    process_pending();
}

bool member::uninformed(time_point now) const {
    if(m_evacuations.known()) {
        return false;
    }
    return !m_routes.configured() || std::any_of(m_peers.begin(), m_peers.end(), [now](const auto &item) {
        return item.second.requests_next > log_offset{} && now - item.second.heard_at <= internal::informed_peer_validity;
    });
}

} // namespace heathermoor::member
