/// @file The age of declarations of which nobody states when they were accepted.

#include "LibGossip/DeclarationAge.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Now = Core::Instant() + Core::Duration(100000);

}

TEST_CASE("a process that knew the log until an outage takes a declaration that comes afterwards for young")
{
    // Entries are restarted while the log is away for 8 s, and a version is declared as it returns. The first to read it are those that have just started;
    // they cannot tell its age. If all others then held its bound for passed, callers would be refused until the engines have the new weights.
    const Gossip::LogSyncState knowledge{Now - Core::Duration(60000), Now - Core::Duration(8000)};
    const std::optional<Core::Duration> age = Gossip::maximumDeclarationAge(knowledge, Now);
    REQUIRE(age);
    CHECK(*age <= Core::Duration(1500));
}

TEST_CASE("while the log answers, a declaration is no older than the last look at it")
{
    const Gossip::LogSyncState knowledge{Now - Core::Duration(60000), Now - Core::Duration(400)};
    CHECK(Gossip::maximumDeclarationAge(knowledge, Now) == Core::Duration(400));
}

TEST_CASE("a process that has just started cannot tell the age of what it finds")
{
    // All processes are killed and start again. A version that was declared long before must not count as young, or requests would begin on old weights.
    CHECK(!Gossip::maximumDeclarationAge(Gossip::LogSyncState{}, Now));
    CHECK(!Gossip::maximumDeclarationAge(Gossip::LogSyncState{Now - Core::Duration(1000), Now - Core::Duration(100)}, Now));
}
