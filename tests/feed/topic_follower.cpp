#include "heathermoor/feed/topic_follower.hpp"

#include <catch2/catch.hpp>
#include <vector>

using namespace heathermoor;
using namespace heathermoor::feed;

namespace {

struct fake_topic final : topic_port, topic_listener {
    void read_newest(read_id read, const std::string &after) override {
        latest = read;
        newest.push_back(after);
    }
    void read_from(read_id read, log_offset from, milliseconds) override {
        latest = read;
        reads.push_back(raw(from));
    }
    void topic_changed(const std::vector<keyed_record> &records, log_offset next, bool complete) override {
        taken += records.size();
        last_next = raw(next);
        completes += complete ? 1 : 0;
    }
    void topic_confirmed(time_point as_of) override {
        confirmed = as_of;
        reachable = true;
    }
    void topic_unanswered(read_problem problem) override {
        problems.push_back(problem);
        reachable = false;
    }

    /// Read that the next answer belongs to.
    read_id latest{};
    std::vector<std::string> newest;
    std::vector<std::uint64_t> reads;
    std::size_t taken{};
    std::uint64_t last_next{};
    int completes{};
    bool reachable{};
    time_point confirmed{};
    std::vector<read_problem> problems;
};

[[nodiscard]] topic_page page(read_id read, std::uint64_t end, std::vector<std::uint64_t> offsets, std::string next_key = {}) {
    topic_page result;
    result.read = read;
    result.result = read_result::done;
    result.end = log_offset{end};
    result.next_key = std::move(next_key);
    for(const auto offset: offsets) {
        result.records.push_back({log_offset{offset}, "k" + std::to_string(offset), "v"});
    }
    return result;
}

[[nodiscard]] topic_page failed(read_id read) {
    topic_page result;
    result.read = read;
    return result;
}

} // namespace

SCENARIO("A topic is read as a snapshot, then followed by offset", "[feed]") {
    fake_topic topic;
    topic_follower follower{topic, topic, {milliseconds{0}, seconds{20}}};
    time_point now{seconds{1}};
    follower.tick(now);
    REQUIRE(topic.newest == std::vector<std::string>{""});
    follower.answered(page(topic.latest, 7, {2, 4}, "k4"), now);
    follower.tick(now);
    REQUIRE(topic.newest.back() == "k4");
    CHECK(topic.completes == 0);
    follower.answered(page(topic.latest, 9, {5}), now);
    CHECK(topic.completes == 1);
    CHECK(topic.taken == 3);

    THEN("changes since the first page are read and none is skipped") {
        follower.tick(now);
        CHECK(topic.reads == std::vector<std::uint64_t>{7});
        follower.answered(page(topic.latest, 9, {7, 8}), now);
        follower.tick(now);
        CHECK(topic.reads.back() == 9);
        follower.answered(page(topic.latest, 9, {}), now);
        follower.tick(now);
        CHECK(topic.reads.back() == 9);
    }
    THEN("a failed read is retried after a delay that grows to a second") {
        follower.tick(now);
        follower.answered(failed(topic.latest), now);
        CHECK_FALSE(topic.reachable);
        follower.tick(now + milliseconds{100});
        CHECK(topic.reads.size() == 1);
        follower.tick(now + milliseconds{260});
        CHECK(topic.reads.size() == 2);
        for(int count = 0; count < 6; ++count) {
            now += seconds{2};
            follower.answered(failed(topic.latest), now);
            follower.tick(now + milliseconds{1'000});
        }
        CHECK(topic.reads.size() == 8);
    }
    THEN("a shorter interval makes the next read due earlier") {
        follower.set_timing({seconds{3}, milliseconds{0}});
        follower.tick(now);
        follower.answered(page(topic.latest, 9, {7, 8}), now);
        follower.tick(now + milliseconds{600});
        CHECK(topic.reads.size() == 1);
        follower.set_timing({milliseconds{500}, milliseconds{0}});
        follower.tick(now + milliseconds{600});
        CHECK(topic.reads.size() == 2);
    }
    THEN("lost history leads to a new snapshot") {
        follower.tick(now);
        topic_page lost;
        lost.read = topic.latest;
        lost.result = read_result::history_lost;
        follower.answered(lost, now);
        follower.tick(now);
        CHECK(topic.newest.size() == 3);
    }
    // Guards against a wait of 20 s on a connection that is dead: no change was read until it timed out.
    THEN("a read that is overdue is replaced by another one") {
        follower.tick(now);
        const auto first = topic.latest;
        const auto overdue = now + seconds{20} + milliseconds{500};
        follower.tick(overdue - milliseconds{200});
        CHECK(topic.reads.size() == 1);
        follower.tick(overdue);
        CHECK(topic.reads == std::vector<std::uint64_t>{7, 7});
        CHECK(topic.problems == std::vector<read_problem>{read_problem::overdue});

        AND_THEN("the late answer of the first read counts, and its failure does not") {
            follower.answered(page(first, 9, {7, 8}), overdue);
            CHECK(topic.last_next == 9);
            follower.answered(failed(first), overdue);
            CHECK(topic.problems.size() == 1);
            follower.answered(page(topic.latest, 10, {7, 8, 9}), overdue);
            CHECK(topic.last_next == 10);
            follower.tick(overdue);
            CHECK(topic.reads.back() == 10);
        }
        AND_THEN("further reads that are not answered are replaced after a longer time") {
            follower.set_timing({milliseconds{0}, milliseconds{0}});
            std::size_t before = topic.reads.size();
            follower.answered(failed(topic.latest), overdue);
            for(milliseconds passed{0}; passed < seconds{10}; passed += milliseconds{25}) {
                follower.tick(overdue + passed);
            }
            CHECK(topic.reads.size() - before >= 8);
            CHECK(topic.reads.size() - before <= 12);
        }
    }
    THEN("a suspected read is replaced, but not one that has only just started") {
        follower.tick(now);
        follower.suspect_read(now + milliseconds{500});
        follower.tick(now + milliseconds{500});
        CHECK(topic.reads.size() == 1);
        follower.suspect_read(now + seconds{2});
        follower.tick(now + seconds{2});
        CHECK(topic.reads.size() == 2);
        CHECK(topic.problems == std::vector<read_problem>{read_problem::suspected});
    }
    THEN("a read that reached the end confirms the topic as of its start, or as of the end of its wait if nothing came") {
        follower.tick(now);
        follower.answered(page(topic.latest, 9, {7, 8}), now + seconds{3});
        CHECK(topic.confirmed == now);
        follower.tick(now + seconds{3});
        follower.answered(page(topic.latest, 9, {}), now + seconds{24});
        CHECK(topic.confirmed == now + seconds{23});
    }
}
