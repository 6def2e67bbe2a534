#include "heathermoor/config/declaration.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <limits>
#include <optional>
#include <regex>
#include <set>
#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace heathermoor::config {

namespace internal {

/// Maximum nesting depth of a document.
constexpr int max_depth = 12;
constexpr std::array<std::string_view, 12> diagnostic_names{
    "syntax",        "too_large",  "too_deep",     "anchors_not_allowed", "duplicate_key",     "missing_field",
    "unknown_field", "wrong_type", "out_of_range", "unsupported_schema",  "unknown_reference", "duplicate_item"};

/// Adds diagnostics for one document, with positions relative to its file.
class reporter {
  public:
    reporter(const declaration &source, std::vector<diagnostic> &out) : m_file{source.file}, m_first_line{source.first_line}, m_out{&out} {}

    void add(diagnostic_code what, const YAML::Mark &mark, std::string field, std::string allowed) const {
        const auto line = mark.is_null() ? 0 : mark.line;
        const auto column = mark.is_null() ? 0 : mark.column;
        m_out->push_back({what, m_file, m_first_line + line + 1, column + 1, std::move(field), std::move(allowed)});
    }

  private:
    std::string m_file;
    int m_first_line;
    std::vector<diagnostic> *m_out;
};

/// Rejects deep nesting and anchors while parsing, before the document tree is built:
/// aliases could otherwise expand to a tree much larger than the document.
class structure_checker final : public YAML::EventHandler {
  public:
    explicit structure_checker(const reporter &report) : m_report{&report} {}

    void OnDocumentStart(const YAML::Mark & /*mark*/) override {}
    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override { check_anchor(mark, anchor); }
    void OnAlias(const YAML::Mark &mark, YAML::anchor_t anchor) override { check_anchor(mark, anchor); }
    void OnScalar(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t anchor, const std::string & /*value*/) override {
        check_anchor(mark, anchor);
    }
    void OnSequenceStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value /*style*/) override {
        enter(mark, anchor);
    }
    void OnSequenceEnd() override { --m_depth; }
    void OnMapStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value /*style*/) override {
        enter(mark, anchor);
    }
    void OnMapEnd() override { --m_depth; }

    [[nodiscard]] bool clean() const noexcept { return m_clean; }

  private:
    void check_anchor(const YAML::Mark &mark, YAML::anchor_t anchor) {
        if(anchor != YAML::NullAnchor && m_clean) {
            m_clean = false;
            m_report->add(diagnostic_code::anchors_not_allowed, mark, "", "a document without anchors and aliases");
        }
    }

    void enter(const YAML::Mark &mark, YAML::anchor_t anchor) {
        check_anchor(mark, anchor);
        if(++m_depth > max_depth && m_clean) {
            m_clean = false;
            m_report->add(diagnostic_code::too_deep, mark, "", fmt::format("at most {} levels", max_depth));
        }
    }

    const reporter *m_report;
    int m_depth{};
    bool m_clean{true};
};

using parameter_map = std::map<std::string, YAML::Node>;

/// Compiled regular expression that keeps its text for diagnostics.
class pattern {
  public:
    explicit pattern(std::string text) : m_text{std::move(text)}, m_expression{m_text, std::regex::optimize} {}

    [[nodiscard]] bool matches(const std::string &value) const { return std::regex_match(value, m_expression); }
    [[nodiscard]] const std::string &text() const noexcept { return m_text; }

  private:
    std::string m_text;
    std::regex m_expression;
};

const pattern name_pattern{"[a-z0-9][a-z0-9-]{0,62}"};
const pattern digest_pattern{"[0-9a-f]{64}"};
const pattern type_pattern{"integer|text|name"};
const pattern kind_pattern{"template|service"};

/// Reads the fields of one mapping, substitutes template parameters and reports invalid values.
class field_reader {
  public:
    field_reader(const YAML::Node &node, std::string path, const reporter &report, const parameter_map *parameters = nullptr)
        : m_node{node}, m_path{std::move(path)}, m_report{&report}, m_parameters{parameters} {
        if(!m_node.IsMap()) {
            m_report->add(diagnostic_code::wrong_type, m_node.Mark(), m_path, "a mapping");
            return;
        }
        for(const auto &pair: m_node) {
            if(!pair.first.IsScalar()) {
                m_report->add(diagnostic_code::wrong_type, pair.first.Mark(), m_path, "a scalar key");
                continue;
            }
            if(!m_fields.emplace(pair.first.Scalar(), pair.second).second) {
                m_report->add(diagnostic_code::duplicate_key, pair.first.Mark(), field(pair.first.Scalar()), "each key once");
            }
        }
    }

