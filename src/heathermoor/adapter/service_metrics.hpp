#pragma once

#include "heathermoor/core/error.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/job/job.hpp"
#include "heathermoor/metrics/work_meter.hpp"
#include <cstdint>
#include <memory>
#include <string>

namespace heathermoor::adapter {

/// @brief State of a host at one moment, for its metrics.
struct service_state {
    bool leading{};
    std::uint64_t hosts_heard{};
    /// Jobs of the host's own callers that are not answered yet.
    std::uint64_t open_jobs{};
    /// Jobs in the scheduler's hands; zero unless the host leads.
    std::uint64_t scheduled_jobs{};
    std::uint64_t targets_known{};
    std::uint64_t config_version{};
    /// Time since the platform's store last answered.
    duration store_silence{};
    std::uint64_t task_starts{};
    std::uint64_t runs_failed{};
    std::uint64_t runs_lost{};
    std::uint64_t target_claims{};
    std::uint64_t calls{};
    std::uint64_t connections_made{};
    std::uint64_t log_lines_lost{};
    metrics::peer_traffic peers;
    metrics::work_totals work{};
};

/// @brief Counters and latency histograms of one host, in the Prometheus text format.
class service_metrics {
  public:
    service_metrics();
    ~service_metrics();
    service_metrics(const service_metrics &) = delete;
    service_metrics &operator=(const service_metrics &) = delete;
    service_metrics(service_metrics &&) = delete;
    service_metrics &operator=(service_metrics &&) = delete;

    /// @brief Counts an answered job and the time that its caller waited.
    /// @param result Outcome that the caller was told.
    /// @param waited Time from the request to the answer.
    void job_answered(job::outcome result, duration waited);

    /// @brief Counts a request that was turned away before it became a job.
    /// @param reason Reason.
    void request_rejected(errc reason);

    /// @brief Counts a caller that left before its answer.
    /// @param waited Time from the request until it left.
    void caller_left(duration waited);

    /// @brief Page of metrics.
    /// @param state State now.
    /// @return Text.
    [[nodiscard]] std::string text(const service_state &state);

  private:
    struct families;
    std::unique_ptr<families> m_families;
};

} // namespace heathermoor::adapter
