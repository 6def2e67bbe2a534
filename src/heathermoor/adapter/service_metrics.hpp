#pragma once

#include "heathermoor/core/error.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/job/job.hpp"
#include "heathermoor/lending/borrow_book.hpp"
#include "heathermoor/lending/loan_book.hpp"
#include "heathermoor/metrics/work_meter.hpp"
#include "heathermoor/pool/job_size.hpp"
#include "heathermoor/reservation/book.hpp"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathermoor::adapter {

/// @brief What one source has confirmed of one kind of shared data.
struct confirmation_snapshot {
    /// Kind of data; becomes a label.
    std::string_view subject;
    /// Who confirms; becomes a label.
    std::string_view source;
    /// Time since the host's copy was confirmed; empty if it never was.
    std::optional<duration> age;
    bool lost{};
    std::uint64_t losses{};
};

/// @brief Snapshot of a host's state for its metrics.
struct service_state {
    /// Whether this host schedules the pool.
    bool leading{};
    /// Hosts whose heartbeats are received, including this one.
    std::uint64_t hosts_heard{};
    /// Unanswered jobs of clients of this host.
    std::uint64_t open_jobs{};
    /// Jobs held by this host's scheduler; zero unless it leads.
    std::uint64_t scheduled_jobs{};
    std::uint64_t targets_known{};
    std::uint64_t config_version{};
    /// The latest version was rejected as malformed; an earlier one is in force.
    bool config_rejected{};
    std::uint64_t config_rejections{};
    /// Time since the platform's store last answered.
    duration store_silence{};
    std::vector<confirmation_snapshot> confirmations;
    /// Outcomes by queue and size of the jobs that this host's scheduler has answered.
    std::map<queue_id, pool::queue_counts> queues;
    /// Targets that serve nothing, since their entry on the list is not of the boot that answers.
    std::size_t targets_without_entry{};
    /// Failure domains that are being evacuated.
    std::size_t domains_evacuated{};
    /// Targets on which nothing is started because of that; zero unless the host leads.
    std::size_t targets_evacuated{};
    /// Effort of placement rounds: waiting jobs looked at, jobs for which a target was sought, targets compared for a task.
    std::uint64_t jobs_examined{};
    std::uint64_t jobs_tried{};
    std::uint64_t targets_compared{};
    reservation::reservation_counts reservations;
    /// Jobs lent to leaders of other cells, and borrowed from them.
    lending::loan_counts loans;
    lending::borrow_counts borrowed;
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

    /// @brief Records an answered job and its latency.
    /// @param result Outcome sent to the client.
    /// @param waited Time from the request to the answer.
    void job_answered(job::outcome result, duration waited);

    /// @brief Counts a request that was rejected before it became a job.
    /// @param reason Error sent to the client; becomes a label.
    void request_rejected(errc reason);

    /// @brief Records a client that disconnected before its answer.
    /// @param waited Time from the request until the disconnect.
    void caller_left(duration waited);

    /// @brief Formats all metrics.
    /// @param state Current state; its totals must not decrease between calls.
    /// @return Page in the Prometheus text format.
    [[nodiscard]] std::string text(const service_state &state);

  private:
    struct families;

    void export_reservations(const reservation::reservation_counts &counts);
    void export_lending(const lending::loan_counts &loans, const lending::borrow_counts &borrowed);
    void export_group(const queue_id &queue, pool::size_class size, const pool::group_counts &counts);

    std::unique_ptr<families> m_families;
};

} // namespace heathermoor::adapter
