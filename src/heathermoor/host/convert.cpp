#include "heathermoor/host/convert.hpp"

#include "heathermoor/core/hash.hpp"
#include <algorithm>

namespace heathermoor::host {

wire::submission to_wire(const submission::job_spec &spec, duration time_left) {
    wire::submission message;
    message.set_customer(spec.customer.str());
    message.set_service(spec.service.str());
    message.set_id(spec.id.str());
    message.set_deadline_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(time_left).count())));
    message.set_digest(spec.digest);
    message.set_refusal(static_cast<std::uint32_t>(spec.refusal));
    std::uint32_t index{};
    for(const auto &task: spec.tasks) {
        auto *out = message.add_tasks();
        out->set_index(index++);
        out->set_request(task.request.str());
        out->set_size_hint_ms(static_cast<std::uint32_t>(task.size_hint.count()));
        out->set_body(task.body);
    }
    return message;
}

submission::job_spec from_wire(const wire::submission &message) {
    submission::job_spec spec;
    spec.customer = customer_id{message.customer()};
    spec.service = service_id{message.service()};
    spec.id = submission_id{message.id()};
    spec.deadline = milliseconds{message.deadline_ms()};
    spec.digest = message.digest();
    spec.refusal = to_errc(message.refusal());
    spec.tasks.reserve(static_cast<std::size_t>(message.tasks_size()));
    for(const auto &task: message.tasks()) {
        spec.tasks.push_back({request_name{task.request()}, milliseconds{task.size_hint_ms()}, task.body()});
    }
    return spec;
}

wire::outcome to_wire(const submission::outcome &result) {
    wire::outcome message;
    message.set_kind(static_cast<std::uint32_t>(result.kind));
    message.set_code(static_cast<std::uint32_t>(result.code));
    message.set_retry_after_ms(static_cast<std::uint32_t>(result.retry_after.count()));
    for(const auto &body: result.results) {
        message.add_results(body);
    }
    return message;
}

submission::outcome from_wire(const wire::outcome &message) {
    constexpr auto last_kind = static_cast<std::uint32_t>(submission::outcome_kind::unknown);
    submission::outcome result;
    result.kind = static_cast<submission::outcome_kind>(std::min(message.kind(), last_kind));
    result.code = to_errc(message.code());
    result.retry_after = milliseconds{message.retry_after_ms()};
    result.results.assign(message.results().begin(), message.results().end());
    return result;
}

wire::load_summary to_wire(const pool_id &pool, const placement::pool_load &load) {
    wire::load_summary message;
    message.set_pool(pool.str());
    message.set_capacity(load.capacity);
    message.set_backlog_ms(load.backlog_ms);
    message.set_short_backlog_ms(load.short_backlog_ms);
    message.set_free_slots(load.free_slots);
    message.set_slots(load.slots);
    return message;
}

membership::reported_load from_wire(const wire::load_summary &message) {
    return {pool_id{message.pool()},    message.capacity(),   message.backlog_ms(),
            message.short_backlog_ms(), message.free_slots(), message.slots()};
}

std::string pack_keys(const std::vector<std::uint64_t> &keys) {
    std::string packed;
    packed.reserve(keys.size() * sizeof(std::uint64_t));
    for(auto key: keys) {
        for(std::size_t byte = 0; byte < sizeof(key); ++byte) {
            packed.push_back(static_cast<char>(key & 0xFFU));
            key >>= 8U;
        }
    }
    return packed;
}

std::vector<std::uint64_t> unpack_keys(const std::string &packed) {
    std::vector<std::uint64_t> keys;
    keys.reserve(packed.size() / sizeof(std::uint64_t));
    for(std::size_t first = 0; first + sizeof(std::uint64_t) <= packed.size(); first += sizeof(std::uint64_t)) {
        std::uint64_t key{};
        for(auto byte = sizeof(key); byte > 0; --byte) {
            key = (key << 8U) | static_cast<unsigned char>(packed[first + byte - 1]);
        }
        keys.push_back(key);
    }
    return keys;
}

std::uint64_t job_digest(const submission::job_spec &spec) {
    auto digest = hash64(spec.service.str());
    for(const auto &task: spec.tasks) {
        digest = hash64(task.request.str(), digest);
        digest = hash64(task.body, digest);
    }
    return digest;
}

} // namespace heathermoor::host
