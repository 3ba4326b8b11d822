/// @file Tests what one process, and several that tell each other, learn from crashes and completed answers.

#include "LibQuarantine/PartQuarantine.h"

#include <catch2/catch.hpp>

using Quarantine::Observations;
using Quarantine::PartQuarantine;
using Quarantine::PromptPart;
using Quarantine::QuarantineSettings;
using Quarantine::SampleSize;
using Quarantine::TreatmentKind;
using Parts = std::vector<PromptPart>;

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(10'000'000);
constexpr Quarantine::Account Buyer = 7;
constexpr Quarantine::Account Other = 8;
constexpr Core::Duration Early{50}; ///< Since the beginning of the answer.
constexpr SampleSize Everything{1000, 1000, 1000};

Core::Instant after(std::int64_t milliseconds)
{
    return Start + Core::Duration(milliseconds);
}

Parts parts(std::initializer_list<const char *> ids)
{
    Parts made;
    for (const char *id : ids) {
        made.push_back(PromptPart{"drafts", id});
    }
    return made;
}

Quarantine::RunFacts run(const Parts &prompt, Quarantine::Incarnation incarnation, std::optional<Core::Duration> writing)
{
    Quarantine::RunFacts facts;
    facts.m_parts = prompt;
    facts.m_account = Buyer;
    facts.m_request = incarnation;
    facts.m_incarnation = incarnation;
    facts.m_writing = writing;
    facts.m_isEndStated = true;
    return facts;
}

Quarantine::RunFacts withoutStatedEnd(Quarantine::RunFacts facts)
{
    facts.m_isEndStated = false;
    return facts;
}

/// Records a crash under these parts each second, of incarnations from @p first on.
void crash(PartQuarantine &quarantine, const Parts &prompt, Quarantine::Incarnation first, std::size_t count, Quarantine::Account account = Buyer)
{
    for (std::size_t index = 0; index < count; ++index) {
        Quarantine::RunFacts facts = run(prompt, first + index, Early);
        facts.m_account = account;
        quarantine.recordCrash(facts, after(static_cast<std::int64_t>(first + index) * 1000));
    }
}

/// Records answers to other requests, which a decision needs.
void completeOthers(PartQuarantine &quarantine, std::int64_t milliseconds)
{
    for (int count = 0; count < 30; ++count) {
        quarantine.recordCompletion(run(parts({"other"}), 1'000'000, Core::Duration(400)), after(milliseconds));
    }
}

TreatmentKind treatment(PartQuarantine &quarantine, const Parts &prompt, std::int64_t milliseconds, Quarantine::Account account = Buyer)
{
    completeOthers(quarantine, milliseconds);
    quarantine.update(after(milliseconds));
    return quarantine.treat(prompt, account, after(milliseconds)).m_kind;
}

void tell(const PartQuarantine &from, PartQuarantine &to, std::int64_t milliseconds)
{
    Core::Random random(1);
    to.merge(from.sample(Everything, after(milliseconds), random), after(milliseconds));
}

}

TEST_CASE("Requests wait while a part is a suspect, and are refused once endpoints have ended under it")
{
    PartQuarantine quarantine;
    CHECK(treatment(quarantine, parts({"a", "p"}), 0) == TreatmentKind::Send);
    crash(quarantine, parts({"p"}), 1, 1);
    CHECK(treatment(quarantine, parts({"a", "p"}), 1500) == TreatmentKind::Hold);
    CHECK(treatment(quarantine, parts({"a"}), 1500) == TreatmentKind::Send);
    CHECK(treatment(quarantine, parts({"a", "p"}), 3000) == TreatmentKind::Send);
    crash(quarantine, parts({"p"}), 4, 2);
    CHECK(treatment(quarantine, parts({"a", "p"}), 9000) == TreatmentKind::Refuse);
    CHECK(treatment(quarantine, parts({"a"}), 9000) == TreatmentKind::Send);
}

TEST_CASE("Requests with a suspect part are sent one at a time")
{
    PartQuarantine quarantine;
    crash(quarantine, parts({"p"}), 1, 1);
    quarantine.recordSent(parts({"p"}), after(3000));
    CHECK(treatment(quarantine, parts({"p"}), 3500) == TreatmentKind::Hold);
    quarantine.recordCompletion(run(parts({"p"}), 9, Core::Duration(400)), after(3600));
    CHECK(treatment(quarantine, parts({"p"}), 3600) == TreatmentKind::Send);
}

TEST_CASE("A completed answer acquits a part of the crashes before it")
{
    PartQuarantine quarantine;
    crash(quarantine, parts({"p"}), 1, 2);
    quarantine.recordCompletion(run(parts({"p"}), 9, Core::Duration(400)), after(2500));
    crash(quarantine, parts({"p"}), 3, 2);
    CHECK(treatment(quarantine, parts({"p"}), 9000) == TreatmentKind::Send);
}

