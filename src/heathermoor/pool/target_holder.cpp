#include "heathermoor/pool/target_holder.hpp"

#include "heathermoor/core/event.hpp"
#include <algorithm>
#include <iterator>

namespace heathermoor::pool {

namespace internal {

/// Length of the lease that each order asks for. Added to the time after which an entry
/// host counts as lost, the tolerance for slow clocks and the time for a stop, it stays
/// below the callers' resubmission time of 1,300 ms.
constexpr milliseconds lease_length{750};

/// Remaining lease below which a renewal is sent: half of the lease length and a round trip.
constexpr milliseconds renewal_threshold{400};

/// Duration of the long poll at a target with runs: shorter than what is left of a lease
/// after one lost call, and short enough to detect slow runs early.
constexpr milliseconds busy_wait{125};

/// The same while answers get lost: an end whose report was lost is reported again within this time.
constexpr milliseconds lossy_wait{40};

/// Duration of the long poll at a target without runs; the maximum that the platform allows.
constexpr milliseconds idle_wait{2'000};

/// Time beyond its duration after which an unanswered long poll marks the target as unresponsive.
constexpr milliseconds answer_slack{150};

/// Delay before repeating a claim that was rejected or not answered.
constexpr milliseconds claim_retry{250};

/// Claims that are repeated without a delay after an order to a held target was not answered.
constexpr std::uint32_t quick_claims = 3;

/// Time for which a target has to be known as idle before other hosts are told.
constexpr milliseconds idle_publish_delay{1'000};

/// Time after a target was last listed as idle in which nothing is started on it: longer
/// than other hosts act on such a list, and than an entry host that has moved to another
/// scheduler still counts as waiting here.
constexpr milliseconds idle_hold_off_time{1'500};

/// Interval between stop orders for the same run.
constexpr milliseconds stop_retry{200};

} // namespace internal

void target_holder::set_targets(const std::vector<scoped_target> &targets, std::set<target_id> known) {
    m_known = std::move(known);
    for(auto &[id, target]: m_targets) {
        target.removed = true;
    }
    for(const auto &[entry, fenced_pause]: targets) {
        auto &target = m_targets[entry.id];
        if(target.entry.boot != entry.boot && target.boot && *target.boot != entry.boot) {
            target.boot_check_due = true;
        }
        target.entry = entry;
        target.fenced_pause = fenced_pause;
        target.ledger.set_capacity(entry.capacity);
        target.removed = false;
        target.evacuated = m_evacuated.contains(entry.domain);
    }
    for(auto target = m_targets.begin(); target != m_targets.end();) {
        if(target->second.removed && !target->second.ledger.busy()) {
            m_orders.release(target->first);
            target = m_targets.erase(target);
        } else {
            ++target;
        }
    }
}

void target_holder::set_evacuated(std::set<failure_domain_id> domains) {
    m_evacuated = std::move(domains);
    for(auto &[id, target]: m_targets) {
        target.evacuated = m_evacuated.contains(target.entry.domain);
    }
}

void target_holder::release_all() {
    for(const auto &[id, target]: m_targets) {
        m_orders.release(id);
    }
    m_targets.clear();
    m_idle_since.clear();
    m_published_idle.clear();
    m_idle_published_at.clear();
}

order_address target_holder::address_of(const held_target &target) const {
    return {target.entry.id, target.entry.address, target.token};
}

held_target *target_holder::match_answer(const order_answer &answer, time_point now) {
    const auto found = m_targets.find(answer.target);
    if(found == m_targets.end() || found->second.token != answer.token || found->second.state != hold_state::held) {
        return nullptr;
    }
    if(answer.clock && found->second.ledger.shows_restart(*answer.clock)) {
        // Only a report names the boot; until one does, nothing more is started there.
        log_event(log_level::info, "pool", "target_restart_suspected",
                  {{"target", answer.target}, {"reading_ms", milliseconds{static_cast<std::int64_t>(*answer.clock)}}});
        supersede_token(found->second, now);
    } else if(answer.clock) {
        found->second.ledger.observe_clock(*answer.clock, now);
    }
    const bool answered = answer.outcome != lease::order_outcome::unanswered && answer.outcome != lease::order_outcome::not_sent;
    if(answered) {
        found->second.answered_at = now;
    }
    return &found->second;
}

void target_holder::supersede_token(held_target &target, time_point now) {
    target.state = hold_state::idle;
    target.next_claim = now;
    target.quick_claims = internal::quick_claims;
}

void target_holder::start(const target_id &target, const job::task_ref &task, run_number run, const resources &need,
                          const std::string &payload, time_point now) {
    auto &held = m_targets.at(target);
    const auto until = held.ledger.lease_until(internal::lease_length, now);
    held.ledger.order_start(task, run, need, until, now);
    m_orders.start({address_of(held), task, run, payload, until});
}

void target_holder::stop(const target_id &target, const job::task_ref &task, time_point now) {
    const auto found = m_targets.find(target);
    if(found == m_targets.end()) {
        return;
    }
    const auto *entry = found->second.ledger.find(task);
    if(entry == nullptr) {
        return;
    }
    const auto run = entry->run;
    found->second.ledger.order_stop(task, now);
    m_orders.stop({address_of(found->second), task, run});
}

void target_holder::adopt(const target_id &target, const job::task_ref &task, const resources &need) {
    const auto found = m_targets.find(target);
    if(found != m_targets.end()) {
        found->second.ledger.set_need(task, need);
    }
}

void target_holder::start_answered(const order_answer &answer, time_point now) {
    auto *target = match_answer(answer, now);
    if(target == nullptr) {
        return;
    }
    if(answer.outcome == lease::order_outcome::done) {
        target->silent = false;
        target->ledger.lease_confirmed(answer.until);
    }
    m_losses.add(answer.outcome != lease::order_outcome::unanswered || target->silent);
    const auto *entry = target->ledger.find(answer.task);
    const auto sent = entry != nullptr ? entry->ordered_at : now;
    const auto ended = target->ledger.start_answered(answer.task, answer.run, answer.outcome, now);
    if(ended) {
        m_listener.run_ended(answer.target, *ended, now);
    }
    if(answer.outcome == lease::order_outcome::fenced) {
        handle_fenced(*target, now);
    } else if(answer.outcome == lease::order_outcome::unanswered) {
        target->silent = target->silent || target->answered_at <= sent;
        supersede_token(*target, now);
    } else if(answer.outcome == lease::order_outcome::not_sent) {
        target->silent = true;
    }
}

void target_holder::stop_answered(const order_answer &answer, time_point now) {
    auto *target = match_answer(answer, now);
    if(target == nullptr) {
        return;
    }
    if(answer.outcome == lease::order_outcome::done) {
        target->ledger.stop_answered(answer.task, answer.run, now);
        renew(*target, now);
    } else if(answer.outcome == lease::order_outcome::fenced) {
        handle_fenced(*target, now);
    }
}

void target_holder::report_answered(const report_answer &answer, time_point now) {
    const auto found = m_targets.find(answer.target);
    if(found == m_targets.end() || found->second.token != answer.token) {
        return;
    }
    auto &target = found->second;
    if(answer.purpose == report_purpose::follow) {
        target.following = false;
    } else if(answer.purpose == report_purpose::renew) {
        target.renewing = false;
    }
    if(answer.outcome == lease::order_outcome::fenced) {
        if(target.state == hold_state::claiming) {
            m_tokens.rejected();
            target.state = hold_state::idle;
            target.next_claim = now + internal::claim_retry;
        } else {
            handle_fenced(target, now);
        }
        return;
    }
    m_losses.add(answer.outcome == lease::order_outcome::done || target.silent || target.state == hold_state::claiming);
    if(answer.outcome != lease::order_outcome::done) {
        target.silent = target.silent || target.answered_at <= answer.asked;
        if(target.state == hold_state::claiming) {
            target.state = hold_state::idle;
            target.next_claim = target.quick_claims > 0 ? now : now + internal::claim_retry;
            target.quick_claims -= target.quick_claims > 0 ? 1 : 0;
        } else if(target.state == hold_state::held && answer.purpose == report_purpose::follow &&
                  (m_resuming || now < target.poll_ends_at)) {
            // The poll ended before its time, or may have: its connection was closed, as by a restart. A claim shows at once which
            // boot answers, another long poll does not.
            supersede_token(target, now);
        }
        return;
    }
    target.silent = false;
    target.answered_at = now;
    target.leaving = answer.report.remaining.has_value();
    target.reported_at = std::max(target.reported_at, answer.asked);
    if(target.state == hold_state::claiming) {
        target.state = hold_state::held;
        target.ledger.fence_raised(answer.asked);
        m_tokens.accepted();
        log_event(log_level::debug, "pool", "target_claimed",
                  {{"target", target.entry.id}, {"token", target.token}, {"running", answer.report.running.size()}});
    }
    const auto known_boot = target.boot.value_or(target.entry.boot);
    const auto changes = target.ledger.apply_report(answer.report, answer.asked, now);
    target.boot = answer.report.boot;
    if(answer.until && !changes.restarted) {
        target.ledger.lease_confirmed(*answer.until);
    }
    if(changes.restarted) {
        // A start order that was delayed in the network may still reach the new boot.
        supersede_token(target, now);
    }
    if(known_boot != answer.report.boot) {
        log_event(log_level::info, "pool", "target_restarted",
                  {{"target", target.entry.id},
                   {"boot", answer.report.boot},
                   {"earlier_boot", known_boot},
                   {"entry_boot", target.entry.boot},
                   {"entry_applies", target.entry_applies()}});
        m_listener.target_restarted(answer.target);
    }
    notify(answer.target, changes, now);
    const auto again = m_targets.find(answer.target);
    if(again != m_targets.end() && again->second.state == hold_state::held && !again->second.following) {
        follow(again->second, now);
    }
}

void target_holder::notify(const target_id &id, const lease::ledger_changes &changes, time_point now) {
    for(const auto &end: changes.ended) {
        m_listener.run_ended(id, end, now);
    }
    for(const auto &run: changes.found) {
        m_listener.run_found(id, run, now);
    }
}

void target_holder::handle_fenced(held_target &target, time_point now) {
    std::vector<job::task_ref> runs;
    for(const auto &[task, entry]: target.ledger.runs()) {
        runs.push_back(task);
    }
    log_event(log_level::info, "pool", "target_taken",
              {{"target", target.entry.id}, {"runs", runs.size()}, {"pause_ms", target.fenced_pause}});
    target.state = hold_state::fenced;
    target.next_claim = now + target.fenced_pause;
    target.following = false;
    target.renewing = false;
    const auto lapse = target.ledger.latest_expiry(now);
    target.ledger = lease::target_ledger{target.entry.capacity};
    m_orders.release(target.entry.id);
    m_listener.target_taken(target.entry.id, runs, lapse, now);
}

void target_holder::claim(held_target &target, milliseconds unix_now) {
    target.token = m_tokens.next(unix_now);
    target.state = hold_state::claiming;
    target.following = false;
    target.renewing = false;
    ++m_claims;
    m_orders.report({address_of(target), report_purpose::claim, std::nullopt, target.ledger.last_end(), milliseconds{0}});
}

void target_holder::request_lease(report_order &order, held_target &target, time_point now) const {
    if(target.silent || !target.ledger.busy() || target.ledger.has_foreign_run() || !m_listener.may_renew(target.ledger.runs(), now)) {
        return;
    }
    order.until = target.ledger.lease_until(internal::lease_length, now);
    target.ledger.order_lease(*order.until);
}

void target_holder::follow(held_target &target, time_point now) {
    report_order order{address_of(target), report_purpose::follow, std::nullopt, target.ledger.last_end(), internal::idle_wait};
    if(target.ledger.busy()) {
        order.wait = m_losses.lossy() ? internal::lossy_wait : internal::busy_wait;
        request_lease(order, target, now);
    }
    target.following = true;
    target.poll_ends_at = now + order.wait;
    target.answer_due = now + order.wait + internal::answer_slack;
    m_orders.report(order);
}

void target_holder::renew(held_target &target, time_point now) {
    if(target.renewing) {
        return;
    }
    report_order order{address_of(target), report_purpose::renew, std::nullopt, target.ledger.last_end(), milliseconds{0}};
    request_lease(order, target, now);
    target.renewing = true;
    target.boot_check_due = false;
    m_orders.report(order);
}

void target_holder::resend_stops(held_target &target, time_point now) {
    std::vector<job::task_ref> due;
    for(const auto &[task, entry]: target.ledger.runs()) {
        const bool open = entry.state == lease::run_state::unconfirmed || entry.state == lease::run_state::stopping;
        if(open && !entry.stop_answered_at && now - entry.stop_sent_at >= internal::stop_retry) {
            due.push_back(task);
        }
    }
    for(const auto &task: due) {
        stop(target.entry.id, task, now);
    }
}

void target_holder::tick(time_point now, milliseconds unix_now) {
    std::vector<target_id> ids;
    ids.reserve(m_targets.size());
    for(const auto &[id, target]: m_targets) {
        ids.push_back(id);
    }
    for(const auto &id: ids) {
        const auto found = m_targets.find(id);
        if(found == m_targets.end()) {
            continue;
        }
        auto &target = found->second;
        const auto lapsed = target.ledger.expire_leases(now);
        for(const auto &end: lapsed) {
            m_listener.run_ended(id, end, now);
        }
        if((target.state == hold_state::idle || target.state == hold_state::fenced) && now >= target.next_claim && !target.removed) {
            claim(target, unix_now);
        } else if(target.state == hold_state::held) {
            if(!target.following) {
                follow(target, now);
            } else if(now > target.answer_due) {
                target.silent = true;
            }
            const bool lease_due = target.ledger.busy() && target.ledger.lease_left(now) < internal::renewal_threshold;
            if(lease_due || target.reported_at < target.report_wanted_at || target.boot_check_due) {
                renew(target, now);
            }
            resend_stops(target, now);
        }
        if(target.removed && !target.ledger.busy()) {
            m_orders.release(id);
            m_targets.erase(found);
        }
    }
}

void target_holder::request_reports(time_point now) {
    for(auto &[id, target]: m_targets) {
        target.report_wanted_at = now;
        if(target.state == hold_state::held) {
            renew(target, now);
        }
    }
}

void target_holder::reclaim(time_point now) {
    for(auto &[id, target]: m_targets) {
        if(target.state == hold_state::fenced || target.state == hold_state::idle) {
            target.next_claim = now;
        }
    }
}

bool target_holder::known_idle(const target_id &id) const {
    const auto found = m_targets.find(id);
    if(found == m_targets.end()) {
        return true;
    }
    const auto &target = found->second;
    return !target.ledger.busy() && (target.state != hold_state::held || target.silent);
}

std::vector<target_id> target_holder::publish_idle(time_point now) {
    std::erase_if(m_idle_published_at, [now](const auto &item) { return now - item.second >= internal::idle_hold_off_time; });
    std::erase_if(m_idle_since, [this](const auto &item) { return !m_known.contains(item.first) || !known_idle(item.first); });
    m_published_idle.clear();
    for(const auto &id: m_known) {
        if(!known_idle(id)) {
            continue;
        }
        const auto since = m_idle_since.try_emplace(id, now).first->second;
        if(now - since >= internal::idle_publish_delay) {
            m_published_idle.insert(id);
            m_idle_published_at[id] = now;
        }
    }
    return {m_published_idle.begin(), m_published_idle.end()};
}

bool target_holder::recently_published_idle(const target_id &target, time_point now) const {
    const auto published = m_idle_published_at.find(target);
    return published != m_idle_published_at.end() && now - published->second < internal::idle_hold_off_time;
}

std::size_t target_holder::evacuated() const noexcept {
    return static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [](const auto &item) { return item.second.evacuated && !item.second.removed; }));
}

std::size_t target_holder::without_entry() const noexcept {
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [](const auto &item) {
        return !item.second.removed && item.second.boot && !item.second.entry_applies();
    }));
}

std::optional<time_point> target_holder::all_reported_since(const std::set<target_id> &idle) const {
    if(m_known.empty()) {
        return std::nullopt;
    }
    auto since = time_point::max();
    for(const auto &id: m_known) {
        if(idle.contains(id)) {
            continue;
        }
        const auto found = m_targets.find(id);
        if(found == m_targets.end() || found->second.state != hold_state::held) {
            return std::nullopt;
        }
        since = std::min(since, found->second.reported_at);
    }
    return since;
}

} // namespace heathermoor::pool
