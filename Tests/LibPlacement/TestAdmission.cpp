/// @file Load beyond what the engines can do: who is admitted, and what callers get.

#include "LibPlacement/Admission.h"
#include "LibPlacement/Choice.h"
#include "LibPlacement/EngineForecast.h"
#include "LibPlacement/RetryBudgets.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1000000);
constexpr std::size_t Entries = 13;
constexpr std::size_t Engines = 16;
constexpr int Slots = 16;
constexpr double RequestsPerSecond = 220; ///< 1.4 times what the engines below finish.
constexpr double ServiceMilliseconds = 1632; ///< 16 slots that each take so long finish 9.8 requests a second.
constexpr int StepMilliseconds = 2;
constexpr int ReportMilliseconds = 180;
constexpr int PlayedMilliseconds = 10000;
constexpr double MostInTimeMilliseconds = 200; ///< Longest queue after which an answer still begins within an objective of 400 ms.

Fleet::EngineModel engineModel()
{
    Fleet::EngineModel engine;
    engine.m_slots = Slots;
    engine.m_stepMilliseconds = 9.27;
    engine.m_stepMillisecondsPerRequest = 0.0232;
    engine.m_promptTokensPerSecond = 20700;
    engine.m_usualPromptTokens = 979;
    engine.m_usualAnswerTokens = 92;
    return engine;
}

/// An engine that takes requests into its slots in the order in which they came.
struct ModelledEngine
{
    std::vector<double> m_endsAt; ///< One element for each taken slot.
    std::vector<double> m_waitingSince;

    int load() const
    {
        return static_cast<int>(m_endsAt.size() + m_waitingSince.size());
    }
};

struct Outcome
{
    int m_asked = 0;
    int m_inTime = 0;
    int m_late = 0;
    int m_refused = 0;
};

/// Plays sustained overload. @p useLedger: entries admit by their parts of the places; else each sends to the best of two engines by its own count.
Outcome play(bool useLedger)
{
    const Fleet::EngineModel model = engineModel();
    const Placement::AdmissionSettings settings;
    Core::Random random(11);
    std::vector<ModelledEngine> engines(Engines);
    std::vector<Placement::SlotTracker> ledgers(Entries);
    std::vector<std::vector<int>> seen(Entries, std::vector<int>(Engines, 0)); ///< Load of each engine as each entry believes it.
    for (Placement::SlotTracker &ledger : ledgers) {
        ledger.setShare(1.0 / Entries);
    }
    Outcome outcome;
    for (int time = 0; time < PlayedMilliseconds; time += StepMilliseconds) {
        const Core::Instant now = Start + Core::Duration(time);
        for (std::size_t index = 0; index < Engines; ++index) {
            ModelledEngine &engine = engines[index];
            std::erase_if(engine.m_endsAt, [time](double end) { return end <= time; });
            while (engine.m_endsAt.size() < Slots && !engine.m_waitingSince.empty()) {
                const double waited = time - engine.m_waitingSince.front();
                ++(waited <= MostInTimeMilliseconds ? outcome.m_inTime : outcome.m_late);
                engine.m_waitingSince.erase(engine.m_waitingSince.begin());
                engine.m_endsAt.push_back(time + ServiceMilliseconds * (0.5 + random.unit()));
            }
            const bool reportsNow = (time / StepMilliseconds + static_cast<int>(index)) % (ReportMilliseconds / StepMilliseconds) == 0;
            for (std::size_t entry = 0; reportsNow && entry < Entries; ++entry) {
                const std::uint32_t running = static_cast<std::uint32_t>(engine.m_endsAt.size());
                const std::uint32_t waiting = static_cast<std::uint32_t>(engine.m_waitingSince.size());
                ledgers[entry].recordReport(std::to_string(index), Placement::reportedSlots(model, running, waiting, 1), now);
                seen[entry][index] = engine.load();
            }
        }
        if (random.unit() >= RequestsPerSecond * StepMilliseconds / 1000) {
            continue;
        }
        ++outcome.m_asked;
        const std::size_t entry = random.below(Entries);
        const Placement::AdmissionView view{ledgers[entry].reportingEngines(now), ledgers[entry].share()};
        const double needed = Placement::neededSlots(view, settings);
        const bool isRefused = useLedger && ledgers[entry].totalFreeSlots(now).value_or(needed) < needed;
        if (isRefused) {
            ++outcome.m_refused;
            continue;
        }
        std::vector<std::size_t> open;
        for (std::size_t index = 0; index < Engines; ++index) {
            if (!useLedger || ledgers[entry].freeSlots(std::to_string(index), now) > 0) {
                open.push_back(index);
            }
        }
        const std::size_t first = open[random.below(open.size())];
        const std::size_t second = open[random.below(open.size())];
        const std::size_t chosen = seen[entry][first] <= seen[entry][second] ? first : second;
        ++seen[entry][chosen];
        ledgers[entry].recordSent(std::to_string(chosen));
        engines[chosen].m_waitingSince.push_back(time);
    }
    return outcome;
}

}

