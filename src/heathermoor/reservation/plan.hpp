#pragma once

#include "heathermoor/reservation/room_profile.hpp"
#include <map>
#include <vector>

namespace heathermoor::reservation {

/// @brief Reservation of a job: where and when its tasks start.
struct booking {
    job_id job;
    /// Predicted start of the job's last task.
    time_point start;
    /// Latest start that others may push it back to.
    time_point latest;
    /// Predicted end of the job.
    time_point end;
    /// Resources of one task.
    resources need;
    std::uint32_t tasks{};
    /// Targets, one entry for each task; empty if the job can't start as a whole.
    std::vector<target_row> rows;
    /// The job ends earlier if its tasks start one by one.
    bool in_pieces{};
    /// Position among the reservations of its plan.
    std::size_t order{};
};

/// @brief Reservations of the jobs that can't start now, and the room that is left beside them.
class plan {
  public:
    /// @brief Creates a plan without reservations.
    /// @param room Free room over time, without what is reserved.
    explicit plan(room_profile room) : m_room{std::move(room)} {}

    plan(const plan &) = delete;
    plan &operator=(const plan &) = delete;
    plan(plan &&) noexcept = default;
    plan &operator=(plan &&) noexcept = default;
    ~plan() = default;

    /// @brief Adds a reservation behind the others; it replaces an earlier one of the same job.
    /// @param made Reservation; its order is set here.
    void add(booking made);

    /// @brief Drops the reservation of a job.
    /// @param job Job; one without a reservation is ignored.
    void drop(const job_id &job);

    /// @brief Reservation of a job.
    /// @param job Job.
    /// @return Reservation, valid until the plan changes; null for none.
    [[nodiscard]] const booking *find(const job_id &job) const;

    /// @brief All reservations.
    /// @return Reservations by job.
    [[nodiscard]] const std::map<job_id, booking> &bookings() const noexcept { return m_bookings; }

    /// @brief Records the start of a task.
    /// @param row Target.
    /// @param need Resources of the task.
    /// @param end Predicted end of its run.
    void started(target_row row, const resources &need, time_point end) { m_room.take(row, need, m_room.now(), end); }

    /// @brief Room on a target for a task of a job that leaves the reservations of others as they are.
    ///
    /// A task that ends by the latest start of a reservation may use its room before: the reserved job still meets its objective.
    /// One that ends later has to fit beside it.
    /// @param row Target.
    /// @param free Room that is free now.
    /// @param end Predicted end of the task.
    /// @param ahead Number of reservations, in their order, that the task must leave as they are.
    /// @return Room that the task may use; may be negative.
    [[nodiscard]] resources room_beside(target_row row, resources free, time_point end, std::size_t ahead) const;

  private:
    /// Room that the first reservations take on a target at some time.
    [[nodiscard]] static resources reserved_at(const std::vector<const booking *> &places, time_point at, std::size_t ahead);

    room_profile m_room;
    std::map<job_id, booking> m_bookings;
    /// Reservations by target, one entry for each task.
    std::map<target_row, std::vector<const booking *>> m_places;
    std::size_t m_next_order{};
};

} // namespace heathermoor::reservation
