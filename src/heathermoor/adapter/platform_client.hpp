#pragma once

#include "heathermoor/port/ports.hpp"
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace heathermoor::adapter {

/// @brief Name of a stream on the platform's log.
/// @param stream Stream.
/// @param domain Failure domain whose journal is meant.
/// @return Name.
[[nodiscard]] std::string stream_name(port::log_stream stream, const failure_domain_id &domain);

/// @brief One connection to the platform's log and host list.
class platform_connection {
  public:
    /// @brief Connection that is opened when it is first used.
    /// @param address Host and port.
    explicit platform_connection(const std::string &address);
    ~platform_connection();
    platform_connection(const platform_connection &) = delete;
    platform_connection &operator=(const platform_connection &) = delete;
    platform_connection(platform_connection &&) = delete;
    platform_connection &operator=(platform_connection &&) = delete;

    /// @brief Appends a record.
    /// @param stream Name of the stream.
    /// @param data Record.
    /// @param error `log_unavailable` if the record was not appended, `append_unknown` if that is not known.
    /// @return Offset of the record.
    log_offset append(const std::string &stream, const std::string &data, std::error_code &error);

    /// @brief Reads records.
    /// @param stream Name of the stream.
    /// @param from First offset wanted.
    /// @param wait Time to wait for a record if there is none.
    /// @param error `log_unavailable` if the log did not answer.
    /// @return Records; the stream tag and the time of the read are not set.
    port::log_batch read(const std::string &stream, log_offset from, milliseconds wait, std::error_code &error);

    /// @brief Reads the list of hosts.
    /// @param error `log_unavailable` if the platform did not answer.
    /// @return Entry hosts and targets.
    std::vector<port::listed_host> hosts(std::error_code &error);

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// @brief What the platform client reports.
struct platform_events {
    std::function<void(const port::log_batch &)> log_read;
    std::function<void(const std::vector<wire::record> &, bool)> journal_read;
    std::function<void(port::append_token, std::error_code)> appended;
    std::function<void(std::vector<port::listed_host>)> host_list;
    /// Offset from which a stream should be read next.
    std::function<log_offset(port::log_stream)> next_offset;
};

/// @brief Log port over HTTP, with threads that follow the streams and the host list.
class platform_client final : public port::log_port {
  public:
    /// @brief Client that is not running yet.
    /// @param address Host and port of the platform.
    /// @param domain Failure domain of this host.
    /// @param clock Clock by which reads are dated.
    platform_client(std::string address, failure_domain_id domain, const port::clock_port &clock);
    ~platform_client() override;
    platform_client(const platform_client &) = delete;
    platform_client &operator=(const platform_client &) = delete;
    platform_client(platform_client &&) = delete;
    platform_client &operator=(platform_client &&) = delete;

    /// @brief Starts the threads.
    /// @param events Receives what is read.
    void start(platform_events events);

    /// @brief Ends the threads.
    void stop();

    void append(port::log_stream stream, std::string data, port::append_token token) override;
    void read_journal() override;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace heathermoor::adapter
