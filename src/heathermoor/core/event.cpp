#include "heathermoor/core/event.hpp"

#include <atomic>
#include <cmath>
#include <fmt/format.h>
#include <iterator>

namespace heathermoor {

namespace internal {

std::atomic<event_sink *> current_sink{nullptr};

void append_text(std::string &out, std::string_view text) {
    out.push_back('"');
    for(const auto ch: text) {
        const auto byte = static_cast<unsigned char>(ch);
        if(ch == '"' || ch == '\\') {
            out.push_back('\\');
            out.push_back(ch);
        } else if(byte < 0x20U) {
            fmt::format_to(std::back_inserter(out), "\\u{:04x}", byte);
        } else {
            out.push_back(ch);
        }
    }
    out.push_back('"');
}

void append_value(std::string &out, const event_field::value_type &value) {
    if(const auto *text = std::get_if<std::string_view>(&value)) {
        append_text(out, *text);
    } else if(const auto *number = std::get_if<std::int64_t>(&value)) {
        fmt::format_to(std::back_inserter(out), "{}", *number);
    } else if(const auto *real = std::get_if<double>(&value)) {
        // JSON has no infinity and no NaN.
        std::isfinite(*real) ? fmt::format_to(std::back_inserter(out), "{:.1f}", *real) : fmt::format_to(std::back_inserter(out), "null");
    } else {
        out += std::get<bool>(value) ? "true" : "false";
    }
}

} // namespace internal

void set_event_sink(event_sink *sink) noexcept {
    internal::current_sink = sink;
}

void log_event(log_level level, std::string_view part, std::string_view name, std::initializer_list<event_field> fields) {
    if(!log_enabled(level)) {
        return;
    }
    std::string json;
    constexpr std::size_t typical_length = 256;
    json.reserve(typical_length);
    json += "\"part\":";
    internal::append_text(json, part);
    json += ",\"event\":";
    internal::append_text(json, name);
    for(const auto &field: fields) {
        json.push_back(',');
        internal::append_text(json, field.name());
        json.push_back(':');
        internal::append_value(json, field.value());
    }
    auto *sink = internal::current_sink.load(std::memory_order_relaxed);
    if(sink != nullptr) {
        sink->write(level, json);
    } else {
        write_log(level, part, json);
    }
}

} // namespace heathermoor
