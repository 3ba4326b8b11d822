/// @file Tests of whether an engine holds all layers of a model.

#include "LibFleet/Endpoint.h"

#include <catch2/catch.hpp>

TEST_CASE("an engine with only some of the layers does not hold the model")
{
    // An engine with only half of a model would refuse a request that is sent to it alone, or answer it with half of the model.
    CHECK_FALSE(Fleet::holdsEveryLayer(Fleet::LoadedWeights{"draft", 1, Fleet::LayerRanges{{0, 8}}}, 16));
    CHECK_FALSE(Fleet::holdsEveryLayer(Fleet::LoadedWeights{"draft", 1, Fleet::LayerRanges{{8, 16}}}, 16));
    CHECK_FALSE(Fleet::holdsEveryLayer(Fleet::LoadedWeights{"draft", 1, Fleet::LayerRanges{{0, 4}, {8, 16}}}, 16));
    CHECK(Fleet::holdsEveryLayer(Fleet::LoadedWeights{"draft", 1, Fleet::LayerRanges{{0, 16}}}, 16));
    CHECK(Fleet::holdsEveryLayer(Fleet::LoadedWeights{"draft", 1, Fleet::LayerRanges{{8, 16}, {0, 8}}}, 16));
}

TEST_CASE("an engine that lists no layers holds all layers of the models that it names")
{
    CHECK(Fleet::holdsEveryLayer(Fleet::LoadedWeights{"draft", 1, {}}, 16));
}

TEST_CASE("an engine whose list of layers is empty holds none")
{
    // Guards against an engine that counts as complete because nothing of its list of layers could be read.
    CHECK_FALSE(Fleet::holdsEveryLayer(Fleet::LoadedWeights{"draft", 1, Fleet::LayerRanges{}}, 16));
    CHECK_FALSE(Fleet::holdsEveryLayer(Fleet::LoadedWeights{"draft", 1, Fleet::LayerRanges{}}, 0));
}