    [[nodiscard]] std::map<std::string, YAML::Node> fields() const { return m_fields; }
    [[nodiscard]] std::string field(const std::string &name) const { return m_path.empty() ? name : m_path + "." + name; }

    void allow(const std::set<std::string> &names) const {
        for(const auto &[name, value]: m_fields) {
            if(!names.contains(name)) {
                m_report->add(diagnostic_code::unknown_field, value.Mark(), field(name), fmt::format("{}", fmt::join(names, ", ")));
            }
        }
    }

    [[nodiscard]] std::optional<YAML::Node> get(const std::string &name, bool required) const {
        const auto found = m_fields.find(name);
        if(found == m_fields.end()) {
            if(required) {
                m_report->add(diagnostic_code::missing_field, m_node.Mark(), field(name), "a value");
            }
            return std::nullopt;
        }
        return substitute(name, found->second);
    }

    [[nodiscard]] std::string text(const std::string &name, const pattern &expected, bool required = true) const {
        const auto value = get(name, required);
        if(!value) {
            return {};
        }
        if(!value->IsScalar() || !expected.matches(value->Scalar())) {
            m_report->add(diagnostic_code::wrong_type, value->Mark(), field(name), "text matching " + expected.text());
            return {};
        }
        return value->Scalar();
    }

    [[nodiscard]] std::int64_t integer(const std::string &name, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum) const {
        const auto value = get(name, false);
        std::int64_t number{};
        if(!value) {
            return fallback;
        }
        if(!value->IsScalar() || !YAML::convert<std::int64_t>::decode(*value, number)) {
            m_report->add(diagnostic_code::wrong_type, value->Mark(), field(name),
                          fmt::format("an integer from {} to {}", minimum, maximum));
            return fallback;
        }
        if(number < minimum || number > maximum) {
            m_report->add(diagnostic_code::out_of_range, value->Mark(), field(name), fmt::format("{} to {}", minimum, maximum));
            return fallback;
        }
        return number;
    }

    [[nodiscard]] bool flag(const std::string &name) const {
        const auto value = get(name, false);
        bool set{};
        if(value && (!value->IsScalar() || !YAML::convert<bool>::decode(*value, set))) {
            m_report->add(diagnostic_code::wrong_type, value->Mark(), field(name), "true or false");
        }
        return set;
    }

  private:
    [[nodiscard]] std::optional<YAML::Node> substitute(const std::string &name, const YAML::Node &value) const {
        if(m_parameters == nullptr || !value.IsScalar() || !value.Scalar().starts_with("${")) {
            return value;
        }
        const auto &reference = value.Scalar();
        const auto found = reference.ends_with("}") ? m_parameters->find(reference.substr(2, reference.size() - 3)) : m_parameters->end();
        if(found == m_parameters->end()) {
            m_report->add(diagnostic_code::unknown_reference, value.Mark(), field(name), "a parameter that the template declares");
            return std::nullopt;
        }
        return found->second;
    }

    YAML::Node m_node;
    std::string m_path;
    const reporter *m_report;
    const parameter_map *m_parameters;
    std::map<std::string, YAML::Node> m_fields;
};

/// Upper limit of all durations in a declaration.
constexpr std::int64_t max_deadline_ms = 600'000;
/// Upper limit of shares and caps.
constexpr std::int64_t max_share = 100'000;

[[nodiscard]] std::optional<YAML::Node> load(const declaration &source, const reporter &report) {
    if(source.text.size() > max_document_bytes) {
        report.add(diagnostic_code::too_large, {}, "", fmt::format("at most {} bytes", max_document_bytes));
        return std::nullopt;
    }
    try {
        structure_checker check{report};
        std::istringstream stream{source.text};
        YAML::Parser parser{stream};
        while(parser.HandleNextDocument(check)) {
        }
        if(!check.clean()) {
            return std::nullopt;
        }
        return YAML::Load(source.text);
    } catch(const YAML::Exception &failure) {
        report.add(diagnostic_code::syntax, failure.mark, "", failure.msg);
        return std::nullopt;
    }
}

