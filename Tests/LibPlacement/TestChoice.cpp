/// @file Tests of the choice of an endpoint and of the expected time to its answer.

#include "LibPlacement/Choice.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1000000);
constexpr std::size_t Draws = 200;

Fleet::EngineModel engineModel()
{
    Fleet::EngineModel engine;
    engine.m_slots = 16;
    engine.m_stepMilliseconds = 9.27;
    engine.m_stepMillisecondsPerRequest = 0.0232;
    engine.m_stepMillisecondsPerThousandContext = 0.0322;
    engine.m_promptTokensPerSecond = 20700;
    engine.m_millisecondsPerMillionPairs = 1.18;
    engine.m_usualPromptTokens = 979;
    engine.m_usualAnswerTokens = 92;
    engine.m_layers = 16;
    return engine;
}

/// Engines that hold version 1 of one model.
struct TestFleet
{
    std::map<std::string, Fleet::KnownEndpoint> m_endpoints;
    Placement::EndpointTracker m_endpointTracker;
    Placement::SlotTracker m_slotTracker;
    Placement::RequestLimits m_requestLimits{Placement::LimitHolder{"self", "here"}};
    std::set<std::string> m_evacuatedDomains;
    Placement::ColdBudget m_coldBudget{Placement::LimitHolder{"self", ""}, {}, Core::Instant()};
    Fleet::EngineModel m_engine = engineModel();
    Core::Random m_random{7};

    Fleet::Endpoint &add(const std::string &id, std::uint64_t version = 1)
    {
        Fleet::KnownEndpoint &known = m_endpoints[id];
        known.m_endpoint.m_id = id;
        known.m_endpoint.m_service = "drafts";
        known.m_endpoint.m_slots = 16;
        known.m_endpoint.m_failureDomain = "here";
        known.m_endpoint.m_weights = {Fleet::LoadedWeights{"draft", version, Fleet::LayerRanges{{0, 16}}}};
        return known.m_endpoint;
    }

    Placement::ChoiceResult choose(const Placement::ChoiceRequest &request, Core::Instant now = Start)
    {
        return Placement::chooseEndpoint(
            request,
            Placement::ChoiceView{m_endpoints, m_endpointTracker, m_slotTracker, m_requestLimits, m_engine, "here", now, m_evacuatedDomains, m_coldBudget},
            m_random);
    }
};

Placement::ChoiceRequest request()
{
    Placement::ChoiceRequest made;
    made.m_service = "drafts";
    made.m_model = "draft";
    made.m_size = {979, 92};
    return made;
}

}

TEST_CASE("an engine that is leaving, lacks the weights or is loading others is not chosen")
{
    TestFleet fleet;
    fleet.add("leaving").m_isLeaving = true;
    fleet.add("empty").m_weights.clear();
    fleet.add("partial").m_weights[0].m_layers = Fleet::LayerRanges{{0, 8}};
    Placement::EngineReport loading;
    loading.m_isLoading = true;
    loading.m_weights = {Fleet::LoadedWeights{"draft", 1, Fleet::LayerRanges{{0, 16}}}};
    fleet.m_endpointTracker.recordEngineReport(fleet.add("loading"), loading, Start);
    CHECK_FALSE(fleet.choose(request()).m_choice);
    CHECK(fleet.choose(request()).m_reason == Placement::NoChoiceReason::NoWeights);
    fleet.add("good");
    for (std::size_t draw = 0; draw < Draws; ++draw) {
        REQUIRE(fleet.choose(request()).m_choice->m_endpoint.m_id == "good");
    }
}

TEST_CASE("the reason for no choice distinguishes a service without endpoints from one whose endpoints were all tried")
{
    TestFleet fleet;
    CHECK(fleet.choose(request()).m_reason == Placement::NoChoiceReason::NoEndpoint);
    fleet.add("only");
    Placement::ChoiceRequest retry = request();
    retry.m_excluded = {"only"};
    CHECK(fleet.choose(retry).m_reason == Placement::NoChoiceReason::AllTried);
}

TEST_CASE("the choice names the version that the engine has, which may be newer than required")
{
    // Engines compare the expected version for equality. If the request named the required version 2, every engine that already has version 3 would refuse it.
    TestFleet fleet;
    fleet.add("old", 1);
    fleet.add("ahead", 3);
    Placement::ChoiceRequest withRequiredVersion = request();
    withRequiredVersion.m_requiredVersion = 2;
    const Placement::ChoiceResult result = fleet.choose(withRequiredVersion);
    REQUIRE(result.m_choice);
    CHECK(result.m_choice->m_endpoint.m_id == "ahead");
    CHECK(result.m_choice->m_version == 3);
}

