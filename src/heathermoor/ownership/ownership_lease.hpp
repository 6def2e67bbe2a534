#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include <algorithm>
#include <map>
#include <vector>

namespace heathermoor::ownership {

/// @brief Decides whether a host may still act as owner of the partitions it was granted.
///
/// The lease is valid after a recent read of the ownership stream up to its tail, or after recent promises of all other
/// members of the failure domain not to claim partitions within the lease period. Both count from the moment the request
/// was sent, so that network delay shortens the lease and never extends it.
class ownership_lease {
  public:
    /// @brief Creates a lease that is not valid yet.
    /// @param period Validity of a read or a promise.
    explicit ownership_lease(duration period) : m_period{period} {}

    /// @brief Renews the lease by a read of the ownership stream up to its tail.
    /// @param asked Monotonic time at which the read was sent; an older one than before changes nothing.
    void log_read(time_point asked) noexcept { m_log_read = std::max(m_log_read, asked); }

    /// @brief Records the promise of a member not to claim partitions.
    /// @param host Member of the same failure domain.
    /// @param asked Monotonic time at which the promise was requested; an older one than before changes nothing.
    void promised(const host_id &host, time_point asked) {
        auto &entry = m_promises[host];
        entry = std::max(entry, asked);
    }

    /// @brief Whether the lease is valid.
    /// @param others All other members of the failure domain; if empty, only a log read counts.
    /// @param now Monotonic time.
    /// @return False if another host may have claimed partitions of this one.
    [[nodiscard]] bool valid(const std::vector<host_id> &others, time_point now) const {
        if(m_log_read != time_point{} && now - m_log_read < m_period) {
            return true;
        }
        return !others.empty() && std::all_of(others.begin(), others.end(), [&](const host_id &host) {
            const auto found = m_promises.find(host);
            return found != m_promises.end() && found->second != time_point{} && now - found->second < m_period;
        });
    }

    /// @brief Start of the last read that renewed the lease.
    /// @return Monotonic time at which that read was sent; zero if there was none.
    [[nodiscard]] time_point last_log_read() const noexcept { return m_log_read; }

  private:
    duration m_period;
    time_point m_log_read{};
    std::map<host_id, time_point> m_promises;
};

} // namespace heathermoor::ownership
