#include "heathermoor/adapter/job_json.hpp"

#include "heathermoor/core/hash.hpp"
#include "heathermoor/host/convert.hpp"
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace heathermoor::adapter {

namespace internal {

using json = nlohmann::json;

constexpr std::int64_t max_deadline_ms = 600'000;
/// Deadline of a job that is refused before a deadline is known: the time the owner has to record the refusal.
constexpr milliseconds refusal_deadline{2'000};
constexpr std::int64_t max_hint_ms = 3'600'000;

template <std::size_t Size>
[[nodiscard]] const std::string *unknown_key(const json &object, const std::array<std::string_view, Size> &known) {
    for(const auto &[key, value]: object.items()) {
        if(std::find(known.begin(), known.end(), key) == known.end()) {
            static thread_local std::string found;
            found = key;
            return &found;
        }
    }
    return nullptr;
}

/// Sets the error of a job unless it has one already.
void fail(parsed_job &job, errc code, std::string detail) {
    if(job.error == errc::ok) {
        job.error = code;
        job.detail = std::move(detail);
    }
}

[[nodiscard]] std::string read_text(const json &object, const char *name, parsed_job &job) {
    const auto found = object.find(name);
    if(found == object.end() || !found->is_string() || found->get_ref<const std::string &>().empty()) {
        fail(job, errc::malformed_request, name);
        return {};
    }
    return found->get<std::string>();
}

[[nodiscard]] milliseconds read_time(const json &object, const char *name, std::int64_t most, parsed_job &job) {
    const auto found = object.find(name);
    if(found == object.end()) {
        return {};
    }
    if(!found->is_number_integer() || found->get<std::int64_t>() < 1 || found->get<std::int64_t>() > most) {
        fail(job, errc::malformed_request, name);
        return {};
    }
    return milliseconds{found->get<std::int64_t>()};
}

void read_task(const json &item, parsed_job &job) {
    static constexpr std::array<std::string_view, 3> known{"request", "size_hint_ms", "body"};
    if(!item.is_object()) {
        fail(job, errc::malformed_request, "tasks");
        return;
    }
    if(const auto *key = unknown_key(item, known); key != nullptr) {
        fail(job, errc::unknown_field, "tasks." + *key);
    }
    submission::task_spec task;
    task.request = request_name{read_text(item, "request", job)};
    task.size_hint = read_time(item, "size_hint_ms", max_hint_ms, job);
    const auto body = item.find("body");
    task.body = body == item.end() ? "null" : body->dump();
    job.spec.tasks.push_back(std::move(task));
}

} // namespace internal

std::size_t nesting_depth(std::string_view text) noexcept {
    std::size_t depth{};
    std::size_t deepest{};
    auto in_string = false;
    for(std::size_t i = 0; i < text.size(); ++i) {
        const auto c = text[i];
        if(in_string) {
            i += c == '\\' ? 1U : 0U;
            in_string = c != '"';
        } else if(c == '"') {
            in_string = true;
        } else if(c == '{' || c == '[') {
            deepest = std::max(deepest, ++depth);
        } else if((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

parsed_job parse_job(const std::string &text, const request_limits &limits) {
    static constexpr std::array<std::string_view, 5> known{"customer", "service", "submission_id", "deadline_ms", "tasks"};
    parsed_job job;
    if(text.size() > limits.max_body_bytes) {
        internal::fail(job, errc::body_too_large, "body");
        return job;
    }
    if(nesting_depth(text) > limits.max_depth) {
        internal::fail(job, errc::malformed_request, "nesting");
        return job;
    }
    const auto body = internal::json::parse(text, nullptr, false);
    if(!body.is_object()) {
        internal::fail(job, errc::malformed_request, "body");
        return job;
    }
    job.spec.customer = customer_id{internal::read_text(body, "customer", job)};
    job.spec.id = submission_id{internal::read_text(body, "submission_id", job)};
    job.has_identity = job.error == errc::ok;
    job.spec.service = service_id{internal::read_text(body, "service", job)};
    job.spec.deadline = internal::read_time(body, "deadline_ms", internal::max_deadline_ms, job);
    if(const auto *key = internal::unknown_key(body, known); key != nullptr) {
        internal::fail(job, errc::unknown_field, *key);
    }
    const auto tasks = body.find("tasks");
    if(tasks == body.end() || !tasks->is_array()) {
        internal::fail(job, errc::malformed_request, "tasks");
        return job;
    }
    if(tasks->empty()) {
        internal::fail(job, errc::no_tasks, "tasks");
    }
    if(tasks->size() > limits.max_tasks) {
        internal::fail(job, errc::too_many_tasks, "tasks");
        return job;
    }
    for(const auto &item: *tasks) {
        internal::read_task(item, job);
    }
    job.spec.digest = host::job_digest(job.spec);
    return job;
}

errc check_credential(const config::policy &current, const customer_id &customer, const service_id &service, std::string_view token) {
    const auto digest = sha256_hex(token);
    auto known_service = service.empty();
    auto known_customer = false;
    for(const auto &[name, entry]: current.services) {
        if(!service.empty() && name != service) {
            continue;
        }
        known_service = true;
        const auto found = entry->customers.find(customer);
        if(found != entry->customers.end()) {
            known_customer = true;
            if(found->second.credential_sha256 == digest) {
                return errc::ok;
            }
        }
    }
    if(!known_service) {
        return errc::unknown_service;
    }
    return known_customer ? errc::unauthorized : errc::unknown_customer;
}

void check_job(parsed_job &job, const config::policy &current) {
    const auto service = current.services.find(job.spec.service);
    const auto given = job.spec.deadline > milliseconds{0};
    job.spec.deadline = given ? job.spec.deadline : internal::refusal_deadline;
    if(service == current.services.end()) {
        internal::fail(job, errc::unknown_service, "service");
        return;
    }
    const auto customer = service->second->customers.find(job.spec.customer);
    if(customer == service->second->customers.end()) {
        internal::fail(job, errc::unknown_customer, "customer");
        return;
    }
    const auto deadline = given ? job.spec.deadline : service->second->default_deadline;
    for(const auto &task: job.spec.tasks) {
        if(!customer->second.requests.contains(task.request)) {
            internal::fail(job, errc::request_not_allowed, task.request.str());
        }
    }
    job.spec.deadline = std::min(deadline, service->second->max_deadline);
}

std::string complete_body(const submission_id &id, const submission::outcome &result) {
    std::string text = R"({"submission_id":)" + internal::json(id.str()).dump() + R"(,"status":"complete","results":[)";
    auto first = true;
    for(const auto &body: result.results) {
        text += first ? "" : ",";
        text += body;
        first = false;
    }
    return text + "]}";
}

std::string problem_body(const submission_id &id, const submission::outcome &result, std::string_view detail) {
    internal::json body;
    body["type"] = "about:blank";
    body["title"] = make_error_code(result.code).message();
    body["status"] = http_status(result.code);
    body["code"] = code_name(result.code);
    body["not_run"] = result.kind == submission::outcome_kind::not_run;
    body["outcome"] = submission::kind_name(result.kind);
    if(!id.empty()) {
        body["submission_id"] = id.str();
    }
    if(!detail.empty()) {
        body["detail"] = detail;
    }
    if(result.retry_after > milliseconds{0}) {
        body["retry_after_ms"] = result.retry_after.count();
    }
    return body.dump(-1, ' ', false, internal::json::error_handler_t::replace);
}

} // namespace heathermoor::adapter
