#pragma once

#include "heathermoor/catalog/target_catalog.hpp"
#include "heathermoor/core/interface.hpp"
#include "heathermoor/lease/target_ledger.hpp"
#include "heathermoor/lease/token_source.hpp"
#include "heathermoor/pool/loss_meter.hpp"
#include "heathermoor/pool/ports.hpp"
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace heathermoor::pool {

/// @brief Hears what happens to the runs on held targets.
class holder_listener : public interface {
  public:
    /// @brief A run has ended, or has certainly never begun.
    /// @param target Target.
    /// @param end End.
    /// @param now Current time.
    virtual void run_ended(const target_id &target, const lease::ended_run &end, time_point now) = 0;

    /// @brief A target reports a run that was ordered by an earlier holder.
    /// @param target Target.
    /// @param run Run.
    /// @param now Current time.
    virtual void run_found(const target_id &target, const lease::found_run &run, time_point now) = 0;

    /// @brief Another holder has taken a target; what runs there is out of reach.
    /// @param target Target.
    /// @param runs Tasks that may be at work there.
    /// @param lapse Time by which they have ended: the new holder does not renew their lease.
    /// @param now Current time.
    virtual void target_taken(const target_id &target, const std::vector<job::task_ref> &runs, time_point lapse, time_point now) = 0;

    /// @brief Whether the lease of what runs on a target may be extended.
    /// @param runs Runs on the target.
    /// @param now Current time.
    /// @return False while it is in doubt that somebody waits for one of them.
    [[nodiscard]] virtual bool may_renew(const std::unordered_map<job::task_ref, lease::run_entry> &runs, time_point now) const = 0;

    /// @brief A target has restarted, perhaps as another kind.
    /// @param target Target.
    virtual void target_restarted(const target_id &target) = 0;
};

/// @brief Target that this host is to hold.
struct scoped_target {
    catalog::target_entry entry;
    /// Pause before it is claimed again when another holder has taken it.
    milliseconds fenced_pause{};
};

/// @brief Whether and how a target is held.
enum class hold_state : std::uint8_t { idle, claiming, held, fenced };

/// @brief Target as this host holds it.
struct held_target {
    catalog::target_entry entry;
    lease::target_ledger ledger{resources{}};
    hold_state state{hold_state::idle};
    fencing_token token{};
    /// Earliest time of the next claim.
    time_point next_claim;
    /// When the latest report was asked for that the target answered to this holder.
    time_point reported_at;
    /// Since when a report is wanted, whatever is known.
    time_point report_wanted_at;
    /// Claims that are repeated at once if they are not answered.
    std::uint32_t quick_claims{};
    /// Pause before a claim after another holder has taken the target.
    milliseconds fenced_pause{};
    bool following{};
    bool renewing{};
    /// When the latest answer of any kind came.
    time_point answered_at;
    /// When the call that waits for ends has to be answered at the latest.
    time_point answer_due;
    /// A call was not answered, nor was any other since it was sent; nothing new is started until one is.
    bool silent{};
    /// The target itself says that it is about to leave.
    bool leaving{};
    /// The catalog no longer has it.
    bool removed{};
};

/// @brief Holds targets by their fence and follows what runs on them.
///
/// Claims every target in its scope with a rising token, keeps one waiting call
/// at each held target, renews leases while something runs and resolves orders
/// whose outcome is in doubt.
class target_holder {
  public:
    /// @brief Holder of nothing.
    /// @param orders Sends orders.
    /// @param listener Hears what happens.
    /// @param tokens Makes fencing tokens.
    target_holder(order_port &orders, holder_listener &listener, lease::token_source tokens)
        : m_orders{orders}, m_listener{listener}, m_tokens{tokens} {}

    /// @brief Sets the targets that this host is to hold.
    /// @param targets Targets in scope.
    /// @param known Every target that any host may be using, in scope or not.
    void set_targets(const std::vector<scoped_target> &targets, std::set<target_id> known);

    /// @brief Gives up all targets without a word to them.
    void release_all();

    /// @brief Starts a task on a held target.
    /// @param target Target with room for it.
    /// @param task Task.
    /// @param run Number of the run.
    /// @param need Need of the task.
    /// @param payload Opaque text of the job.
    /// @param now Current time.
    void start(const target_id &target, const job::task_ref &task, run_number run, const resources &need, const std::string &payload,
               time_point now);

    /// @brief Stops a task wherever it is.
    /// @param target Target.
    /// @param task Task.
    /// @param now Current time.
    void stop(const target_id &target, const job::task_ref &task, time_point now);

    /// @brief Tells the need of a run that was found.
    /// @param target Target.
    /// @param task Task.
    /// @param need Need of the task.
    void adopt(const target_id &target, const job::task_ref &task, const resources &need);

    /// @brief Handles the answer to a start.
    /// @param answer Answer.
    /// @param now Current time.
    void start_answered(const order_answer &answer, time_point now);

    /// @brief Handles the answer to a stop.
    /// @param answer Answer.
    /// @param now Current time.
    void stop_answered(const order_answer &answer, time_point now);

    /// @brief Handles a report.
    /// @param answer Answer.
    /// @param now Current time.
    void report_answered(const report_answer &answer, time_point now);

    /// @brief Claims, follows, renews and resolves what is due.
    /// @param now Current time.
    /// @param unix_now Wall clock.
    void tick(time_point now, milliseconds unix_now);

    /// @brief Whether other hosts may believe that nothing runs on a target.
    /// @param target Target.
    /// @param now Current time.
    /// @return True if nothing may be started there for now.
    [[nodiscard]] bool recently_published_idle(const target_id &target, time_point now) const;

    /// @brief All targets in scope.
    /// @return Targets by id.
    [[nodiscard]] const std::map<target_id, held_target> &targets() const noexcept { return m_targets; }

    /// @brief Asks every held target for its account.
    /// @param now Current time.
    void request_reports(time_point now);

    /// @brief Claims the targets again that another holder has taken; it has given them up.
    /// @param now Current time.
    void reclaim(time_point now);

    /// @brief Names the targets on which nothing ordered here can be at work, to be told to other hosts.
    ///
    /// Nothing is started on them until some time after a later call no longer
    /// names them, so that no host acts on the earlier word.
    /// @param now Current time.
    /// @return Targets that have been silent or taken for a while, without a run.
    [[nodiscard]] std::vector<target_id> publish_idle(time_point now);

    /// @brief Whether the account of every target is known as it was at some time or later.
    /// @param since Time.
    /// @param idle Targets that need no account.
    /// @return True if each target has given its account to this holder since, or is idle.
    [[nodiscard]] bool all_reported(time_point since, const std::set<target_id> &idle) const;

    /// @brief Claims sent so far.
    /// @return Number of claims.
    [[nodiscard]] std::uint64_t claims() const noexcept { return m_claims; }

  private:
    void claim(held_target &target, milliseconds unix_now);
    /// Asks for a lease, unless the target is silent: its runs then have to lapse so that they can go elsewhere.
    void ask_lease(report_order &order, held_target &target, time_point now) const;
    void follow(held_target &target, time_point now);
    void renew(held_target &target, time_point now);
    void resolve_doubts(held_target &target, time_point now);
    /// Claims a held target anew: a start without an answer is carried out before that, and listed then, or never.
    void raise_fence(held_target &target, time_point now);
    void fenced(held_target &target, time_point now);
    [[nodiscard]] bool certainly_idle(const target_id &id) const;
    void publish(const target_id &id, const lease::ledger_changes &changes, time_point now);
    [[nodiscard]] order_address address_of(const held_target &target) const;
    /// Target that an answer belongs to, with its clock noted; null if the answer is to an earlier holding.
    [[nodiscard]] held_target *note_answer(const order_answer &answer, time_point now);

    order_port &m_orders;
    holder_listener &m_listener;
    lease::token_source m_tokens;
    std::map<target_id, held_target> m_targets;
    std::set<target_id> m_known;
    std::map<target_id, time_point> m_idle_since;
    std::set<target_id> m_published_idle;
    /// When targets were last named as idle.
    std::map<target_id, time_point> m_idle_published_at;
    loss_meter m_losses;
    std::uint64_t m_claims{};
};

} // namespace heathermoor::pool