TEST_CASE("An answer that was completed just before its endpoint ended acquits nothing")
{
    PartQuarantine quarantine;
    for (Quarantine::Incarnation incarnation = 1; incarnation <= 3; ++incarnation) {
        const std::int64_t at = static_cast<std::int64_t>(incarnation) * 1000;
        quarantine.recordCompletion(run(parts({"p"}), incarnation, Core::Duration(20)), after(at));
        quarantine.recordCrash(run(parts({"p"}), incarnation, Early), after(at + 1));
    }
    CHECK(treatment(quarantine, parts({"p"}), 9000) == TreatmentKind::Refuse);
}

TEST_CASE("An answer without a stated end acquits its parts once its endpoint is known to have lived on")
{
    PartQuarantine quarantine;
    crash(quarantine, parts({"p"}), 1, 2);
    quarantine.recordCompletion(withoutStatedEnd(run(parts({"p"}), 9, Core::Duration(900))), after(2500));
    CHECK_FALSE(quarantine.areAcquitted(parts({"p"})));
    quarantine.recordAlive(9, after(2400));
    CHECK_FALSE(quarantine.areAcquitted(parts({"p"})));
    quarantine.recordAlive(9, after(2600));
    CHECK(quarantine.areAcquitted(parts({"p"})));
}

TEST_CASE("An endpoint that is heard of later has not ended")
{
    PartQuarantine quarantine;
    crash(quarantine, parts({"p"}), 1, 3);
    quarantine.recordAlive(3, after(3500));
    CHECK(treatment(quarantine, parts({"p"}), 9000) == TreatmentKind::Send);
    PartQuarantine peer;
    crash(peer, parts({"p"}), 3, 1);
    tell(peer, quarantine, 3600);
    CHECK(treatment(quarantine, parts({"p"}), 9000) == TreatmentKind::Send);
}

TEST_CASE("A completed answer that was under way lifts a verdict at every process")
{
    PartQuarantine quarantine;
    PartQuarantine peer;
    crash(quarantine, parts({"p"}), 1, 3);
    REQUIRE(treatment(quarantine, parts({"p"}), 5000) == TreatmentKind::Refuse);
    tell(quarantine, peer, 5000);
    REQUIRE(treatment(peer, parts({"p"}), 5000) == TreatmentKind::Refuse);
    peer.recordCompletion(run(parts({"p"}), 9, Core::Duration(400)), after(5100));
    CHECK(treatment(peer, parts({"p"}), 5200) == TreatmentKind::Send);
    tell(quarantine, peer, 5200);
    CHECK(treatment(peer, parts({"p"}), 5200) == TreatmentKind::Send);
    tell(peer, quarantine, 5200);
    CHECK(treatment(quarantine, parts({"p"}), 5200) == TreatmentKind::Send);
    CHECK(quarantine.verdicts().digest() == peer.verdicts().digest());
}

TEST_CASE("An operator lifts a verdict everywhere")
{
    PartQuarantine quarantine;
    PartQuarantine peer;
    crash(quarantine, parts({"p"}), 1, 3);
    REQUIRE(treatment(quarantine, parts({"p"}), 5000) == TreatmentKind::Refuse);
    tell(quarantine, peer, 5000);
    peer.verdicts().lift(parts({"p"}).front(), after(5000));
    tell(peer, quarantine, 5000);
    CHECK(treatment(quarantine, parts({"p"}), 5000) == TreatmentKind::Send);
}

TEST_CASE("Crashes that different processes have seen add up, in any order and also if they are told twice")
{
    std::vector<PartQuarantine> seen(3);
    for (std::size_t index = 0; index < seen.size(); ++index) {
        crash(seen[index], parts({"p"}), index + 1, 1);
    }
    for (const std::vector<std::size_t> &order : std::vector<std::vector<std::size_t>>{{0, 1, 2}, {2, 1, 0}, {1, 1, 2, 0, 0}}) {
        PartQuarantine quarantine;
        for (const std::size_t index : order) {
            tell(seen[index], quarantine, 4000);
        }
        CHECK(treatment(quarantine, parts({"p"}), 9000) == TreatmentKind::Refuse);
    }
}

TEST_CASE("A caller who crashes endpoints does not have the parts of others blamed")
{
    PartQuarantine quarantine;
    crash(quarantine, parts({"theirs", "p"}), 1, 3);
    REQUIRE(treatment(quarantine, parts({"theirs"}), 5000, Buyer) == TreatmentKind::Refuse);
    CHECK(treatment(quarantine, parts({"theirs"}), 5000, Other) == TreatmentKind::Send);
    // But the part is refused to all once endpoints end under it for others, too.
    crash(quarantine, parts({"p"}), 9, 1, Other);
    CHECK(treatment(quarantine, parts({"p"}), 9100, Other) == TreatmentKind::Refuse);
    CHECK(treatment(quarantine, parts({"theirs"}), 9100, Other) == TreatmentKind::Send);
}

