#include "heathermoor/host/entry_role.hpp"

#include "heathermoor/core/hash.hpp"
#include "heathermoor/host/convert.hpp"
#include <algorithm>

namespace heathermoor::host {

namespace internal {

/// Delay before the owner is looked up again; doubles with each attempt.
constexpr duration first_backoff = milliseconds{10};
constexpr duration max_backoff = milliseconds{160};
/// Time without an answer before a request is sent again; doubles with each attempt.
constexpr duration first_resend = seconds{1};

/// Successive processes of a host start from different correlations, so that a late answer to an earlier process matches no
/// request of a later one.
[[nodiscard]] std::uint64_t first_correlation(const settings &options) {
    constexpr unsigned counter_bits = 24;
    return hash64(options.host.str(), raw(options.process)) << counter_bits;
}

[[nodiscard]] reply unknown_reply(errc code) {
    return {{submission::outcome_kind::unknown, code, {}, milliseconds{1000}}, false};
}

} // namespace internal

entry_role::entry_role(const settings &options, const control_role &control, messenger &out)
    : m_options{options}, m_control{control}, m_out{out}, m_next{internal::first_correlation(options)} {}

void entry_role::add(request item, std::error_code error, time_point now) {
    if(error) {
        item.done({{submission::outcome_kind::not_run, errc::invalid_submission_id, {}, {}}, false});
        return;
    }
    std::uint64_t key{};
    {
        const std::lock_guard lock{m_mutex};
        key = ++m_next;
        item.message.set_correlation(key);
        item.backoff = internal::first_backoff;
        m_requests.emplace(key, std::move(item));
    }
    send_request(key, now);
}

void entry_role::submit(submission::job_spec spec, completion done, time_point now) {
    request item;
    std::error_code error;
    item.id = submission::parse_id(spec.customer.str(), spec.id.str(), m_options.domains, error);
    item.deadline = now + spec.deadline;
    item.expires_at = item.deadline + m_options.answer_margin;
    item.done = std::move(done);
    *item.message.mutable_submit_job()->mutable_job() = to_wire(spec, spec.deadline);
    add(std::move(item), error, now);
}

void entry_role::query_job(job_query query, completion done, time_point now) {
    request item;
    std::error_code error;
    item.id = submission::parse_id(query.customer.str(), query.id.str(), m_options.domains, error);
    item.deadline = now + query.wait + seconds{2};
    item.expires_at = item.deadline;
    item.done = std::move(done);
    auto &find = *item.message.mutable_find_job();
    find.set_customer(query.customer.str());
    find.set_id(query.id.str());
    find.set_wait_ms(static_cast<std::uint32_t>(to_ms(query.wait)));
    find.set_cancel(query.cancel);
    add(std::move(item), error, now);
}

void entry_role::send_request(std::uint64_t key, time_point now) {
    wire::envelope message;
    completion lost;
    host_id to;
    {
        const std::lock_guard lock{m_mutex};
        const auto found = m_requests.find(key);
        if(found == m_requests.end()) {
            return;
        }
        auto &item = found->second;
        const auto owner = m_control.find_owner(item.id);
        if(owner.lost) {
            lost = std::move(item.done);
            m_requests.erase(found);
        } else if(owner.host.empty()) {
            item.send_at = now + item.backoff;
            item.backoff = std::min(item.backoff * 2, internal::max_backoff);
        } else {
            to = owner.host;
            item.sent_to = to;
            item.resend = item.resend == duration{} ? internal::first_resend : item.resend * 2;
            item.send_at = now + item.resend;
            message = item.message;
            if(message.has_submit_job()) {
                const auto left = std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(item.deadline - now).count());
                message.mutable_submit_job()->mutable_job()->set_deadline_ms(static_cast<std::uint32_t>(left));
            }
        }
    }
    if(lost) {
        lost(internal::unknown_reply(errc::outcome_lost));
    } else if(!to.empty()) {
        m_out.send(to, std::move(message));
    }
}

void entry_role::answered(const wire::envelope &message, time_point now) {
    completion done;
    {
        const std::lock_guard lock{m_mutex};
        const auto found = m_requests.find(message.correlation());
        if(found == m_requests.end() || found->second.sent_to != host_id{message.from()}) {
            return;
        }
        auto &item = found->second;
        if(message.reply().not_owner()) {
            item.send_at = now + item.backoff;
            item.backoff = std::min(item.backoff * 2, internal::max_backoff);
            return;
        }
        done = std::move(item.done);
        m_requests.erase(found);
    }
    done({from_wire(message.reply().result()), message.reply().running()});
}

void entry_role::host_lost(const host_id &host, time_point now) {
    const std::lock_guard lock{m_mutex};
    for(auto &[key, item]: m_requests) {
        if(item.sent_to == host) {
            item.send_at = std::min(item.send_at, now + item.backoff);
        }
    }
}

void entry_role::tick(time_point now) {
    std::vector<std::uint64_t> due;
    std::vector<completion> late;
    {
        const std::lock_guard lock{m_mutex};
        for(auto position = m_requests.begin(); position != m_requests.end();) {
            auto &item = position->second;
            if(now >= item.expires_at) {
                late.push_back(std::move(item.done));
                position = m_requests.erase(position);
                continue;
            }
            if(now >= item.send_at) {
                due.push_back(position->first);
            }
            ++position;
        }
    }
    std::sort(due.begin(), due.end());
    for(const auto key: due) {
        send_request(key, now);
    }
    for(auto &done: late) {
        done(internal::unknown_reply(errc::owner_unavailable));
    }
}

std::size_t entry_role::pending() const {
    const std::lock_guard lock{m_mutex};
    return m_requests.size();
}

} // namespace heathermoor::host
