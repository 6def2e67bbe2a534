#pragma once

#include "heathermoor/port/ports.hpp"
#include <functional>
#include <memory>

namespace heathermoor::adapter {

/// @brief Implements the target port over HTTP, with one persistent connection per outstanding request.
///
/// A failed connection attempt, or a refusal that says `not_started`, proves that
/// the task did not run; any failure after connecting leaves its outcome unknown.
class http_targets final : public port::target_port {
  public:
    /// @brief Called with each answer, from any thread.
    using handler = std::function<void(placement::target_answer)>;

    /// @brief Constructs a port without connections.
    /// @param answered Called once for each start request.
    explicit http_targets(handler answered);
    ~http_targets() override;
    http_targets(const http_targets &) = delete;
    http_targets &operator=(const http_targets &) = delete;
    http_targets(http_targets &&) = delete;
    http_targets &operator=(http_targets &&) = delete;

    void start(placement::start_request request) override;
    void stop(placement::stop_request request) override;

  private:
    class channel;
    struct state;

    [[nodiscard]] std::shared_ptr<channel> channel_to(const std::string &address);

    std::unique_ptr<state> m_state;
};

} // namespace heathermoor::adapter
