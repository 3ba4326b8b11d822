/// @file Tests that a part of prompts keeps its name however callers write it, and that the names are bounded.

#include "LibQuarantine/PromptPart.h"

#include <catch2/catch.hpp>

using Quarantine::normalizedPartIds;
using Ids = std::vector<std::string>;

TEST_CASE("Ids that are the same number are the same part")
{
    CHECK(normalizedPartIds({"5C1e07a2", "005c1e07a2", "0", "00"}) == Ids{"5c1e07a2", "0"});
}

TEST_CASE("Ids of any length and with any bytes get short printable names")
{
    const Ids names = normalizedPartIds({std::string(9000, 'a'), std::string(9000, 'b'), "x\n\"", std::string("\0y", 2)});
    REQUIRE(names.size() == 4);
    for (const std::string &name : names) {
        CHECK(name.size() <= Quarantine::MaximumPartIdLength);
        CHECK(name.starts_with("sha256-"));
    }
}

TEST_CASE("A part behind many others is not hidden by them")
{
    Ids ids;
    for (int index = 0; index < 5000; ++index) {
        ids.push_back(std::to_string(index));
    }
    const Ids first = normalizedPartIds(ids);
    CHECK(first.size() == Quarantine::MaximumPartsPerPrompt + 1);
    ids.back() = "ffff";
    CHECK(normalizedPartIds(ids).back() == first.back());
}
