#include "support/virtual_system.hpp"

#include "heathermoor/config/config_state.hpp"
#include "heathermoor/core/log.hpp"
#include "heathermoor/host/convert.hpp"
#include <algorithm>
#include <fmt/format.h>

namespace heathermoor::test {

namespace {

constexpr duration tick_interval = milliseconds{20};
constexpr duration poll_interval = milliseconds{40};
constexpr duration list_interval = milliseconds{500};
/// Latency between hosts of one failure domain.
constexpr duration near_latency = microseconds{60};
/// Latency between hosts of different failure domains.
constexpr duration far_latency = microseconds{600};
constexpr duration read_latency = milliseconds{1};
/// Wall clock, in milliseconds since the Unix epoch, at virtual time zero.
constexpr std::int64_t unix_origin_ms = 1'700'000'000'000;

[[nodiscard]] std::pair<std::string, std::string> ordered(const std::string &a, const std::string &b) {
    return a < b ? std::pair{a, b} : std::pair{b, a};
}

/// Value of a string field of a flat JSON object without escapes; empty if it is missing.
[[nodiscard]] std::string field(const std::string &body, const std::string &name) {
    const auto at = body.find("\"" + name + "\":\"");
    const auto from = at + name.size() + 4;
    return at == std::string::npos ? std::string{} : body.substr(from, body.find('"', from) - from);
}

} // namespace

/// One process: a node and the fakes behind its ports.
struct virtual_system::fake_host final : port::peer_port, port::target_port, port::log_port, port::clock_port {
    virtual_system &system;
    std::string name;
    std::uint64_t generation;
    bool paused{};
    bool draining{};
    std::deque<event> waiting;
    std::unique_ptr<host::node> node;

    fake_host(virtual_system &parent, std::string own_name, std::uint64_t number)
        : system{parent}, name{std::move(own_name)}, generation{number} {}

    [[nodiscard]] time_point now() const override { return system.m_now; }
    [[nodiscard]] std::chrono::milliseconds unix_now() const override {
        return milliseconds{unix_origin_ms} + std::chrono::duration_cast<milliseconds>(system.m_now.time_since_epoch());
    }

    void connect(const host_id & /*host*/, const std::string & /*address*/) override {}
    void disconnect(const host_id & /*host*/) override {}

    void send(const host_id &to, wire::envelope message) override {
        const auto copies = to.str() != name && system.chance(system.faults.duplicate) ? 2 : 1;
        for(auto copy = 0; copy < copies; ++copy) {
            if(to.str() != name && (!system.connected(name, to.str()) || system.chance(system.faults.lose))) {
                continue;
            }
            auto delay = to.str() == name                                                 ? microseconds{2}
                         : system.m_host_domains[name] == system.m_host_domains[to.str()] ? near_latency
                                                                                          : far_latency;
            if(to.str() != name && system.chance(system.faults.delay)) {
                delay +=
                    duration{static_cast<std::int64_t>(system.m_random() % static_cast<std::uint64_t>(system.faults.extra_delay.count()))};
            }
            const auto found = system.m_hosts.find(to.str());
            const auto receiver = found == system.m_hosts.end() ? 0 : found->second->generation;
            system.at(delay, [&sys = system, to = to.str(), receiver, message] {
                sys.on_host(to, receiver, [&sys, to, message] { sys.m_hosts.at(to)->node->receive(message); });
            });
        }
    }

    void answer(placement::target_answer result, duration delay) {
        system.at(delay, [this, result = std::move(result)] {
            system.on_host(name, generation, [this, result] { node->target_answered(result); });
        });
    }

    void start(placement::start_request request) override {
        ++system.starts[request.task_name];
        const auto run = std::max(1.0, std::strtod(field(request.body, "run_ms").c_str(), nullptr));
        placement::target_answer result{request.handle, placement::task_end::done, errc::ok, request.body};
        auto delay = from_ms(run) + microseconds{300};
        if(system.chance(system.fail_tasks)) {
            result = {request.handle, placement::task_end::failed, errc::task_failed, {}};
        } else if(system.chance(system.lose_task_answers)) {
            result = {request.handle, placement::task_end::ambiguous, errc::task_outcome_unknown, {}};
            delay = milliseconds{200};
        }
        answer(std::move(result), delay);
    }

    void stop(placement::stop_request /*request*/) override {}

