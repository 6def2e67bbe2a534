#include "job_commands.hpp"

#include "heathermoor/core/log.hpp"
#include "heathermoor/core/time.hpp"
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace heathermoor::ctl {

namespace internal {

[[nodiscard]] int print_response(const httplib::Result &result) {
    if(!result) {
        log(log_level::error, "ctl", "Request to the entry host failed. error=\"{}\"", httplib::to_string(result.error()));
        return exit_unavailable;
    }
    fmt::print("{}\n", result->body);
    return result->status < 300 ? exit_ok : exit_failed;
}

[[nodiscard]] int call(const arguments &in, const std::function<httplib::Result(httplib::Client &, const httplib::Headers &)> &send) {
    httplib::Client client{"http://" + in.host};
    client.set_read_timeout(seconds{60});
    const httplib::Headers headers{{"Authorization", "Bearer " + in.token}};
    return print_response(send(client, headers));
}

} // namespace internal

int status(const arguments &in) {
    auto code = exit_ok;
    auto list = nlohmann::json::array();
    for(const auto &address: in.hosts) {
        httplib::Client client{"http://" + address};
        client.set_connection_timeout(seconds{1});
        const auto result = client.Get("/v1/status");
        if(!result || result->status != 200) {
            list.push_back({{"address", address}, {"reachable", false}});
            code = exit_unavailable;
            if(!as_json(in)) {
                fmt::print("address={} reachable=false\n", address);
            }
            continue;
        }
        auto body = nlohmann::json::parse(result->body, nullptr, false);
        if(!as_json(in)) {
            fmt::print("host={} failure_domain={} ready={} config_offset={} config_hash={} lease_valid={} partitions={}\n",
                       body["host"].get<std::string>(), body["failure_domain"].get<std::string>(), body["ready"].get<bool>(),
                       body["config_offset"].get<std::uint64_t>(), body["config_hash"].get<std::string>(), body["lease_valid"].get<bool>(),
                       body["partitions_serving"].get<int>());
        }
        list.push_back(std::move(body));
    }
    if(as_json(in)) {
        fmt::print("{}\n", list.dump(2));
    }
    return code;
}

int submit(const arguments &in) {
    std::ifstream stream{in.job_file};
    std::stringstream text;
    text << (in.job_file == "-" ? std::cin.rdbuf() : stream.rdbuf());
    return internal::call(
        in, [&](auto &client, const auto &headers) { return client.Post("/v1/jobs", headers, text.str(), "application/json"); });
}

int cancel(const arguments &in) {
    return internal::call(
        in, [&](auto &client, const auto &headers) { return client.Delete("/v1/jobs/" + in.customer + "/" + in.submission, headers); });
}

int job(const arguments &in) {
    return internal::call(in, [&](auto &client, const auto &headers) {
        return client.Get(fmt::format("/v1/jobs/{}/{}?wait_ms={}", in.customer, in.submission, in.wait_ms), headers);
    });
}

int mint(const arguments &in) {
    return internal::call(in, [&](auto &client, const auto &) {
        return client.Post("/v1/submission-ids", nlohmann::json{{"count", in.count}}.dump(), "application/json");
    });
}

} // namespace heathermoor::ctl
