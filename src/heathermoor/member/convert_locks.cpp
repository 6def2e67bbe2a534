#include "heathermoor/member/convert_locks.hpp"

namespace heathermoor::member {

namespace internal {

/// Longest time for which a lock may be asked for.
constexpr std::chrono::hours longest_lock{24};

void set(wire::pool_lock_end &message, const job::answer &answer) {
    message.set_result(static_cast<std::uint32_t>(answer.result));
    message.set_reason(static_cast<std::uint32_t>(answer.reason));
}

[[nodiscard]] std::optional<job::answer> get(const wire::pool_lock_end &message) {
    if(message.result() > static_cast<std::uint32_t>(job::outcome::unknown)) {
        return std::nullopt;
    }
    const auto result = static_cast<job::outcome>(message.result());
    return job::is_final(result) ? std::optional{job::answer{result, to_errc(message.reason()), {}}} : std::nullopt;
}

} // namespace internal

void add(wire::pool_locks &message, const lock::acquire_request &request) {
    auto &added = *message.add_acquires();
    added.set_id(request.id.str());
    added.set_needed_us(request.needed.count());
    added.set_scheduled(request.scheduled);
}

void add(wire::pool_locks &message, const lock::release_request &request) {
    auto &added = *message.add_releases();
    added.set_id(request.id.str());
    added.set_may_have_run(request.may_have_run);
    if(request.answer) {
        internal::set(*added.mutable_end(), *request.answer);
    }
}

void add(wire::pool_locks &message, const lock::lock_reply &reply) {
    auto &added = *message.add_replies();
    added.set_id(reply.id.str());
    added.set_state(static_cast<std::uint32_t>(reply.state));
    added.set_may_have_run(reply.may_have_run);
    if(reply.answer) {
        internal::set(*added.mutable_end(), *reply.answer);
    }
}

std::optional<lock::acquire_request> from_wire(const wire::pool_lock_acquire &message) {
    const duration needed{message.needed_us()};
    if(needed < duration::zero() || needed > duration{internal::longest_lock}) {
        return std::nullopt;
    }
    return lock::acquire_request{job_id{message.id()}, needed, message.scheduled()};
}

lock::release_request from_wire(const wire::pool_lock_release &message) {
    lock::release_request request{job_id{message.id()}, message.may_have_run(), std::nullopt};
    if(message.has_end()) {
        request.answer = internal::get(message.end());
    }
    return request;
}

std::optional<lock::lock_reply> from_wire(const wire::pool_lock_reply &message) {
    if(message.state() > static_cast<std::uint32_t>(lock::lock_state::ended)) {
        return std::nullopt;
    }
    lock::lock_reply reply{job_id{message.id()}, static_cast<lock::lock_state>(message.state()), message.may_have_run(), std::nullopt};
    if(message.has_end()) {
        reply.answer = internal::get(message.end());
    }
    if(reply.state == lock::lock_state::ended && !reply.answer) {
        return std::nullopt;
    }
    return reply;
}

void to_wire(const cancellation::notice &sent, wire::pool_cancel_notice &message) {
    message.set_id(sent.id.str());
    message.set_age_us(sent.age.count());
    message.set_known(sent.known);
}

std::vector<cancellation::notice> from_wire(const google::protobuf::RepeatedPtrField<wire::pool_cancel_notice> &messages) {
    std::vector<cancellation::notice> result;
    for(const auto &message: messages) {
        const duration age{message.age_us()};
        if(age >= duration::zero() && age <= duration{cancellation::retention}) {
            result.push_back({job_id{message.id()}, age, message.known()});
        }
    }
    return result;
}

} // namespace heathermoor::member
