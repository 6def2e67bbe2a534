#include "heathermoor/adapter/http_message.hpp"

#include <algorithm>
#include <cctype>
#include <climits>
#include <http_parser.h>

namespace heathermoor::adapter {

namespace internal {

[[nodiscard]] bool same_name(std::string_view left, std::string_view right) noexcept {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

} // namespace internal

std::string_view http_message::header(std::string_view name) const noexcept {
    for(const auto &[key, value]: headers) {
        if(internal::same_name(key, name)) {
            return value;
        }
    }
    return {};
}

struct http_reader::parser {
    ::http_parser state{};
    ::http_parser_settings callbacks{};

    [[nodiscard]] static http_reader &owner(::http_parser *state) noexcept { return *static_cast<http_reader *>(state->data); }

    static bool count_header(http_reader &reader, std::size_t length) noexcept {
        reader.m_header_bytes += length;
        if(reader.m_header_bytes > reader.m_header_limit) {
            reader.m_error = http_parse_error::header_too_large;
            return false;
        }
        return true;
    }

    static int on_begin(::http_parser *state) {
        owner(state).m_started = true;
        return 0;
    }

    static int on_url(::http_parser *state, const char *data, std::size_t length) {
        auto &reader = owner(state);
        reader.m_message.target.append(data, length);
        return count_header(reader, length) ? 0 : 1;
    }

    static int on_field(::http_parser *state, const char *data, std::size_t length) {
        auto &reader = owner(state);
        auto &headers = reader.m_message.headers;
        if(headers.empty() || reader.m_value_next) {
            headers.emplace_back();
            reader.m_value_next = false;
        }
        headers.back().first.append(data, length);
        return count_header(reader, length) ? 0 : 1;
    }

    static int on_value(::http_parser *state, const char *data, std::size_t length) {
        auto &reader = owner(state);
        reader.m_value_next = true;
        if(!reader.m_message.headers.empty()) {
            reader.m_message.headers.back().second.append(data, length);
        }
        return count_header(reader, length) ? 0 : 1;
    }

    static int on_headers(::http_parser *state) {
        auto &reader = owner(state);
        const bool has_length = state->content_length != ULLONG_MAX;
        if(has_length && state->content_length > reader.m_body_limit) {
            reader.m_error = http_parse_error::body_too_large;
            return -1;
        }
        return 0;
    }

    static int on_body(::http_parser *state, const char *data, std::size_t length) {
        auto &reader = owner(state);
        if(reader.m_message.body.size() + length > reader.m_body_limit) {
            reader.m_error = http_parse_error::body_too_large;
            return 1;
        }
        reader.m_message.body.append(data, length);
        return 0;
    }

    static int on_end(::http_parser *state) {
        auto &reader = owner(state);
        auto &message = reader.m_message;
        message.keep_alive = ::http_should_keep_alive(state) != 0;
        message.status = state->status_code;
        if(reader.m_kind == kind::request) {
            message.method = ::http_method_str(static_cast<::http_method>(state->method));
        }
        reader.m_complete = true;
        ::http_parser_pause(state, 1);
        return 0;
    }
};

http_reader::http_reader(kind what) : m_kind{what}, m_parser{new parser} {
    auto &callbacks = m_parser->callbacks;
    ::http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = &parser::on_begin;
    callbacks.on_url = &parser::on_url;
    callbacks.on_header_field = &parser::on_field;
    callbacks.on_header_value = &parser::on_value;
    callbacks.on_headers_complete = &parser::on_headers;
    callbacks.on_body = &parser::on_body;
    callbacks.on_message_complete = &parser::on_end;
    ::http_parser_init(&m_parser->state, what == kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser->state.data = this;
}

http_reader::~http_reader() {
    delete m_parser;
}

void http_reader::set_limits(std::size_t header_bytes, std::size_t body_bytes) noexcept {
    m_header_limit = header_bytes;
    m_body_limit = body_bytes;
}

std::size_t http_reader::read(std::string_view bytes) {
    if(m_complete || m_error != http_parse_error::none) {
        return 0;
    }
    const auto taken = ::http_parser_execute(&m_parser->state, &m_parser->callbacks, bytes.data(), bytes.size());
    const auto code = HTTP_PARSER_ERRNO(&m_parser->state);
    if(m_complete) {
        return taken;
    }
    if(code != HPE_OK || m_parser->state.upgrade != 0) {
        if(m_error == http_parse_error::none) {
            m_error = code == HPE_HEADER_OVERFLOW ? http_parse_error::header_too_large : http_parse_error::malformed;
        }
    }
    return taken;
}

void http_reader::end_of_stream() {
    if(!m_complete) {
        (void)::http_parser_execute(&m_parser->state, &m_parser->callbacks, nullptr, 0);
    }
}

http_message http_reader::take() {
    auto result = std::move(m_message);
    m_message = http_message{};
    m_complete = false;
    m_started = false;
    m_value_next = false;
    m_header_bytes = 0;
    ::http_parser_pause(&m_parser->state, 0);
    return result;
}

std::string_view http_reason(int status) noexcept {
    const auto *text = ::http_status_str(static_cast<::http_status>(status));
    return text;
}

} // namespace heathermoor::adapter
