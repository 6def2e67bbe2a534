#pragma once

#include "heathermoor/cancellation/notice.hpp"
#include "heathermoor/lock/lock.hpp"
#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace heathermoor::lock {

/// @brief Locks of the jobs whose home is this cell: which cell may run a job.
///
/// Kept in memory by the leader of the home cell. A new leader starts with an empty table and gets the locks from their holders
/// again; until they have had time for that it grants none for new jobs.
class lock_table {
  public:
    /// @brief Starts with an empty table.
    /// @param now Reading of the monotonic clock.
    void open(time_point now);

    /// @brief Asks for a lock; a repeated request is answered in the same way.
    /// @param request Job and how long the lock is needed.
    /// @param from Leader that asks. The lock of another leader of its cell passes to it.
    /// @param now Reading of the monotonic clock.
    /// @return Reply for that leader.
    [[nodiscard]] lock_reply acquire(const acquire_request &request, const holder_ref &from, time_point now);

    /// @brief Gives up a lock, or the wait for one.
    /// @param request Job and how it ended.
    /// @param from Leader that had the lock or waited for it; others are ignored.
    /// @param now Reading of the monotonic clock.
    /// @return Replies for leaders that waited.
    [[nodiscard]] std::vector<addressed_reply> release(const release_request &request, const holder_ref &from, time_point now);

    /// @brief Cancels a job: its requests get the answer of a cancelled job from now on, unless it has ended with another.
    /// @param received Job and age of the caller's request.
    /// @param from Leader that asks; `take_cancelled` tells it when no run of the job can be started any more.
    /// @param now Reading of the monotonic clock.
    /// @return Replies for the leader that has the lock and for those that wait.
    [[nodiscard]] std::vector<addressed_reply> cancel(const cancellation::notice &received, const holder_ref &from, time_point now);

    /// @brief Cancelled jobs that no leader has any more.
    /// @param now Reading of the monotonic clock.
    /// @return Confirmations for the leaders that asked, each once.
    [[nodiscard]] std::vector<cancelled_job> take_cancelled(time_point now);

    /// @brief Records a message from a leader, which keeps its locks.
    /// @param from Leader that sent it.
    /// @param now Reading of the monotonic clock.
    void heard(const holder_ref &from, time_point now);

    /// @brief Handles the list of all jobs for which a leader has or wants a lock, which makes up for lost messages.
    /// @param requests Jobs; locks of the leader that are missing are freed.
    /// @param from Leader that sent it.
    /// @param now Reading of the monotonic clock.
    /// @return Replies for that leader where it does not have the lock, and for leaders that waited.
    [[nodiscard]] std::vector<addressed_reply> compare(const std::vector<acquire_request> &requests, const holder_ref &from,
                                                       time_point now);

    /// @brief Drops the locks of silent leaders and what is remembered for too long.
    /// @param now Reading of the monotonic clock.
    /// @return Replies for leaders that waited.
    [[nodiscard]] std::vector<addressed_reply> tick(time_point now);

    /// @brief Number of jobs in the table, ended ones that are remembered included.
    /// @return Count.
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

  private:
    struct waiter {
        holder_ref holder;
        time_point until;
    };

    struct entry {
        /// Leader that has the lock; none if it is free.
        std::optional<holder_ref> holder;
        /// Time by which the lock is void in any case.
        time_point until;
        /// Cell of the latest holder, and until when an earlier leader of it may still run the job.
        cell::cell_id last_cell;
        time_point shared_until;
        std::vector<waiter> waiters;
        bool may_have_run{};
        std::optional<job::answer> answer;
        time_point freed_at;
        /// A leader has asked for the lock.
        bool asked{};
        /// When the job was cancelled, as long as that is remembered.
        std::optional<time_point> cancelled_at;
    };

    struct freed_job {
        job_id id;
        time_point at;
    };

    [[nodiscard]] bool is_held(const entry &one, time_point now) const;
    [[nodiscard]] bool is_silent(const holder_ref &holder, time_point now) const;
    void wait(entry &one, const acquire_request &request, const holder_ref &from, time_point now);
    [[nodiscard]] std::vector<addressed_reply> settle(const job_id &id, time_point now);
    void forget_freed(time_point now);
    void forget_cancelled(time_point now);
    /// Drops the locks that are void without a word from their holders.
    void sweep(time_point now);

    std::unordered_map<job_id, entry> m_entries;
    /// Jobs that a leader waits for.
    std::set<job_id> m_contended;
    /// Jobs whose lock was freed, oldest first; some may be locked again.
    std::deque<freed_job> m_freed;
    /// Cancelled jobs in the order of the requests; one that was cancelled again is in it twice.
    std::deque<freed_job> m_cancelled;
    /// Cancelled jobs, each with a leader that waits until nobody has it.
    std::set<std::pair<job_id, holder_ref>> m_cancel_waiters;
    std::map<holder_ref, time_point> m_heard;
    /// Until when holders may not have registered their locks yet.
    time_point m_collecting_until;
    /// Until when a job of which nothing is known may still be registered by its holder.
    time_point m_registering_until;
    time_point m_next_sweep;
};

} // namespace heathermoor::lock
