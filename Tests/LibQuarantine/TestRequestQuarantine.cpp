/// @file Tests of when a request is taken for the reason why endpoints ended, and when it is not.

#include "LibQuarantine/PartQuarantine.h"

#include <catch2/catch.hpp>

using Quarantine::Incarnation;
using Quarantine::Observations;
using Quarantine::PartQuarantine;
using Quarantine::PromptPart;
using Quarantine::TreatmentKind;

namespace {

const PromptPart Request{"", "request-0000000100000001"};
const PromptPart OtherRequest{"", "request-0000000200000002"};

Core::Instant after(std::int64_t milliseconds)
{
    return Core::Instant() + Core::Duration(1'000'000 + milliseconds);
}

Quarantine::RunFacts run(const PromptPart &identity, Incarnation incarnation, const std::vector<PromptPart> &parts = {})
{
    Quarantine::RunFacts facts;
    facts.m_identity = identity;
    facts.m_request = Quarantine::requestOf(identity);
    facts.m_parts = parts;
    facts.m_incarnation = incarnation;
    facts.m_writing = Core::Duration(400);
    facts.m_isEndStated = true;
    return facts;
}

TreatmentKind treatment(PartQuarantine &quarantine, const PromptPart &identity, std::int64_t milliseconds)
{
    return quarantine.treatRequest(identity, after(milliseconds), after(milliseconds)).m_kind;
}

/// Records ends under the request, a second apart from the first one at @p milliseconds.
void crash(PartQuarantine &quarantine, const PromptPart &identity, Incarnation first, std::size_t count, std::int64_t milliseconds)
{
    for (std::size_t index = 0; index < count; ++index) {
        quarantine.recordCrash(run(identity, first + index), after(milliseconds + static_cast<std::int64_t>(index) * 1000));
    }
}

void tellRequests(PartQuarantine &from, PartQuarantine &to, std::int64_t milliseconds)
{
    while (from.hasRequestNews()) {
        to.merge(from.takeRequestNews(after(milliseconds)), after(milliseconds));
    }
}

}

TEST_CASE("A request under which one endpoint has ended is sent at once, after two it waits for news, after three it is refused")
{
    PartQuarantine quarantine;
    CHECK_FALSE(quarantine.knowsRequests());
    crash(quarantine, Request, 1, 1, 0);
    CHECK(quarantine.knowsRequests(Request.m_id.substr(0, 16)));
    CHECK_FALSE(quarantine.knowsRequests(OtherRequest.m_id.substr(0, 16)));
    CHECK(treatment(quarantine, Request, 1) == TreatmentKind::Send);
    crash(quarantine, Request, 2, 1, 1000);
    CHECK(treatment(quarantine, Request, 5000) == TreatmentKind::Hold);
    CHECK(quarantine.treatRequest(Request, after(5000), after(5300)).m_kind == TreatmentKind::Send);
    crash(quarantine, Request, 3, 1, 6000);
    CHECK(quarantine.hasTooManyEnds(Request));
    CHECK(treatment(quarantine, Request, 6000) == TreatmentKind::Hold); // Another entry may still tell that it was answered before.
    CHECK(treatment(quarantine, Request, 6300) == TreatmentKind::Refuse);
    CHECK(treatment(quarantine, OtherRequest, 6300) == TreatmentKind::Send);
}

TEST_CASE("Ends that several entries have seen are added up, each once")
{
    std::vector<PartQuarantine> entries(4);
    for (std::size_t index = 0; index < 3; ++index) {
        crash(entries[index], Request, index + 1, 1, static_cast<std::int64_t>(index) * 1000);
        const Observations news = entries[index].takeRequestNews(after(3000));
        entries[3].merge(news, after(3000));
        entries[3].merge(news, after(3000));
        CHECK((treatment(entries[3], Request, 3001) == TreatmentKind::Refuse) == (index == 2));
    }
    CHECK_FALSE(entries[3].hasRequestNews());
}

