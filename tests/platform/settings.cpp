#include "settings.hpp"

#include "heathermoor/core/error.hpp"
#include <catch2/catch.hpp>

using namespace heathermoor;
using platform::parse_settings;

namespace {

[[nodiscard]] std::string replaced(std::string text, const std::string &from, const std::string &to) {
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

const std::string complete_settings =
    R"({"node":"front-1","ip":"10.1.0.13","zone":"caroni","listen":{"front":"10.1.0.13:8161","ready":"10.1.0.13:8167"},
    "internal_ports":[7720,7735],"seeds":["10.1.0.13:8166"],"platform":{"address":"10.200.1.7:8169"},"bounds":{"grace_s":6},
    "limits":{"cpu_share":0.25,"cores":2},"new":{}})";

} // namespace

SCENARIO("Settings are validated, and the first invalid field is named", "[platform][settings]") {
    const auto valid = parse_settings(complete_settings);
    REQUIRE_FALSE(valid.error);
    CHECK(valid.value.peer_port == 7'720);
    CHECK(valid.value.seed_ips == std::vector<std::string>{"10.1.0.13"});
    CHECK(valid.value.stop_limit == milliseconds{6'000});
    CHECK(valid.value.millicores == 500);

    const auto field = [](const std::string &text) {
        const auto result = parse_settings(text);
        CHECK(result.error == errc::invalid_setting);
        return result.field;
    };
    CHECK(field("") == "(the whole file is not a JSON object)");
    CHECK(field(replaced(complete_settings, R"("node":"front-1",)", "")) == "node");
    CHECK(field(replaced(complete_settings, "7720,7735", "7735,7720")) == "internal_ports");
    CHECK(field(replaced(complete_settings, "[7720,7735]", "\"x\"")) == "internal_ports");
    CHECK(field(replaced(complete_settings, "10.1.0.13:8161", "nowhere")) == "listen.front");
    CHECK(field(replaced(complete_settings, R"(["10.1.0.13:8166"])", "[3]")) == "seeds");
    CHECK(field(replaced(complete_settings, "10.200.1.7:8169", "10.200.1.7")) == "platform.address");
    CHECK(field(replaced(complete_settings, R"("grace_s":6)", R"("grace_s":"x")")) == "bounds.grace_s");
    CHECK(field(replaced(complete_settings, R"("cpu_share":0.25)", R"("cpu_share":-1)")) == "limits.cpu_share");
}

SCENARIO("Lending between cells follows whether failure domains can be evacuated", "[platform][settings]") {
    GIVEN("settings without a bound for evacuations") {
        const auto settings = parse_settings(complete_settings).value;
        CHECK_FALSE(settings.evacuates_domains);
        CHECK_FALSE(settings.lend_between_cells);
    }
    GIVEN("settings with a bound for evacuations") {
        const auto settings = parse_settings(replaced(complete_settings, R"("grace_s":6)", R"("grace_s":6,"evacuate_ms":5000)")).value;
        CHECK(settings.evacuates_domains);
        CHECK(settings.lend_between_cells);
    }
}