TEST_CASE("a request that has moved from another engine goes to one that will not load weights soon")
{
    TestFleet fleet;
    fleet.add("old", 1);
    fleet.add("older", 1);
    fleet.add("new", 2);
    Placement::ChoiceRequest moved = request();
    moved.m_excluded = {"gone"};
    moved.m_newestVersion = 2;
    for (std::size_t draw = 0; draw < Draws; ++draw) {
        REQUIRE(fleet.choose(moved).m_choice->m_endpoint.m_id == "new");
    }
}

TEST_CASE("an engine that failed is avoided while there is another")
{
    TestFleet fleet;
    const Fleet::Endpoint bad = fleet.add("bad");
    fleet.add("good");
    fleet.m_endpointTracker.recordFailure(bad, Placement::EndpointFailure::ConnectionLost, Start);
    for (std::size_t draw = 0; draw < Draws; ++draw) {
        REQUIRE(fleet.choose(request()).m_choice->m_endpoint.m_id == "good");
    }
    fleet.m_endpoints.erase("good");
    CHECK(fleet.choose(request()).m_choice->m_endpoint.m_id == "bad");
}

TEST_CASE("requests that this process sent since the last report count as load")
{
    // Reports arrive twice per second. A process that did not count its own requests since then would send a burst to the engine that looked idle.
    TestFleet fleet;
    const Fleet::Endpoint first = fleet.add("first");
    const Fleet::Endpoint second = fleet.add("second");
    fleet.m_endpointTracker.recordLoad(first, 2, 0, Start);
    fleet.m_endpointTracker.recordLoad(second, 3, 0, Start);
    std::map<std::string, int> sent;
    for (int index = 0; index < 20; ++index) {
        const Placement::ChoiceResult result = fleet.choose(request());
        fleet.m_endpointTracker.recordSent(result.m_choice->m_endpoint, Core::Clock::now());
        ++sent[result.m_choice->m_endpoint.m_id];
    }
    CHECK(sent["first"] >= 9);
    CHECK(sent["second"] >= 9);
}

TEST_CASE("the expected time to the first event includes the queue of a full engine")
{
    const Fleet::EngineModel engine = engineModel();
    const Placement::RequestSize size{979, 92};
    Placement::EndpointLoad idle;
    Placement::EndpointLoad full;
    full.m_running = 16;
    full.m_waiting = 3;
    const double first = Placement::firstEventMilliseconds(engine, idle, size);
    const double queued = Placement::firstEventMilliseconds(engine, full, size);
    CHECK(first == Approx(57.3).margin(5));
    CHECK(queued - first > 3 * Placement::saturatedIntervalMilliseconds(engine));
    full.m_pace = 2;
    CHECK(Placement::firstEventMilliseconds(engine, full, size) == Approx(2 * queued));
}

TEST_CASE("an endpoint whose entry is missing from the list is used only if there is no other")
{
    // After a process was cut off from the log for some seconds, a missing entry may have expired because of the outage, or its endpoint may be leaving
    // without notice. Guards against requests that reach such an endpoint up to 3.4 s after it has left the list.
    TestFleet fleet;
    fleet.add("missing");
    fleet.m_endpoints["missing"].m_missingSince = Start;
    CHECK(fleet.choose(request()).m_choice->m_endpoint.m_id == "missing");
    fleet.add("listed");
    for (std::size_t draw = 0; draw < Draws; ++draw) {
        REQUIRE(fleet.choose(request()).m_choice->m_endpoint.m_id == "listed");
    }
}

TEST_CASE("a request that has moved does not go to a missing endpoint even if that has a newer version")
{
    // Guards against requests that reach an engine after it left without notice.
    TestFleet fleet;
    fleet.add("missing", 2);
    fleet.m_endpoints["missing"].m_missingSince = Start;
    fleet.add("listed", 1);
    Placement::ChoiceRequest moved = request();
    moved.m_excluded = {"gone"};
    moved.m_newestVersion = 2;
    for (std::size_t draw = 0; draw < Draws; ++draw) {
        REQUIRE(fleet.choose(moved).m_choice->m_endpoint.m_id == "listed");
    }
}

TEST_CASE("engines of the local failure domain are chosen while enough of them have free slots")
{
    // Guards against answers that cross slow links between regions although local engines are free, and against overloading the last free local engines.
    TestFleet fleet;
    std::vector<std::string> near;
    for (int index = 0; index < 10; ++index) {
        near.push_back(fleet.add("near-" + std::to_string(index)).m_id);
        fleet.m_slotTracker.recordReport(near.back(), Placement::ReportedSlots{2, 16, 8}, Start);
        const std::string remote = "far-" + std::to_string(index);
        fleet.add(remote).m_failureDomain = "elsewhere";
        fleet.m_slotTracker.recordReport(remote, Placement::ReportedSlots{16, 16, 8}, Start);
    }
    for (std::size_t draw = 0; draw < Draws; ++draw) {
        REQUIRE(fleet.choose(request()).m_choice->m_endpoint.m_failureDomain == "here");
    }
    for (int index = 0; index < 5; ++index) {
        fleet.m_slotTracker.recordReport(near[index], Placement::ReportedSlots{-1, 16, 8}, Start);
    }
    std::size_t remote = 0;
    for (std::size_t draw = 0; draw < Draws; ++draw) {
        const Fleet::Endpoint chosen = fleet.choose(request()).m_choice->m_endpoint;
        remote += chosen.m_failureDomain == "elsewhere" ? 1 : 0;
        CHECK(std::find(near.begin(), near.begin() + 5, chosen.m_id) == near.begin() + 5);
    }
    CHECK(remote > 0);
}

