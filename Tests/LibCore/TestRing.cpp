/// @file Capacity and closing of the ring.

#include "LibCore/Ring.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

TEST_CASE("A full ring refuses items and keeps those that it holds")
{
    Core::Ring<int> ring(2);
    REQUIRE(ring.tryPush(1));
    REQUIRE(ring.tryPush(2));
    REQUIRE_FALSE(ring.tryPush(3));
    REQUIRE(ring.pop(0ms) == 1);
    REQUIRE(ring.pop(0ms) == 2);
    REQUIRE_FALSE(ring.pop(0ms).has_value());
}

TEST_CASE("A closed ring can be drained and then stays empty")
{
    Core::Ring<int> ring(2);
    REQUIRE(ring.tryPush(1));
    ring.close();
    REQUIRE_FALSE(ring.tryPush(2));
    REQUIRE(ring.pop(0ms) == 1);
    REQUIRE_FALSE(ring.pop(1000ms).has_value());
}
