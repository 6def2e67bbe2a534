#include "heathermoor/adapter/host_process.hpp"

#include "heathermoor/adapter/http_targets.hpp"
#include "heathermoor/adapter/platform_client.hpp"
#include "heathermoor/adapter/system_clock_port.hpp"
#include "heathermoor/adapter/zmq_peers.hpp"
#include "heathermoor/core/log.hpp"
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <optional>
#include <thread>

namespace heathermoor::adapter {

namespace internal {

constexpr milliseconds tick_interval{10};
constexpr milliseconds drain_poll{5};
/// Time between the end of the drain and the stop of the interfaces.
constexpr milliseconds linger_after_drain{300};

} // namespace internal

struct host_process::state {
    process_settings options;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    asio::steady_timer ticker{context};
    system_clock_port clock;
    std::optional<zmq_peers> peers;
    std::optional<http_targets> targets;
    std::optional<platform_client> platform;
    std::optional<host::node> node;
    std::optional<http_api> api;
    std::vector<std::thread> workers;
    std::thread receiver;
    bool running{};

    explicit state(process_settings settings) : options{std::move(settings)} {}

    void deliver(wire::envelope message) {
        asio::post(context, [this, moved = std::make_shared<wire::envelope>(std::move(message))] { node->receive(*moved); });
    }

    void tick() {
        node->tick();
        ticker.expires_after(internal::tick_interval);
        ticker.async_wait([this](const asio::error_code &error) {
            if(!error) {
                tick();
            }
        });
    }

    [[nodiscard]] platform_events events() {
        platform_events handlers;
        handlers.log_read = [this](const port::log_batch &batch) { node->log_read(batch); };
        handlers.journal_read = [this](const std::vector<wire::record> &records, bool complete) { node->journal_read(records, complete); };
        handlers.appended = [this](port::append_token token, std::error_code error) { node->appended(token, error); };
        handlers.host_list = [this](std::vector<port::listed_host> hosts) { node->host_list(std::move(hosts)); };
        handlers.next_offset = [this](port::log_stream stream) { return node->control().next_offset(stream); };
        return handlers;
    }

    void start(std::error_code &error) {
        peers.emplace(options.host.host, [this](wire::envelope message) { deliver(std::move(message)); });
        options.host.peer_address = peers->bind(options.host.peer_address, error);
        if(error) {
            return;
        }
        targets.emplace([this](placement::target_answer answer) { node->target_answered(std::move(answer)); });
        platform.emplace(options.platform, options.host.domain, clock);
        const port::port_set ports{*peers, *targets, *platform, clock};
        node.emplace(options.host, ports);
        for(const auto &[host, address]: options.seeds) {
            node->control().add_seed(host, address);
        }
        api.emplace(options.api, *node);
        api->bind(error);
        if(error) {
            return;
        }
        running = true;
        for(std::size_t index = 0; index < options.worker_threads; ++index) {
            workers.emplace_back([this] { context.run(); });
        }
        receiver = std::thread{[this] { peers->run([this](const wire::envelope &message) { node->receive(message); }); }};
        platform->start(events());
        asio::post(context, [this] { tick(); });
        api->start();
        log(log_level::info, "host", "Serving. host={} failure_domain={} http_port={} admin_port={} peers={}", options.host.host.str(),
            options.host.domain.str(), api->port(), api->admin_port(), options.host.peer_address);
    }

    void shut_down() {
        if(!running) {
            return;
        }
        running = false;
        node->drain();
        const auto limit = clock.now() + options.drain_limit;
        while(!node->drained() && clock.now() < limit) {
            std::this_thread::sleep_for(internal::drain_poll);
        }
        std::this_thread::sleep_for(internal::linger_after_drain);
        log(log_level::info, "host", "Drained. host={} complete={}", options.host.host.str(), node->drained());
        api->stop();
        ticker.cancel();
        platform->stop();
        peers->stop();
        receiver.join();
        targets.reset();
        work.reset();
        context.stop();
        for(auto &worker: workers) {
            worker.join();
        }
    }
};

host_process::host_process(process_settings options) : m_state{std::make_unique<state>(std::move(options))} {}

host_process::~host_process() {
    shut_down();
}

void host_process::start(std::error_code &error) {
    m_state->start(error);
}

void host_process::run() {
    asio::io_context signals;
    asio::signal_set set{signals, SIGTERM, SIGINT};
    set.async_wait([](const asio::error_code &, int) {});
    signals.run();
    shut_down();
}

void host_process::shut_down() {
    m_state->shut_down();
}

int host_process::http_port() const noexcept {
    return m_state->api->port();
}

host::node &host_process::node() noexcept {
    return *m_state->node;
}

} // namespace heathermoor::adapter
