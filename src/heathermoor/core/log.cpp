#include "heathermoor/core/log.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>

namespace heathermoor {

namespace internal {

std::atomic<log_level> minimum_level{log_level::info};

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};

} // namespace internal

void set_log_level(log_level level) noexcept {
    internal::minimum_level = level;
}

bool log_enabled(log_level level) noexcept {
    return level >= internal::minimum_level.load(std::memory_order_relaxed);
}

void write_log(log_level level, std::string_view part, std::string_view text) {
    const auto now = std::chrono::system_clock::now();
    const auto since_epoch = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    const auto line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} [{}] {}\n", fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                                  since_epoch.count() % 1000, internal::level_names.at(static_cast<std::size_t>(level)), part, text);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace heathermoor
