#pragma once

#include "heathermoor/catalog/target_catalog.hpp"
#include "heathermoor/core/interface.hpp"
#include "heathermoor/lease/target_ledger.hpp"
#include "heathermoor/lease/token_source.hpp"
#include "heathermoor/pool/loss_meter.hpp"
#include "heathermoor/pool/ports.hpp"
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace heathermoor::pool {

/// @brief Receives the events of runs on held targets.
class holder_listener : public interface {
  public:
    /// @brief A run has ended, or it is certain that it never began.
    /// @param target Target that the run was ordered on.
    /// @param end Run and how it ended.
    /// @param now Monotonic time of the event.
    virtual void run_ended(const target_id &target, const lease::ended_run &end, time_point now) = 0;

    /// @brief A target reports a run that this holder has not ordered.
    /// @param target Target that runs it.
    /// @param run Task and run number.
    /// @param now Monotonic time of the event.
    virtual void run_found(const target_id &target, const lease::found_run &run, time_point now) = 0;

    /// @brief Another holder has claimed a target; its runs can no longer be controlled from here.
    /// @param target Target that was claimed.
    /// @param runs Tasks that may be running there.
    /// @param lapse Time by which they have ended: the new holder does not renew their lease.
    /// @param now Monotonic time of the event.
    virtual void target_taken(const target_id &target, const std::vector<job::task_ref> &runs, time_point lapse, time_point now) = 0;

    /// @brief Whether the lease of a target's runs may be extended.
    /// @param runs All runs that may be active on the target.
    /// @param now Monotonic time of the call.
    /// @return False while it is uncertain whether anybody still waits for one of them.
    [[nodiscard]] virtual bool may_renew(const std::unordered_map<job::task_ref, lease::run_entry> &runs, time_point now) const = 0;

    /// @brief A target has restarted; it may be of a different kind now.
    /// @param target Target that shows a new boot.
    virtual void target_restarted(const target_id &target) = 0;
};

/// @brief Target in scope of this host.
struct scoped_target {
    catalog::target_entry entry;
    /// Delay before claiming the target again after another holder has claimed it.
    milliseconds fenced_pause{};
};

/// @brief State of this host's hold on a target.
///
/// `idle`: not claimed; `claiming`: a claim awaits its answer; `held`: the target has accepted the claim;
/// `fenced`: another holder has claimed the target.
enum class hold_state : std::uint8_t { idle, claiming, held, fenced };

/// @brief This host's view of a target in scope.
struct held_target {
    catalog::target_entry entry;
    lease::target_ledger ledger{resources{}};
    hold_state state{hold_state::idle};
    /// Boot that sent the latest report, also from before another holder claimed the target; empty before the first one.
    std::optional<target_boot> boot;
    /// The entry has come to name another boot than the latest report; a report is due that shows which one answers.
    bool boot_check_due{};
    fencing_token token{};
    /// Earliest time of the next claim.
    time_point next_claim;
    /// When the latest report that the target has answered was requested.
    time_point reported_at;
    /// A report requested at this time or later is needed.
    time_point report_wanted_at;
    /// Claims left that are repeated at once, without a delay, if they get no answer.
    std::uint32_t quick_claims{};
    /// Delay before a claim after another holder has claimed the target.
    milliseconds fenced_pause{};
    /// A long poll is pending.
    bool following{};
    /// A renewal is pending.
    bool renewing{};
    /// When the target last answered any call.
    time_point answered_at;
    /// When the target answers the pending long poll at the latest, if it can.
    time_point poll_ends_at;
    /// When the pending long poll is overdue.
    time_point answer_due;
    /// Unresponsive: a call got no answer, and nor did any other since it was sent. Nothing is started here until one does.
    bool silent{};
    /// The target reports that it is shutting down.
    bool leaving{};
    /// No longer in scope; erased once none of its runs may be active.
    bool removed{};
    /// Its failure domain is being evacuated: nothing is started here, and what runs goes on.
    bool evacuated{};

    /// @brief Whether the entry describes the boot that answers.
    ///
    /// A target may restart as another kind: capacity, labels, service and address are known only from an entry of the same boot.
    /// @return False also before the first report.
    [[nodiscard]] bool entry_applies() const noexcept { return boot == entry.boot; }

    /// @brief Whether the target may serve tasks once it is held.
    /// @return False while it is unresponsive, leaving, evacuated, out of scope, or known to have restarted since its entry was written.
    [[nodiscard]] bool may_serve() const noexcept {
        return !silent && !removed && !leaving && !evacuated && !entry.draining && (!boot || entry_applies());
    }
};

/// @brief Holds targets exclusively by fencing tokens and tracks their runs.
///
/// Claims every target in scope with an increasing token, keeps one long poll pending
/// at each held target, renews leases while something runs and settles orders with an
/// unknown outcome.
class target_holder {
  public:
    /// @brief Creates a holder without targets.
    /// @param orders Port for orders to targets; has to outlive the holder.
    /// @param listener Receiver of run events; has to outlive the holder.
    /// @param tokens Source of the fencing tokens for claims.
    target_holder(order_port &orders, holder_listener &listener, lease::token_source tokens)
        : m_orders{orders}, m_listener{listener}, m_tokens{tokens} {}

    /// @brief Replaces the set of targets in scope; a target that has left it is kept while it may have runs.
    /// @param targets Targets that this host holds or tries to hold.
    /// @param known Every target that any host may be using, in scope or not.
    void set_targets(const std::vector<scoped_target> &targets, std::set<target_id> known);

    /// @brief Replaces the failure domains that are being evacuated; targets of them stay held.
    /// @param domains Failure domains, also ones without a target in scope.
    void set_evacuated(std::set<failure_domain_id> domains);

    /// @brief Drops all targets without sending them anything; their runs end with their leases.
    void release_all();

    /// @brief Orders the start of a task.
    /// @param target Held target with enough free capacity.
    /// @param task Task without an active run on the target.
    /// @param run Number of the run; higher than that of any earlier run of the task.
    /// @param need Resources that the task occupies.
    /// @param payload Job payload, passed on unchanged.
    /// @param now Monotonic time of the call.
    void start(const target_id &target, const job::task_ref &task, run_number run, const resources &need, const std::string &payload,
               time_point now);

    /// @brief Orders the stop of a task's run; has no effect if none may be active on the target.
    /// @param target Target of the run.
    /// @param task Task of the run.
    /// @param now Monotonic time of the call.
    void stop(const target_id &target, const job::task_ref &task, time_point now);

    /// @brief Sets the resources of a run that `holder_listener::run_found` reported.
    /// @param target Target of the run.
    /// @param task Task of the run.
    /// @param need Resources that the task occupies.
    void adopt(const target_id &target, const job::task_ref &task, const resources &need);

    /// @brief Handles the answer to a start order; an answer to a superseded token is ignored.
    /// @param answer Answer; its outcome is `unanswered` if none arrived.
    /// @param now Monotonic time of the call.
    void start_answered(const order_answer &answer, time_point now);

    /// @brief Handles the answer to a stop order; an answer to a superseded token is ignored.
    /// @param answer Answer; its outcome is `unanswered` if none arrived.
    /// @param now Monotonic time of the call.
    void stop_answered(const order_answer &answer, time_point now);

    /// @brief Handles the answer to a claim, a long poll or a renewal; an answer to a superseded token is ignored.
    /// @param answer Report of the target; the outcome is `unanswered` if none arrived.
    /// @param now Monotonic time of the call.
    void report_answered(const report_answer &answer, time_point now);

    /// @brief Sends the claims, long polls, lease renewals and repeated stops that are due, and ends runs whose lease has passed.
    /// @param now Monotonic time of the call.
    /// @param unix_now Wall clock since the Unix epoch, for fencing tokens.
    void tick(time_point now, milliseconds unix_now);

    /// @brief Whether other hosts may still act on a report that a target is idle.
    /// @param target Target.
    /// @param now Monotonic time of the call.
    /// @return True if nothing may be started on the target for now.
    [[nodiscard]] bool recently_published_idle(const target_id &target, time_point now) const;

    /// @brief All targets in scope, and those that have left it but may have runs.
    /// @return Targets by id.
    [[nodiscard]] const std::map<target_id, held_target> &targets() const noexcept { return m_targets; }

    /// @brief Requests a report from every held target, and from each other target once it is held.
    /// @param now Monotonic time of the call.
    void request_reports(time_point now);

    /// @brief Sets whether this host resumes after a pause, and may not have read yet what arrived meanwhile.
    /// @param resuming True until everything has been read.
    void set_resuming(bool resuming) noexcept { m_resuming = resuming; }

    /// @brief Makes claims due at the next tick for all targets that are not held, after another holder has released its own.
    /// @param now Monotonic time of the call.
    void reclaim(time_point now);

    /// @brief Lists the targets on which no run of this holder can be active, to be sent to other hosts.
    ///
    /// Nothing is started on a target until some time after the last call that listed it,
    /// so that no host acts on an outdated list.
    /// @param now Monotonic time of the call.
    /// @return Known targets that have been unresponsive, not held or out of scope for a while, without a run.
    [[nodiscard]] std::vector<target_id> publish_idle(time_point now);

    /// @brief Time since which every known target has reported its runs.
    /// @param idle Targets that need no report.
    /// @return Earliest request among the latest reports of the targets that are not in `idle`; none if one of these is not held
    /// or no target is known.
    [[nodiscard]] std::optional<time_point> all_reported_since(const std::set<target_id> &idle) const;

    /// @brief Counts the targets whose entry on the list is not of the boot that answers.
    /// @return Number of targets in scope that serve nothing until their entry is written and read.
    [[nodiscard]] std::size_t without_entry() const noexcept;

    /// @brief Counts the targets on which nothing is started because of an evacuation.
    /// @return Number of targets in scope, held or not.
    [[nodiscard]] std::size_t evacuated() const noexcept;

    /// @brief Counts the claims sent since the holder was created.
    /// @return Number of claims, including repeated ones.
    [[nodiscard]] std::uint64_t claims() const noexcept { return m_claims; }

  private:
    void claim(held_target &target, milliseconds unix_now);
    /// Adds a lease to a request, unless the target is unresponsive: its runs then have to lapse so that they can be restarted elsewhere.
    void request_lease(report_order &order, held_target &target, time_point now) const;
    void follow(held_target &target, time_point now);
    void renew(held_target &target, time_point now);
    void resend_stops(held_target &target, time_point now);
    /// Makes a claim with a higher token due for a held target: a start without an answer is either carried out before
    /// the claim, so that the claim's report lists it, or never.
    void supersede_token(held_target &target, time_point now);
    void handle_fenced(held_target &target, time_point now);
    [[nodiscard]] bool known_idle(const target_id &id) const;
    void notify(const target_id &id, const lease::ledger_changes &changes, time_point now);
    [[nodiscard]] order_address address_of(const held_target &target) const;
    /// Finds the held target of an answer and records the clock that it shows; null if the answer is to a superseded token.
    [[nodiscard]] held_target *match_answer(const order_answer &answer, time_point now);

    order_port &m_orders;
    holder_listener &m_listener;
    lease::token_source m_tokens;
    std::map<target_id, held_target> m_targets;
    /// Failure domains that are being evacuated.
    std::set<failure_domain_id> m_evacuated;
    /// Every target that any host may be using.
    std::set<target_id> m_known;
    /// Since when targets are known to be idle.
    std::map<target_id, time_point> m_idle_since;
    std::set<target_id> m_published_idle;
    /// When targets were last listed as idle.
    std::map<target_id, time_point> m_idle_published_at;
    loss_meter m_losses;
    /// The host has stood still, so that what ends now may have ended earlier.
    bool m_resuming{};
    std::uint64_t m_claims{};
};

} // namespace heathermoor::pool
