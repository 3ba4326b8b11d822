/// @file When an engine's weights are whole.

#include "LibFleet/Endpoint.h"

#include <catch2/catch.hpp>

TEST_CASE("an engine with a part of the layers does not hold the model")
{
    // An engine that holds the first half of a model would refuse, or answer with half a model, whatever is sent to it alone.
    CHECK_FALSE(Fleet::holdsEveryLayer(Fleet::LoadedWeights{"draft", 1, {{0, 8}}}, 16));
    CHECK_FALSE(Fleet::holdsEveryLayer(Fleet::LoadedWeights{"draft", 1, {{8, 16}}}, 16));
    CHECK_FALSE(Fleet::holdsEveryLayer(Fleet::LoadedWeights{"draft", 1, {{0, 4}, {8, 16}}}, 16));
    CHECK(Fleet::holdsEveryLayer(Fleet::LoadedWeights{"draft", 1, {{0, 16}}}, 16));
    CHECK(Fleet::holdsEveryLayer(Fleet::LoadedWeights{"draft", 1, {{8, 16}, {0, 8}}}, 16));
}

TEST_CASE("an engine that lists no layers holds the models that it names")
{
    CHECK(Fleet::holdsEveryLayer(Fleet::LoadedWeights{"draft", 1, {}}, 16));
}