    void append(port::log_stream stream, std::string data, port::append_token token) override {
        const auto stream_key =
            fmt::format("{}.{}", static_cast<int>(stream), stream == port::log_stream::journal ? system.m_host_domains[name] : "");
        if(system.log_outage || !system.reaches_platform(name)) {
            appended(token, errc::log_unavailable, milliseconds{2});
            return;
        }
        system.at(system.append_time, [this, stream_key, data = std::move(data), token] {
            system.m_log[stream_key].push_back(data);
            if(system.lose_append_answers > 0) {
                --system.lose_append_answers;
                appended(token, errc::append_unknown, milliseconds{500});
            } else {
                appended(token, {}, milliseconds{1});
            }
        });
    }

    void appended(port::append_token token, std::error_code error, duration delay) {
        system.at(delay,
                  [this, token, error] { system.on_host(name, generation, [this, token, error] { node->appended(token, error); }); });
    }

    void read_journal() override {
        const auto reachable = !system.log_outage && system.reaches_platform(name);
        std::vector<wire::record> records;
        if(reachable) {
            std::uint64_t offset{};
            for(const auto &data: system.m_log[fmt::format("2.{}", system.m_host_domains[name])]) {
                wire::record record;
                record.set_offset(++offset);
                record.set_data(data);
                records.push_back(std::move(record));
            }
        }
        system.at(milliseconds{10}, [this, records, reachable] {
            system.on_host(name, generation, [this, records, reachable] { node->journal_read(records, reachable); });
        });
    }
};

virtual_system::virtual_system(std::uint64_t seed) : m_random{seed} {
    set_log_level(log_level::error);
}

virtual_system::~virtual_system() = default;

bool virtual_system::chance(double probability) {
    return probability > 0.0 && std::uniform_real_distribution<double>{0.0, 1.0}(m_random) < probability;
}

void virtual_system::at(duration delay, event action) {
    m_events.push({m_now + delay, ++m_order, std::make_shared<event>(std::move(action))});
}

void virtual_system::on_host(const std::string &name, std::uint64_t generation, event action) {
    const auto found = m_hosts.find(name);
    if(found == m_hosts.end() || found->second->generation != generation) {
        return;
    }
    if(found->second->paused) {
        found->second->waiting.push_back(std::move(action));
    } else {
        action();
    }
}

void virtual_system::tick_host(const std::string &name, std::uint64_t generation) {
    const auto found = m_hosts.find(name);
    if(found == m_hosts.end() || found->second->generation != generation) {
        return;
    }
    on_host(name, generation, [this, name] { m_hosts.at(name)->node->tick(); });
    if(found->second->draining && !found->second->paused && found->second->node->drained()) {
        m_dead.push_back(std::move(found->second));
        m_hosts.erase(found);
        return;
    }
    at(tick_interval, [this, name, generation] { tick_host(name, generation); });
}

void virtual_system::poll_log(const std::string &name, std::uint64_t generation, port::log_stream stream) {
    const auto found = m_hosts.find(name);
    if(found == m_hosts.end() || found->second->generation != generation) {
        return;
    }
    if(!found->second->paused && !log_outage && reaches_platform(name)) {
        port::log_batch batch;
        batch.stream = stream;
        batch.asked = m_now;
        batch.first = log_offset{1};
        const auto &records = m_log[fmt::format("{}.", static_cast<int>(stream))];
        for(auto offset = raw(found->second->node->control().next_offset(stream)); offset <= records.size(); ++offset) {
            wire::record record;
            record.set_offset(offset);
            record.set_data(records[offset - 1]);
            batch.records.push_back(std::move(record));
        }
        batch.tail = static_cast<log_offset>(records.size() + 1);
        at(read_latency, [this, name, generation, batch] {
            on_host(name, generation, [this, name, batch] { m_hosts.at(name)->node->log_read(batch); });
        });
    }
    at(poll_interval, [this, name, generation, stream] { poll_log(name, generation, stream); });
}

void virtual_system::poll_hosts(const std::string &name, std::uint64_t generation) {
    const auto found = m_hosts.find(name);
    if(found == m_hosts.end() || found->second->generation != generation) {
        return;
    }
    if(reaches_platform(name) && !found->second->paused) {
        auto hosts = m_targets;
        for(const auto &[host, state]: m_hosts) {
            hosts.push_back({host, failure_domain_id{m_host_domains[host]}, false, false, {}, {}, 0});
        }
        found->second->node->host_list(std::move(hosts));
    }
    at(list_interval, [this, name, generation] { poll_hosts(name, generation); });
}

void virtual_system::start_host(const std::string &name, const std::string &domain) {
    m_host_domains[name] = domain;
    auto created = std::make_unique<fake_host>(*this, name, ++m_generation);
    host::settings options;
    options.host = host_id{name};
    options.domain = failure_domain_id{domain};
    options.process = static_cast<incarnation>(m_generation);
    options.domains = m_domains;
    options.peer_address = "virtual://" + name;
    options.owner_shards = 2;
    auto &self = *created;
    self.node = std::make_unique<host::node>(options, port::port_set{self, self, self, self});
    const auto generation = self.generation;
    m_hosts[name] = std::move(created);
    at(milliseconds{1}, [this, name, generation] { tick_host(name, generation); });
    at(milliseconds{2}, [this, name, generation] { poll_log(name, generation, port::log_stream::config); });
    at(milliseconds{3}, [this, name, generation] { poll_log(name, generation, port::log_stream::ownership); });
    at(milliseconds{4}, [this, name, generation] { poll_hosts(name, generation); });
}

void virtual_system::add_target(const std::string &name, const std::string &domain, std::uint32_t slots) {
    m_targets.push_back({name, failure_domain_id{domain}, true, false, "virtual://" + name, pool_id{"loom"}, slots});
}

void virtual_system::kill_host(const std::string &name) {
    const auto found = m_hosts.find(name);
    if(found == m_hosts.end()) {
        return;
    }
    for(auto &caller: callers) {
        caller.host_died = caller.host_died || (caller.host == name && !caller.answered);
    }
    m_dead.push_back(std::move(found->second));
    m_hosts.erase(found);
}

void virtual_system::pause_host(const std::string &name) {
    if(running(name)) {
        m_hosts.at(name)->paused = true;
    }
}

void virtual_system::resume_host(const std::string &name) {
    if(!running(name)) {
        return;
    }
    auto &host = *m_hosts.at(name);
    host.paused = false;
    const auto generation = host.generation;
    auto waiting = std::move(host.waiting);
    host.waiting.clear();
    for(auto &action: waiting) {
        on_host(name, generation, std::move(action));
    }
}

void virtual_system::drain_host(const std::string &name) {
    if(running(name)) {
        m_hosts.at(name)->draining = true;
        m_hosts.at(name)->node->drain();
    }
}

void virtual_system::cut_domains(const std::string &a, const std::string &b, bool cut) {
    cut ? (void)m_cut_domains.insert(ordered(a, b)) : (void)m_cut_domains.erase(ordered(a, b));
}

void virtual_system::cut_platform(const std::string &domain, bool cut) {
    cut ? (void)m_cut_platform.insert(domain) : (void)m_cut_platform.erase(domain);
}

void virtual_system::cut_host_platform(const std::string &host, bool cut) {
    cut ? (void)m_cut_host_platform.insert(host) : (void)m_cut_host_platform.erase(host);
}

void virtual_system::cut_hosts(const std::string &a, const std::string &b, bool cut) {
    cut ? (void)m_cut_hosts.insert(ordered(a, b)) : (void)m_cut_hosts.erase(ordered(a, b));
}

bool virtual_system::connected(const std::string &from, const std::string &to) const {
    const auto a = m_host_domains.find(from);
    const auto b = m_host_domains.find(to);
    return a != m_host_domains.end() && b != m_host_domains.end() && !m_cut_domains.contains(ordered(a->second, b->second)) &&
           !m_cut_hosts.contains(ordered(from, to));
}

bool virtual_system::reaches_platform(const std::string &host) const {
    return !m_cut_platform.contains(m_host_domains.at(host)) && !m_cut_host_platform.contains(host);
}

void virtual_system::publish(const std::string &template_text, const std::string &service_text) {
    wire::config_change change;
    change.set_change_id(fmt::format("change-{}", ++m_changes));
    change.set_author("tester");
    change.set_schema(config::schema_version);
    std::vector<config::diagnostic> diagnostics;
    config::config_state state;
    std::uint64_t offset{};
    for(const auto &data: m_log["0."]) {
        state.apply(static_cast<log_offset>(++offset), data);
    }
    for(const auto &text: {template_text, service_text}) {
        for(const auto &item: config::read_declarations("test", text, diagnostics)) {
            auto *out = change.add_items();
            out->set_kind(item.key.kind);
            out->set_name(item.key.name);
            out->set_document(item.text);
            const auto found = state.items().find(item.key);
            out->set_base(found == state.items().end() ? 0 : found->second.version);
        }
    }
    m_log["0."].push_back(config::encode_change(change));
}

std::size_t virtual_system::submit(const std::string &host, const submission_id &id, std::size_t tasks, duration deadline, double run_ms) {
    const auto index = callers.size();
    const auto nonce = id.str();
    callers.push_back({host, id, nonce, tasks, m_now, {}, false, false, {}});
    if(!running(host)) {
        callers.back().host_died = true;
        return index;
    }
    submission::job_spec spec;
    spec.customer = customer_id{"caroni"};
    spec.service = service_id{"matloom"};
    spec.id = id;
    spec.deadline = std::chrono::duration_cast<milliseconds>(deadline);
    for(std::size_t task = 0; task < tasks; ++task) {
        spec.tasks.push_back({request_name{"hold"}, {}, fmt::format(R"({{"nonce":"{}","task":"{}","run_ms":"{}"}})", nonce, task, run_ms)});
    }
    spec.digest = host::job_digest(spec);
    on_host(host, m_hosts.at(host)->generation, [this, host, index, spec] {
        m_hosts.at(host)->node->submit(spec, [this, index](host::reply answer) {
            callers[index].answered = true;
            callers[index].answered_at = m_now;
            callers[index].answer = std::move(answer);
        });
    });
    return index;
}

void virtual_system::cancel(const std::string &host, const submission_id &id) {
    if(running(host)) {
        on_host(host, m_hosts.at(host)->generation, [this, host, id] {
            m_hosts.at(host)->node->query_job({customer_id{"caroni"}, id, {}, true}, [](const host::reply &) {});
        });
    }
}

submission_id virtual_system::issue_id(const std::string &host) {
    return m_hosts.at(host)->node->mint(1).front();
}

void virtual_system::run_for(duration time) {
    const auto end = m_now + time;
    while(!m_events.empty() && m_events.top().at <= end) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.at);
        (*next.action)();
    }
    m_now = end;
}

