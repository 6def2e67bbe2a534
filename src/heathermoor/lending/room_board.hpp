#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/lending/party.hpp"
#include "heathermoor/pool/overload.hpp"
#include <map>
#include <optional>
#include <vector>

namespace heathermoor::lending {

/// @brief Free room by service.
using room_report = std::map<service_id, pool::free_room>;

/// @brief Age from which a leader's word on its room no longer counts.
inline constexpr milliseconds room_validity{300};

/// @brief What the leaders of other cells have said of their free room, less what was lent to them since: decides to whom a job is lent.
class room_board {
  public:
    /// @brief Records a leader's word; it replaces the earlier one.
    /// @param from Leader that said it.
    /// @param report Its free room.
    /// @param as_of Time at which it was asked, or an earlier one.
    void note(const party &from, room_report report, time_point as_of);

    /// @brief Drops a leader, which no longer leads or has refused a job for lack of room.
    /// @param from Leader.
    void drop(const party &from) { m_words.erase(from); }

    /// @brief Whether `choose` would find a leader.
    /// @param service Service of the job.
    /// @param need Processor capacity that the job needs.
    /// @param now Reading of the monotonic clock.
    /// @return True if a leader has said lately that it has room to spare.
    [[nodiscard]] bool has_room(const service_id &service, const pool::job_need &need, time_point now) const;

    /// @brief Chooses the leader with the most room left, and takes the job's need off it.
    /// @param service Service of the job.
    /// @param need Processor capacity that the job needs.
    /// @param now Reading of the monotonic clock.
    /// @return Leader; none if no leader has said lately that it has room to spare.
    [[nodiscard]] std::optional<party> choose(const service_id &service, const pool::job_need &need, time_point now);

    /// @brief Age of a leader's word.
    /// @param from Leader.
    /// @param now Reading of the monotonic clock.
    /// @return Age; `duration::max()` without a word.
    [[nodiscard]] duration age(const party &from, time_point now) const;

    /// @brief Forgets all words.
    void clear() { m_words.clear(); }

  private:
    struct loan {
        service_id service;
        std::int64_t cpu_millicores{};
        time_point at;
    };

    struct word {
        room_report report;
        time_point as_of;
        /// Loans that the word may not cover yet.
        std::vector<loan> since;
    };

    [[nodiscard]] static std::int64_t left(const word &one, const service_id &service, const pool::job_need &need);

    std::map<party, word> m_words;
};

} // namespace heathermoor::lending
