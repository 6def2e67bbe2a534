#pragma once

#include "heathermoor/port/ports.hpp"
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace heathermoor::adapter {

/// @brief Name of a stream in the platform's log.
/// @param stream Kind of stream.
/// @param domain Failure domain of the journal; unused for other streams.
/// @return Name as used in URLs.
[[nodiscard]] std::string stream_name(port::log_stream stream, const failure_domain_id &domain);

/// @brief Blocking HTTP connection to the platform's log and host list.
class platform_connection {
  public:
    /// @brief Constructs a connection, which is opened on first use.
    /// @param address Platform as `host:port`.
    explicit platform_connection(const std::string &address);
    ~platform_connection();
    platform_connection(const platform_connection &) = delete;
    platform_connection &operator=(const platform_connection &) = delete;
    platform_connection(platform_connection &&) = delete;
    platform_connection &operator=(platform_connection &&) = delete;

    /// @brief Appends a record.
    /// @param stream Name of the stream.
    /// @param data Record, stored unchanged.
    /// @param error `log_unavailable` if the record was not appended, `append_unknown` if it may have been.
    /// @return Offset of the record; zero on error.
    log_offset append(const std::string &stream, const std::string &data, std::error_code &error);

    /// @brief Reads a batch of records.
    /// @param stream Name of the stream.
    /// @param from First offset wanted.
    /// @param wait Long-poll time if there is no record at the offset yet.
    /// @param error `log_unavailable` if the platform did not return a valid batch.
    /// @return Batch without its `stream` and `asked` members, which the caller sets.
    port::log_batch read(const std::string &stream, log_offset from, milliseconds wait, std::error_code &error);

    /// @brief Reads the list of hosts.
    /// @param error `log_unavailable` if the platform did not return a valid list.
    /// @return Entry hosts and targets.
    std::vector<port::listed_host> hosts(std::error_code &error);

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// @brief Callbacks of the platform client, called from its threads.
struct platform_events {
    std::function<void(const port::log_batch &)> log_read;
    std::function<void(const std::vector<wire::record> &, bool)> journal_read;
    std::function<void(port::append_token, std::error_code)> appended;
    std::function<void(std::vector<port::listed_host>)> host_list;
    /// Returns the offset from which a stream is read next.
    std::function<log_offset(port::log_stream)> next_offset;
};

/// @brief Implements the log port over HTTP, with threads that poll the streams and the host list.
class platform_client final : public port::log_port {
  public:
    /// @brief Constructs a client that is not started.
    /// @param address Platform as `host:port`.
    /// @param domain Failure domain of this host; selects the journal stream.
    /// @param clock Clock for the time at which a read was requested.
    platform_client(std::string address, failure_domain_id domain, const port::clock_port &clock);
    ~platform_client() override;
    platform_client(const platform_client &) = delete;
    platform_client &operator=(const platform_client &) = delete;
    platform_client(platform_client &&) = delete;
    platform_client &operator=(platform_client &&) = delete;

    /// @brief Starts the threads.
    /// @param events Callbacks; all must be set.
    void start(platform_events events);

    /// @brief Stops and joins the threads, after queued appends have been sent.
    void stop();

    void append(port::log_stream stream, std::string data, port::append_token token) override;
    void read_journal() override;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace heathermoor::adapter
