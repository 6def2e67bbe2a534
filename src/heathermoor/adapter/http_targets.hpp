#pragma once

#include "heathermoor/port/ports.hpp"
#include <functional>
#include <memory>

namespace heathermoor::adapter {

/// @brief Target port over HTTP: one kept connection per outstanding task.
///
/// A refused connection or a typed refusal proves that a task was not started;
/// any failure after the request was written leaves its outcome unknown.
class http_targets final : public port::target_port {
  public:
    /// @brief Receives answers, from any thread.
    using handler = std::function<void(placement::target_answer)>;

    /// @brief Port without connections.
    /// @param answered Receives each answer.
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
