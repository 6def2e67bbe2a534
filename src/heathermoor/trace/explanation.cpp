#include "heathermoor/trace/explanation.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <set>

namespace heathermoor::trace {

namespace internal {

/// Events that change a host's view of the cluster and can affect many jobs at once.
constexpr std::array host_events{"lead_taken",       "lead_given_up",    "leader_changed",    "scope_changed",     "target_taken",
                                 "target_restarted", "config_in_force",  "entry_host_silent", "started",           "stopping",
                                 "stopped",          "settings_invalid", "config_unreadable", "report_unreadable", "source_lost",
                                 "source_regained",  "peer_asked"};

/// Events that end a job or request, by priority: the event closest to the cause comes first.
constexpr std::array deciding_events{"request_rejected",  "job_answered",     "job_ended",
                                     "request_abandoned", "request_answered", "request_served"};

struct reason_text {
    std::string_view reason;
    std::string_view text;
};

constexpr std::array reasons{
    reason_text{"overloaded", "the work ahead of it exceeded the time that it could wait, so it was refused before anything ran"},
    reason_text{"deadline_unreachable",
                "a run was so slow that its caller's limit could not be met on any target; the job was ended early"},
    reason_text{"deadline_exceeded", "its caller's limit passed before all tasks had ended"},
    reason_text{"leader_lost", "it was handed to an earlier leader, and a target that may have run it could not be asked in time"},
    reason_text{"no_leader", "no host scheduled the pool in time"},
    reason_text{"attempts_exhausted", "a task failed as often as its queue allows"},
    reason_text{"cancelled", "its caller cancelled it"},
    reason_text{"route_not_found", "the configuration in force at that host had no such route"},
    reason_text{"not_configured", "the host had no configuration yet"},
    reason_text{"not_supported", "it asked for a kind of job that is not offered"},
    reason_text{"malformed_request", "the request was not well-formed"},
};

[[nodiscard]] bool is_host_event(const record &line) {
    return std::find(host_events.begin(), host_events.end(), line.event) != host_events.end();
}

[[nodiscard]] bool mentions(const record &line, const std::set<std::string, std::less<>> &ids) {
    return ids.contains(line.value("job")) || ids.contains(line.value("request"));
}

/// Returns the given identifier and, if it names a request, those of its jobs: lines that carry both link the two.
[[nodiscard]] std::set<std::string, std::less<>> related_ids(const std::vector<record> &records, std::string_view id) {
    std::set<std::string, std::less<>> ids{std::string{id}};
    for(const auto &line: records) {
        if(line.value("request") == id && !line.value("job").empty()) {
            ids.emplace(line.value("job"));
        }
    }
    return ids;
}

void find_deciding_line(explanation &out) {
    out.deciding = out.lines.size();
    for(const auto *event: deciding_events) {
        for(std::size_t index = 0; index < out.lines.size(); ++index) {
            if(out.lines[index].event == event) {
                out.deciding = index;
            }
        }
        if(out.decided()) {
            return;
        }
    }
}

/// Age from which a configuration counts as unconfirmed: the time within which a change must be in force.
constexpr double unconfirmed_ms = 2'000.0;

/// Line that says by which configuration the request was handled; null if there is none.
[[nodiscard]] const record *handling_line(const explanation &result) {
    for(const auto &line: result.lines) {
        if(!line.value("config_age_ms").empty()) {
            return &line;
        }
    }
    return nullptr;
}

/// What the age of the configuration says about the request; empty if it was confirmed in time.
[[nodiscard]] std::string describe_config(const explanation &result) {
    const auto *line = handling_line(result);
    if(line == nullptr || (line->number("config_age_ms") >= 0 && line->number("config_age_ms") < unconfirmed_ms)) {
        return {};
    }
    return fmt::format("; version {} of the configuration, by which {} handled it, had not been confirmed for {} ms",
                       line->value("config_version"), line->host, line->value("config_age_ms"));
}

/// Whether a line says where a host's configuration came from, or that a source of it was lost or regained.
[[nodiscard]] bool is_config_event(const record &line) {
    const bool source = line.event == "source_lost" || line.event == "source_regained";
    return line.event == "config_in_force" || (source && line.value("subject") == "configuration");
}

/// Adds the latest of these lines before the request, of the host that handled it.
void add_config_history(const std::vector<record> &records, explanation &out) {
    const auto *handled = handling_line(out);
    if(handled == nullptr) {
        return;
    }
    std::map<std::string, record, std::less<>> latest;
    for(const auto &line: records) {
        if(line.host == handled->host && line.time < out.lines.front().time && is_config_event(line)) {
            auto &entry = latest[std::string{line.event}.append(line.value("source"))];
            entry = entry.time <= line.time ? line : entry;
        }
    }
    for(auto &item: latest) {
        out.lines.push_back(std::move(item.second));
    }
}

/// Latest line of the story with this event; null if there is none.
[[nodiscard]] const record *latest(const explanation &result, std::string_view event) {
    const auto found =
        std::find_if(result.lines.rbegin(), result.lines.rend(), [event](const record &line) { return line.event == event; });
    return found == result.lines.rend() ? nullptr : &*found;
}

/// Size of the job, and what was predicted and measured of its run times; empty if its scheduler's line says nothing of it.
[[nodiscard]] std::string describe_size(const explanation &result) {
    const auto *line = latest(result, "job_answered");
    if(line == nullptr || line->value("size").empty()) {
        return {};
    }
    auto text = fmt::format("; size {}, {} tasks, estimated {} ms, predicted {} ms, known at the end {} ms a task", line->value("size"),
                            line->value("tasks"), line->value("estimate_ms"), line->value("predicted_ms"), line->value("expected_ms"));
    if(line->number("moves") > 0) {
        text += fmt::format(", {} runs moved", line->value("moves"));
    }
    if(const auto *slow = latest(result, "run_too_slow")) {
        text += fmt::format("; task {} on {} was at {} % after {} ms, with {} ms left", slow->value("index"), slow->value("target"),
                            slow->value("percent"), slow->value("elapsed_ms"), slow->value("left_ms"));
    }
    if(const auto *refused = latest(result, "job_refused")) {
        text += fmt::format("; work ahead of it {} ms on {} places, slack {} ms", refused->value("ahead_ms"), refused->value("places"),
                            refused->value("slack_ms"));
    }
    return text;
}

[[nodiscard]] std::string describe(const explanation &result) {
    if(result.lines.empty()) {
        return "no line names it: the request reached no host, or its host's output is missing";
    }
    if(!result.decided()) {
        return "no line says how it ended: the host that had it was lost or cut off, or its output is missing";
    }
    const auto &line = result.lines[result.deciding];
    if(line.event == "request_abandoned") {
        return fmt::format("its caller left after {} ms, before it was answered", line.value("waited_ms"));
    }
    if(line.value("outcome") == "completed") {
        const auto late = line.number("age_ms") > line.number("objective_ms") && line.number("objective_ms") > 0;
        return late ? fmt::format("it was completed late: {} ms for an objective of {} ms; its last task started after {} ms",
                                  line.value("age_ms"), line.value("objective_ms"), line.value("last_start_ms"))
                    : std::string{"it was completed in time"};
    }
    if(line.event == "request_served") {
        return fmt::format("it was answered at once with status {}", line.value("status"));
    }
    const auto reason = line.value("reason");
    const auto found = std::find_if(reasons.begin(), reasons.end(), [&](const reason_text &entry) { return entry.reason == reason; });
    return found == reasons.end() ? std::string{reason} : std::string{found->text};
}

} // namespace internal

explanation explain(const std::vector<record> &records, std::string_view id) {
    const auto ids = internal::related_ids(records, id);
    explanation result;
    std::string first;
    std::string last;
    for(const auto &line: records) {
        if(internal::mentions(line, ids)) {
            first = first.empty() ? line.time : std::min(first, line.time);
            last = std::max(last, line.time);
        }
    }
    for(const auto &line: records) {
        const bool during = line.time >= first && line.time <= last;
        if(internal::mentions(line, ids) || (!first.empty() && during && internal::is_host_event(line))) {
            result.lines.push_back(line);
        }
    }
    const auto earlier = [](const record &left, const record &right) { return left.time < right.time; };
    std::stable_sort(result.lines.begin(), result.lines.end(), earlier);
    internal::add_config_history(records, result);
    std::stable_sort(result.lines.begin(), result.lines.end(), earlier);
    internal::find_deciding_line(result);
    result.cause = internal::describe(result) + internal::describe_size(result) + internal::describe_config(result);
    return result;
}

std::string to_string(const record &line) {
    auto text = fmt::format("{} {} {}.{}", line.time, line.host, line.part, line.event);
    for(const auto &item: line.fields) {
        if(item.name != "level") {
            text += fmt::format(" {}={}", item.name, item.value);
        }
    }
    return text;
}

} // namespace heathermoor::trace
