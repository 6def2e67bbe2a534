#pragma once

#include "heathermoor/metrics/work_meter.hpp"
#include <ctime>

namespace heathermoor::adapter {

/// @brief Implements the work clock with the CPU time of the calling thread.
class thread_work_clock final : public metrics::work_clock {
  public:
    [[nodiscard]] duration spent() const override {
        timespec value{};
        (void)::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
        return std::chrono::duration_cast<duration>(std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec});
    }
};

} // namespace heathermoor::adapter
