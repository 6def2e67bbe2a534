#include "heathermoor/host/dispatch_role.hpp"

#include "heathermoor/host/convert.hpp"
#include <map>

namespace heathermoor::host {

namespace internal {

/// Whether a peer's message may be older than the age limit: its echo of this host's clock is missing or too old.
[[nodiscard]] bool is_stale(const wire::envelope &message, const settings &options, time_point now) {
    if(message.from() == options.host.str()) {
        return false;
    }
    const time_point echo{duration{message.echo_us()}};
    return message.echo_us() == 0 || now - echo > options.message_age;
}

[[nodiscard]] placement::job_placement to_job_placement(const wire::envelope &message, time_point now) {
    const auto &in = message.place();
    placement::job_placement job;
    job.origin = {host_id{message.from()}, static_cast<incarnation>(message.incarnation()), static_cast<job_handle>(in.job())};
    job.customer = customer_id{in.customer()};
    job.service = service_id{in.service()};
    job.submission = submission_id{in.id()};
    job.owner_epoch = static_cast<epoch>(in.epoch());
    job.deadline = now + milliseconds{in.deadline_ms()};
    for(const auto &task: in.tasks()) {
        job.tasks.push_back({task.index(), task.attempt(), request_name{task.request()}, milliseconds{task.size_hint_ms()}, task.body()});
    }
    return job;
}

} // namespace internal

dispatch_role::dispatch_role(const settings &options, port::target_port &targets, messenger &out)
    : m_options{options}, m_targets{targets}, m_out{out}, m_dispatcher{options.dispatch} {}

void dispatch_role::apply_effects(placement::dispatch_effects effects) {
    for(auto &start: effects.starts) {
        m_targets.start(std::move(start));
    }
    for(auto &stop: effects.stops) {
        m_targets.stop(std::move(stop));
    }
    std::map<placement::task_origin, wire::envelope> messages;
    for(auto &report: effects.reports) {
        auto &placed = *messages[report.origin].mutable_placed();
        placed.set_job(raw(report.origin.job));
        auto *out = placed.add_results();
        out->set_index(report.result.index);
        out->set_attempt(report.result.attempt);
        out->set_state(static_cast<std::uint32_t>(report.result.report));
        out->set_code(static_cast<std::uint32_t>(report.result.code));
        out->set_body(std::move(report.result.body));
    }
    if(messages.empty()) {
        return;
    }
    const auto loads = load();
    for(auto &[origin, message]: messages) {
        for(const auto &[pool, summary]: loads) {
            *message.mutable_placed()->add_load() = to_wire(pool, summary);
        }
        message.set_to_incarnation(raw(origin.process));
        m_out.send(origin.owner, std::move(message));
    }
}

void dispatch_role::place(const wire::envelope &message, time_point now) {
    auto job = internal::to_job_placement(message, now);
    placement::dispatch_effects effects;
    if(internal::is_stale(message, m_options, now)) {
        for(const auto &task: job.tasks) {
            effects.reports.push_back(
                {job.origin, {task.index, task.attempt, submission::task_report::not_started, errc::stale_message, {}}});
        }
    } else {
        const std::lock_guard lock{m_mutex};
        m_dispatcher.place(std::move(job), now, effects);
    }
    apply_effects(std::move(effects));
}

void dispatch_role::cancel(const wire::envelope &message, time_point now) {
    placement::dispatch_effects effects;
    {
        const std::lock_guard lock{m_mutex};
        m_dispatcher.cancel(
            {host_id{message.from()}, static_cast<incarnation>(message.incarnation()), static_cast<job_handle>(message.cancel().job())},
            now, effects);
    }
    apply_effects(std::move(effects));
}

void dispatch_role::answered(placement::target_answer answer, time_point now) {
    placement::dispatch_effects effects;
    {
        const std::lock_guard lock{m_mutex};
        m_dispatcher.answered(std::move(answer), now, effects);
    }
    apply_effects(std::move(effects));
}

void dispatch_role::owner_lost(const host_id &owner, incarnation process) {
    const std::lock_guard lock{m_mutex};
    m_dispatcher.owner_lost(owner, process);
}

void dispatch_role::set_targets(const std::vector<placement::target_info> &targets, time_point now) {
    placement::dispatch_effects effects;
    {
        const std::lock_guard lock{m_mutex};
        m_dispatcher.set_targets(targets, now, effects);
    }
    apply_effects(std::move(effects));
}

void dispatch_role::set_policy(const config::policy &current) {
    const std::lock_guard lock{m_mutex};
    m_dispatcher.set_policy(current);
}

void dispatch_role::drain(time_point now) {
    placement::dispatch_effects effects;
    {
        const std::lock_guard lock{m_mutex};
        m_dispatcher.decline_waiting(now, effects);
    }
    apply_effects(std::move(effects));
}

void dispatch_role::tick(time_point now, const std::map<pool_id, std::uint32_t> &free_elsewhere) {
    placement::dispatch_effects effects;
    {
        const std::lock_guard lock{m_mutex};
        m_dispatcher.rebalance(free_elsewhere, now, effects);
        m_dispatcher.tick(now, effects);
    }
    apply_effects(std::move(effects));
}

std::map<pool_id, placement::pool_load> dispatch_role::load() const {
    const std::lock_guard lock{m_mutex};
    return m_dispatcher.load();
}

std::size_t dispatch_role::active() const {
    const std::lock_guard lock{m_mutex};
    return m_dispatcher.active();
}

} // namespace heathermoor::host
