#pragma once

#include "heathermoor/core/time.hpp"
#include <cstddef>

namespace heathermoor::pool {

/// @brief Log-normal prediction of the run times of a job's tasks on a target of mean speed.
///
/// Values refer to the natural logarithm of milliseconds.
struct run_time_prediction {
    /// Logarithm of the median run time.
    double log_ms{};
    /// Variance of a job's mean around the prediction.
    double job_variance{};
    /// Variance between the tasks of one job.
    double task_variance{};
};

/// @brief Run time of one task as measured, or as extrapolated from its progress.
struct run_time_sample {
    /// Logarithm of the run time, in milliseconds, on a target of mean speed.
    double log_ms{};
    /// Variance of the error of the measurement; zero for a task that has ended.
    double variance{};
};

/// @brief Predicts when the tasks of one job end, from its queue's prediction and from what its own tasks have shown.
///
/// A job ends with its last task. The scheduler decides by the probability that this happens in time: whether a target is good
/// enough, whether moving a run pays, whether to end a job early.
class job_forecast {
  public:
    job_forecast() = default;

    /// @brief Creates a forecast without samples.
    /// @param prior Prediction for the queue and the caller's estimate.
    explicit job_forecast(const run_time_prediction &prior) noexcept;

    /// @brief Adds what one task of the job has shown; it says much about the others.
    ///
    /// The further the samples are from the prediction, the less the prediction counts: the job may be of another kind than
    /// the others of its queue.
    /// @param sample Run time of the task; each task counts once.
    void observe(const run_time_sample &sample) noexcept;

    /// @brief Median run time of a task.
    /// @return Time on a target of mean speed.
    [[nodiscard]] duration typical() const noexcept;

    /// @brief Median time until the last of several tasks ends that start at once.
    /// @param tasks Number of tasks, at least one.
    /// @return Time on targets of mean speed.
    [[nodiscard]] duration longest(std::size_t tasks) const noexcept;

    /// @brief Time within which several tasks that start at once have all ended with some probability.
    /// @param chance Probability, above 0 and below 1.
    /// @param tasks Number of tasks, at least one.
    /// @return Time on targets of mean speed.
    [[nodiscard]] duration time_for(double chance, std::size_t tasks) const;

    /// @brief Probability that several tasks that start at once all end in time.
    /// @param tasks Number of tasks, at least one.
    /// @param left Time left; the result is zero if it is not positive.
    /// @param speed Speed of their targets, relative to the mean.
    /// @return Probability from 0 to 1.
    [[nodiscard]] double chance(std::size_t tasks, duration left, double speed) const noexcept;

    /// @brief Probability that a task whose progress is known ends in time if it starts again elsewhere.
    /// @param sample What its present run has shown.
    /// @param left Time left; the result is zero if it is not positive.
    /// @param speed Speed of the other target, relative to the mean.
    /// @return Probability from 0 to 1.
    [[nodiscard]] double chance_again(const run_time_sample &sample, duration left, double speed) const noexcept;

    /// @brief Probability that a run ends in time where it is.
    /// @param sample What the run has shown.
    /// @param left Time from its start until it has to end; the result is zero if it is not positive.
    /// @param speed Speed of its target, relative to the mean.
    /// @return Probability from 0 to 1.
    [[nodiscard]] static double chance_here(const run_time_sample &sample, duration left, double speed) noexcept;

  private:
    run_time_prediction m_prior;
    /// Sum of the samples' inverse variances, and of the samples weighted by them.
    double m_sample_precision{};
    double m_weighted_samples{};
    /// Logarithm of the job's median run time and its variance, by prediction and samples.
    double m_log_ms{};
    double m_variance{1.0};
};

} // namespace heathermoor::pool
