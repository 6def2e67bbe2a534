#include "heathermoor/job/time_limit.hpp"

#include <algorithm>

namespace heathermoor::job {

milliseconds time_limit(std::optional<milliseconds> caller_waits, const queue_policy &queue) noexcept {
    const auto unless_given = queue.timeout > milliseconds{0} ? queue.timeout : default_time_limit;
    return std::min(caller_waits.value_or(unless_given), longest_time_limit);
}

} // namespace heathermoor::job