void check_parameter(const field_reader &declared, const YAML::Node &value, const std::string &path, const reporter &report) {
    const auto type = declared.text("type", type_pattern);
    if(type == "integer") {
        const auto minimum = declared.integer("min", 0, std::numeric_limits<std::int32_t>::min(), std::numeric_limits<std::int32_t>::max());
        const auto maximum =
            declared.integer("max", std::numeric_limits<std::int32_t>::max(), minimum, std::numeric_limits<std::int32_t>::max());
        std::int64_t number{};
        if(!value.IsScalar() || !YAML::convert<std::int64_t>::decode(value, number)) {
            report.add(diagnostic_code::wrong_type, value.Mark(), path, fmt::format("an integer from {} to {}", minimum, maximum));
        } else if(number < minimum || number > maximum) {
            report.add(diagnostic_code::out_of_range, value.Mark(), path, fmt::format("{} to {}", minimum, maximum));
        }
    } else if(type == "name" && (!value.IsScalar() || !name_pattern.matches(value.Scalar()))) {
        report.add(diagnostic_code::wrong_type, value.Mark(), path, "text matching " + name_pattern.text());
    }
}

[[nodiscard]] parameter_map read_parameters(const field_reader &template_fields, const field_reader &service, const reporter &report,
                                            const reporter &template_report) {
    parameter_map values;
    parameter_map given;
    if(const auto node = service.get("parameters", false)) {
        given = field_reader{*node, "parameters", report}.fields();
    }
    if(const auto node = template_fields.get("parameters", false)) {
        for(const auto &[name, declared]: field_reader{*node, "parameters", template_report}.fields()) {
            const field_reader declaration{declared, "parameters." + name, template_report};
            declaration.allow({"type", "min", "max", "default", "unit", "description"});
            const auto chosen = given.find(name);
            const auto fallback = declaration.get("default", false);
            if(chosen != given.end()) {
                check_parameter(declaration, chosen->second, "parameters." + name, report);
                values.emplace(name, chosen->second);
            } else if(fallback) {
                check_parameter(declaration, *fallback, "parameters." + name + ".default", template_report);
                values.emplace(name, *fallback);
            } else {
                report.add(diagnostic_code::missing_field, {}, "parameters." + name, "a value, for the template has no default");
            }
        }
    }
    for(const auto &[name, value]: given) {
        if(!values.contains(name)) {
            report.add(diagnostic_code::unknown_field, value.Mark(), "parameters." + name, "a parameter that the template declares");
        }
    }
    return values;
}

void read_requests(const field_reader &template_fields, const parameter_map &parameters, const reporter &report, service_policy &service) {
    const auto node = template_fields.get("requests", true);
    if(!node) {
        return;
    }
    for(const auto &[name, value]: field_reader{*node, "requests", report}.fields()) {
        const field_reader fields{value, "requests." + name, report, &parameters};
        fields.allow({"never_repeat", "deadline_ms", "description"});
        service.requests[request_name{name}] = {fields.flag("never_repeat"),
                                                milliseconds{fields.integer("deadline_ms", 0, 1, max_deadline_ms)}};
    }
}

void read_customer(const std::string &name, const YAML::Node &node, const parameter_map &parameters, const reporter &report,
                   service_policy &service) {
    const field_reader fields{node, "customers." + name, report, &parameters};
    fields.allow({"credential_sha256", "requests", "share", "cap"});
    customer_policy customer;
    customer.credential_sha256 = fields.text("credential_sha256", digest_pattern);
    customer.share = static_cast<double>(fields.integer("share", 1, 1, max_share));
    customer.cap = static_cast<std::uint32_t>(fields.integer("cap", 0, 0, max_share));
    const auto requests = fields.get("requests", true);
    if(requests && !requests->IsSequence()) {
        report.add(diagnostic_code::wrong_type, requests->Mark(), fields.field("requests"), "a list of requests");
    } else if(requests) {
        for(const auto &item: *requests) {
            const request_name request{item.IsScalar() ? item.Scalar() : std::string{}};
            if(!service.requests.contains(request)) {
                report.add(diagnostic_code::unknown_reference, item.Mark(), fields.field("requests"), "a request of the template");
            }
            customer.requests.insert(request);
        }
    }
    service.customers.emplace(customer_id{name}, std::move(customer));
}

void check_template(const field_reader &fields) {
    fields.allow({"schema", "kind", "name", "description", "parameters", "pool", "default_deadline_ms", "max_deadline_ms", "long_task_ms",
                  "long_slots_percent", "requests"});
}

} // namespace internal

std::string_view diagnostic_name(diagnostic_code what) noexcept {
    return internal::diagnostic_names.at(static_cast<std::size_t>(what));
}

std::string to_string(const diagnostic &entry) {
    return fmt::format("{}:{}:{}: {} field={} allowed=\"{}\"", entry.file, entry.line, entry.column, diagnostic_name(entry.what),
                       entry.field.empty() ? "-" : entry.field, entry.allowed);
}

