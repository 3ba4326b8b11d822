/// @file Tests of the lookup of endpoints by address.

#include "LibFleet/EndpointIndex.h"

#include <catch2/catch.hpp>

namespace {

Fleet::KnownEndpoint listening(const std::string &id, std::uint16_t port)
{
    Fleet::KnownEndpoint known;
    known.m_endpoint.m_id = id;
    known.m_endpoint.m_address = Core::Address{"127.0.0.1", port};
    return known;
}

}

TEST_CASE("all endpoints at an address are found, including one of an earlier start")
{
    Fleet::EndpointIndex index;
    index.rebuild({{"a", listening("a", 1)}, {"b", listening("b", 1)}, {"c", listening("c", 2)}});
    CHECK(index.idsAt(Core::Address{"127.0.0.1", 1}) == std::vector<std::string>{"a", "b"});
    CHECK(index.idsAt(Core::Address{"127.0.0.1", 2}) == std::vector<std::string>{"c"});
    CHECK(index.idsAt(Core::Address{"127.0.0.2", 1}).empty());
}

TEST_CASE("an endpoint that was removed or has moved is not found at its old address")
{
    // Guards against reports that are recorded for an endpoint that has left the address.
    Fleet::EndpointIndex index;
    index.rebuild({{"a", listening("a", 1)}, {"b", listening("b", 2)}});
    index.rebuild({{"b", listening("b", 3)}});
    CHECK(index.idsAt(Core::Address{"127.0.0.1", 1}).empty());
    CHECK(index.idsAt(Core::Address{"127.0.0.1", 2}).empty());
    CHECK(index.idsAt(Core::Address{"127.0.0.1", 3}) == std::vector<std::string>{"b"});
}
