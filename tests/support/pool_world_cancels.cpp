#include "support/pool_world_host.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heathermoor::test {

namespace {

/// Attempt after which a caller sends nothing more.
constexpr std::uint32_t last_attempt = 3;

} // namespace

void pool_world::send_job_to(std::size_t host, const job_id &id) {
    ++m_sent;
    if(!m_jobs.contains(id)) {
        m_jobs[id].definition = draw_definition(id);
    }
    submit_to(host, id, last_attempt);
}

void pool_world::send_copy_to(std::size_t host, const job_id &id) {
    submit_to(host, id, last_attempt);
}

std::uint64_t pool_world::cancel_at(std::size_t host, const job_id &id, milliseconds limit) {
    const auto request = m_next_request++;
    m_cancels[request] = {id, m_now, {}, {}};
    if(!m_jobs.contains(id)) {
        m_jobs[id].definition = draw_definition(id);
    }
    on_host(host, m_hosts.at(host)->process,
            [request, id, limit](member::member &one) { one.cancel_job(gateway::request_token{request}, id, limit); });
    return request;
}

void pool_world::cancel_answered(gateway::request_token request, gateway::cancel_result result) {
    auto &call = m_cancels.at(raw(request));
    if(call.result) {
        m_violations.push_back(fmt::format("a request to cancel {} was answered twice", call.job.str()));
    }
    call.result = result;
    call.answered_at = m_now;
    auto &job = m_jobs.at(call.job);
    if(result != gateway::cancel_result::unknown && !job.cancel_acknowledged_at) {
        job.cancel_acknowledged_at = m_now;
    }
}

std::optional<gateway::cancel_result> pool_world::cancel_answer(std::uint64_t request) const {
    return m_cancels.at(request).result;
}

duration pool_world::cancel_time(std::uint64_t request) const {
    return m_cancels.at(request).answered_at - m_cancels.at(request).sent_at;
}

void pool_world::check_order(const pool::start_order &order) {
    auto &job = m_jobs.at(order.task.job);
    ++job.starts_ordered;
    if(job.cancel_acknowledged_at && m_now > *job.cancel_acknowledged_at) {
        m_violations.push_back(fmt::format("{}: {}.{} is started {:.0f} ms after its cancelling was acknowledged",
                                           to_ms(m_now.time_since_epoch()), order.task.job.str(), order.task.index,
                                           to_ms(m_now - *job.cancel_acknowledged_at)));
    }
}

std::uint64_t pool_world::starts_of(const job_id &id) const {
    return m_jobs.at(id).starts_ordered;
}

std::size_t pool_world::runs_of(const job_id &id) {
    std::size_t result = 0;
    for(auto &target: m_targets) {
        target.advance(m_now);
        const auto &runs = target.runs();
        result +=
            static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [&id](const auto &item) { return item.first.job == id; }));
    }
    return result;
}

} // namespace heathermoor::test
