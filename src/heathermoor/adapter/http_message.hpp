#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathermoor::adapter {

/// @brief Name and value of an HTTP header.
using http_header = std::pair<std::string, std::string>;

/// @brief Parsed HTTP request or response.
struct http_message {
    /// Method of a request in upper case; empty for a response.
    std::string method;
    /// Path and query of a request, not decoded.
    std::string target;
    /// Status code of a response.
    int status{};
    std::vector<http_header> headers;
    std::string body;
    /// Whether the connection stays open after this message.
    bool keep_alive{};

    /// @brief Looks up a header.
    /// @param name Header name, compared without regard to case.
    /// @return Value of the first match; empty if there is none.
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

/// @brief Reason why a message was rejected.
enum class http_parse_error : std::uint8_t { none, malformed, header_too_large, body_too_large };

/// @brief Incremental parser of the messages of one connection.
class http_reader {
  public:
    /// @brief Kind of messages on the connection.
    enum class kind : std::uint8_t { request, response };

    /// @brief Constructs a reader at the start of a stream.
    /// @param what Whether to parse requests or responses.
    explicit http_reader(kind what);
    ~http_reader();
    http_reader(const http_reader &) = delete;
    http_reader &operator=(const http_reader &) = delete;
    http_reader(http_reader &&) = delete;
    http_reader &operator=(http_reader &&) = delete;

    /// @brief Sets the size limits of a message.
    /// @param header_bytes Limit for the request target and the names and values of all headers together.
    /// @param body_bytes Limit for the body.
    void set_limits(std::size_t header_bytes, std::size_t body_bytes) noexcept;

    /// @brief Parses bytes up to the end of the current message.
    /// @param bytes Received bytes that have not been consumed yet.
    /// @return Number of bytes consumed; the rest belongs to the next message. Zero after an error or while a
    /// complete message has not been taken.
    std::size_t read(std::string_view bytes);

    /// @brief Signals the end of the stream, which completes a body without a length.
    void end_of_stream();

    /// @brief Whether a message is ready to be taken.
    /// @return True from the end of a message until `take` is called.
    [[nodiscard]] bool complete() const noexcept { return m_complete; }

    /// @brief Whether a message has begun.
    /// @return True from the first byte of a message until `take` is called.
    [[nodiscard]] bool started() const noexcept { return m_started; }

    /// @brief Reason why parsing failed.
    /// @return Error, which is permanent for the connection; `none` if there is none.
    [[nodiscard]] http_parse_error error() const noexcept { return m_error; }

    /// @brief Takes the message and prepares for the next one; only valid while `complete` is true.
    /// @return Completed message.
    [[nodiscard]] http_message take();

  private:
    struct parser;
    friend struct parser;

    kind m_kind;
    std::size_t m_header_limit{64 * 1024};
    std::size_t m_body_limit{64 * 1024 * 1024};
    std::size_t m_header_bytes{};
    parser *m_parser;
    http_message m_message;
    bool m_complete{};
    bool m_started{};
    bool m_value_next{};
    http_parse_error m_error{http_parse_error::none};
};

/// @brief Standard reason phrase of a status code.
/// @param status HTTP status code.
/// @return Phrase as in the status line.
[[nodiscard]] std::string_view http_reason(int status) noexcept;

} // namespace heathermoor::adapter