TEST_CASE("under sustained overload the engines answer in time those whom they take")
{
    // A burst asks for 1.4 times what the fleet can do. If everybody is taken, the queues grow until every answer is late and callers give up; if
    // all entries send to whatever looked free in the last report, a few engines get everything.
    const Outcome open = play(false);
    const Outcome dealt = play(true);
    CAPTURE(open.m_inTime, open.m_late, dealt.m_inTime, dealt.m_late, dealt.m_refused, dealt.m_asked);
    CHECK(dealt.m_late < dealt.m_inTime / 10);
    CHECK(dealt.m_inTime > 2 * open.m_inTime);
    // The engines stay busy: what they can finish in the time played, less the first seconds' slack.
    CHECK(dealt.m_inTime + dealt.m_late > 0.85 * Engines * Slots * PlayedMilliseconds / ServiceMilliseconds);
}

TEST_CASE("the parts of all processes add up to the places that were reported")
{
    std::vector<Placement::SlotTracker> ledgers(3);
    const std::vector<double> shares{0.5, 0.3, 0.2};
    double sum = 0;
    for (std::size_t index = 0; index < ledgers.size(); ++index) {
        ledgers[index].setShare(shares[index]);
        ledgers[index].recordReport("engine", Placement::ReportedSlots{4, 18, 10}, Start);
        sum += ledgers[index].freeSlots("engine", Start);
    }
    CHECK(sum == Approx(4));
    ledgers[0].recordSent("engine");
    CHECK(ledgers[0].freeSlots("engine", Start) == Approx(1));
    CHECK(ledgers[0].freeSlots("engine", Start + Core::Duration(200)) == Approx(2));
}

TEST_CASE("without recent reports nobody is refused for want of places")
{
    Placement::SlotTracker ledger;
    CHECK_FALSE(ledger.totalFreeSlots(Start));
    ledger.recordReport("engine", Placement::ReportedSlots{0, 18, 10}, Start);
    CHECK(ledger.totalFreeSlots(Start));
    CHECK_FALSE(ledger.totalFreeSlots(Start + Core::Duration(5000)));
}

TEST_CASE("a caller that comes back is told from a fresh one by the time that it has left")
{
    Placement::ElapsedTimeEstimator patience;
    constexpr int fresh = 30;
    for (int caller = 0; caller < fresh; ++caller) {
        CHECK(patience.estimateElapsed("route", Core::Duration(6000), Start) == Core::Duration(0));
    }
    CHECK(patience.estimateElapsed("route", Core::Duration(5200), Start) == Core::Duration(800));
    CHECK(patience.estimateElapsed("other", Core::Duration(1000), Start) == Core::Duration(0));
}

TEST_CASE("fresh callers that state different times are not taken for ones that come back")
{
    // Guards against treating half of the fresh requests as late ones where callers state between 5.1 and 6 s.
    Placement::ElapsedTimeEstimator patience;
    constexpr int callers = 60;
    for (int caller = 0; caller < callers; ++caller) {
        patience.estimateElapsed("route", Core::Duration(6000 - 15 * caller), Start + Core::Duration(100 * caller));
    }
    const Core::Instant later = Start + Core::Duration(callers * 100);
    CHECK(patience.estimateElapsed("route", Core::Duration(5200), later) == Core::Duration(0));
    CHECK(patience.estimateElapsed("route", Core::Duration(4000), later) > Core::Duration(1000));
}

