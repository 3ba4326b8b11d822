/// @file Tests that the part at fault is told apart from the parts that were lost together with it.

#include "LibQuarantine/Decision.h"

#include <catch2/catch.hpp>

using Quarantine::Crash;
using Quarantine::decide;
using Quarantine::PromptPart;
using Quarantine::Suspect;

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1'000'000);
const Core::Instant Settled = Start + Core::Duration(10'000);

PromptPart part(const std::string &id)
{
    return PromptPart{"drafts", id};
}

std::vector<PromptPart> partsAtFault(const std::vector<Suspect> &suspects, Core::Instant now)
{
    return decide(suspects, now, {});
}

/// Returns a suspect of crashes of the incarnations, which are a second apart.
Suspect suspect(const std::string &id, const std::vector<Quarantine::Incarnation> &incarnations, std::uint64_t runs = 3)
{
    Suspect made;
    made.m_part = part(id);
    made.m_runs = runs;
    made.m_completionsSince = 100;
    for (const Quarantine::Incarnation incarnation : incarnations) {
        made.m_crashes.push_back(Crash{incarnation, 1, true, Start + Core::Duration(1000) * static_cast<std::int64_t>(incarnation), 1, incarnation});
    }
    return made;
}

}

TEST_CASE("A part is at fault after three crashes, but not before other parts could be acquitted")
{
    CHECK(partsAtFault({suspect("a", {1, 2})}, Settled).empty());
    CHECK(partsAtFault({suspect("a", {1, 2, 3})}, Settled) == std::vector<PromptPart>{part("a")});
    CHECK(partsAtFault({suspect("a", {1, 2, 3})}, Start + Core::Duration(2400)).empty());
}

TEST_CASE("Parts that were only lost together with the part at fault are not blamed")
{
    CHECK(partsAtFault({suspect("rare", {2, 3, 4}), suspect("fault", {1, 2, 3, 4})}, Settled) == std::vector<PromptPart>{part("fault")});
    Suspect blamed = suspect("fault", {1, 2, 3, 4});
    blamed.m_isBlamed = true;
    CHECK(partsAtFault({suspect("rare", {2, 3, 4}), blamed}, Settled).empty());
}

TEST_CASE("A part with completed answers is blamed only if nothing else explains its crashes")
{
    Suspect popular = suspect("popular", {1, 2, 3, 4, 5, 6});
    popular.m_wasCompleted = true;
    CHECK(partsAtFault({popular, suspect("fault", {1, 2, 3})}, Settled) == std::vector<PromptPart>{part("fault")});
    CHECK(partsAtFault({popular}, Settled) == std::vector<PromptPart>{part("popular")});
    popular.m_crashes.resize(4);
    CHECK(partsAtFault({popular}, Settled).empty());
}

TEST_CASE("Of parts with the same crashes, the one that was sent least often is at fault")
{
    CHECK(partsAtFault({suspect("first", {1, 2, 3}, 40), suspect("fault", {1, 2, 3}, 3)}, Settled) == std::vector<PromptPart>{part("fault")});
    CHECK(partsAtFault({suspect("a", {1, 2, 3}), suspect("b", {1, 2, 3})}, Settled).size() == 2);
}

TEST_CASE("A part of many requests needs more crashes, since it is often lost together with the part at fault")
{
    Suspect popular = suspect("popular", {1, 2, 3, 4, 5});
    popular.m_arrivals = 6;
    popular.m_share = 0.2;
    CHECK(partsAtFault({popular}, Settled).empty());
    popular.m_crashes = suspect("popular", {1, 2, 3, 4, 5, 6}).m_crashes;
    CHECK(partsAtFault({popular}, Settled).size() == 1);
}

TEST_CASE("Nothing is decided while no answers are completed, since nothing can be acquitted then")
{
    Suspect untold = suspect("a", {1, 2, 3});
    untold.m_completionsSince = 0;
    CHECK(partsAtFault({untold}, Settled + Core::Duration(60'000)).empty());
    untold.m_completionsSince = 5;
    CHECK(partsAtFault({untold}, Start + Core::Duration(6000)).empty());
    CHECK(partsAtFault({untold}, Settled + Core::Duration(60'000)) == std::vector<PromptPart>{part("a")});
}

TEST_CASE("Crashes of a blamed part count little for others, unless these have more")
{
    Suspect blamed = suspect("a", {1, 2, 3});
    blamed.m_isBlamed = true;
    CHECK(partsAtFault({suspect("b", {2, 3, 4}), blamed}, Settled).empty());
    CHECK(partsAtFault({blamed, suspect("b", {1, 2, 3, 4, 5})}, Settled) == std::vector<PromptPart>{part("b")});
}

TEST_CASE("Two parts at fault are found side by side")
{
    Suspect shared = suspect("shared", {1, 2, 3, 4, 5, 6});
    shared.m_wasCompleted = true;
    CHECK(partsAtFault({suspect("a", {1, 3, 5}), suspect("b", {2, 4, 6}), shared}, Settled) == std::vector<PromptPart>{part("a"), part("b")});
}

TEST_CASE("Requests that are sent again after a crash do not have their other parts blamed")
{
    Suspect conversation = suspect("conversation", {1, 2, 3, 4});
    for (Crash &crash : conversation.m_crashes) {
        crash.m_request = crash.m_incarnation <= 2 ? 1 : 2;
    }
    CHECK(partsAtFault({conversation}, Settled).empty());
    conversation.m_crashes.push_back(Crash{5, 1, true, Start + Core::Duration(5000), 1, 3});
    CHECK(partsAtFault({conversation}, Settled).size() == 1);
}

TEST_CASE("Endpoints that end in the same moment under a part count once")
{
    // A loss of power ends many endpoints at once, under whatever runs there.
    Suspect lost = suspect("new", {});
    for (Quarantine::Incarnation incarnation = 1; incarnation <= 8; ++incarnation) {
        lost.m_crashes.push_back(Crash{incarnation, 1, true, Start + Core::Duration(10) * static_cast<std::int64_t>(incarnation), 1, incarnation});
    }
    CHECK(partsAtFault({lost}, Settled).empty());
}

TEST_CASE("Crashes before the answer has begun count less")
{
    Suspect queued = suspect("queued", {1, 2, 3, 4, 5});
    for (Crash &crash : queued.m_crashes) {
        crash.m_hadBegun = false;
    }
    CHECK(partsAtFault({queued}, Settled).size() == 1);
    queued.m_crashes.pop_back();
    CHECK(partsAtFault({queued}, Settled).empty());
}
