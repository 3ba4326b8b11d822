/// @file Tests how the memory of a process is divided.

#include "LibSettings/MemoryShares.h"

#include <catch2/catch.hpp>

TEST_CASE("What a process may hold for its peers is a part of its stated memory")
{
    Settings::MemoryShares shares;
    const Settings::Problems problems =
        Settings::readDocument("memory:\n  megabytes: 160\n", "test", [&shares](Settings::Reader &reader) { shares = Settings::readMemoryShares(reader); });
    CHECK(problems.empty());
    CHECK(shares == Settings::MemoryShares{60'000'000, 20'000'000, 20'000'000});
}

TEST_CASE("A process whose settings state no memory assumes the smallest one, and a wrong value is a problem")
{
    Settings::MemoryShares shares;
    const std::function<void(Settings::Reader &)> read = [&shares](Settings::Reader &reader) { shares = Settings::readMemoryShares(reader); };
    CHECK(Settings::readDocument("{}\n", "test", read).empty());
    CHECK(shares == Settings::divideMemory(Settings::DefaultMemoryMegabytes * Settings::BytesPerMegabyte));
    CHECK(Settings::readDocument("memory:\n  megabytes: none\n", "test", read).size() == 1);
    CHECK(Settings::readDocument("memory:\n  megabytes: 0\n", "test", read).size() == 1);
}
