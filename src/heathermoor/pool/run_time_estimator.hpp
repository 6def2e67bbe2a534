#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/pool/run_statistics.hpp"
#include <unordered_map>

namespace heathermoor::pool {

/// @brief Predicts run times from what a queue's tasks took and from what callers declare.
///
/// A declared run time is rough, yet it tells long jobs of a queue from short
/// ones. The prediction is the linear regression of the logarithm of the run
/// time on that of the declaration, with weights that favour recent tasks.
class run_time_estimator {
  public:
    /// @brief Predicted run time on a target of mean speed.
    /// @param queue Queue of the task.
    /// @param declared Run time that the caller declared; zero for none.
    /// @return Prediction.
    [[nodiscard]] duration predict(const queue_id &queue, milliseconds declared) const;

    /// @brief Learns from a finished task.
    /// @param queue Queue of the task.
    /// @param declared Run time that the caller declared; zero for none.
    /// @param observed Run time.
    /// @param speed Speed of the target that ran it.
    void observe(const queue_id &queue, milliseconds declared, duration observed, double speed);

    /// @brief What was learned of all queues.
    /// @return One entry for each queue.
    [[nodiscard]] std::vector<queue_statistics> learned() const;

    /// @brief Takes over what the present scheduler has learned of a queue; replaces what is known here.
    /// @param earlier What it has learned.
    void restore(const queue_statistics &earlier);

  private:
    std::unordered_map<queue_id, queue_statistics> m_queues;
};

} // namespace heathermoor::pool
