#pragma once

#include "heathermoor/cancellation/notice.hpp"
#include "heathermoor/lock/lock_client.hpp"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace heathermoor::cancellation {

/// @brief Confirmation for a gateway.
struct addressed_confirmation {
    process_ref to;
    notice confirmed;
};

/// @brief Cancellings that the gateways of a cell have passed to its leader.
///
/// Each is passed to the homes of the job until they have confirmed it, and again to each later home, or leader of a home, while it
/// is remembered. Meanwhile the leader takes no submission of the job.
class cancel_relay {
  public:
    /// @brief Takes a gateway's notice; a repeated one is confirmed again.
    /// @param from Gateway that passed it on.
    /// @param received Job and age of the request.
    /// @param now Reading of the monotonic clock.
    void submit(const process_ref &from, const notice &received, time_point now);

    /// @brief Handles the confirmation of a home.
    /// @param from Host that leads the home's cell.
    /// @param confirmed Job of which no run can be started any more.
    void confirmed(const host_id &from, const notice &confirmed);

    /// @brief Whether a job is cancelled.
    /// @param id Job.
    /// @return True while the cancelling is remembered.
    [[nodiscard]] bool bars(const job_id &id) const { return m_entries.contains(id); }

    /// @brief Forgets old cancellings, and sees which homes have another leader.
    /// @param locks Homes of the jobs and the leaders of their cells.
    /// @param now Reading of the monotonic clock.
    void tick(const lock::lock_client &locks, time_point now);

    /// @brief Notices to pass to homes now.
    /// @param locks Homes of the jobs and the leaders of their cells.
    /// @param now Reading of the monotonic clock.
    /// @return Notices by the host that leads the home's cell; at most `max_notices` for each.
    [[nodiscard]] std::map<host_id, std::vector<notice>> take_due(const lock::lock_client &locks, time_point now);

    /// @brief Confirmations for gateways.
    /// @return Those of which all homes have confirmed the cancelling since the last call.
    [[nodiscard]] std::vector<addressed_confirmation> take_confirmed() { return std::exchange(m_confirmed, {}); }

    /// @brief Cells whose leader has left a notice without an answer.
    /// @param now Reading of the monotonic clock.
    /// @return Cells.
    [[nodiscard]] std::set<cell::cell_id> silent_homes(time_point now) const;

    /// @brief Forgets everything; gateways pass their cancellings to the next leader.
    void clear();

    /// @brief Number of cancellings that are remembered.
    /// @return Count.
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

  private:
    struct home_state {
        cell::cell_id cell;
        /// Leader that was asked last; none before the first.
        std::optional<gateway::leader_ref> asked;
        time_point asked_at;
        time_point waited_since;
        bool confirmed{};
    };

    struct entry {
        time_point cancelled_at;
        bool known{};
        std::vector<home_state> homes;
        /// `homes` are those of the present division into cells.
        bool homes_current{};
        /// Gateways that wait for the confirmation.
        std::set<process_ref> gateways;
    };

    struct remembered {
        job_id id;
        time_point cancelled_at;
    };

    void forget_old(time_point now);
    void add_homes(const job_id &id, entry &one, const lock::lock_client &locks, time_point now) const;
    void finish_if_confirmed(const job_id &id, entry &one);

    std::unordered_map<job_id, entry> m_entries;
    /// Jobs with a home that has not confirmed.
    std::set<job_id> m_open;
    std::deque<remembered> m_order;
    std::vector<addressed_confirmation> m_confirmed;
    /// Leaders of all cells as of the latest tick.
    std::map<cell::cell_id, std::optional<gateway::leader_ref>> m_leaders;
};

} // namespace heathermoor::cancellation
