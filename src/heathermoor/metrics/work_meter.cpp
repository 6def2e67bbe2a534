#include "heathermoor/metrics/work_meter.hpp"

#include "heathermoor/core/event.hpp"

namespace heathermoor::metrics {

void log_work(const work_meter &meter, duration longest_lag, duration oldest_echo, const peer_traffic &peers) {
    const auto spent = [&meter](work_part part) { return meter.total(part).spent; };
    const auto count = [&meter](work_part part) { return meter.total(part).count; };
    using part = work_part;
    log_event(log_level::info, "process", "work",
              {{"loop_ms", spent(part::loop)},
               {"heartbeats_ms", spent(part::heartbeats)},
               {"heartbeats", count(part::heartbeats)},
               {"jobs_ms", spent(part::jobs)},
               {"jobs", count(part::jobs)},
               {"answers_ms", spent(part::answers)},
               {"answers", count(part::answers)},
               {"callers_ms", spent(part::callers)},
               {"callers", count(part::callers)},
               {"orders_ms", spent(part::orders)},
               {"orders", count(part::orders)},
               {"reports_ms", spent(part::reports)},
               {"reports", count(part::reports)},
               {"store_ms", spent(part::store)},
               {"store", count(part::store)},
               {"timer_ms", spent(part::timer)},
               {"timer", count(part::timer)},
               {"beating_ms", spent(part::beating)},
               {"holding_ms", spent(part::holding)},
               {"placing_ms", spent(part::placing)},
               {"placing", count(part::placing)},
               {"longest_lag_ms", longest_lag},
               {"oldest_echo_ms", oldest_echo},
               {"peer_messages_sent", peers.messages_sent},
               {"peer_messages_dropped", peers.messages_dropped},
               {"peer_bytes_sent", peers.bytes_sent},
               {"peer_bytes_received", peers.bytes_received}});
}

} // namespace heathermoor::metrics
