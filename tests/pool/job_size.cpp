#include "heathermoor/pool/job_size.hpp"

#include <catch2/catch.hpp>

using namespace heathermoor;
using pool::size_class;
using pool::size_ranking;

SCENARIO("Jobs are ranked by their work among the recent jobs of their queue", "[pool]") {
    const queue_id queue{"q"};
    size_ranking ranking;
    for(int job = 1; job <= 100; ++job) {
        (void)ranking.add(queue, job);
    }
    THEN("the class follows from the share of larger jobs") {
        CHECK(ranking.add(queue, 99.5) == size_class::largest_tenth);
        CHECK(ranking.add(queue, 80.5) == size_class::next_fifth);
        CHECK(ranking.add(queue, 50.5) == size_class::rest);
    }
    THEN("another queue is ranked by itself, once it has had enough jobs") {
        CHECK(ranking.add(queue_id{"other"}, 1'000.0) == size_class::rest);
    }
    WHEN("the jobs of the queue become larger") {
        for(int job = 0; job < 300; ++job) {
            (void)ranking.add(queue, 1'000.0 + job);
        }
        THEN("only the recent ones count") {
            CHECK(ranking.add(queue, 500.0) == size_class::rest);
        }
    }
}
