#include "heathermoor/config/config_state.hpp"
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

using namespace heathermoor;
using namespace heathermoor::config;

namespace {

const std::string stock_template = R"(schema: 1
kind: template
name: stock
parameters:
  pool: {type: name}
  long_ms: {type: integer, min: 10, max: 5000, default: 800, unit: ms}
pool: ${pool}
long_task_ms: ${long_ms}
requests:
  hold: {never_repeat: true}
  stock-check: {}
)";

[[nodiscard]] std::string service(const std::string &name, const std::string &parameters = "{pool: loom}", const std::string &share = "4") {
    return fmt::format(R"(schema: 1
kind: service
name: {}
template: stock
parameters: {}
customers:
  caroni:
    credential_sha256: "{:064}"
    requests: [hold]
    share: {}
)",
                       name, parameters, 0, share);
}

struct item {
    std::string kind;
    std::string name;
    std::string text;
    std::uint64_t base{};
    bool remove{};
};

[[nodiscard]] std::string change(const std::string &id, const std::vector<item> &items, std::uint32_t schema = 1) {
    wire::config_change out;
    out.set_change_id(id);
    out.set_author("operator");
    out.set_schema(schema);
    for(const auto &entry: items) {
        auto *added = out.add_items();
        added->set_kind(entry.kind);
        added->set_name(entry.name);
        added->set_document(entry.text);
        added->set_base(entry.base);
        added->set_remove(entry.remove);
    }
    return encode_change(out);
}

[[nodiscard]] errc verdict(config_state &state, std::uint64_t offset, const std::string &data) {
    const auto entry = state.apply(static_cast<log_offset>(offset), data);
    return entry ? entry->verdict : errc::not_found;
}

} // namespace

TEST_CASE("Configuration changes are accepted or rejected as a whole", "[config]") {
    config_state state;
    GIVEN("a configuration with a template and a service") {
        REQUIRE(verdict(state, 1, change("first", {{"template", "stock", stock_template}, {"service", "matloom", service("matloom")}})) ==
                errc::ok);
        const auto hash = state.hash();
        THEN("the service is resolved from the template") {
            const auto &found = *state.current()->services.at(service_id{"matloom"});
            CHECK(found.pool == pool_id{"loom"});
            CHECK(found.long_task == milliseconds{800});
            CHECK(found.customers.at(customer_id{"caroni"}).share == 4.0);
        }
        WHEN("two operators change the same item based on the same version") {
            CHECK(verdict(state, 2, change("a", {{"service", "matloom", service("matloom", "{pool: loom}", "5"), 1}})) == errc::ok);
            THEN("the second change is rejected as a conflict and has no effect") {
                CHECK(verdict(state, 3, change("b", {{"service", "matloom", service("matloom", "{pool: loom}", "9"), 1}})) ==
                      errc::config_conflict);
                CHECK(state.current()->services.at(service_id{"matloom"})->customers.at(customer_id{"caroni"}).share == 5.0);
            }
        }
        WHEN("two operators change different items") {
            CHECK(verdict(state, 2, change("a", {{"service", "other", service("other")}})) == errc::ok);
            THEN("both changes are accepted") {
                CHECK(verdict(state, 3, change("b", {{"service", "matloom", service("matloom", "{pool: loom}", "6"), 1}})) == errc::ok);
            }
        }
        WHEN("a client appends a change twice because the first response was lost") {
            const auto text = change("a", {{"service", "other", service("other")}});
            CHECK(verdict(state, 2, text) == errc::ok);
            THEN("the second record is rejected as a duplicate") {
                CHECK(verdict(state, 3, text) == errc::config_duplicate_change);
            }
        }
        WHEN("the template changes") {
            CHECK(verdict(state, 2, change("s", {{"service", "other", service("other")}})) == errc::ok);
            auto longer = stock_template;
            longer.replace(longer.find("default: 800"), 12, "default: 900");
            CHECK(verdict(state, 3, change("t", {{"template", "stock", longer, 1}})) == errc::ok);
            THEN("the new value applies to all services that use it") {
                CHECK(state.current()->services.at(service_id{"matloom"})->long_task == milliseconds{900});
                CHECK(state.current()->services.at(service_id{"other"})->long_task == milliseconds{900});
            }
        }
        WHEN("a change is invalid") {
            struct rejected_change {
                std::string what;
                std::string data;
                errc code;
            };
            const std::vector<rejected_change> table{
                {"removes a template in use", change("r", {{"template", "stock", "", 1, true}}), errc::config_invalid},
                {"names an unknown template",
                 change("u", {{"service", "x", "schema: 1\nkind: service\nname: x\ntemplate: none\ncustomers: {}\n"}}),
                 errc::config_invalid},
                {"has a newer schema", change("n", {{"service", "x", service("x")}}, 2), errc::config_unsupported_schema},
                {"has a document for another item", change("m", {{"service", "x", service("y")}}), errc::config_invalid},
                {"contains an item twice", change("d", {{"service", "x", service("x")}, {"service", "x", service("x")}}),
                 errc::config_invalid},
                {"has no id", change("", {{"service", "x", service("x")}}), errc::config_invalid},
                {"is based on a version that does not exist", change("v", {{"service", "matloom", service("matloom"), 77}}),
                 errc::config_conflict},
            };
            std::uint64_t offset = 2;
            for(const auto &row: table) {
                INFO(row.what);
                CHECK(verdict(state, offset++, row.data) == row.code);
                CHECK(state.hash() == hash);
            }
        }
        WHEN("records are not valid changes") {
            for(const auto *data: {"", "{", "[]", "{\"unknown\": {\"field\": 1}}", "\xff\xfe"}) {
                const auto before = raw(state.next_offset());
                CHECK_FALSE(state.apply(static_cast<log_offset>(before), data).has_value());
                CHECK(raw(state.next_offset()) == before + 1);
                CHECK(state.hash() == hash);
            }
        }
        WHEN("a record with an offset already applied arrives") {
            CHECK(verdict(state, 2, change("a", {{"service", "other", service("other")}})) == errc::ok);
            THEN("it is ignored") {
                CHECK(verdict(state, 1, change("old", {{"service", "matloom", "", 1, true}})) == errc::not_found);
            }
        }
        WHEN("a host starts reading after the first records were truncated from the log") {
            const auto snapshot = state.snapshot();
            config_state late;
            late.truncated(log_offset{2});
            THEN("its state is incomplete until it applies a snapshot, and then equals that of the other hosts") {
                CHECK_FALSE(late.complete());
                late.apply(log_offset{2}, snapshot);
                CHECK(late.complete());
                CHECK(late.hash() == hash);
                CHECK(late.current()->services.size() == 1);
                const auto next = change("c", {{"service", "matloom", service("matloom", "{pool: loom}", "7"), 1}});
                CHECK(verdict(late, 3, next) == errc::ok);
            }
            THEN("a truncated snapshot is ignored") {
                late.apply(log_offset{2}, snapshot.substr(0, snapshot.size() / 2));
                CHECK_FALSE(late.complete());
            }
            THEN("a snapshot with a wrong hash is ignored") {
                auto wrong = snapshot;
                wrong.replace(wrong.find(hash), 4, "ffff");
                late.apply(log_offset{2}, wrong);
                CHECK_FALSE(late.complete());
            }
            THEN("a snapshot that lacks an earlier change is ignored") {
                late.apply(log_offset{2}, change("x", {{"service", "other", service("other")}}));
                late.apply(log_offset{3}, snapshot);
                CHECK_FALSE(late.complete());
            }
        }
    }
}

