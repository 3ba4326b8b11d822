/// @file Tests of the time for which an endpoint wants no requests of this process.

#include "LibPlacement/EndpointTracker.h"
#include "LibPlacement/RequestQueue.h"
#include "LibPlacement/SlotTracker.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1000000);
constexpr Core::Duration NoSpread{0};

Fleet::Endpoint engine(std::uint64_t startedMilliseconds = 7)
{
    Fleet::Endpoint endpoint;
    endpoint.m_id = "engine";
    endpoint.m_startedMilliseconds = startedMilliseconds;
    return endpoint;
}

bool mayGetRequest(const Placement::EndpointTracker &tracker, const Fleet::Endpoint &endpoint, Core::Instant now)
{
    return Placement::earliestSend(tracker.get(endpoint).m_backoff) <= now;
}

}

TEST_CASE("A backoff is shortened by no success, report, failure or shorter request for one")
{
    Placement::EndpointTracker tracker;
    tracker.recordBackoff(engine(), Core::Duration(3000), NoSpread, Start);
    tracker.recordAnswerTime(engine(), 1);
    tracker.recordSuccess(engine());
    tracker.recordEngineReport(engine(), Placement::EngineReport{}, Start);
    tracker.recordFailure(engine(), Placement::EndpointFailure::Refused, Start);
    tracker.recordBackoff(engine(), Core::Duration(1000), NoSpread, Start);
    tracker.recordBackoff(engine(), Core::Duration(0), NoSpread, Start);
    tracker.recordSent(engine(), Start + Core::Duration(2000));
    CHECK_FALSE(mayGetRequest(tracker, engine(), Start + Core::Duration(2999)));
    CHECK(mayGetRequest(tracker, engine(), Start + Core::Duration(3000)));
}

TEST_CASE("A backoff outlasts a time without an entry in the list, and ends with the incarnation")
{
    Placement::EndpointTracker tracker;
    tracker.recordBackoff(engine(), Core::Duration(3000), NoSpread, Start);
    tracker.retainKnown({}, Start + Core::Duration(2000));
    CHECK_FALSE(mayGetRequest(tracker, engine(), Start + Core::Duration(2000)));
    CHECK(mayGetRequest(tracker, engine(8), Start + Core::Duration(2000)));
}

TEST_CASE("One wrong answer does not cost an endpoint for good")
{
    Placement::EndpointTracker tracker;
    const Core::Duration maximum = tracker.backoffSettings().m_maximum;
    tracker.recordBackoff(engine(), Core::Duration::max() / 2000000, Core::Duration(1000000), Start);
    CHECK_FALSE(mayGetRequest(tracker, engine(), Start + maximum - Core::Duration(1)));
    CHECK(mayGetRequest(tracker, engine(), Start + maximum + tracker.backoffSettings().m_maximumSpread));
}

TEST_CASE("After a backoff an endpoint gets requests one by one at first")
{
    Placement::EndpointTracker tracker;
    const Placement::BackoffSettings settings = tracker.backoffSettings();
    const Core::Instant end = Start + Core::Duration(3000);
    tracker.recordBackoff(engine(), Core::Duration(3000), NoSpread, Start);
    tracker.recordSent(engine(), end);
    CHECK_FALSE(mayGetRequest(tracker, engine(), end + settings.m_resumeInterval - Core::Duration(1)));
    CHECK(mayGetRequest(tracker, engine(), end + settings.m_resumeInterval));
    tracker.recordSent(engine(), end + settings.m_resumeTime);
    CHECK(mayGetRequest(tracker, engine(), end + settings.m_resumeTime));
}

TEST_CASE("An engine that wants no requests has no slots, whatever it reports")
{
    Placement::SlotTracker slots;
    const Placement::ReportedSlots idle{16, 16, 10};
    slots.recordReport("busy", Placement::ReportedSlots{2, 16, 10}, Start);
    slots.recordReport("engine", idle, Start);
    slots.block("engine", Start + Core::Duration(500));
    slots.recordReport("engine", idle, Start);
    CHECK(slots.freeSlots("engine", Start) == 0);
    CHECK(slots.totalFreeSlots(Start) == 2);
    CHECK(slots.finishedPerSecond(Start) == 10);
    CHECK(slots.enginesWithSlots(Start) == 1);
    CHECK(slots.freeSlots("engine", Start + Core::Duration(500)) == 16);
}

TEST_CASE("A request waits for the end of a backoff only if it can be sent in time after it")
{
    Placement::QueueForecast forecast;
    forecast.m_untilBackoffEnd = Core::Duration(1000);
    forecast.m_expectedSlots = 4;
    const Placement::QueuedRequest patient{1, Start, Start + Core::Duration(1500)};
    const Placement::QueuedRequest hurried{2, Start, Start + Core::Duration(900)};
    const Placement::QueueDecision decision = Placement::decideQueue({patient, hurried}, forecast, Start + Core::Duration(1), {});
    CHECK(decision.m_order == std::vector<std::uint64_t>{1});
    CHECK(decision.m_rejected == std::vector<std::uint64_t>{2});
}
