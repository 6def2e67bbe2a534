#pragma once

#include "heathermoor/cancellation/notice.hpp"
#include "heathermoor/gateway/gateway.hpp"
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace heathermoor::cancellation {

/// @brief Answer to a caller's request to cancel a job.
struct answered_request {
    gateway::request_token request{};
    job_id id;
    gateway::cancel_result result{gateway::cancel_result::unknown};
};

/// @brief Cancellings that callers have requested at this host.
///
/// Each is passed to the leader until that has confirmed it, and again to each later leader while it is remembered.
class cancel_desk {
  public:
    /// @brief Handles a caller's request.
    /// @param request Token of the caller's open request.
    /// @param id Job to cancel.
    /// @param known The job was open on this host.
    /// @param limit Time from now until the caller stops waiting.
    /// @param now Reading of the monotonic clock.
    void ask(gateway::request_token request, const job_id &id, bool known, duration limit, time_point now);

    /// @brief Remembers a cancelling for another host, whose loss would else take it along.
    /// @param received Job and age of the caller's request.
    /// @param now Reading of the monotonic clock.
    void keep(const notice &received, time_point now);

    /// @brief Handles a caller that closed its connection; the job stays cancelled.
    /// @param request Token of the caller's request; any other is ignored.
    void abandon(gateway::request_token request);

    /// @brief Handles a change of the leader: everything that is remembered is passed to the new one.
    void leader_changed();

    /// @brief Handles the leader's confirmation.
    /// @param confirmed Job that no cell will start from now on.
    void confirmed(const notice &confirmed);

    /// @brief Ends requests past their limit, and forgets old cancellings.
    /// @param now Reading of the monotonic clock.
    void tick(time_point now);

    /// @brief Answers all open requests, since the process is about to end.
    void end_all();

    /// @brief Whether a job is cancelled.
    /// @param id Job.
    /// @return True while the cancelling is remembered.
    [[nodiscard]] bool bars(const job_id &id) const { return m_entries.contains(id); }

    /// @brief Cancellings to pass to the leader now.
    /// @param now Reading of the monotonic clock.
    /// @return Those that are new, or unconfirmed for `retry_interval`; at most `max_notices`.
    [[nodiscard]] std::vector<notice> take_due(time_point now);

    /// @brief Answers to send to callers.
    /// @return Answers since the last call.
    [[nodiscard]] std::vector<answered_request> take_answers() { return std::exchange(m_answers, {}); }

    /// @brief Number of cancellings that are remembered.
    /// @return Count.
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

  private:
    struct waiting_request {
        gateway::request_token request{};
        time_point deadline;
    };

    struct entry {
        std::vector<waiting_request> requests;
        time_point asked_at;
        std::optional<time_point> sent_at;
        bool known{};
    };

    struct remembered {
        job_id id;
        time_point asked_at;
    };

    void forget_old(time_point now);
    void answer(const job_id &id, entry &one, gateway::cancel_result result);

    std::unordered_map<job_id, entry> m_entries;
    /// Jobs that the present leader has not confirmed.
    std::set<job_id> m_unconfirmed;
    /// Oldest first; one that was requested again is in it twice.
    std::deque<remembered> m_order;
    std::vector<answered_request> m_answers;
};

} // namespace heathermoor::cancellation
