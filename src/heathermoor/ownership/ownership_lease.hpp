#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include <algorithm>
#include <map>
#include <vector>

namespace heathermoor::ownership {

/// @brief Tells whether a host may still act as owner of what it was granted.
///
/// The evidence is either a recent read of the ownership stream's tail, or a
/// recent promise of every other member of the failure domain that it has not
/// claimed and will not claim within the evidence period. Both are dated by
/// the time at which the question was sent, so that delay counts against them.
class ownership_lease {
  public:
    /// @brief Evidence that lapses after a period.
    /// @param period Time for which a read or a promise counts.
    explicit ownership_lease(duration period) : m_period{period} {}

    /// @brief Notes a read of the stream's tail.
    /// @param asked Time at which the read was sent.
    void log_read(time_point asked) noexcept { m_log_read = std::max(m_log_read, asked); }

    /// @brief Notes the promise of a member.
    /// @param host Member of the same failure domain.
    /// @param asked Time at which the promise was asked for.
    void promised(const host_id &host, time_point asked) {
        auto &entry = m_promises[host];
        entry = std::max(entry, asked);
    }

    /// @brief Whether the lease holds.
    /// @param others All other members of the failure domain.
    /// @param now Current time.
    /// @return False if a claim might stand against this host.
    [[nodiscard]] bool valid(const std::vector<host_id> &others, time_point now) const {
        if(m_log_read != time_point{} && now - m_log_read < m_period) {
            return true;
        }
        return !others.empty() && std::all_of(others.begin(), others.end(), [&](const host_id &host) {
            const auto found = m_promises.find(host);
            return found != m_promises.end() && found->second != time_point{} && now - found->second < m_period;
        });
    }

    /// @brief Time of the last read of the stream's tail.
    /// @return Time at which that read was sent.
    [[nodiscard]] time_point last_log_read() const noexcept { return m_log_read; }

  private:
    duration m_period;
    time_point m_log_read{};
    std::map<host_id, time_point> m_promises;
};

} // namespace heathermoor::ownership
