#include "heathermoor/member/convert.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>

namespace heathermoor::member {

namespace internal {

[[nodiscard]] duration to_duration(std::int64_t value_us) noexcept {
    return duration{value_us};
}

void set(wire::pool_resources &message, const resources &value) {
    message.set_cpu_millicores(value.cpu_millicores);
    message.set_memory_mb(value.memory_mb);
    message.set_gpus(value.gpus);
}

[[nodiscard]] resources get(const wire::pool_resources &message) {
    return {message.cpu_millicores(), message.memory_mb(), message.gpus()};
}

void set(wire::pool_queue &message, const job::queue_policy &queue) {
    message.set_name(queue.name.str());
    message.set_service(queue.service.str());
    message.set_priority(queue.priority);
    message.set_max_attempts(queue.max_attempts);
    message.set_stretch(queue.stretch);
    message.set_target_latency_ms(queue.target_latency.count());
    message.set_timeout_ms(queue.timeout.count());
}

[[nodiscard]] job::queue_policy get(const wire::pool_queue &message) {
    job::queue_policy queue;
    queue.name = queue_id{message.name()};
    queue.service = service_id{message.service()};
    queue.priority = message.priority();
    queue.max_attempts = message.max_attempts();
    queue.stretch = message.stretch();
    queue.target_latency = milliseconds{message.target_latency_ms()};
    queue.timeout = milliseconds{message.timeout_ms()};
    return queue;
}

[[nodiscard]] job::step get(const wire::pool_step &message) {
    job::step step;
    step.tasks = message.tasks();
    step.need = get(message.need());
    step.estimate = milliseconds{message.estimate_ms()};
    step.after.assign(message.after().begin(), message.after().end());
    step.required_label = message.required_label();
    step.preferred_rack = message.preferred_rack();
    step.max_per_target = message.max_per_target();
    return step;
}

void set(wire::pool_step &message, const job::step &step) {
    message.set_tasks(step.tasks);
    set(*message.mutable_need(), step.need);
    message.set_estimate_ms(step.estimate.count());
    message.mutable_after()->Assign(step.after.begin(), step.after.end());
    message.set_required_label(step.required_label);
    message.set_preferred_rack(step.preferred_rack);
    message.set_max_per_target(step.max_per_target);
}

/// Longest time that a job may refer to, back or ahead.
constexpr std::chrono::hours longest_time{24};

[[nodiscard]] bool plausible(std::int64_t value_us) noexcept {
    return std::abs(value_us / 2) <= duration{longest_time}.count() / 2;
}

[[nodiscard]] bool valid(const wire::pool_resources &message) noexcept {
    return message.cpu_millicores() >= 0 && message.memory_mb() >= 0 && message.gpus() >= 0;
}

[[nodiscard]] bool valid(const wire::pool_step &message, int position) {
    const auto earlier = [position](std::uint32_t step) { return step < static_cast<std::uint32_t>(position); };
    return message.tasks() > 0 && message.tasks() <= job::max_tasks && valid(message.need()) &&
           std::all_of(message.after().begin(), message.after().end(), earlier);
}

[[nodiscard]] bool valid(const wire::pool_submit &message) {
    std::uint32_t tasks = 0;
    for(int position = 0; position < message.steps_size(); ++position) {
        if(!valid(message.steps(position), position)) {
            return false;
        }
        tasks += message.steps(position).tasks();
        if(tasks > job::max_tasks) {
            return false;
        }
    }
    return tasks > 0 && std::isfinite(message.queue().stretch()) && plausible(message.age_us()) && plausible(message.remaining_us()) &&
           plausible(message.clear_in_us());
}

} // namespace internal

wire::pool_submit to_wire(const pool::submission &work, leader_term term) {
    wire::pool_submit message;
    message.set_id(work.job.id.str());
    message.set_payload(work.job.payload);
    for(const auto &step: work.job.steps) {
        internal::set(*message.add_steps(), step);
    }
    internal::set(*message.mutable_queue(), work.queue);
    message.set_age_us(work.age.count());
    message.set_remaining_us(work.remaining.count());
    message.set_clear_in_us(work.earlier_runs_end_in.count());
    message.set_term(raw(term));
    message.set_earlier(work.earlier.str());
    message.set_may_have_run(work.may_have_run);
    return message;
}

std::optional<pool::submission> from_wire(const wire::pool_submit &message, pool::gateway_ref from) {
    if(!internal::valid(message)) {
        return std::nullopt;
    }
    pool::submission work;
    work.job.id = job_id{message.id()};
    work.job.payload = message.payload();
    for(const auto &step: message.steps()) {
        work.job.steps.push_back(internal::get(step));
    }
    work.queue = internal::get(message.queue());
    work.from = std::move(from);
    work.age = internal::to_duration(message.age_us());
    work.remaining = internal::to_duration(message.remaining_us());
    work.earlier_runs_end_in = internal::to_duration(message.clear_in_us());
    work.earlier = host_id{message.earlier()};
    work.may_have_run = message.may_have_run();
    return work;
}

wire::pool_config to_wire(const route::route_config &config) {
    wire::pool_config message;
    message.set_version(raw(config.version));
    for(const auto &route: config.routes) {
        auto &added = *message.add_routes();
        added.set_host(route.host);
        added.set_path_prefix(route.path_prefix);
        internal::set(*added.mutable_queue(), route.queue);
    }
    message.set_header_bytes(config.limits.header_bytes);
    message.set_body_bytes(config.limits.body_bytes);
    message.set_header_timeout_ms(config.limits.header_timeout.count());
    message.set_idle_timeout_ms(config.limits.idle_timeout.count());
    return message;
}

route::route_config from_wire(const wire::pool_config &message) {
    route::route_config config;
    config.version = config_version{message.version()};
    for(const auto &route: message.routes()) {
        config.routes.push_back({route.host(), route.path_prefix(), internal::get(route.queue())});
    }
    config.limits.header_bytes = message.header_bytes();
    config.limits.body_bytes = message.body_bytes();
    config.limits.header_timeout = milliseconds{message.header_timeout_ms()};
    config.limits.idle_timeout = milliseconds{message.idle_timeout_ms()};
    return config;
}

wire::pool_evacuations to_wire(const evacuation::evacuation_state &state) {
    wire::pool_evacuations message;
    message.set_next(raw(state.next()));
    for(const auto &request: state.requests()) {
        auto &added = *message.add_requests();
        added.set_domain(request.domain.str());
        added.set_offset(raw(request.offset));
    }
    return message;
}

std::vector<evacuation::evacuation_request> from_wire(const wire::pool_evacuations &message) {
    std::vector<evacuation::evacuation_request> requests;
    requests.reserve(static_cast<std::size_t>(message.requests_size()));
    for(const auto &request: message.requests()) {
        requests.push_back({failure_domain_id{request.domain()}, log_offset{request.offset()}, true});
    }
    return requests;
}

wire::pool_catalog to_wire(const std::vector<catalog::catalog_record> &records, log_offset next) {
    wire::pool_catalog message;
    message.set_next(raw(next));
    for(const auto &record: records) {
        if(!record.entry) {
            continue;
        }
        const auto &entry = *record.entry;
        auto &target = *message.add_targets();
        target.set_offset(raw(record.offset));
        target.set_id(record.id.str());
        target.set_service(entry.service.str());
        target.set_domain(entry.domain.str());
        target.set_address(entry.address);
        target.set_machine(entry.machine.str());
        internal::set(*target.mutable_capacity(), entry.capacity);
        for(const auto &label: entry.labels) {
            target.add_labels(label);
        }
        target.set_draining(entry.draining);
        target.set_boot(raw(entry.boot));
    }
    return message;
}

std::vector<catalog::catalog_record> from_wire(const wire::pool_catalog &message) {
    std::vector<catalog::catalog_record> records;
    records.reserve(static_cast<std::size_t>(message.targets_size()));
    for(const auto &target: message.targets()) {
        catalog::target_entry entry;
        entry.id = target_id{target.id()};
        entry.service = service_id{target.service()};
        entry.domain = failure_domain_id{target.domain()};
        entry.address = target.address();
        entry.machine = machine_id{target.machine()};
        entry.capacity = internal::get(target.capacity());
        entry.labels.assign(target.labels().begin(), target.labels().end());
        entry.draining = target.draining();
        entry.boot = target_boot{target.boot()};
        records.push_back({log_offset{target.offset()}, entry.id, entry});
    }
    return records;
}

wire::pool_experience to_wire(const pool::run_statistics &learned) {
    wire::pool_experience message;
    for(const auto &known: learned.queues) {
        auto &queue = *message.add_queues();
        queue.set_queue(known.queue.str());
        queue.set_samples(known.samples);
        queue.set_mean_declared(known.mean_declared);
        queue.set_mean_observed(known.mean_observed);
        queue.set_variance_declared(known.variance_declared);
        queue.set_covariance(known.covariance);
        queue.set_variance_residual(known.variance_residual);
        queue.set_samples_residual(known.samples_residual);
        queue.set_variance_within_job(known.variance_within_job);
        queue.set_samples_within_job(known.samples_within_job);
    }
    for(const auto &known: learned.targets) {
        auto &target = *message.add_targets();
        target.set_target(known.target.str());
        target.set_boot(raw(known.boot));
        target.set_mean_log_ratio(static_cast<float>(known.mean_log_ratio));
        target.set_samples(known.samples);
    }
    return message;
}

pool::run_statistics from_wire(const wire::pool_experience &message) {
    pool::run_statistics learned;
    for(const auto &queue: message.queues()) {
        pool::queue_statistics known;
        known.queue = queue_id{queue.queue()};
        known.samples = queue.samples();
        known.mean_declared = queue.mean_declared();
        known.mean_observed = queue.mean_observed();
        known.variance_declared = queue.variance_declared();
        known.covariance = queue.covariance();
        known.variance_residual = queue.variance_residual();
        known.samples_residual = queue.samples_residual();
        known.variance_within_job = queue.variance_within_job();
        known.samples_within_job = queue.samples_within_job();
        const std::array values{known.samples,           known.mean_declared,       known.mean_observed,
                                known.variance_declared, known.covariance,          known.variance_residual,
                                known.samples_residual,  known.variance_within_job, known.samples_within_job};
        const bool finite = std::all_of(values.begin(), values.end(), [](double value) { return std::isfinite(value); });
        if(finite && known.samples > 0) {
            learned.queues.push_back(known);
        }
    }
    for(const auto &target: message.targets()) {
        if(std::isfinite(target.mean_log_ratio())) {
            learned.targets.push_back(
                {target_id{target.target()}, target_boot{target.boot()}, static_cast<double>(target.mean_log_ratio()), target.samples()});
        }
    }
    return learned;
}

} // namespace heathermoor::member
