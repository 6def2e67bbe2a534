#include "heathermoor/confirmation/confirmation_monitor.hpp"

#include "heathermoor/core/event.hpp"
#include <algorithm>

namespace heathermoor::confirmation {

namespace internal {

[[nodiscard]] constexpr std::string_view name_of(loss why) noexcept {
    constexpr std::array<std::string_view, 4> names{"failed", "overdue", "suspected", "expired"};
    return names.at(static_cast<std::size_t>(why));
}

/// Age in milliseconds as logged; negative if there is none.
[[nodiscard]] double logged_age(const confirmation_monitor &monitor, subject what, time_point now) noexcept {
    return monitor.as_of(what) ? to_ms(monitor.age(what, now)) : -1.0;
}

} // namespace internal

confirmation_state &confirmation_monitor::at(subject what, source from) noexcept {
    return m_states.at(static_cast<std::size_t>(what)).at(static_cast<std::size_t>(from));
}

const confirmation_state &confirmation_monitor::state(subject what, source from) const noexcept {
    return m_states.at(static_cast<std::size_t>(what)).at(static_cast<std::size_t>(from));
}

void confirmation_monitor::confirm(subject what, source from, const host_id &peer, time_point as_of, time_point now) {
    auto &state = at(what, from);
    if(!state.as_of || as_of > *state.as_of) {
        state.as_of = as_of;
        state.peer = peer;
    }
    if(state.lost_at && (from == source::store || now - as_of <= limit_of(what))) {
        log_event(log_level::info, "confirmation", "source_regained",
                  {{"subject", name_of(what)}, {"source", name_of(from)}, {"peer", state.peer}, {"lost_ms", now - *state.lost_at}});
        state.lost_at.reset();
    }
}

void confirmation_monitor::store_lost(subject what, loss why, time_point now) {
    lose(what, source::store, internal::name_of(why), now);
}

void confirmation_monitor::expire(time_point now, bool expected) {
    if(!expected) {
        return;
    }
    for(std::size_t index = 0; index < subjects; ++index) {
        const auto what = static_cast<subject>(index);
        const auto &state = at(what, source::peer);
        if(state.as_of && now - *state.as_of > limit_of(what)) {
            lose(what, source::peer, internal::name_of(loss::expired), now);
        }
    }
}

void confirmation_monitor::lose(subject what, source from, std::string_view why, time_point now) {
    auto &state = at(what, from);
    if(state.lost_at) {
        return;
    }
    state.lost_at = now;
    ++state.losses;
    const bool confirmed = age(what, now) <= limit_of(what);
    log_event(confirmed ? log_level::info : log_level::warning, "confirmation", "source_lost",
              {{"subject", name_of(what)},
               {"source", name_of(from)},
               {"peer", state.peer},
               {"reason", why},
               {"confirmed_by", confirmed_by(what)},
               {"age_ms", internal::logged_age(*this, what, now)}});
}

std::optional<time_point> confirmation_monitor::as_of(subject what) const noexcept {
    const auto &store = state(what, source::store).as_of;
    const auto &peer = state(what, source::peer).as_of;
    if(!store || !peer) {
        return store ? store : peer;
    }
    return std::max(*store, *peer);
}

duration confirmation_monitor::age(subject what, time_point now) const noexcept {
    const auto latest = as_of(what);
    return latest ? now - *latest : duration::max();
}

std::string_view confirmation_monitor::confirmed_by(subject what) const noexcept {
    const auto latest = as_of(what);
    if(!latest) {
        return {};
    }
    const auto &peer = state(what, source::peer);
    return peer.as_of == latest ? std::string_view{peer.peer.str()} : name_of(source::store);
}

void log_confirmations(const confirmation_monitor &monitor, time_point now) {
    log_event(log_level::info, "confirmation", "confirmations",
              {{"configuration_by", monitor.confirmed_by(subject::configuration)},
               {"configuration_age_ms", internal::logged_age(monitor, subject::configuration, now)},
               {"target_list_by", monitor.confirmed_by(subject::target_list)},
               {"target_list_age_ms", internal::logged_age(monitor, subject::target_list, now)},
               {"host_list_by", monitor.confirmed_by(subject::host_list)},
               {"host_list_age_ms", internal::logged_age(monitor, subject::host_list, now)}});
}

} // namespace heathermoor::confirmation
