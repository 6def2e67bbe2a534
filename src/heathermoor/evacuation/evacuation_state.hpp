#pragma once

#include "heathermoor/core/id.hpp"
#include <map>
#include <set>
#include <vector>

namespace heathermoor::evacuation {

/// @brief Most failure domains that can be evacuated at once; more than that are not a request of operators.
inline constexpr std::size_t max_evacuations = 1'000;

/// @brief Longest name of a failure domain, in bytes: the longest key of the store.
inline constexpr std::size_t max_domain_name = 255;

/// @brief Most records of operators that a host can have missed; a peer that claims to know more is mistaken.
inline constexpr std::uint64_t max_advance = 1'000'000;

/// @brief Largest offset that counts as one; no log of operators gets as far.
inline constexpr log_offset max_offset{std::uint64_t{1} << 48U};

/// @brief Record of the operators' requests that concerns an evacuation.
struct evacuation_request {
    failure_domain_id domain;
    log_offset offset{};
    /// False for a record that takes the request back.
    bool in_force{true};

    friend bool operator==(const evacuation_request &, const evacuation_request &) = default;
};

/// @brief Failure domain whose evacuation came into force or was taken back.
struct evacuation_change {
    failure_domain_id domain;
    /// Offset of the record; of a request that a complete list lacks, the offset up to which that list is complete.
    log_offset offset{};
    bool in_force{};
};

/// @brief Failure domains that are being evacuated, merged from the platform's store and from peers.
///
/// The state is complete up to an offset of the operators' requests: every request before it is known. That offset only rises,
/// so an older list never takes back what a newer one said. A request ends only by evidence: a later record that takes it back, or a
/// list without it that is complete beyond its offset.
class evacuation_state {
  public:
    /// @brief Applies records that follow each other.
    /// @param records Requests and records that take one back, by offset; those before `next()` are known and have no effect.
    /// @param next Offset after the last record covered; every record from `next()` up to it is among the given ones.
    /// @return Changes, in the order of the records.
    std::vector<evacuation_change> apply(const std::vector<evacuation_request> &records, log_offset next);

    /// @brief Merges a complete list of what is in force, as read from the store or received from a peer.
    /// @param requests Requests in force; those at `next` or beyond it may be there or not.
    /// @param next Offset up to which the list is complete.
    /// @return Changes by failure domain; none if the list is older than this state.
    std::vector<evacuation_change> merge(const std::vector<evacuation_request> &requests, log_offset next);

    /// @brief Whether the operators' requests were ever read, here or by a peer that passed them on.
    /// @return False until the first call of `apply` or `merge`.
    [[nodiscard]] bool known() const noexcept { return m_known; }

    /// @brief Offset up to which all requests are known.
    /// @return Offset of the next record; zero until then.
    [[nodiscard]] log_offset next() const noexcept { return m_next; }

    /// @brief Whether another host can know the requests up to an offset.
    ///
    /// A state never goes back, so an absurd offset would hide every later request of the operators.
    /// @param next Offset that the other host reports.
    /// @return False for an offset that no log of operators has, or that is further from the own one than `max_advance`.
    [[nodiscard]] bool may_be_next(log_offset next) const noexcept;

    /// @brief Failure domains on whose targets nothing may be started.
    /// @return Names; usually none.
    [[nodiscard]] std::set<failure_domain_id> domains() const;

    /// @brief Requests from which another host can rebuild this state, with `next`.
    /// @return Requests in force, by failure domain.
    [[nodiscard]] std::vector<evacuation_request> requests() const;

  private:
    void begin(const evacuation_request &request, std::vector<evacuation_change> &changes);

    /// Offset of the latest request of each failure domain that is being evacuated.
    std::map<failure_domain_id, log_offset> m_in_force;
    log_offset m_next{};
    bool m_known{};
};

/// @brief Whether a list received from another host can be one.
/// @param requests Requests in force.
/// @return False for offsets that no log has, more requests than `max_evacuations`, or a name that no failure domain has.
[[nodiscard]] bool plausible(const std::vector<evacuation_request> &requests);

} // namespace heathermoor::evacuation
