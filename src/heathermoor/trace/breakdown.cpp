#include "heathermoor/trace/breakdown.hpp"

#include <fmt/format.h>

namespace heathermoor::trace {

void breakdown::add(const record &line) {
    if(line.event != "job_answered") {
        return;
    }
    auto &queue = m_queues[std::string{line.value("queue")}];
    queue.again += line.number("last_run") > 1 ? 1 : 0;
    if(line.value("outcome") != "completed") {
        ++queue.reasons[std::string{line.value("reason")}];
    } else if(line.number("age_ms") > line.number("objective_ms")) {
        ++queue.late;
        queue.late_start_ms += line.number("last_start_ms");
    } else {
        ++queue.in_time;
    }
}

std::string breakdown::to_string() const {
    auto text = fmt::format("{:<16}{:>10}{:>8}{:>20}{:>12}  {}\n", "queue", "in time", "late", "late: last start ms", "ran again",
                            "not completed, by reason");
    for(const auto &[name, queue]: m_queues) {
        std::string reasons;
        for(const auto &[reason, count]: queue.reasons) {
            reasons += fmt::format("{}{} {}", reasons.empty() ? "" : ", ", reason, count);
        }
        const auto start_ms = queue.late > 0 ? queue.late_start_ms / static_cast<double>(queue.late) : 0.0;
        text += fmt::format("{:<16}{:>10}{:>8}{:>20.0f}{:>12}  {}\n", name, queue.in_time, queue.late, start_ms, queue.again, reasons);
    }
    return text;
}

} // namespace heathermoor::trace