std::vector<declaration> read_declarations(const std::string &file, const std::string &text, std::vector<diagnostic> &diagnostics) {
    std::vector<declaration> found;
    std::istringstream lines{text};
    std::string line;
    declaration current{{}, file, 0, {}};
    auto number = 0;
    const auto finish = [&] {
        if(current.text.find_first_not_of(" \t\r\n") == std::string::npos) {
            return;
        }
        const internal::reporter report{current, diagnostics};
        const auto node = internal::load(current, report);
        if(!node) {
            return;
        }
        const internal::field_reader fields{*node, "", report};
        if(!node->IsMap()) {
            return;
        }
        if(fields.integer("schema", 0, 0, std::numeric_limits<std::int32_t>::max()) != schema_version) {
            report.add(diagnostic_code::unsupported_schema, node->Mark(), "schema", fmt::format("{}", schema_version));
            return;
        }
        current.key = {fields.text("kind", internal::kind_pattern), fields.text("name", internal::name_pattern)};
        if(current.key.kind == "template") {
            internal::check_template(fields);
        }
        if(!current.key.kind.empty() && !current.key.name.empty()) {
            found.push_back(current);
        }
    };
    while(std::getline(lines, line)) {
        ++number;
        if(line == "---") {
            finish();
            current = {{}, file, number, {}};
        } else {
            current.text += line + "\n";
        }
    }
    finish();
    return found;
}

std::shared_ptr<const service_policy> resolve_service(const declaration &source, const item_lookup &find,
                                                      std::vector<diagnostic> &diagnostics) {
    using namespace internal;
    const reporter report{source, diagnostics};
    const auto node = load(source, report);
    if(!node) {
        return nullptr;
    }
    const field_reader fields{*node, "", report};
    fields.allow({"schema", "kind", "name", "description", "template", "parameters", "customers"});
    const auto template_name = fields.text("template", name_pattern);
    const auto *template_source = find({"template", template_name});
    if(template_source == nullptr) {
        report.add(diagnostic_code::unknown_reference, node->Mark(), "template", "the name of a template");
        return nullptr;
    }
    std::vector<diagnostic> template_diagnostics;
    const reporter template_report{*template_source, template_diagnostics};
    const auto template_node = load(*template_source, template_report);
    if(!template_node) {
        return nullptr;
    }
    const field_reader raw_template_fields{*template_node, "", template_report};
    const auto parameters = read_parameters(raw_template_fields, fields, report, template_report);
    const field_reader template_fields{*template_node, "", template_report, &parameters};
    service_policy service;
    service.name = service_id{source.key.name};
    service.pool = pool_id{template_fields.text("pool", name_pattern)};
    service.max_deadline = milliseconds{template_fields.integer("max_deadline_ms", 60'000, 1, max_deadline_ms)};
    service.default_deadline = milliseconds{template_fields.integer("default_deadline_ms", 2'000, 1, service.max_deadline.count())};
    service.long_task = milliseconds{template_fields.integer("long_task_ms", 1'000, 1, max_deadline_ms)};
    service.long_slots_percent = static_cast<std::uint32_t>(template_fields.integer("long_slots_percent", 60, 1, 100));
    read_requests(template_fields, parameters, template_report, service);
    if(const auto customers = fields.get("customers", true)) {
        for(const auto &[name, value]: field_reader{*customers, "customers", report}.fields()) {
            read_customer(name, value, parameters, report, service);
        }
    }
    diagnostics.insert(diagnostics.end(), template_diagnostics.begin(), template_diagnostics.end());
    return std::make_shared<const service_policy>(std::move(service));
}

std::string template_of(const declaration &source) {
    std::vector<diagnostic> ignored;
    const internal::reporter report{source, ignored};
    const auto node = internal::load(source, report);
    return node ? internal::field_reader{*node, "", report}.text("template", internal::name_pattern) : std::string{};
}

policy resolve(const std::map<item_key, declaration> &items, std::vector<diagnostic> &diagnostics) {
    const item_lookup find = [&items](const item_key &key) {
        const auto found = items.find(key);
        return found == items.end() ? nullptr : &found->second;
    };
    policy result;
    for(const auto &[key, source]: items) {
        if(key.kind == "service") {
            if(auto service = resolve_service(source, find, diagnostics)) {
                result.services.emplace(service->name, std::move(service));
            }
        }
    }
    return result;
}

} // namespace heathermoor::config
