#include "heathermoor/adapter/service_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace heathermoor::adapter {

namespace internal {

/// Upper bounds of the histogram buckets in seconds, dense around the usual objectives and time limits of clients.
const prometheus::Histogram::BucketBoundaries latency_bounds{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.0, 1.25, 1.5, 2.5, 5.0};

[[nodiscard]] double to_seconds(duration value) noexcept {
    return std::chrono::duration<double>(value).count();
}

/// Raises a counter to a total maintained elsewhere; never lowers it.
void raise_to(prometheus::Counter &counter, double total) {
    const auto missing = total - counter.Value();
    if(missing > 0) {
        counter.Increment(missing);
    }
}

} // namespace internal

struct service_metrics::families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram> &waits =
        prometheus::BuildHistogram().Name("heathermoor_job_seconds").Help("Time from a request to its answer.").Register(registry);
    prometheus::Family<prometheus::Counter> &rejections = prometheus::BuildCounter()
                                                              .Name("heathermoor_requests_rejected_total")
                                                              .Help("Requests turned away before they became jobs.")
                                                              .Register(registry);

    prometheus::Gauge &gauge(const char *name, const char *help) {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }
    prometheus::Counter &counter(const char *name, const char *help) {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
    }

    prometheus::Gauge &leading = gauge("heathermoor_leading", "1 while the host schedules the pool.");
    prometheus::Gauge &hosts_heard = gauge("heathermoor_hosts_heard", "Hosts that are heard, the own one included.");
    prometheus::Gauge &open_jobs = gauge("heathermoor_open_jobs", "Jobs of the host's callers that are not answered yet.");
    prometheus::Gauge &scheduled_jobs = gauge("heathermoor_scheduled_jobs", "Jobs in the hands of the host's scheduler.");
    prometheus::Gauge &targets_known = gauge("heathermoor_targets_known", "Targets on the list.");
    prometheus::Gauge &domains_evacuated = gauge("heathermoor_domains_evacuated", "Failure domains that are being evacuated.");
    prometheus::Gauge &targets_evacuated =
        gauge("heathermoor_targets_evacuated", "Targets on which nothing is started because of an evacuation.");
    prometheus::Gauge &targets_without_entry =
        gauge("heathermoor_targets_without_entry", "Targets that have restarted and whose new entry has not been read yet.");
    prometheus::Gauge &config_version = gauge("heathermoor_config_version", "Version of the configuration in force.");
    prometheus::Gauge &config_rejected =
        gauge("heathermoor_config_rejected", "1 while the latest version is rejected as malformed and an earlier one is in force.");
    prometheus::Counter &config_rejections =
        counter("heathermoor_config_rejections_total", "Versions of the configuration rejected as malformed.");
    prometheus::Gauge &store_silence = gauge("heathermoor_store_silence_seconds", "Time since the platform's store last answered.");
    prometheus::Family<prometheus::Gauge> &confirmation_age =
        prometheus::BuildGauge()
            .Name("heathermoor_confirmation_age_seconds")
            .Help("Time since a source confirmed that the host's copy is up to date; absent if it never did.")
            .Register(registry);
    prometheus::Family<prometheus::Gauge> &source_lost =
        prometheus::BuildGauge().Name("heathermoor_source_lost").Help("1 while a source of a copy is lost.").Register(registry);
    prometheus::Family<prometheus::Counter> &source_losses =
        prometheus::BuildCounter().Name("heathermoor_source_losses_total").Help("Losses of a source of a copy.").Register(registry);
    prometheus::Family<prometheus::Counter> &jobs =
        prometheus::BuildCounter()
            .Name("heathermoor_jobs_total")
            .Help("Jobs that the host's scheduler has answered, by queue, size among the queue's recent jobs, and outcome.")
            .Register(registry);
    prometheus::Family<prometheus::Counter> &jobs_late = prometheus::BuildCounter()
                                                             .Name("heathermoor_jobs_late_total")
                                                             .Help("Completed jobs answered after their objective.")
                                                             .Register(registry);
    prometheus::Family<prometheus::Counter> &runs_moved =
        prometheus::BuildCounter().Name("heathermoor_runs_moved_total").Help("Runs moved because of their pace.").Register(registry);
    prometheus::Family<prometheus::Counter> &task_seconds =
        prometheus::BuildCounter()
            .Name("heathermoor_task_seconds_total")
            .Help("Run time of the tasks of completed jobs on a target of mean speed, as predicted on arrival and as measured.")
            .Register(registry);
    prometheus::Counter &jobs_examined =
        counter("heathermoor_placement_jobs_examined_total", "Waiting jobs that placement rounds have looked at.");
    prometheus::Counter &jobs_tried =
        counter("heathermoor_placement_jobs_tried_total", "Waiting jobs for which placement rounds have sought a target.");
    prometheus::Counter &targets_compared =
        counter("heathermoor_placement_targets_compared_total", "Targets that placement rounds have compared for a task.");
    prometheus::Family<prometheus::Counter> &reservations = prometheus::BuildCounter()
                                                                .Name("heathermoor_reservations_total")
                                                                .Help("Reservations for jobs that could not start, by what became of them.")
                                                                .Register(registry);
    prometheus::Counter &jobs_backfilled =
        counter("heathermoor_jobs_backfilled_total", "Jobs that started before one with a reservation, ahead of them.");
    prometheus::Counter &jobs_held_back =
        counter("heathermoor_jobs_held_back_total", "Jobs that let others use room first that is too little for all of their tasks.");
    prometheus::Family<prometheus::Counter> &loans = prometheus::BuildCounter()
                                                         .Name("heathermoor_loans_total")
                                                         .Help("Jobs that the host lent to leaders of other cells, by what became of them.")
                                                         .Register(registry);
    prometheus::Counter &jobs_borrowed =
        counter("heathermoor_jobs_borrowed_total", "Jobs that the host took over from leaders of other cells.");
    prometheus::Counter &task_starts = counter("heathermoor_task_starts_total", "Starts of tasks that were ordered.");
    prometheus::Counter &runs_failed = counter("heathermoor_runs_failed_total", "Runs that ended as failed.");
    prometheus::Counter &runs_lost = counter("heathermoor_runs_lost_total", "Runs whose lease lapsed or whose target restarted.");
    prometheus::Counter &target_claims = counter("heathermoor_target_claims_total", "Claims of targets.");
    prometheus::Counter &calls = counter("heathermoor_calls_total", "Calls to targets and the store.");
    prometheus::Counter &connections = counter("heathermoor_connections_total", "Connections made to targets and the store.");
    prometheus::Family<prometheus::Counter> &work = prometheus::BuildCounter()
                                                        .Name("heathermoor_work_seconds_total")
                                                        .Help("Processor time of the event loop's thread, by part.")
                                                        .Register(registry);
    prometheus::Counter &messages_sent = counter("heathermoor_peer_messages_sent_total", "Messages sent to other hosts.");
    prometheus::Counter &messages_dropped =
        counter("heathermoor_peer_messages_dropped_total", "Messages to other hosts dropped for want of a connection.");
    prometheus::Counter &bytes_sent = counter("heathermoor_peer_bytes_sent_total", "Bytes sent to other hosts.");
    prometheus::Counter &bytes_received = counter("heathermoor_peer_bytes_received_total", "Bytes received from other hosts.");
    prometheus::Counter &lines_lost = counter("heathermoor_log_lines_lost_total", "Log lines lost because the queue was full.");
};