TEST_CASE("callers that come back do not widen the range of what fresh ones state")
{
    // Guards against learning from a spell of refusals that everybody is fresh.
    Placement::ElapsedTimeEstimator patience;
    constexpr int callers = 60;
    for (int caller = 0; caller < callers; ++caller) {
        patience.estimateElapsed("route", Core::Duration(6000), Start + Core::Duration(100 * caller));
    }
    const Core::Instant later = Start + Core::Duration(callers * 100);
    patience.recordRefusal(later);
    for (int caller = 0; caller < callers; ++caller) {
        patience.estimateElapsed("route", Core::Duration(5300), later + Core::Duration(20 * caller));
    }
    CHECK(patience.estimateElapsed("route", Core::Duration(5300), later + Core::Duration(1500)) == Core::Duration(700));
}

TEST_CASE("a few requests may queue at the engines")
{
    // Guards against engines that idle between two reports while callers are refused.
    const Placement::AdmissionSettings settings;
    CHECK(Placement::neededSlots(Placement::AdmissionView{16, 0.1}, settings) < settings.m_slotsPerRequest);
    CHECK(Placement::neededSlots(Placement::AdmissionView{0, 0.1}, settings) == settings.m_slotsPerRequest);
}

TEST_CASE("members that come and go do not refill the budget for repeats")
{
    // Two processes ran slowly, so that their heartbeats came and went. Each return filled the buckets of all others, and together they repeated
    // more than the budget allows.
    Placement::RetryBudgets budgets(Placement::RetryBudgetSettings{0.2, 26, 1});
    budgets.setProcessCount(13);
    int repeats = 0;
    for (std::size_t change = 0; change < 20; ++change) {
        budgets.setProcessCount(12 + change % 2);
        while (budgets.tryRetry("drafts")) {
            ++repeats;
        }
    }
    CHECK(repeats <= 2);
}

TEST_CASE("callers that are refused come back when there is room, neither at once nor too late")
{
    const Placement::AdmissionSettings settings;
    const Placement::QueueForecast spare{Core::Duration(0), 0, 20, 10};
    CHECK(Placement::retryAfter(spare, 0, settings) == settings.m_minimumRetryAfter);
    CHECK(Placement::retryAfter(spare, 1000, settings) == settings.m_maximumRetryAfter);
    const Core::Duration one = Placement::retryAfter(spare, 4, settings);
    const Core::Duration two = Placement::retryAfter(spare, 9, settings);
    CHECK(one > settings.m_minimumRetryAfter);
    CHECK(two > one);
    // Fresh requests alone take more than the engines do, or no engine is known: a later time is the better one.
    CHECK(Placement::retryAfter(Placement::QueueForecast{Core::Duration(0), 0, 10, 12}, 0, settings) == settings.m_maximumRetryAfter);
    CHECK(Placement::retryAfter(Placement::QueueForecast{}, 1, settings) == settings.m_maximumRetryAfter);
}

TEST_CASE("callers that find no engine with the weights come back when a version can have arrived")
{
    // All instances lose power, and the engines come back empty. Callers with six seconds that were told 0.3 s came back before any engine served, were
    // refused again and gave up.
    Core::Random random(4);
    Core::Duration least{6000};
    Core::Duration most{0};
    for (int caller = 0; caller < 100; ++caller) {
        const Core::Duration told = Placement::retryAfterWithoutWeights(Core::Duration(6000), random);
        least = std::min(least, told);
        most = std::max(most, told);
    }
    CHECK(least >= Core::Duration(1700));
    CHECK(most <= Core::Duration(2000));
    CHECK(most - least > Core::Duration(200));
    CHECK(Placement::retryAfterWithoutWeights(Core::Duration(-5), random) == Core::Duration(0));
}