TEST_CASE("Ten thousand new parts a second neither fill the memory nor hide a part")
{
    QuarantineSettings settings;
    PartQuarantine quarantine(1, settings);
    std::uint64_t number = 0;
    for (int second = 1; second <= 3; ++second) {
        crash(quarantine, parts({"p"}), static_cast<Quarantine::Incarnation>(second), 1);
        for (int request = 0; request < 1000; ++request) {
            Parts prompt;
            for (int index = 0; index < 10; ++index) {
                prompt.push_back(PromptPart{"drafts", std::to_string(number++)});
            }
            const std::int64_t at = second * 1000 + request % 900;
            quarantine.recordSent(prompt, after(at));
            quarantine.recordCrash(run(prompt, 1000 + number, std::nullopt), after(at));
        }
    }
    CHECK(quarantine.suspectCount() <= settings.m_maximumSuspects);
    CHECK(quarantine.historyCount() <= settings.m_maximumHistory);
    CHECK(treatment(quarantine, parts({"p"}), 9000) == TreatmentKind::Refuse);
}

TEST_CASE("Many crashes in one moment do not hide the later ones")
{
    PartQuarantine quarantine;
    for (Quarantine::Incarnation incarnation = 100; incarnation < 130; ++incarnation) {
        quarantine.recordCrash(run(parts({"p"}), incarnation, Early), after(500));
    }
    REQUIRE(treatment(quarantine, parts({"p"}), 4000) == TreatmentKind::Send);
    crash(quarantine, parts({"p"}), 5, 2);
    CHECK(treatment(quarantine, parts({"p"}), 9000) == TreatmentKind::Refuse);
}

TEST_CASE("A verdict ends when no request with the part has come for long")
{
    QuarantineSettings settings;
    PartQuarantine quarantine(1, settings);
    crash(quarantine, parts({"p"}), 1, 3);
    const std::int64_t lifetime = settings.m_verdictLifetime.count();
    REQUIRE(treatment(quarantine, parts({"p"}), 5000) == TreatmentKind::Refuse);
    REQUIRE(treatment(quarantine, parts({"p"}), lifetime) == TreatmentKind::Refuse);
    CHECK(treatment(quarantine, parts({"p"}), 2 * lifetime - 1000) == TreatmentKind::Refuse);
    CHECK(treatment(quarantine, parts({"p"}), 4 * lifetime) == TreatmentKind::Send);
}

TEST_CASE("A verdict that processes tell each other again and again ends all the same")
{
    QuarantineSettings settings;
    PartQuarantine quarantine(1, settings);
    PartQuarantine peer(2, settings);
    crash(quarantine, parts({"p"}), 1, 3);
    completeOthers(quarantine, 5000);
    quarantine.update(after(5000));
    const std::int64_t step = settings.m_verdictLifetime.count() / 10;
    for (std::int64_t at = 5000; at < 2 * settings.m_verdictLifetime.count(); at += step) {
        tell(quarantine, peer, at);
        tell(peer, quarantine, at);
        quarantine.update(after(at));
        peer.update(after(at + 1));
    }
    CHECK(quarantine.verdicts().blamed().empty());
    CHECK(peer.verdicts().blamed().empty());
}

TEST_CASE("A verdict, a crash or an answer of an age beyond all bounds is an old one")
{
    // Guards against a verdict that never ends because its age was read as a negative one.
    const std::uint64_t age = GENERATE(std::uint64_t{1} << 62, std::uint64_t{1} << 63, (std::uint64_t{1} << 63) + 1, UINT64_MAX);
    CAPTURE(age);
    Quarantine::Verdict verdict;
    verdict.m_part = PromptPart{"drafts", "p"};
    verdict.m_revision = 1;
    verdict.m_incarnations = {1, 2, 3};
    verdict.m_idleMilliseconds = age;
    Observations observations;
    observations.m_verdicts = {verdict};
    for (Quarantine::Incarnation incarnation = 1; incarnation <= 5; ++incarnation) {
        observations.m_crashes.push_back(Quarantine::CrashObservation{PromptPart{"drafts", "q"}, incarnation, Buyer, true, 1, incarnation, age});
    }
    observations.m_completions = {Quarantine::CompletionObservation{PromptPart{"drafts", "r"}, age}};
    PartQuarantine quarantine(1, QuarantineSettings{});
    quarantine.merge(observations, Start);
    quarantine.update(after(1000));
    CHECK(quarantine.verdicts().blamed().empty());
    CHECK(treatment(quarantine, parts({"p", "q"}), 1000) == TreatmentKind::Send);
}
