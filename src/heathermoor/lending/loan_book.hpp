#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/lending/party.hpp"
#include "heathermoor/pool/submission.hpp"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace heathermoor::lending {

/// @brief Most jobs that a leader has lent at a time.
inline constexpr std::size_t max_loans = 256;

/// @brief Counters since the start of the process.
struct loan_counts {
    std::uint64_t lent{};
    /// Loans that the borrower gave back unstarted.
    std::uint64_t returned{};
    /// Loans that the borrower answered.
    std::uint64_t answered{};
    /// Loans whose borrower was lost, and those that ended without its answer.
    std::uint64_t lost{};
    std::uint64_t expired{};
};

/// @brief Jobs that a leader has lent, with the submissions that wait for their answers.
///
/// A lent job goes back to the lender's scheduler only when its borrower has given it back unstarted, or is lost and can have no run of
/// it any more by the time that the submissions name. It is lent once.
class loan_book {
  public:
    /// @brief Whether a job may be lent.
    /// @param id Job.
    /// @return False for one that was lent before, or while too many are lent.
    [[nodiscard]] bool may_lend(const job_id &id) const;

    /// @brief Records a loan.
    /// @param to Borrower.
    /// @param submissions One for each gateway that waits for the job; at least one.
    /// @param now Reading of the monotonic clock.
    /// @return Submission to send to the borrower, with the time left for its answer.
    [[nodiscard]] pool::submission lend(const party &to, std::vector<pool::submission> submissions, time_point now);

    /// @brief Whether a job is lent at present.
    /// @param id Job.
    /// @return True until it is answered, given back or lost.
    [[nodiscard]] bool lent(const job_id &id) const { return m_loans.contains(id); }

    /// @brief Adds a submission of a lent job.
    /// @param work Submission as received.
    /// @param now Reading of the monotonic clock.
    void join(pool::submission work, time_point now);

    /// @brief Handles a gateway that no longer waits for a lent job; without any left the loan ends and its borrower is to stop it.
    /// @param from Gateway in its latest session that the message covers.
    /// @param id Job.
    void cancel(const pool::gateway_ref &from, const job_id &id);

    /// @brief Handles gateways that are gone, as `cancel` does.
    /// @param gone Whether a gateway is gone.
    void drop_gateways(const std::function<bool(const pool::gateway_ref &)> &gone);

    /// @brief Whether a job was lent lately and not given back, so that its borrower may not have stopped it yet.
    /// @param id Job.
    /// @return True for some time beyond its deadline.
    [[nodiscard]] bool may_run_elsewhere(const job_id &id) const;

    /// @brief Whether a gateway waits for a lent job.
    /// @param from Gateway in its present session.
    /// @param id Job.
    /// @return True if its submission is held here.
    [[nodiscard]] bool waits(const pool::gateway_ref &from, const job_id &id) const;

    /// @brief Takes the submissions of a job that its borrower has given back unstarted, or of which it has no record.
    /// @param from Sender of the notice; one that is not the borrower is ignored.
    /// @param id Job.
    /// @param explicitly False if the borrower only has no record of it, which counts once the loan can no longer arrive.
    /// @param now Reading of the monotonic clock.
    /// @return Submissions with their times as of now.
    [[nodiscard]] std::vector<pool::submission> take_returned(const party &from, const job_id &id, bool explicitly, time_point now);

    /// @brief Takes the gateways that wait for a job that its borrower has answered.
    /// @param from Sender of the answer; one that is not the borrower is ignored.
    /// @param id Job.
    /// @return Gateways to answer.
    [[nodiscard]] std::vector<pool::gateway_ref> take_answered(const party &from, const job_id &id);

    /// @brief Takes the submissions of all jobs lent to a leader that is lost or leads no more.
    /// @param to Borrower.
    /// @param now Reading of the monotonic clock.
    /// @return Submissions that may have run, with the time until runs of the borrower can be active.
    [[nodiscard]] std::vector<pool::submission> take_lost(const party &to, time_point now);

    /// @brief Takes the submissions whose callers' deadlines have come.
    /// @param now Reading of the monotonic clock.
    /// @return Jobs and gateways, to be answered as unknown.
    [[nodiscard]] std::vector<std::pair<pool::gateway_ref, job_id>> take_expired(time_point now);

    /// @brief Borrowers of the present loans, and their jobs.
    /// @return Jobs by borrower.
    [[nodiscard]] std::map<party, std::vector<job_id>> open() const;

    /// @brief Forgets all loans: the lender leads no more, and its gateways submit their jobs to the next leader.
    void clear();

    /// @brief Number of present loans.
    /// @return Count.
    [[nodiscard]] std::size_t size() const noexcept { return m_loans.size(); }

    /// @brief Counters since the start of the process.
    /// @return Counters.
    [[nodiscard]] const loan_counts &counts() const noexcept { return m_counts; }

  private:
    struct held_submission {
        pool::submission work;
        time_point arrived;
    };

    struct loan {
        party to;
        time_point lent_at;
        std::vector<held_submission> waiting;
    };

    [[nodiscard]] static std::vector<pool::submission> submissions_of(loan &one, time_point now);

    std::unordered_map<job_id, loan> m_loans;
    struct past_loan {
        /// When it may be forgotten.
        time_point until;
        /// The borrower has given it back.
        bool returned{};
    };

    std::unordered_map<job_id, past_loan> m_lent_before;
    loan_counts m_counts;
};

} // namespace heathermoor::lending
