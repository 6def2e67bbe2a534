#include "trace_commands.hpp"

#include "heathermoor/core/log.hpp"
#include "heathermoor/trace/breakdown.hpp"
#include "heathermoor/trace/story.hpp"
#include <fmt/format.h>
#include <fstream>
#include <iostream>

namespace heathermoor::ctl {

namespace {

constexpr int exit_ok = 0;
constexpr int exit_nothing = 1;
constexpr int exit_unreadable = 2;

[[nodiscard]] bool read_logs(const std::vector<std::string> &files, std::vector<trace::record> &out) {
    for(const auto &path: files) {
        if(path == "-") {
            (void)trace::read_log(std::cin, out);
            continue;
        }
        std::ifstream stream{path};
        if(!stream) {
            log(log_level::error, "ctl", "The log cannot be read. file=\"{}\"", path);
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
    const auto told = trace::explain(records, id);
    for(std::size_t index = 0; index < told.lines.size(); ++index) {
        fmt::print("{} {}\n", index == told.deciding ? ">" : " ", trace::to_string(told.lines[index]));
    }
    fmt::print("cause: {}\n", told.cause);
    return told.lines.empty() ? exit_nothing : exit_ok;
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
    return all.queues().empty() ? exit_nothing : exit_ok;
}

} // namespace heathermoor::ctl