TEST_CASE("A completed answer to the request acquits it at every entry, also if an older end is told after it")
{
    PartQuarantine quarantine;
    PartQuarantine peer;
    crash(quarantine, Request, 1, 2, 0);
    tellRequests(quarantine, peer, 1100);
    crash(peer, Request, 5, 1, 1200);
    const Observations late = peer.takeRequestNews(after(3000));
    quarantine.recordCompletion(run(Request, 9), after(2500));
    peer.merge(quarantine.takeNews(Quarantine::NewsSample, after(2600)), after(2600));
    quarantine.merge(late, after(3000));
    for (PartQuarantine *each : {&quarantine, &peer}) {
        crash(*each, Request, 10, 4, 4000);
        CHECK(treatment(*each, Request, 20000) == TreatmentKind::Send);
        crash(*each, Request, 20, 1, 21000);
        CHECK(treatment(*each, Request, 30000) == TreatmentKind::Hold);
    }
}

TEST_CASE("Endpoints that turn out to live have not ended under the request")
{
    const bool isBlamed = GENERATE(false, true);
    PartQuarantine quarantine;
    crash(quarantine, Request, 1, 3, 0);
    REQUIRE(treatment(quarantine, Request, 2400) == TreatmentKind::Refuse);
    if (isBlamed) {
        quarantine.update(after(2400));
        REQUIRE(quarantine.verdicts().isInForce(Request));
    }
    quarantine.recordAlive(2, after(2500));
    CHECK(treatment(quarantine, Request, 9000) != TreatmentKind::Refuse);
}

TEST_CASE("Losses of power under a request, in which many endpoints end together, do not count")
{
    PartQuarantine quarantine;
    Incarnation incarnation = 0;
    for (std::int64_t loss = 0; loss < 4; ++loss) {
        for (std::int64_t endpoint = 0; endpoint < 6; ++endpoint) {
            const PromptPart other{"", "request-other-" + std::to_string(++incarnation)};
            quarantine.recordCrash(run(endpoint == 2 ? Request : other, incarnation), after(loss * 3000 + endpoint * 10));
        }
    }
    CHECK(treatment(quarantine, Request, 20000) == TreatmentKind::Send);
    CHECK(quarantine.suspectRequestCount() == 0);
}

TEST_CASE("A request that was at endpoints that ended under a part is sent again once the part accounts for them")
{
    PartQuarantine quarantine;
    for (Incarnation incarnation = 1; incarnation <= 4; ++incarnation) {
        const std::int64_t at = static_cast<std::int64_t>(incarnation) * 1000;
        quarantine.recordCrash(run(PromptPart{"", "request-bad-" + std::to_string(incarnation)}, incarnation, {PromptPart{"drafts", "bad"}}), after(at));
        if (incarnation <= 3) {
            quarantine.recordCrash(run(Request, incarnation), after(at));
        }
        for (std::size_t answers = 0; answers < 30; ++answers) {
            quarantine.recordCompletion(run(PromptPart{"", "request-sound"}, 99, {PromptPart{"drafts", "07e4"}}), after(at + 200));
        }
        quarantine.update(after(at + 500));
    }
    REQUIRE(quarantine.verdicts().isInForce(PromptPart{"drafts", "bad"}));
    CHECK(treatment(quarantine, Request, 6000) == TreatmentKind::Send);
}

TEST_CASE("Requests under which endpoints end that were at the same endpoints do not acquit each other")
{
    PartQuarantine quarantine;
    for (Incarnation incarnation = 1; incarnation <= 4; ++incarnation) {
        const Core::Instant at = after(static_cast<std::int64_t>(incarnation) * 1000);
        quarantine.recordCrash(run(incarnation == 4 ? OtherRequest : Request, incarnation), at);
        if (incarnation == 1 || incarnation == 2) {
            quarantine.recordCrash(run(OtherRequest, incarnation), at);
        }
        quarantine.update(at + Core::Duration(500));
    }
    CHECK(treatment(quarantine, Request, 6000) == TreatmentKind::Refuse);
    CHECK(treatment(quarantine, OtherRequest, 6000) == TreatmentKind::Refuse);
}

TEST_CASE("A verdict on a request outlasts the entries that saw its ends, and ends after its lifetime although the request keeps coming")
{
    PartQuarantine quarantine;
    crash(quarantine, Request, 1, 3, 0);
    quarantine.update(after(2500));
    PartQuarantine newcomer;
    newcomer.merge(Observations{{}, {}, quarantine.verdicts().verdicts(after(3000))}, after(3000));
    CHECK(quarantine.verdicts().digest() == newcomer.verdicts().digest());
    const std::int64_t lifetime = Quarantine::RequestSettings{}.m_verdictLifetime.count();
    for (std::int64_t at = 3000; at < lifetime; at += 60000) {
        newcomer.update(after(at));
        CHECK(treatment(newcomer, Request, at) == TreatmentKind::Refuse);
    }
    newcomer.update(after(lifetime + 60000));
    CHECK(treatment(newcomer, Request, lifetime + 60000) == TreatmentKind::Send);
}

