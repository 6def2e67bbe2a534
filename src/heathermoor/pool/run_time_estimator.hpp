#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/pool/job_forecast.hpp"
#include "heathermoor/pool/run_statistics.hpp"
#include <unordered_map>

namespace heathermoor::pool {

/// @brief Predicts run times from a queue's finished tasks and from the run times that callers declare.
///
/// A declared run time is rough, yet it distinguishes long jobs of a queue from short
/// ones. The prediction is a linear regression of the logarithm of the run time on that
/// of the declared time, weighted in favour of recent tasks.
class run_time_estimator {
  public:
    /// @brief Predicts the run time of a task on a target of mean speed.
    /// @param queue Queue of the task.
    /// @param declared Run time that the caller declared; zero for none.
    /// @return Expected run time; the declared time, or a default, while the queue has too few samples.
    [[nodiscard]] duration predict(const queue_id &queue, milliseconds declared) const;

    /// @brief Predicts the run times of a job's tasks on targets of mean speed, with their spread.
    /// @param queue Queue of the job.
    /// @param declared Run time of a task that the caller declared; zero for none.
    /// @return Prediction around `predict`; generic spreads while the queue has too few samples.
    [[nodiscard]] run_time_prediction predict_job(const queue_id &queue, milliseconds declared) const;

    /// @brief Adds a finished task to the statistics.
    /// @param queue Queue of the task.
    /// @param declared Run time that the caller declared; zero for none.
    /// @param observed Measured run time.
    /// @param speed Speed of the target that ran it, relative to the mean.
    void observe(const queue_id &queue, milliseconds declared, duration observed, double speed);

    /// @brief Adds how far a finished task deviates from the earlier ones of its job.
    /// @param queue Queue of the task.
    /// @param observed Run time of the task on a target of mean speed.
    /// @param earlier_log_ms Mean logarithm, in milliseconds, of the earlier tasks' run times on a target of mean speed.
    /// @param earlier Number of earlier tasks, at least one.
    void observe_within_job(const queue_id &queue, duration observed, double earlier_log_ms, std::size_t earlier);

    /// @brief Exports the statistics of all queues.
    /// @return One entry for each queue with a finished task, in no order.
    [[nodiscard]] std::vector<queue_statistics> learned() const;

    /// @brief Imports another scheduler's statistics of a queue.
    /// @param earlier Statistics; they replace those of the same queue here.
    void restore(const queue_statistics &earlier);

  private:
    std::unordered_map<queue_id, queue_statistics> m_queues;
};

} // namespace heathermoor::pool
