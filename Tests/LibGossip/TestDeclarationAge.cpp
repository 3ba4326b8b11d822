/// @file Tests the estimate of the age of declarations whose acceptance time is unknown.

#include "LibGossip/DeclarationAge.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Now = Core::Instant() + Core::Duration(100000);

}

TEST_CASE("A process that was up to date until an outage treats a declaration found afterwards as recent")
{
    // Entries are restarted while the log is unreachable for 8 s, and a version is declared when it returns. The restarted entries read the declaration first
    // and cannot tell its age. If all others then treated its deadline as passed, callers would be refused until the engines have loaded the new weights.
    const Gossip::LogSyncState syncState{Now - Core::Duration(60000), Now - Core::Duration(8000)};
    const std::optional<Core::Duration> age = Gossip::maximumDeclarationAge(syncState, Now);
    REQUIRE(age);
    CHECK(*age <= Core::Duration(1500));
}

TEST_CASE("While the log answers, a declaration is no older than the last confirmation")
{
    const Gossip::LogSyncState syncState{Now - Core::Duration(60000), Now - Core::Duration(400)};
    CHECK(Gossip::maximumDeclarationAge(syncState, Now) == Core::Duration(400));
}

TEST_CASE("A process that has just started does not know the age of a declaration")
{
    // All processes are killed and restarted. A version that was declared long before must not count as recent, or requests would start on old weights.
    CHECK(!Gossip::maximumDeclarationAge(Gossip::LogSyncState{}, Now));
    CHECK(!Gossip::maximumDeclarationAge(Gossip::LogSyncState{Now - Core::Duration(1000), Now - Core::Duration(100)}, Now));
}