service_metrics::service_metrics() : m_families{std::make_unique<families>()} {}

service_metrics::~service_metrics() = default;

void service_metrics::job_answered(job::outcome result, duration waited) {
    m_families->waits.Add({{"outcome", std::string{job::name_of(result)}}}, internal::latency_bounds).Observe(internal::to_seconds(waited));
}

void service_metrics::request_rejected(errc reason) {
    m_families->rejections.Add({{"reason", std::string{code_name(reason)}}}).Increment();
}

void service_metrics::caller_left(duration waited) {
    m_families->waits.Add({{"outcome", "abandoned"}}, internal::latency_bounds).Observe(internal::to_seconds(waited));
}

void service_metrics::export_group(const queue_id &queue, pool::size_class size, const pool::group_counts &counts) {
    auto &all = *m_families;
    const prometheus::Labels group{{"queue", queue.str()}, {"size", std::string{pool::name_of(size)}}};
    const auto labelled = [&group](const char *label, const char *value) {
        auto labels = group;
        labels[label] = value;
        return labels;
    };
    internal::raise_to(all.jobs.Add(labelled("outcome", "completed")), static_cast<double>(counts.ended.completed));
    internal::raise_to(all.jobs.Add(labelled("outcome", "failed")), static_cast<double>(counts.ended.failed));
    internal::raise_to(all.jobs.Add(labelled("outcome", "refused")), static_cast<double>(counts.ended.refused));
    internal::raise_to(all.jobs.Add(labelled("outcome", "unknown")), static_cast<double>(counts.ended.unknown));
    internal::raise_to(all.jobs_late.Add(group), static_cast<double>(counts.late));
    internal::raise_to(all.runs_moved.Add(group), static_cast<double>(counts.moves));
    internal::raise_to(all.task_seconds.Add(labelled("figure", "predicted")), internal::to_seconds(counts.predicted_run_time));
    internal::raise_to(all.task_seconds.Add(labelled("figure", "measured")), internal::to_seconds(counts.measured_run_time));
}

