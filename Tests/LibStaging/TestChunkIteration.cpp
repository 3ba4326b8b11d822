/// @file The sweep over chunks: each once, a few at a time.

#include "LibStaging/ChunkIteration.h"

#include <catch2/catch.hpp>

TEST_CASE("every chunk gets its step once, and never more than the stated number at a time")
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

TEST_CASE("a sweep over nothing is finished at once")
{
    bool isFinished = false;
    Staging::forEachChunk({}, 4, {}, [&isFinished] { isFinished = true; });
    CHECK(isFinished);
}
