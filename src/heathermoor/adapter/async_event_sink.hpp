#pragma once

#include "heathermoor/core/event.hpp"
#include <cstdint>
#include <memory>
#include <string>

namespace heathermoor::adapter {

/// @brief Writes events as JSON lines to standard output from a background thread.
///
/// The queue is bounded and never blocks its callers: when it is full, the oldest
/// lines are dropped, and the next event is preceded by one with the total dropped.
class async_event_sink final : public event_sink {
  public:
    /// @brief Installs the sink as the process's event sink until it is destroyed.
    /// @param host Value of the member `host` of each line.
    explicit async_event_sink(std::string host);
    ~async_event_sink() override;
    async_event_sink(const async_event_sink &) = delete;
    async_event_sink &operator=(const async_event_sink &) = delete;
    async_event_sink(async_event_sink &&) = delete;
    async_event_sink &operator=(async_event_sink &&) = delete;

    void write(log_level level, std::string_view json) override;

    /// @brief Lines dropped because the queue was full.
    /// @return Total since construction.
    [[nodiscard]] std::uint64_t lost() const;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace heathermoor::adapter
