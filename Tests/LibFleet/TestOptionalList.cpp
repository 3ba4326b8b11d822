/// @file Tests how lists that may be absent appear in messages.

#include "LibFleet/OptionalList.h"
#include "LibWire/Pack.h"

#include <catch2/catch.hpp>
#include <string>

namespace {

using Names = std::vector<std::string>;
using OptionalNames = Fleet::OptionalList<std::string>;

OptionalNames received(const OptionalNames &sent)
{
    return Wire::unpack<OptionalNames>(Wire::pack(sent), "peer").value();
}

}

TEST_CASE("An absent list, an empty one and one with elements arrive as what they are")
{
    for (const OptionalNames &sent : {OptionalNames(), OptionalNames(Names{}), OptionalNames(Names{"north"})}) {
        CHECK(received(sent) == sent);
    }
}

TEST_CASE("Peers that know no difference read and send absent lists and lists with elements as before")
{
    // Guards against processes of two releases that read each other's unrestricted lists as ones that allow nothing.
    CHECK(Wire::pack(OptionalNames()) == Wire::pack(Names{}));
    CHECK(Wire::pack(OptionalNames(Names{"north"})) == Wire::pack(Names{"north"}));
    CHECK_FALSE(Wire::unpack<OptionalNames>(Wire::pack(Names{}), "peer").value());
    CHECK(Wire::unpack<OptionalNames>(Wire::pack(Names{"north"}), "peer").value() == OptionalNames(Names{"north"}));
}
