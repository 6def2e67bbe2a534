#pragma once

#include "heathermoor/port/ports.hpp"
#include <ctime>

namespace heathermoor::adapter {

/// @brief Implements the clock port with the system's clocks.
///
/// The monotonic time includes suspend (CLOCK_BOOTTIME), so that a host that resumes
/// sees its leases as expired.
class system_clock_port final : public port::clock_port {
  public:
    [[nodiscard]] time_point now() const override {
        timespec value{};
        (void)::clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point{
            std::chrono::duration_cast<duration>(std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec})};
    }

    [[nodiscard]] std::chrono::milliseconds unix_now() const override {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    }
};

} // namespace heathermoor::adapter
