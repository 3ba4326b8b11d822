/// @file Endpoints are found by the address at which they listen.

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

TEST_CASE("every endpoint at an address is found, also the one that started there before")
{
    Fleet::EndpointIndex index;
    index.rebuild({{"a", listening("a", 1)}, {"b", listening("b", 1)}, {"c", listening("c", 2)}});
    CHECK(index.idsAt(Core::Address{"127.0.0.1", 1}) == std::vector<std::string>{"a", "b"});
    CHECK(index.idsAt(Core::Address{"127.0.0.1", 2}) == std::vector<std::string>{"c"});
    CHECK(index.idsAt(Core::Address{"127.0.0.2", 1}).empty());
}

TEST_CASE("an endpoint that has gone or moved is not found where it was")
{
    // Guards against reports that are booked on an endpoint which has left the address.
    Fleet::EndpointIndex index;
    index.rebuild({{"a", listening("a", 1)}, {"b", listening("b", 2)}});
    index.rebuild({{"b", listening("b", 3)}});
    CHECK(index.idsAt(Core::Address{"127.0.0.1", 1}).empty());
    CHECK(index.idsAt(Core::Address{"127.0.0.1", 2}).empty());
    CHECK(index.idsAt(Core::Address{"127.0.0.1", 3}) == std::vector<std::string>{"b"});
}
