#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/job/job.hpp"
#include "heathermoor/lending/party.hpp"
#include "heathermoor/pool/ports.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace heathermoor::lending {

/// @brief Time for which a borrowed job waits for its lock before it is given back.
inline constexpr milliseconds borrowed_lock_limit{300};

/// @brief What has become of a borrowed job.
struct borrowed_result {
    job_id id;
    /// Nothing of it was started, and nothing will be.
    bool returned{};
    /// Answer, unless it was returned.
    job::answer answer;
};

/// @brief Counters since the start of the process.
struct borrow_counts {
    std::uint64_t borrowed{};
    std::uint64_t returned{};
    std::uint64_t answered{};
};

/// @brief Jobs that a leader runs for the leaders of other cells, and their results until those have taken them.
class borrow_book {
  public:
    /// @brief A borrowed job and its state.
    struct entry {
        party lender;
        /// The lender as the scheduler knows it.
        pool::gateway_ref from;
        time_point taken_at;
        /// The scheduler has had it, so that tasks of it may have run.
        bool scheduled{};
        std::optional<borrowed_result> result;
        bool sent{};
    };

    /// @brief Records a job that was taken.
    /// @param lender Leader that lent it.
    /// @param from The same as a gateway of the scheduler.
    /// @param id Job; not borrowed at present.
    /// @param now Reading of the monotonic clock.
    void take(const party &lender, const pool::gateway_ref &from, const job_id &id, time_point now);

    /// @brief Entry of a job.
    /// @param id Job.
    /// @return Entry; null if it is not borrowed.
    [[nodiscard]] const entry *find(const job_id &id) const;

    /// @brief Whether a job is borrowed from a gateway and has no result yet.
    /// @param from Lender as the scheduler knows it.
    /// @param id Job.
    /// @return True until its result is recorded.
    [[nodiscard]] bool open(const pool::gateway_ref &from, const job_id &id) const;

    /// @brief Whether a job is borrowed, by anyone, and has no result yet.
    /// @param id Job.
    /// @return True until its result is recorded.
    [[nodiscard]] bool open(const job_id &id) const;

    /// @brief Records that the scheduler has a job.
    /// @param id Job; one that is not borrowed is ignored.
    void scheduled(const job_id &id);

    /// @brief Records that nothing of a job was started and nothing will be.
    /// @param id Job; one with a result is ignored.
    void returned(const job_id &id);

    /// @brief Records the answer to a job; a refusal returns it.
    /// @param id Job; one with a result is ignored.
    /// @param answer Answer.
    void answered(const job_id &id, const job::answer &answer);

    /// @brief Compares the jobs that a lender lists as lent with those borrowed from it; results that it still lists are sent again.
    /// @param lender Leader that sent its list.
    /// @param listed Its list.
    /// @return Jobs without a result that it does not list: they are to be stopped. Their entries are gone.
    [[nodiscard]] std::vector<std::pair<pool::gateway_ref, job_id>> compare(const party &lender, const std::vector<job_id> &listed);

    /// @brief Results that are to be sent.
    /// @return Results by lender.
    [[nodiscard]] std::map<party, std::vector<borrowed_result>> take_results();

    /// @brief Jobs without a result.
    /// @return Ids.
    [[nodiscard]] std::vector<job_id> open_jobs() const;

    /// @brief Drops results that their lenders have not taken for too long.
    /// @param now Reading of the monotonic clock.
    void expire(time_point now);

    /// @brief Forgets all: the borrower leads no more.
    void clear() { m_entries.clear(); }

    /// @brief Counters since the start of the process.
    /// @return Counters.
    [[nodiscard]] const borrow_counts &counts() const noexcept { return m_counts; }

  private:
    std::map<job_id, entry> m_entries;
    borrow_counts m_counts;
};

} // namespace heathermoor::lending
