#pragma once

#include "support/pool_world.hpp"

namespace heathermoor::test {

/// Time that a message needs.
inline constexpr duration latency = milliseconds{1};

/// Interval of the timer of a host.
inline constexpr duration tick_interval = milliseconds{25};

/// Time in which a connection between hosts is established.
inline constexpr duration connect_time = milliseconds{3};

/// Clock that never advances: processor time is not measured in virtual time.
struct zero_work_clock final : metrics::work_clock {
    [[nodiscard]] duration spent() const override { return {}; }
};

/// One host of the simulation, with the ports through which it reaches the others.
struct pool_world::host_state final : port::peer_port,
                                      pool::order_port,
                                      gateway::caller_port,
                                      member::statistics_port,
                                      port::clock_port,
                                      feed::topic_port,
                                      member::config_listener {
    host_state(pool_world &owner, std::size_t position) : world{owner}, index{position} {}

    void send(const host_id &to, wire::envelope message) override {
        const auto peer = static_cast<std::size_t>(std::stoul(to.str()));
        const auto from = index;
        ++messages_sent;
        bytes_sent += message.ByteSizeLong();
        const auto connection = connections.find(to);
        const bool connected = connection != connections.end() && world.m_now >= connection->second;
        if(!connected || !world.reaches_host(from, peer)) {
            return;
        }
        const auto delayed = world.m_delayed_links.find({from, peer});
        const auto delay = delayed == world.m_delayed_links.end() ? duration{} : std::max(duration{}, delayed->second - world.m_now);
        world.at(latency + delay, [this, from, peer, message = std::move(message)] {
            auto &receiver = *world.m_hosts.at(peer);
            if(receiver.running && world.reaches_host(from, peer)) {
                world.on_host(peer, receiver.process, [message](member::member &receiver_host) { receiver_host.received(message); });
            }
        });
    }
    void connect(const host_id &to, const std::string &) override { connections.try_emplace(to, world.m_now + connect_time); }
    void disconnect(const host_id &to) override { connections.erase(to); }

    void read_newest(feed::read_id read, const std::string &) override { world.read_config(index, read, std::nullopt, milliseconds{0}); }
    void read_from(feed::read_id read, log_offset from, milliseconds wait) override { world.read_config(index, read, raw(from), wait); }

    void start(const pool::start_order &order) override {
        world.check_order(order);
        world.at(latency, [this, order, sender = process] { world.deliver_start(index, sender, order); });
    }
    void stop(const pool::stop_order &order) override {
        world.at(latency, [this, order, sender = process] { world.deliver_stop(index, sender, order); });
    }
    void report(const pool::report_order &order) override {
        world.m_claims += order.purpose == pool::report_purpose::claim ? 1 : 0;
        world.at(latency, [this, order, sender = process] { world.deliver_report(index, sender, order); });
    }
    void release(const target_id &) override {}

    void reply(gateway::request_token request, const job_id &, const job::answer &answer) override { world.reply(request, answer); }
    void cancel_answered(gateway::request_token request, const job_id &, gateway::cancel_result result) override {
        world.cancel_answered(request, result);
    }

    void save_statistics(const std::string &, const std::string &bytes) override { world.m_stored_statistics = bytes; }

    void config_changed(const route::route_config &) override {}

    [[nodiscard]] time_point now() const override { return world.m_now; }
    [[nodiscard]] std::chrono::milliseconds unix_now() const override {
        return std::chrono::duration_cast<milliseconds>(world.m_now.time_since_epoch()) + clock_error;
    }

    pool_world &world;
    std::size_t index;
    std::uint64_t process{};
    bool running{};
    /// Messages to other hosts, and their total size.
    std::uint64_t messages_sent{};
    std::uint64_t bytes_sent{};
    time_point frozen_until{};
    /// When the host read the list of targets last.
    time_point list_read_at{};
    milliseconds clock_error{};
    zero_work_clock work_clock;
    metrics::work_meter work{work_clock};
    /// Connections to other hosts, with the time from which they are established.
    std::map<host_id, time_point> connections;
    std::unique_ptr<member::member> host;
    std::unique_ptr<subscription::config_subscription> config;
};

} // namespace heathermoor::test