void service_metrics::export_reservations(const reservation::reservation_counts &counts) {
    auto &all = *m_families;
    internal::raise_to(all.reservations.Add({{"state", "made"}}), static_cast<double>(counts.made));
    internal::raise_to(all.reservations.Add({{"state", "met"}}), static_cast<double>(counts.met));
    internal::raise_to(all.reservations.Add({{"state", "missed"}}), static_cast<double>(counts.missed));
    internal::raise_to(all.reservations.Add({{"state", "too_late"}}), static_cast<double>(counts.refused));
    internal::raise_to(all.jobs_backfilled, static_cast<double>(counts.backfilled));
    internal::raise_to(all.jobs_held_back, static_cast<double>(counts.held));
}

void service_metrics::export_lending(const lending::loan_counts &loans, const lending::borrow_counts &borrowed) {
    auto &all = *m_families;
    internal::raise_to(all.loans.Add({{"state", "lent"}}), static_cast<double>(loans.lent));
    internal::raise_to(all.loans.Add({{"state", "answered"}}), static_cast<double>(loans.answered));
    internal::raise_to(all.loans.Add({{"state", "returned"}}), static_cast<double>(loans.returned));
    internal::raise_to(all.loans.Add({{"state", "lost"}}), static_cast<double>(loans.lost));
    internal::raise_to(all.loans.Add({{"state", "expired"}}), static_cast<double>(loans.expired));
    internal::raise_to(all.jobs_borrowed, static_cast<double>(borrowed.borrowed));
}

std::string service_metrics::text(const service_state &state) {
    auto &all = *m_families;
    all.leading.Set(state.leading ? 1 : 0);
    all.hosts_heard.Set(static_cast<double>(state.hosts_heard));
    all.open_jobs.Set(static_cast<double>(state.open_jobs));
    all.scheduled_jobs.Set(static_cast<double>(state.scheduled_jobs));
    all.targets_known.Set(static_cast<double>(state.targets_known));
    all.domains_evacuated.Set(static_cast<double>(state.domains_evacuated));
    all.targets_evacuated.Set(static_cast<double>(state.targets_evacuated));
    all.targets_without_entry.Set(static_cast<double>(state.targets_without_entry));
    all.config_version.Set(static_cast<double>(state.config_version));
    all.config_rejected.Set(state.config_rejected ? 1 : 0);
    internal::raise_to(all.config_rejections, static_cast<double>(state.config_rejections));
    all.store_silence.Set(internal::to_seconds(state.store_silence));
    for(const auto &one: state.confirmations) {
        const prometheus::Labels labels{{"subject", std::string{one.subject}}, {"source", std::string{one.source}}};
        if(one.age) {
            all.confirmation_age.Add(labels).Set(internal::to_seconds(*one.age));
        }
        all.source_lost.Add(labels).Set(one.lost ? 1 : 0);
        internal::raise_to(all.source_losses.Add(labels), static_cast<double>(one.losses));
    }
    for(const auto &[queue, sizes]: state.queues) {
        for(std::size_t size = 0; size < pool::size_classes; ++size) {
            export_group(queue, static_cast<pool::size_class>(size), sizes.at(size));
        }
    }
    internal::raise_to(all.jobs_examined, static_cast<double>(state.jobs_examined));
    internal::raise_to(all.jobs_tried, static_cast<double>(state.jobs_tried));
    internal::raise_to(all.targets_compared, static_cast<double>(state.targets_compared));
    export_reservations(state.reservations);
    export_lending(state.loans, state.borrowed);
    internal::raise_to(all.task_starts, static_cast<double>(state.task_starts));
    internal::raise_to(all.runs_failed, static_cast<double>(state.runs_failed));
    internal::raise_to(all.runs_lost, static_cast<double>(state.runs_lost));
    internal::raise_to(all.target_claims, static_cast<double>(state.target_claims));
    internal::raise_to(all.calls, static_cast<double>(state.calls));
    internal::raise_to(all.connections, static_cast<double>(state.connections_made));
    internal::raise_to(all.lines_lost, static_cast<double>(state.log_lines_lost));
    internal::raise_to(all.messages_sent, static_cast<double>(state.peers.messages_sent));
    internal::raise_to(all.messages_dropped, static_cast<double>(state.peers.messages_dropped));
    internal::raise_to(all.bytes_sent, static_cast<double>(state.peers.bytes_sent));
    internal::raise_to(all.bytes_received, static_cast<double>(state.peers.bytes_received));
    for(std::size_t part = 0; part < metrics::work_parts; ++part) {
        const std::string name{name_of(static_cast<metrics::work_part>(part))};
        internal::raise_to(all.work.Add({{"part", name}}), internal::to_seconds(state.work.at(part).spent));
    }
    return prometheus::TextSerializer{}.Serialize(all.registry.Collect());
}

} // namespace heathermoor::adapter
