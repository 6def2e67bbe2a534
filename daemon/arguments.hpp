#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace heathermoor::ctl {

/// @brief Exit code of a command.
enum exit_code : int {
    exit_ok = 0,
    exit_failed = 1,
    /// The input is not valid.
    exit_invalid = 2,
    /// Another operator's change came first.
    exit_conflict = 4,
    /// The platform or a host cannot be reached.
    exit_unavailable = 5,
    /// The change may or may not have been published.
    exit_unknown = 6,
};

/// @brief Arguments of all commands, as parsed from the command line.
struct arguments {
    std::vector<std::string> files;
    std::string platform;
    std::vector<std::string> hosts;
    std::string author;
    std::string reason;
    std::string change_id;
    std::string output{"text"};
    std::string item;
    std::uint64_t offset{};
    bool dry_run{};
    bool prune{};
    std::string host;
    std::string token;
    std::string job_file;
    std::string customer;
    std::string submission;
    std::string request;
    std::size_t count{1};
    int wait_ms{5000};
};

/// @brief Whether a command prints JSON.
/// @param in Arguments.
/// @return False for text.
[[nodiscard]] inline bool as_json(const arguments &in) {
    return in.output == "json";
}

} // namespace heathermoor::ctl