TEST_CASE("Every error in an invalid declaration is reported with its position", "[config]") {
    struct invalid_declaration {
        std::string what;
        std::string text;
        std::vector<std::string> expected;
    };
    const std::vector<invalid_declaration> table{
        {"not YAML", "schema: 1\nkind: [\n", {"syntax"}},
        {"a duplicate key", "schema: 1\nkind: service\nkind: service\nname: x\n", {"duplicate_key"}},
        {"an anchor", "schema: 1\nkind: service\nname: &a x\ntemplate: *a\n", {"anchors_not_allowed"}},
        {"nested too deeply", "schema: 1\nkind: {a: {a: {a: {a: {a: {a: {a: {a: {a: {a: {a: {a: {a: 1}}}}}}}}}}}}}\n", {"too_deep"}},
        {"a newer schema", "schema: 9\nkind: service\nname: x\n", {"unsupported_schema"}},
        {"an unknown kind", "schema: 1\nkind: host\nname: x\n", {"wrong_type"}},
        {"a name with capitals", "schema: 1\nkind: service\nname: Matloom\n", {"wrong_type"}},
        {"an unknown field of a template", stock_template + "colour: red\n", {"unknown_field"}},
    };
    for(const auto &row: table) {
        INFO(row.what);
        std::vector<diagnostic> diagnostics;
        (void)read_declarations("file.yaml", row.text, diagnostics);
        std::vector<std::string> codes;
        for(const auto &entry: diagnostics) {
            codes.emplace_back(diagnostic_name(entry.what));
            CHECK(entry.line >= 1);
            CHECK(entry.file == "file.yaml");
        }
        CHECK(codes == row.expected);
    }
    SECTION("all errors of a service are reported together") {
        std::vector<diagnostic> diagnostics;
        std::map<item_key, declaration> items;
        const auto text = service("matloom", "{pool: loom, long_ms: 7, size: 3}", "0") + "    colour: red\n";
        for(const auto &source: {stock_template, text}) {
            for(auto &entry: read_declarations("file.yaml", source, diagnostics)) {
                items.emplace(entry.key, entry);
            }
        }
        (void)resolve(items, diagnostics);
        std::string all;
        for(const auto &entry: diagnostics) {
            all += to_string(entry) + "\n";
        }
        CHECK(all == "file.yaml:5:35: out_of_range field=parameters.long_ms allowed=\"10 to 5000\"\n"
                     "file.yaml:5:44: unknown_field field=parameters.size allowed=\"a parameter that the template declares\"\n"
                     "file.yaml:11:13: unknown_field field=customers.caroni.colour allowed=\"cap, credential_sha256, requests, share\"\n"
                     "file.yaml:10:12: out_of_range field=customers.caroni.share allowed=\"1 to 100000\"\n");
    }
}
