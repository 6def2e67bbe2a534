#pragma once

#include "heathermoor/core/error.hpp"
#include "heathermoor/core/id.hpp"
#include "heathermoor/core/interface.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/placement/dispatcher.hpp"
#include "heathermoor/wire/heathermoor.pb.h"
#include <chrono>
#include <string>
#include <vector>

namespace heathermoor::port {

/// @brief Streams that the product keeps on the platform's log.
enum class log_stream : std::uint8_t { config, ownership, journal };

/// @brief Token that matches the result of an append to its request.
enum class append_token : std::uint64_t {};

/// @brief Result of reading a stream.
struct log_batch {
    log_stream stream{};
    std::vector<wire::record> records;
    /// Oldest offset that the log still keeps.
    log_offset first{};
    /// Offset of the next record that will be appended.
    log_offset tail{};
    /// Time at which the read was sent.
    time_point asked;
};

/// @brief Host or target on the platform's lagging list.
struct listed_host {
    std::string id;
    failure_domain_id domain;
    bool is_target{};
    bool leaving{};
    std::string address;
    pool_id pool;
    std::uint32_t slots{};
};

/// @brief Sends messages to other hosts; delivery is not guaranteed.
class peer_port : public interface {
  public:
    /// @brief Sends a message, or drops it if the host cannot be reached now.
    /// @param to Receiver; the own host is allowed.
    /// @param message Message.
    virtual void send(const host_id &to, wire::envelope message) = 0;

    /// @brief Learns the address of a host.
    /// @param host Host.
    /// @param address Address of its peer socket.
    virtual void connect(const host_id &host, const std::string &address) = 0;

    /// @brief Gives up the connection to a host; messages to it are dropped from now on.
    /// @param host Host.
    virtual void disconnect(const host_id &host) = 0;
};

/// @brief Starts and stops tasks at targets; answers come back as events.
class target_port : public interface {
  public:
    /// @brief Starts a task. Exactly one answer follows.
    /// @param request Task and target.
    virtual void start(placement::start_request request) = 0;

    /// @brief Asks a target to stop a task.
    /// @param request Task and target.
    virtual void stop(placement::stop_request request) = 0;
};

/// @brief Writes to the platform's log; results come back as events.
class log_port : public interface {
  public:
    /// @brief Appends a record. Exactly one result follows.
    /// @param stream Stream.
    /// @param data Record.
    /// @param token Given back with the result.
    virtual void append(log_stream stream, std::string data, append_token token) = 0;

    /// @brief Reads the whole journal. One result follows.
    virtual void read_journal() = 0;
};

/// @brief Source of time.
class clock_port : public interface {
  public:
    /// @brief Monotonic time of this process.
    /// @return Time since an arbitrary origin.
    [[nodiscard]] virtual time_point now() const = 0;

    /// @brief Wall clock.
    /// @return Time since the Unix epoch.
    [[nodiscard]] virtual std::chrono::milliseconds unix_now() const = 0;
};

/// @brief All ports of one host.
struct port_set {
    peer_port &peers;
    target_port &targets;
    log_port &log;
    clock_port &clock;
};

} // namespace heathermoor::port
