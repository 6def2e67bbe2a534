#include "heathermoor/member/member.hpp"

#include "heathermoor/core/log.hpp"
#include <catch2/catch.hpp>
#include <cstdlib>
#include <google/protobuf/message.h>
#include <limits>
#include <numeric>
#include <random>

using namespace heathermoor;

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

constexpr int messages_per_seed = 300;

struct silent_ports final : port::peer_port,
                            pool::order_port,
                            gateway::caller_port,
                            member::statistics_port,
                            port::clock_port,
                            member::config_listener,
                            metrics::work_clock {
    void send(const host_id &, wire::envelope) override {}
    void connect(const host_id &, const std::string &) override {}
    void disconnect(const host_id &) override {}
    void start(const pool::start_order &) override { ++starts; }
    void stop(const pool::stop_order &) override {}
    void report(const pool::report_order &order) override { reports.push_back(order); }
    void release(const target_id &) override {}
    void reply(gateway::request_token, const job_id &, const job::answer &) override {}
    void cancel_answered(gateway::request_token, const job_id &, gateway::cancel_result) override {}
    void save_statistics(const std::string &, const std::string &) override {}
    void config_changed(const route::route_config &) override {}
    [[nodiscard]] time_point now() const override { return at; }
    [[nodiscard]] milliseconds unix_now() const override { return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()); }
    [[nodiscard]] duration spent() const override { return {}; }

    time_point at{seconds{1'000}};
    std::uint64_t starts{};
    std::vector<pool::report_order> reports;
};

/// Host that leads a cell of two targets on its own.
struct leading_host {
    leading_host() {
        set_log_level(log_level::error);
        member::settings settings;
        settings.self = host_id{"self"};
        settings.domain = failure_domain_id{"d"};
        settings.process = incarnation{7};
        subject = std::make_unique<member::member>(settings, member::ports{out, out, out, out, out, work, out});
        std::vector<catalog::catalog_record> records;
        for(std::uint64_t number = 1; number <= 2; ++number) {
            catalog::target_entry entry;
            entry.id = target_id{"t" + std::to_string(number)};
            entry.service = service_id{"s"};
            entry.domain = settings.domain;
            entry.address = "address";
            entry.capacity = {16'000, 1'000, 0};
            records.push_back({log_offset{number}, entry.id, entry});
        }
        subject->apply_catalog(records, log_offset{3}, true);
        run(seconds{1});
    }

    void run(duration length) {
        for(const auto end = out.at + length; out.at < end; out.at += milliseconds{25}) {
            subject->tick(duration{});
        }
    }

    silent_ports out;
    metrics::work_meter work{out};
    std::unique_ptr<member::member> subject;
};

/// Draws extreme, usual and plausible values, and now and then none.
class message_generator {
  public:
    explicit message_generator(std::uint64_t seed) : m_random{seed} {}

    wire::envelope draw() {
        wire::envelope message;
        fill(message);
        const auto bodies = wire::envelope::descriptor()->FindOneofByName("body");
        const auto *body = bodies->field(static_cast<int>(m_random() % static_cast<std::uint64_t>(bodies->field_count())));
        fill(*message.GetReflection()->MutableMessage(&message, body));
        message.set_from(m_random() % 4 == 0 ? "self" : "peer");
        message.set_domain("d");
        message.set_to_incarnation(m_random() % 2 == 0 ? 0 : 7);
        return message;
    }

    /// Cuts a serialized message off or changes a byte.
    std::string damage(std::string bytes) {
        if(bytes.empty()) {
            return bytes;
        }
        const auto position = m_random() % bytes.size();
        if(m_random() % 2 == 0) {
            bytes.resize(position);
        } else {
            bytes[position] = static_cast<char>(m_random());
        }
        return bytes;
    }

  private:
    void fill(Message &message) {
        const auto *type = message.GetDescriptor();
        for(int index = 0; index < type->field_count(); ++index) {
            const auto *field = type->field(index);
            if(field->real_containing_oneof() != nullptr || m_random() % 8 == 0) {
                continue;
            }
            const auto count = field->is_repeated() ? static_cast<int>(m_random() % 4) : 1;
            for(int number = 0; number < count; ++number) {
                set(message, *field);
            }
        }
    }

    template <typename Value>
    Value number() {
        switch(m_random() % 4) {
        case 0:
            return std::numeric_limits<Value>::max();
        case 1:
            return std::numeric_limits<Value>::lowest();
        case 2:
            return static_cast<Value>(m_random() % 10);
        default:
            return static_cast<Value>(m_random() % 2'000'000'000);
        }
    }

    std::string text() {
        constexpr std::size_t long_text = 10'000;
        switch(m_random() % 4) {
        case 0:
            return {};
        case 1:
            return std::string(long_text, 'x');
        case 2:
            return "self";
        default:
            return "t1";
        }
    }

    void set(Message &message, const FieldDescriptor &field) {
        const auto *access = message.GetReflection();
        const auto put = [&](auto single, auto repeated, auto value) {
            field.is_repeated() ? (access->*repeated)(&message, &field, value) : (access->*single)(&message, &field, value);
        };
        using reflection = google::protobuf::Reflection;
        switch(field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_INT32:
            return put(&reflection::SetInt32, &reflection::AddInt32, number<std::int32_t>());
        case FieldDescriptor::CPPTYPE_INT64:
            return put(&reflection::SetInt64, &reflection::AddInt64, number<std::int64_t>());
        case FieldDescriptor::CPPTYPE_UINT32:
            return put(&reflection::SetUInt32, &reflection::AddUInt32, number<std::uint32_t>());
        case FieldDescriptor::CPPTYPE_UINT64:
            return put(&reflection::SetUInt64, &reflection::AddUInt64, number<std::uint64_t>());
        case FieldDescriptor::CPPTYPE_DOUBLE:
            return put(&reflection::SetDouble, &reflection::AddDouble, number<double>());
        case FieldDescriptor::CPPTYPE_FLOAT:
            return put(&reflection::SetFloat, &reflection::AddFloat, number<float>());
        case FieldDescriptor::CPPTYPE_BOOL:
            return put(&reflection::SetBool, &reflection::AddBool, m_random() % 2 == 0);
        case FieldDescriptor::CPPTYPE_STRING:
            return put(&reflection::SetString, &reflection::AddString, text());
        case FieldDescriptor::CPPTYPE_MESSAGE:
            return fill(field.is_repeated() ? *access->AddMessage(&message, &field) : *access->MutableMessage(&message, &field));
        default:
            return;
        }
    }

    std::mt19937_64 m_random;
};

/// Seeds to play: the first `HEATHERMOOR_SEEDS` ones, if set.
[[nodiscard]] std::vector<std::uint64_t> chosen_seeds() {
    const auto *count = std::getenv("HEATHERMOOR_SEEDS");
    std::vector<std::uint64_t> seeds(count == nullptr ? 20 : std::strtoull(count, nullptr, 10));
    std::iota(seeds.begin(), seeds.end(), 1);
    return seeds;
}

} // namespace

// Guards against a process that one message takes down: a job of four billion tasks, or of none, exhausted its memory or read past
// an empty list.
SCENARIO("Malformed messages of other hosts are dropped without harm", "[member][malformed]") {
    const auto seed = GENERATE(from_range(chosen_seeds()));
    leading_host host;
    REQUIRE(host.subject->leading());
    message_generator generator{seed};
    INFO("seed " << seed);
    for(int count = 0; count < messages_per_seed; ++count) {
        const auto message = generator.draw();
        CHECK_NOTHROW(host.subject->received(message));
        wire::envelope damaged;
        if(damaged.ParseFromString(generator.damage(message.SerializeAsString()))) {
            CHECK_NOTHROW(host.subject->received(damaged));
        }
        host.run(milliseconds{25});
    }
    THEN("the host goes on working") {
        host.run(seconds{40});
        CHECK(host.subject->ready() == host.subject->routes().configured());
    }
}

SCENARIO("A job that no gateway sends is dropped", "[member][malformed]") {
    leading_host host;
    const auto term = raw(host.subject->leader()->term);
    wire::envelope message;
    message.set_from("self");
    message.set_incarnation(7);
    auto &job = *message.mutable_pool_job();
    job.set_id("5c0e7a21d94b36f8");
    job.set_remaining_us(1'500'000);
    job.set_term(term);
    GIVEN("no step") {
        host.subject->received(message);
        CHECK(host.subject->scheduler().open_jobs() == 0);
    }
    GIVEN("a step without a task") {
        job.add_steps()->set_tasks(0);
        host.subject->received(message);
        CHECK(host.subject->scheduler().open_jobs() == 0);
    }
    GIVEN("more tasks than any job may have") {
        job.add_steps()->set_tasks(job::max_tasks);
        job.add_steps()->set_tasks(1);
        host.subject->received(message);
        CHECK(host.subject->scheduler().open_jobs() == 0);
    }
    GIVEN("a step that follows one that does not exist") {
        job.add_steps()->set_tasks(1);
        job.mutable_steps(0)->add_after(1);
        host.subject->received(message);
        CHECK(host.subject->scheduler().open_jobs() == 0);
    }
    GIVEN("a time left beyond every deadline") {
        job.add_steps()->set_tasks(1);
        job.set_remaining_us(std::numeric_limits<std::int64_t>::max());
        host.subject->received(message);
        CHECK(host.subject->scheduler().open_jobs() == 0);
    }
    GIVEN("one task") {
        job.add_steps()->set_tasks(1);
        host.subject->received(message);
        CHECK(host.subject->scheduler().open_jobs() == 1);
    }
    GIVEN("one task, under the name of the own host, but by another process") {
        job.add_steps()->set_tasks(1);
        message.set_incarnation(6);
        host.subject->received(message);
        CHECK(host.subject->scheduler().open_jobs() == 0);
    }
}

SCENARIO("What a peer says of evacuations is dropped if it cannot be", "[member][malformed][evacuation]") {
    leading_host host;
    host.subject->apply_evacuations({{failure_domain_id{"d"}, log_offset{4}, true}}, log_offset{9}, true);
    wire::envelope message;
    message.set_from("peer");
    message.set_domain("d");
    message.set_incarnation(3);
    auto &known = *message.mutable_pool_evacuated();
    known.set_next(12);
    auto &request = *known.add_requests();
    request.set_domain("e");
    request.set_offset(11);
    const std::set<failure_domain_id> before{failure_domain_id{"d"}};
    GIVEN("a list that can be") {
        host.subject->received(message);
        CHECK(host.subject->evacuations().domains() == std::set<failure_domain_id>{failure_domain_id{"e"}});
        CHECK(host.subject->evacuations().next() == log_offset{12});
    }
    GIVEN("an offset that no log has") {
        known.set_next(std::numeric_limits<std::uint64_t>::max());
        host.subject->received(message);
        CHECK(host.subject->evacuations().domains() == before);
        CHECK(host.subject->evacuations().next() == log_offset{9});
    }
    GIVEN("an offset far ahead of the own one") {
        known.set_next(9 + evacuation::max_advance + 1);
        host.subject->received(message);
        CHECK(host.subject->evacuations().next() == log_offset{9});
    }
    GIVEN("a request with such an offset") {
        request.set_offset(std::numeric_limits<std::uint64_t>::max());
        host.subject->received(message);
        CHECK(host.subject->evacuations().domains() == before);
    }
    GIVEN("a request for no failure domain") {
        request.set_domain("");
        host.subject->received(message);
        CHECK(host.subject->evacuations().domains() == before);
    }
    GIVEN("more requests than there can be") {
        for(std::size_t count = 0; count < evacuation::max_evacuations; ++count) {
            known.add_requests()->set_domain("e" + std::to_string(count));
        }
        host.subject->received(message);
        CHECK(host.subject->evacuations().domains() == before);
    }
    GIVEN("absurd times") {
        message.set_sent_us(std::numeric_limits<std::int64_t>::min());
        message.set_echo_us(std::numeric_limits<std::int64_t>::max());
        known.set_as_of_us(std::numeric_limits<std::int64_t>::max());
        host.subject->received(message);
        THEN("they are only logged") {
            CHECK(host.subject->evacuations().next() == log_offset{12});
        }
    }
    GIVEN("a heartbeat that claims to know more than there can be") {
        message.mutable_pool_beat()->set_requests_next(std::numeric_limits<std::uint64_t>::max());
        host.subject->received(message);
        host.run(seconds{2});
        CHECK(host.subject->evacuations().domains() == before);
    }
    GIVEN("the same list with the routes") {
        const auto list = message.pool_evacuated();
        *message.mutable_pool_routes()->mutable_evacuations() = list;
        message.mutable_pool_routes()->set_version(1);
        host.subject->received(message);
        CHECK(host.subject->ready());
        CHECK(host.subject->evacuations().domains() == std::set<failure_domain_id>{failure_domain_id{"e"}});
    }
}