TEST_CASE("An operator lifts a verdict on a request")
{
    PartQuarantine quarantine;
    crash(quarantine, Request, 1, 3, 0);
    quarantine.update(after(2500));
    quarantine.verdicts().lift(Request, after(2600));
    CHECK(treatment(quarantine, Request, 2700) == TreatmentKind::Send);
}

TEST_CASE("Callers who send ever new requests hide none under which two endpoints have ended, and fill no memory")
{
    const Quarantine::QuarantineSettings settings;
    PartQuarantine quarantine;
    crash(quarantine, Request, 1, 2, 0);
    for (std::size_t number = 0; number < 3 * settings.m_requests.m_maximumSuspects; ++number) {
        const PromptPart fresh{"", "request-fresh-" + std::to_string(number)};
        quarantine.recordCrash(run(fresh, 100 + number), after(2000 + static_cast<std::int64_t>(number) * 200));
    }
    CHECK(quarantine.suspectRequestCount() <= settings.m_requests.m_maximumSuspects);
    CHECK(treatment(quarantine, Request, 2001) == TreatmentKind::Hold);
}

TEST_CASE("A request that comes again and again makes the sound parts beside it no more suspect than one attempt does")
{
    PartQuarantine quarantine;
    const std::vector<PromptPart> parts{{"drafts", "shared"}};
    for (Incarnation incarnation = 1; incarnation <= 3; ++incarnation) {
        quarantine.recordCrash(run(Request, incarnation, parts), after(static_cast<std::int64_t>(incarnation) * 1000));
    }
    for (std::size_t answers = 0; answers < 30; ++answers) {
        quarantine.recordCompletion(run(PromptPart{"", "request-sound"}, 99, {PromptPart{"drafts", "07e4"}}), after(6000));
    }
    quarantine.update(after(9000));
    CHECK_FALSE(quarantine.verdicts().isInForce(parts.front()));
}

TEST_CASE("A request that was answered before, such as one for a thing that many want, is not refused after three ends, also by entries that are told of it")
{
    PartQuarantine quarantine;
    PartQuarantine peer;
    quarantine.recordCompletion(run(Request, 9), after(0));
    crash(quarantine, Request, 1, 1, 1000);
    crash(peer, Request, 2, 1, 2000);
    crash(peer, Request, 3, 1, 3000);
    tellRequests(quarantine, peer, 3010);
    tellRequests(peer, quarantine, 3010);
    peer.merge(quarantine.takeNews(Quarantine::NewsSample, after(3100)), after(3100));
    for (PartQuarantine *each : {&quarantine, &peer}) {
        CHECK_FALSE(each->hasTooManyEnds(Request));
        CHECK(treatment(*each, Request, 3200) == TreatmentKind::Send);
        crash(*each, Request, 10, 3, 4000);
        CHECK(treatment(*each, Request, 9000) == TreatmentKind::Refuse);
    }
}

TEST_CASE("A verdict that is lifted because one endpoint lives does not let the ends of the others be forgotten")
{
    PartQuarantine quarantine;
    crash(quarantine, Request, 1, 3, 0);
    quarantine.update(after(2400));
    REQUIRE(quarantine.verdicts().isInForce(Request));
    quarantine.recordAlive(3, after(2500));
    REQUIRE_FALSE(quarantine.verdicts().isInForce(Request));
    crash(quarantine, Request, 4, 1, 5000);
    CHECK(quarantine.hasTooManyEnds(Request));
}

TEST_CASE("An entry that starts between two ends learns the earlier ones with its state")
{
    PartQuarantine quarantine;
    PartQuarantine newcomer;
    crash(quarantine, Request, 1, 2, 0);
    newcomer.merge(quarantine.state(after(1500)), after(1500));
    CHECK(treatment(newcomer, Request, 1500) == TreatmentKind::Hold);
    crash(newcomer, Request, 3, 1, 2000);
    CHECK(newcomer.hasTooManyEnds(Request));
}
