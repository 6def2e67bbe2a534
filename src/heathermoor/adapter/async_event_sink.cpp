#include "heathermoor/adapter/async_event_sink.hpp"

#include <atomic>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace heathermoor::adapter {

namespace internal {

/// Capacity of the queue in lines; about one second of output under load.
constexpr std::size_t queue_lines = 1'024;

[[nodiscard]] spdlog::level::level_enum to_spdlog(log_level level) noexcept {
    switch(level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        break;
    }
    return spdlog::level::err;
}

} // namespace internal

struct async_event_sink::state {
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
    /// Lines lost as of the last report; events come from several threads.
    std::atomic<std::uint64_t> reported{};
};

async_event_sink::async_event_sink(std::string host) : m_state{std::make_unique<state>()} {
    m_state->pool = std::make_shared<spdlog::details::thread_pool>(internal::queue_lines, 1);
    m_state->logger = std::make_shared<spdlog::async_logger>("events", std::make_shared<spdlog::sinks::stdout_sink_st>(), m_state->pool,
                                                             spdlog::async_overflow_policy::overrun_oldest);
    m_state->logger->set_level(spdlog::level::debug);
    m_state->logger->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%e\",\"level\":\"%l\",\"host\":\"" + host + "\",%v}");
    set_event_sink(this);
}

async_event_sink::~async_event_sink() {
    set_event_sink(nullptr);
    m_state->logger->flush();
}

void async_event_sink::write(log_level level, std::string_view json) {
    const auto lost_now = lost();
    if(m_state->reported.exchange(lost_now) != lost_now) {
        m_state->logger->log(spdlog::level::warn, "\"part\":\"log\",\"event\":\"lines_lost\",\"lines\":{}", lost_now);
    }
    m_state->logger->log(internal::to_spdlog(level), spdlog::string_view_t{json.data(), json.size()});
}

std::uint64_t async_event_sink::lost() const {
    return m_state->pool->overrun_counter();
}

} // namespace heathermoor::adapter
