#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathermoor::adapter {

/// @brief Header of an HTTP message: name and value.
using http_header = std::pair<std::string, std::string>;

/// @brief HTTP message as received: a request or a response.
struct http_message {
    /// Method of a request, in capitals.
    std::string method;
    /// Path and query of a request.
    std::string target;
    /// Status of a response.
    int status{};
    std::vector<http_header> headers;
    std::string body;
    /// The sender keeps the connection open after this message.
    bool keep_alive{};

    /// @brief Value of a header.
    /// @param name Name; case does not matter.
    /// @return Value, or an empty text.
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

/// @brief Why a message could not be read.
enum class http_parse_error : std::uint8_t { none, malformed, header_too_large, body_too_large };

/// @brief Reads HTTP messages from bytes as they arrive.
class http_reader {
  public:
    /// @brief What is read.
    enum class kind : std::uint8_t { request, response };

    /// @brief Reader of a connection.
    /// @param what Requests or responses.
    explicit http_reader(kind what);
    ~http_reader();
    http_reader(const http_reader &) = delete;
    http_reader &operator=(const http_reader &) = delete;
    http_reader(http_reader &&) = delete;
    http_reader &operator=(http_reader &&) = delete;

    /// @brief Sets the largest message that is read.
    /// @param header_bytes Start line and headers.
    /// @param body_bytes Body.
    void set_limits(std::size_t header_bytes, std::size_t body_bytes) noexcept;

    /// @brief Reads bytes up to the end of a message.
    /// @param bytes Bytes that arrived.
    /// @return Bytes that were taken; the rest belongs to the next message.
    std::size_t read(std::string_view bytes);

    /// @brief Notes the end of the stream, which ends a body without a length.
    void end_of_stream();

    /// @brief Whether a message is complete.
    /// @return True until `take` is called.
    [[nodiscard]] bool complete() const noexcept { return m_complete; }

    /// @brief Whether some bytes of the next message were read.
    /// @return True between its first byte and its end.
    [[nodiscard]] bool started() const noexcept { return m_started; }

    /// @brief Why reading has failed.
    /// @return Error; final for the connection.
    [[nodiscard]] http_parse_error error() const noexcept { return m_error; }

    /// @brief Takes the complete message; the reader goes on to the next one.
    /// @return Message.
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

/// @brief Reason phrase of a status.
/// @param status Status code.
/// @return Phrase.
[[nodiscard]] std::string_view http_reason(int status) noexcept;

} // namespace heathermoor::adapter
