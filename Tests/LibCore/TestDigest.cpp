/// @file SHA-256 against published vectors.

#include "LibCore/Digest.h"

#include <catch2/catch.hpp>

TEST_CASE("SHA-256 matches the published vectors, computed in one call and in parts")
{
    REQUIRE(Core::sha256Hex("") == "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
    REQUIRE(Core::sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    Core::Sha256 digest;
    digest.update("a");
    digest.update("bc");
    REQUIRE(digest.finishHex() == Core::sha256Hex("abc"));
    REQUIRE(digest.finishHex() == Core::sha256Hex(""));
}

TEST_CASE("Only 64 lower-case hexadecimal digits count as a digest")
{
    REQUIRE(Core::isSha256Hex(Core::sha256Hex("x")));
    REQUIRE_FALSE(Core::isSha256Hex("ABC"));
    REQUIRE_FALSE(Core::isSha256Hex(std::string(Core::Sha256HexLength, 'G')));
}
