#include "heathermoor/trace/record.hpp"

#include <algorithm>
#include <charconv>
#include <istream>
#include <nlohmann/json.hpp>

namespace heathermoor::trace {

std::string_view record::value(std::string_view name) const noexcept {
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const field &item) { return item.name == name; });
    return found == fields.end() ? std::string_view{} : std::string_view{found->value};
}

double record::number(std::string_view name) const noexcept {
    const auto text = value(name);
    double result = 0;
    (void)std::from_chars(text.data(), text.data() + text.size(), result);
    return result;
}

std::optional<record> read_record(std::string_view line) {
    const auto brace = line.find('{');
    if(brace == std::string_view::npos) {
        return std::nullopt;
    }
    const auto document = nlohmann::ordered_json::parse(line.substr(brace), nullptr, false);
    if(!document.is_object()) {
        return std::nullopt;
    }
    record result;
    for(const auto &[name, value]: document.items()) {
        auto text = value.is_string() ? value.get<std::string>() : value.dump();
        if(name == "time") {
            result.time = std::move(text);
        } else if(name == "host") {
            result.host = std::move(text);
        } else if(name == "part") {
            result.part = std::move(text);
        } else if(name == "event") {
            result.event = std::move(text);
        } else {
            result.fields.push_back({name, std::move(text)});
        }
    }
    return result.event.empty() || result.time.empty() ? std::nullopt : std::optional{std::move(result)};
}

std::size_t read_log(std::istream &in, std::vector<record> &out) {
    std::size_t skipped = 0;
    std::string line;
    while(std::getline(in, line)) {
        auto event = read_record(line);
        if(event) {
            out.push_back(std::move(*event));
        } else {
            ++skipped;
        }
    }
    return skipped;
}

} // namespace heathermoor::trace