bool virtual_system::run_until(const std::function<bool()> &condition, duration limit) {
    const auto end = m_now + limit;
    while(m_now < end) {
        if(condition()) {
            return true;
        }
        run_for(milliseconds{10});
    }
    return condition();
}

host::node &virtual_system::node(const std::string &name) {
    return *m_hosts.at(name)->node;
}

bool virtual_system::settled() const {
    std::map<std::string, std::uint32_t> serving;
    for(const auto &[name, host]: m_hosts) {
        const auto status = host->node->control().status(m_now);
        serving[m_host_domains.at(name)] += status.partitions_serving;
        if(!host->node->ready() || !status.lease_valid) {
            return false;
        }
    }
    return std::all_of(serving.begin(), serving.end(), [](const auto &entry) { return entry.second == submission::partition_count; });
}

const std::vector<std::string> &virtual_system::log_records(port::log_stream stream, const std::string &domain) {
    return m_log[fmt::format("{}.{}", static_cast<int>(stream), stream == port::log_stream::journal ? domain : "")];
}

std::vector<std::string> virtual_system::violated_guarantees() const {
    std::vector<std::string> violations;
    for(const auto &[task, count]: starts) {
        if(count > 1) {
            violations.push_back(fmt::format("task started {} times: {}", count, task));
        }
    }
    for(const auto &caller: callers) {
        if(!caller.answered) {
            if(!caller.host_died) {
                violations.push_back(fmt::format("caller got no answer: id={} host={}", caller.id.str(), caller.host));
            }
            continue;
        }
        const auto &result = caller.answer.result;
        for(std::size_t task = 0; task < caller.tasks; ++task) {
            const auto started = starts.contains(fmt::format("caroni/{}/{}", caller.id.str(), task));
            if(result.kind == submission::outcome_kind::not_run && started) {
                violations.push_back(fmt::format("answered \"not run\" although a task started: id={} code={} host={}", caller.id.str(),
                                                 code_name(result.code), caller.host));
            }
            if(result.kind != submission::outcome_kind::complete) {
                continue;
            }
            const auto complete = result.results.size() == caller.tasks && field(result.results[task], "nonce") == caller.nonce &&
                                  field(result.results[task], "task") == std::to_string(task);
            if(!complete || !started) {
                violations.push_back(fmt::format("result is incomplete or not the caller's own: id={}", caller.id.str()));
            }
        }
    }
    return violations;
}

void publish_example(virtual_system &system) {
    system.publish(R"(schema: 1
kind: template
name: stock
pool: loom
requests:
  hold: {never_repeat: true}
  stock-check: {}
)",
                   R"(schema: 1
kind: service
name: matloom
template: stock
customers:
  caroni:
    credential_sha256: "0000000000000000000000000000000000000000000000000000000000000000"
    requests: [hold, stock-check]
    share: 4
)");
}

} // namespace heathermoor::test
