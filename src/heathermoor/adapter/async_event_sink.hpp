#pragma once

#include "heathermoor/core/event.hpp"
#include <cstdint>
#include <memory>
#include <string>

namespace heathermoor::adapter {

/// @brief Writes events as JSON lines to standard output from a thread of its own.
///
/// The queue is bounded and never blocks its callers: when it is full, the
/// oldest lines are lost, and their number is written with the next line.
class async_event_sink final : public event_sink {
  public:
    /// @brief Sink that is in use until it is destroyed.
    /// @param host Name of the host, part of each line.
    explicit async_event_sink(std::string host);
    ~async_event_sink() override;
    async_event_sink(const async_event_sink &) = delete;
    async_event_sink &operator=(const async_event_sink &) = delete;
    async_event_sink(async_event_sink &&) = delete;
    async_event_sink &operator=(async_event_sink &&) = delete;

    void write(log_level level, std::string_view json) override;

    /// @brief Lines lost so far.
    /// @return Number of lines.
    [[nodiscard]] std::uint64_t lost() const;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace heathermoor::adapter
