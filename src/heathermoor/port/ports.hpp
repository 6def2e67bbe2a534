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

/// @brief Streams of the platform log that heathermoor uses.
enum class log_stream : std::uint8_t { config, ownership, journal };

/// @brief Correlates the result of an append with its request.
enum class append_token : std::uint64_t {};

/// @brief Result of one read from a log stream.
struct log_batch {
    log_stream stream{};
    std::vector<wire::record> records;
    /// Oldest offset that the log still retains.
    log_offset first{};
    /// Offset that the next appended record will get.
    log_offset tail{};
    /// When the read request was sent.
    time_point asked;
};

/// @brief Entry of the platform's host list, which is eventually consistent and may be stale.
struct listed_host {
    std::string id;
    failure_domain_id domain;
    bool is_target{};
    bool leaving{};
    std::string address;
    pool_id pool;
    std::uint32_t slots{};
};

/// @brief Sends messages between hosts, without a delivery guarantee.
class peer_port : public interface {
  public:
    /// @brief Sends a message, or drops it if the host is unreachable at the moment.
    /// @param to Receiving host; may be this host itself.
    /// @param message Message to send; consumed.
    virtual void send(const host_id &to, wire::envelope message) = 0;

    /// @brief Sets the address of a host.
    /// @param host Host to reach at the address.
    /// @param address Endpoint of its peer socket, such as `tcp://127.0.0.1:8090`.
    virtual void connect(const host_id &host, const std::string &address) = 0;

    /// @brief Closes the connection to a host; further messages to it are dropped.
    /// @param host Host to disconnect from.
    virtual void disconnect(const host_id &host) = 0;
};

/// @brief Starts and stops tasks on targets; responses arrive asynchronously as events.
class target_port : public interface {
  public:
    /// @brief Starts a task. Exactly one response follows.
    /// @param request Task to start and the target to run it on.
    virtual void start(placement::start_request request) = 0;

    /// @brief Asks a target to stop a task.
    /// @param request Task to stop and the target that runs it.
    virtual void stop(placement::stop_request request) = 0;
};

/// @brief Accesses the platform log; results arrive asynchronously as events.
class log_port : public interface {
  public:
    /// @brief Appends a record. Exactly one result follows.
    /// @param stream Stream to append to.
    /// @param data Serialized record.
    /// @param token Returned with the result.
    virtual void append(log_stream stream, std::string data, append_token token) = 0;

    /// @brief Reads the whole journal stream. One result follows.
    virtual void read_journal() = 0;
};

/// @brief Source of monotonic and wall-clock time.
class clock_port : public interface {
  public:
    /// @brief Monotonic time of this process; not comparable between processes.
    /// @return Time since an arbitrary origin.
    [[nodiscard]] virtual time_point now() const = 0;

    /// @brief Wall-clock time; may jump when the system clock is set.
    /// @return Time since the Unix epoch.
    [[nodiscard]] virtual std::chrono::milliseconds unix_now() const = 0;
};

/// @brief References to the ports of one host; the referenced objects must outlive it.
struct port_set {
    peer_port &peers;
    target_port &targets;
    log_port &log;
    clock_port &clock;
};

} // namespace heathermoor::port
