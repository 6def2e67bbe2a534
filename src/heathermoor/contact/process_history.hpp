#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include <deque>
#include <map>

namespace heathermoor::contact {

/// @brief Tells the present process of each host from earlier ones, whose messages may still arrive.
///
/// The numbers of processes have no order. Of two processes, the one that is heard first counts as the earlier one. A late message
/// can reverse that, so a process that was taken for replaced is accepted again when the other one has been silent for a while.
class process_history {
  public:
    /// @brief Records a message, whose process becomes the present one of its host unless it is known to be an earlier one.
    /// @param sender Process that sent the message.
    /// @param now Reading of the monotonic clock.
    /// @return False if the process has been replaced or has left, so that the message is to be dropped.
    [[nodiscard]] bool accept(const process_ref &sender, time_point now);

    /// @brief Records that a process announced its departure.
    /// @param sender Process that leaves.
    /// @param now Reading of the monotonic clock.
    /// @return False if another process is the present one of the host, which stays.
    [[nodiscard]] bool left(const process_ref &sender, time_point now);

  private:
    struct known_processes {
        /// Present process; none after it has left.
        incarnation present{};
        /// Earlier processes, latest last.
        std::deque<incarnation> earlier;
        /// When the present process was last heard, or left.
        time_point heard_at{};
    };

    static void replace(known_processes &known, incarnation process);

    std::map<host_id, known_processes> m_hosts;
};

} // namespace heathermoor::contact
