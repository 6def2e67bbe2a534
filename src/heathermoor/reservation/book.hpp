#pragma once

#include "heathermoor/reservation/plan.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace heathermoor::reservation {

/// @brief Counters of reservations; they only rise.
struct reservation_counts {
    std::uint64_t made{};
    std::uint64_t met{};
    std::uint64_t missed{};
    /// Jobs that started while one with a reservation, ahead of them, waited.
    std::uint64_t backfilled{};
    /// Jobs of which some tasks could have started, once each, that let others use the room first.
    std::uint64_t held{};
    /// Jobs refused because their reservation came too late for their deadline.
    std::uint64_t refused{};
};

/// @brief How a reservation ends.
enum class reservation_end : std::uint8_t {
    /// The job has started in time.
    met,
    /// The job has started too late, or was answered without.
    missed,
    /// Nobody waits for the job here any more.
    dropped,
};

/// @brief Promise to a job, as first made.
struct promise {
    time_point made_at;
    time_point start;
    /// Latest start that keeps the promise.
    time_point latest;
};

/// @brief Remembers what was promised to which job, from its first reservation until it starts or leaves.
class book {
  public:
    /// @brief Records the reservations of a plan.
    /// @param current Plan.
    /// @param now Monotonic time of the call.
    /// @return Jobs that have a reservation for the first time.
    std::vector<job_id> update(const plan &current, time_point now);

    /// @brief Counts a job that is held back so that others may use the room first, once.
    /// @param job Job.
    void hold(const job_id &job);

    /// @brief Ends the reservation of a job that has started with all its tasks, or has left.
    /// @param job Job; one without a reservation is ignored.
    /// @param how How it ends.
    /// @return Promise that the job had; none without a reservation.
    std::optional<promise> end(const job_id &job, reservation_end how);

    /// @brief Promise to a job.
    /// @param job Job.
    /// @return Promise; null for none.
    [[nodiscard]] const promise *find(const job_id &job) const;

    /// @brief Forgets all jobs; the counters stay.
    void clear();

    /// @brief Number of jobs with a promise.
    /// @return Number.
    [[nodiscard]] std::size_t size() const noexcept { return m_promises.size(); }

    /// @brief Counts a job that passed one with a reservation.
    void backfilled() noexcept { ++m_counts.backfilled; }

    /// @brief Counts a job that was refused by its reservation.
    void refused() noexcept { ++m_counts.refused; }

    /// @brief Counters.
    /// @return Counters since the book was created.
    [[nodiscard]] const reservation_counts &counts() const noexcept { return m_counts; }

  private:
    std::map<job_id, promise> m_promises;
    std::set<job_id> m_held;
    reservation_counts m_counts;
};

} // namespace heathermoor::reservation
