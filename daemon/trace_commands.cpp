#include "trace_commands.hpp"

#include "heathermoor/core/log.hpp"
#include "heathermoor/trace/breakdown.hpp"
#include "heathermoor/trace/explanation.hpp"
#include <fmt/format.h>
#include <fstream>
#include <iostream>

namespace heathermoor::ctl {

namespace {

constexpr int exit_ok = 0;
constexpr int exit_not_found = 1;
constexpr int exit_unreadable = 2;

[[nodiscard]] bool read_logs(const std::vector<std::string> &files, std::vector<trace::record> &out) {
    for(const auto &path: files) {
        if(path == "-") {
            (void)trace::read_log(std::cin, out);
            continue;
        }
        std::ifstream stream{path};
        if(!stream) {
            log(log_level::error, "ctl", "Cannot open the log file. file=\"{}\"", path);
            return false;
        }
        (void)trace::read_log(stream, out);
    }
    return true;
}

} // namespace

int explain_request(const std::string &id, const std::vector<std::string> &files) {
    std::vector<trace::record> records;
    if(!read_logs(files, records)) {
        return exit_unreadable;
    }
    const auto explanation = trace::explain(records, id);
    for(std::size_t index = 0; index < explanation.lines.size(); ++index) {
        fmt::print("{} {}\n", index == explanation.deciding ? ">" : " ", trace::to_string(explanation.lines[index]));
    }
    fmt::print("cause: {}\n", explanation.cause);
    return explanation.lines.empty() ? exit_not_found : exit_ok;
}

int print_breakdown(const std::vector<std::string> &files) {
    std::vector<trace::record> records;
    if(!read_logs(files, records)) {
        return exit_unreadable;
    }
    trace::breakdown all;
    for(const auto &line: records) {
        all.add(line);
    }
    fmt::print("{}", all.to_string());
    return all.queues().empty() ? exit_not_found : exit_ok;
}

} // namespace heathermoor::ctl