TEST_CASE("local engines are not overloaded when free slots are scarcer there than elsewhere")
{
    // Guards against requests that queue at the last free engines of a failure domain until after the deadline of their version, while others are idle.
    TestFleet fleet;
    constexpr int count = 20;
    constexpr int freeNear = 9;
    for (int index = 0; index < count; ++index) {
        const std::string near = "near-" + std::to_string(index);
        fleet.add(near);
        fleet.m_slotTracker.recordReport(near, Placement::ReportedSlots{index < freeNear ? 2.0 : -1.0, 16, 8}, Start);
        const std::string remote = "far-" + std::to_string(index);
        fleet.add(remote).m_failureDomain = "elsewhere";
        fleet.m_slotTracker.recordReport(remote, Placement::ReportedSlots{16, 16, 8}, Start);
    }
    std::size_t remote = 0;
    for (std::size_t draw = 0; draw < Draws; ++draw) {
        remote += fleet.choose(request()).m_choice->m_endpoint.m_failureDomain == "elsewhere" ? 1 : 0;
    }
    CHECK(remote > Draws / 4);
}

TEST_CASE("an engine that has stated a limit gets nothing beyond this entry's share, and others are chosen instead")
{
    TestFleet fleet;
    const Fleet::Endpoint &limited = fleet.add("limited");
    fleet.m_requestLimits.recordAnswer(limited, 0.5, Start, Start);
    CHECK(fleet.choose(request()).m_reason == Placement::NoChoiceReason::LimitReached);
    CHECK(fleet.choose(request(), Start + Core::Duration(2000)).m_choice);
    fleet.add("other");
    for (int attempt = 0; attempt < 20; ++attempt) {
        CHECK(fleet.choose(request()).m_choice->m_endpoint.m_id == "other");
    }
}

TEST_CASE("a request with homes is served in its homes only, and an evacuated failure domain serves nobody")
{
    TestFleet fleet;
    fleet.add("near");
    fleet.add("far").m_failureDomain = "there";
    Placement::ChoiceRequest homed = request();
    homed.m_places = Placement::AllowedPlaces{true, {"there"}};
    for (std::size_t draw = 0; draw < Draws; ++draw) {
        REQUIRE(fleet.choose(homed).m_choice->m_endpoint.m_id == "far");
    }
    fleet.m_evacuatedDomains = {"there"};
    CHECK(fleet.choose(homed).m_reason == Placement::NoChoiceReason::NoAllowedPlace);
    for (std::size_t draw = 0; draw < Draws; ++draw) {
        REQUIRE(fleet.choose(request()).m_choice->m_endpoint.m_id == "near");
    }
    fleet.m_evacuatedDomains = {"there", "here"};
    CHECK(fleet.choose(request()).m_reason == Placement::NoChoiceReason::NoAllowedPlace);
}

TEST_CASE("a repeat crosses no border although its homes have no other endpoint")
{
    TestFleet fleet;
    fleet.add("home").m_failureDomain = "there";
    fleet.add("near");
    Placement::ChoiceRequest repeated = request();
    repeated.m_places = Placement::AllowedPlaces{true, {"there"}};
    repeated.m_excluded = {"home"};
    CHECK_FALSE(fleet.choose(repeated).m_choice);
    CHECK(fleet.choose(repeated).m_reason == Placement::NoChoiceReason::AllTried);
}

TEST_CASE("a cold engine gets nothing beyond this entry's part, and others are chosen instead")
{
    TestFleet fleet;
    const Fleet::Endpoint cold = fleet.add("cold");
    fleet.m_coldBudget.setEntries({}, true, Core::Instant());
    fleet.m_coldBudget.recordStated(cold, 1, Start + Core::Duration(3000));
    REQUIRE(fleet.choose(request()).m_choice);
    fleet.m_coldBudget.recordSent(cold, Start);
    CHECK(fleet.choose(request()).m_reason == Placement::NoChoiceReason::LimitReached);
    fleet.add("warm");
    CHECK(fleet.choose(request()).m_choice->m_endpoint.m_id == "warm");
}
