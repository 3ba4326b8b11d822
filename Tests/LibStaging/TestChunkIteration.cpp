/// @file Tests of the iteration over chunks: each chunk once, with bounded concurrency.

#include "LibStaging/ChunkIteration.h"

#include <catch2/catch.hpp>

TEST_CASE("Each chunk is processed once, with no more than the given number of steps in progress")
{
    std::vector<Weights::ChunkIndex> begun;
    std::vector<std::function<void()>> open;
    bool isFinished = false;
    Staging::forEachChunk(
        {0, 1, 2, 3, 4},
        2,
        [&begun, &open](Weights::ChunkIndex chunk, const std::function<void()> &done) {
            begun.push_back(chunk);
            open.push_back(done);
        },
        [&isFinished] { isFinished = true; });
    std::size_t ended = 0;
    while (!isFinished) {
        REQUIRE(open.size() - ended <= 2);
        REQUIRE(ended < open.size());
        const std::function<void()> done = open[ended++];
        done();
    }
    CHECK(begun == std::vector<Weights::ChunkIndex>{0, 1, 2, 3, 4});
    CHECK(ended == 5);
}

TEST_CASE("An iteration over no chunks finishes immediately")
{
    bool isFinished = false;
    Staging::forEachChunk({}, 4, {}, [&isFinished] { isFinished = true; });
    CHECK(isFinished);
}
