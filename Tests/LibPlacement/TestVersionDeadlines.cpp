/// @file Tests of the time from which on requests must begin on a declared version.

#include "LibPlacement/VersionDeadlines.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1000000);
constexpr Core::Duration Bound{6500};

}

TEST_CASE("a version is required once its deadline has passed")
{
    Placement::VersionDeadlines deadlines(Bound);
    deadlines.recordDeclared("draft", 2, Core::Duration(0), Start);
    CHECK_FALSE(deadlines.requiredVersion("draft", Start + Core::Duration(6400)));
    CHECK(deadlines.requiredVersion("draft", Start + Core::Duration(6500)) == 2);
    CHECK_FALSE(deadlines.requiredVersion("other", Start + Core::Duration(9000)));
}

TEST_CASE("the deadline of an older declared version applies until that of the newest version has passed")
{
    // Two versions are declared three seconds apart, and a process starts after the second. If it knew only the newest version, it would let requests begin on
    // weights that two declarations have replaced.
    Placement::VersionDeadlines deadlines(Bound);
    deadlines.recordDeclared("draft", 3, Core::Duration(3000), Start);
    deadlines.recordDeclared("draft", 2, Core::Duration(6000), Start);
    CHECK_FALSE(deadlines.requiredVersion("draft", Start));
    CHECK(deadlines.requiredVersion("draft", Start + Core::Duration(500)) == 2);
    CHECK(deadlines.requiredVersion("draft", Start + Core::Duration(3500)) == 3);
    CHECK(deadlines.recentVersions("draft", Core::Duration(30000), Start).size() == 2);
    CHECK(deadlines.oldestAgeAfter("draft", 1, Start) == Core::Duration(6000));
    CHECK(deadlines.oldestAgeAfter("draft", 2, Start) == Core::Duration(3000));
}

TEST_CASE("a version of unknown age is required at once until its age becomes known")
{
    Placement::VersionDeadlines deadlines(Bound);
    deadlines.recordFound("draft", 2, Start);
    CHECK(deadlines.requiredVersion("draft", Start) == 2);
    CHECK_FALSE(deadlines.knownAge("draft", 2, Start));

    deadlines.recordDeclared("draft", 2, Core::Duration(1000), Start);
    CHECK_FALSE(deadlines.requiredVersion("draft", Start));
    deadlines.recordFound("draft", 2, Start);
    CHECK_FALSE(deadlines.requiredVersion("draft", Start));
    CHECK(deadlines.knownAge("draft", 2, Start) == Core::Duration(1000));
}

TEST_CASE("the greatest recorded age of a version counts")
{
    Placement::VersionDeadlines deadlines(Bound);
    deadlines.recordDeclared("draft", 2, Core::Duration(4000), Start);
    deadlines.recordDeclared("draft", 2, Core::Duration(0), Start);
    CHECK(deadlines.knownAge("draft", 2, Start) == Core::Duration(4000));
}
