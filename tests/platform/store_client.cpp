#include "store_client.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using namespace heathermoor::platform;
using feed::read_result;

namespace {

[[nodiscard]] std::string big_endian(std::uint64_t value, int bytes) {
    std::string out;
    for(int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xFFU));
    }
    return out;
}

[[nodiscard]] std::string record(const std::string &key, const std::string &value) {
    const auto content = std::string(1, static_cast<char>(key.size())) + key + value;
    return big_endian(content.size(), 4) + content;
}

} // namespace

SCENARIO("Records of a topic are decoded from the store's binary format", "[platform][store]") {
    const auto head = big_endian(12, 8) + big_endian(3, 8);
    const auto page = decode_records(head + record("a", "one") + record("b", ""), log_offset{10});
    REQUIRE(page.result == read_result::done);
    REQUIRE(page.records.size() == 2);
    CHECK(page.records[0].key == "a");
    CHECK(page.records[0].value == "one");
    CHECK(page.records[1].offset == log_offset{11});
    CHECK_FALSE(page.records[1].value);
    CHECK(page.end == log_offset{12});

    THEN("a truncated body is rejected as a whole") {
        CHECK(decode_records(head.substr(0, 15), log_offset{0}).result == read_result::failed);
        CHECK(decode_records(head + record("a", "one").substr(0, 6), log_offset{0}).result == read_result::failed);
        CHECK(decode_records(head + "xy", log_offset{0}).result == read_result::failed);
    }
    THEN("a record without a valid key keeps its offset") {
        const auto page_without_keys =
            decode_records(head + big_endian(0, 4) + big_endian(1, 4) + "\x05" + record("c", "v"), log_offset{0});
        REQUIRE(page_without_keys.records.size() == 3);
        CHECK(page_without_keys.records[1].key.empty());
        CHECK(page_without_keys.records[2].offset == log_offset{2});
    }
}

SCENARIO("Newest records are decoded with the key of the next page", "[platform][store]") {
    const auto page = decode_newest(R"({"items":[{"key":"config","value":"eyJhIjoxfQ==","offset":4}],"more_pages":true,"end":6})");
    REQUIRE(page.result == read_result::done);
    CHECK(page.records.front().value == R"({"a":1})");
    CHECK(page.next_key == "config");
    const auto *malformed =
        GENERATE("", "{}", R"({"items":[1],"end":1})", R"({"items":[{"key":1,"offset":1}],"end":1})", R"({"items":[]})");
    CHECK(decode_newest(malformed).result == read_result::failed);
}
