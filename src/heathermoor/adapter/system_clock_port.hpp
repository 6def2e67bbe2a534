#pragma once

#include "heathermoor/port/ports.hpp"

namespace heathermoor::adapter {

/// @brief Clock of the machine.
class system_clock_port final : public port::clock_port {
  public:
    [[nodiscard]] time_point now() const override {
        return time_point{std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch())};
    }

    [[nodiscard]] std::chrono::milliseconds unix_now() const override {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    }
};

} // namespace heathermoor::adapter
