/// @file Tests of admission and of the retry delays under more load than the engines can handle.

#include "LibPlacement/Admission.h"
#include "LibPlacement/Choice.h"
#include "LibPlacement/EngineForecast.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1000000);
constexpr std::size_t Entries = 13;
constexpr std::size_t Engines = 16;
constexpr int Slots = 16;
constexpr double RequestsPerSecond = 220; ///< 1.4 times the rate at which the engines below finish requests.
constexpr double ServiceMilliseconds = 1632; ///< Mean time of a request. 16 slots finish 9.8 requests per second.
constexpr int StepMilliseconds = 2;
constexpr int ReportMilliseconds = 180;
constexpr int SimulatedMilliseconds = 10000;
constexpr double MaximumTimelyWaitMilliseconds = 200; ///< Longest wait after which an answer still begins within an objective of 400 ms.

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

/// An engine that runs requests in its slots in order of arrival.
struct SimulatedEngine
{
    std::vector<double> m_endsAt; ///< One element for each used slot.
    std::vector<double> m_waitingSince;

    int load() const
    {
        return static_cast<int>(m_endsAt.size() + m_waitingSince.size());
    }
};

struct Outcome
{
    int m_requests = 0;
    int m_inTime = 0;
    int m_late = 0;
    int m_refused = 0;
};

/// Simulates sustained overload. @p useSlotTracker: entries admit by their share of the slots. Otherwise each sends to the better of two engines by its own
/// count of their load.
Outcome simulate(bool useSlotTracker)
{
    const Fleet::EngineModel model = engineModel();
    const Placement::AdmissionSettings settings;
    Core::Random random(11);
    std::vector<SimulatedEngine> engines(Engines);
    std::vector<Placement::SlotTracker> trackers(Entries);
    std::vector<std::vector<int>> knownLoads(Entries, std::vector<int>(Engines, 0)); ///< Load of each engine as known to each entry.
    for (Placement::SlotTracker &tracker : trackers) {
        tracker.setShare(1.0 / Entries);
    }
    Outcome outcome;
    for (int time = 0; time < SimulatedMilliseconds; time += StepMilliseconds) {
        const Core::Instant now = Start + Core::Duration(time);
        for (std::size_t index = 0; index < Engines; ++index) {
            SimulatedEngine &engine = engines[index];
            std::erase_if(engine.m_endsAt, [time](double end) { return end <= time; });
            while (engine.m_endsAt.size() < Slots && !engine.m_waitingSince.empty()) {
                const double waited = time - engine.m_waitingSince.front();
                ++(waited <= MaximumTimelyWaitMilliseconds ? outcome.m_inTime : outcome.m_late);
                engine.m_waitingSince.erase(engine.m_waitingSince.begin());
                engine.m_endsAt.push_back(time + ServiceMilliseconds * (0.5 + random.unit()));
            }
            const bool isReporting = (time / StepMilliseconds + static_cast<int>(index)) % (ReportMilliseconds / StepMilliseconds) == 0;
            for (std::size_t entry = 0; isReporting && entry < Entries; ++entry) {
                const std::uint32_t running = static_cast<std::uint32_t>(engine.m_endsAt.size());
                const std::uint32_t waiting = static_cast<std::uint32_t>(engine.m_waitingSince.size());
                trackers[entry].recordReport(std::to_string(index), Placement::reportedSlots(model, running, waiting, 1), now);
                knownLoads[entry][index] = engine.load();
            }
        }
        if (random.unit() >= RequestsPerSecond * StepMilliseconds / 1000) {
            continue;
        }
        ++outcome.m_requests;
        const std::size_t entry = random.below(Entries);
        const Placement::AdmissionView view{trackers[entry].reportingEngines(now), trackers[entry].share()};
        const double needed = Placement::neededSlots(view, settings);
        const bool isRefused = useSlotTracker && trackers[entry].totalFreeSlots(now).value_or(needed) < needed;
        if (isRefused) {
            ++outcome.m_refused;
            continue;
        }
        std::vector<std::size_t> open;
        for (std::size_t index = 0; index < Engines; ++index) {
            if (!useSlotTracker || trackers[entry].freeSlots(std::to_string(index), now) > 0) {
                open.push_back(index);
            }
        }
        const std::size_t first = open[random.below(open.size())];
        const std::size_t second = open[random.below(open.size())];
        const std::size_t chosen = knownLoads[entry][first] <= knownLoads[entry][second] ? first : second;
        ++knownLoads[entry][chosen];
        trackers[entry].recordSent(std::to_string(chosen));
        engines[chosen].m_waitingSince.push_back(time);
    }
    return outcome;
}

}

TEST_CASE("under sustained overload the admitted requests are answered in time")
{
    // Load is 1.4 times the fleet's capacity. If every request is admitted, the queues grow until all answers are late and callers give up. If all entries
    // send to the engines that looked free in the last report, a few engines get all requests.
    const Outcome open = simulate(false);
    const Outcome shared = simulate(true);
    CAPTURE(open.m_inTime, open.m_late, shared.m_inTime, shared.m_late, shared.m_refused, shared.m_requests);
    CHECK(shared.m_late < shared.m_inTime / 10);
    CHECK(shared.m_inTime > 2 * open.m_inTime);
    // The engines stay busy: they finish most of what they can in the simulated time, with an allowance for the first seconds.
    CHECK(shared.m_inTime + shared.m_late > 0.85 * Engines * Slots * SimulatedMilliseconds / ServiceMilliseconds);
}

TEST_CASE("the shares of all processes add up to the reported slots")
{
    std::vector<Placement::SlotTracker> trackers(3);
    const std::vector<double> shares{0.5, 0.3, 0.2};
    double sum = 0;
    for (std::size_t index = 0; index < trackers.size(); ++index) {
        trackers[index].setShare(shares[index]);
        trackers[index].recordReport("engine", Placement::ReportedSlots{4, 18, 10}, Start);
        sum += trackers[index].freeSlots("engine", Start);
    }
    CHECK(sum == Approx(4));
    trackers[0].recordSent("engine");
    CHECK(trackers[0].freeSlots("engine", Start) == Approx(1));
    CHECK(trackers[0].freeSlots("engine", Start + Core::Duration(200)) == Approx(2));
}

TEST_CASE("without recent reports no request is refused for lack of slots")
{
    Placement::SlotTracker tracker;
    CHECK_FALSE(tracker.totalFreeSlots(Start));
    tracker.recordReport("engine", Placement::ReportedSlots{0, 18, 10}, Start);
    CHECK(tracker.totalFreeSlots(Start));
    CHECK_FALSE(tracker.totalFreeSlots(Start + Core::Duration(5000)));
}

TEST_CASE("a retry is distinguished from a first attempt by its shorter timeout")
{
    Placement::ElapsedTimeEstimator estimator;
    constexpr int firstAttempts = 30;
    for (int caller = 0; caller < firstAttempts; ++caller) {
        CHECK(estimator.estimateElapsed("route", Core::Duration(6000), Start) == Core::Duration(0));
    }
    CHECK(estimator.estimateElapsed("route", Core::Duration(5200), Start) == Core::Duration(800));
    CHECK(estimator.estimateElapsed("other", Core::Duration(1000), Start) == Core::Duration(0));
}

TEST_CASE("first attempts with different timeouts are not treated as retries")
{
    // Guards against treating half of the first attempts as late when callers state timeouts between 5.1 and 6 s.
    Placement::ElapsedTimeEstimator estimator;
    constexpr int callers = 60;
    for (int caller = 0; caller < callers; ++caller) {
        estimator.estimateElapsed("route", Core::Duration(6000 - 15 * caller), Start + Core::Duration(100 * caller));
    }
    const Core::Instant later = Start + Core::Duration(callers * 100);
    CHECK(estimator.estimateElapsed("route", Core::Duration(5200), later) == Core::Duration(0));
    CHECK(estimator.estimateElapsed("route", Core::Duration(4000), later) > Core::Duration(1000));
}

TEST_CASE("the timeouts of retries do not widen the range of timeouts expected of first attempts")
{
    // Guards against learning from a period of refusals that all requests are first attempts.
    Placement::ElapsedTimeEstimator estimator;
    constexpr int callers = 60;
    for (int caller = 0; caller < callers; ++caller) {
        estimator.estimateElapsed("route", Core::Duration(6000), Start + Core::Duration(100 * caller));
    }
    const Core::Instant later = Start + Core::Duration(callers * 100);
    estimator.recordRefusal(later);
    for (int caller = 0; caller < callers; ++caller) {
        estimator.estimateElapsed("route", Core::Duration(5300), later + Core::Duration(20 * caller));
    }
    CHECK(estimator.estimateElapsed("route", Core::Duration(5300), later + Core::Duration(1500)) == Core::Duration(700));
}

TEST_CASE("a few requests may queue at the engines")
{
    // Guards against engines that idle between two reports while callers are refused.
    const Placement::AdmissionSettings settings;
    CHECK(Placement::neededSlots(Placement::AdmissionView{16, 0.1}, settings) < settings.m_slotsPerRequest);
    CHECK(Placement::neededSlots(Placement::AdmissionView{0, 0.1}, settings) == settings.m_slotsPerRequest);
}

TEST_CASE("refused callers are told to retry when capacity is expected, within the bounds")
{
    const Placement::AdmissionSettings settings;
    const Placement::QueueForecast forecast{Core::Duration(0), 0, 20, 10};
    CHECK(Placement::retryAfter(forecast, 0, settings) == settings.m_minimumRetryAfter);
    CHECK(Placement::retryAfter(forecast, 1000, settings) == settings.m_maximumRetryAfter);
    const Core::Duration one = Placement::retryAfter(forecast, 4, settings);
    const Core::Duration two = Placement::retryAfter(forecast, 9, settings);
    CHECK(one > settings.m_minimumRetryAfter);
    CHECK(two > one);
    // If timely arrivals alone exceed the capacity, or if no engine is known, the longest delay is used.
    CHECK(Placement::retryAfter(Placement::QueueForecast{Core::Duration(0), 0, 10, 12}, 0, settings) == settings.m_maximumRetryAfter);
    CHECK(Placement::retryAfter(Placement::QueueForecast{}, 1, settings) == settings.m_maximumRetryAfter);
}

TEST_CASE("callers refused for lack of weights are told to retry when a version can have arrived")
{
    // After a power loss of all instances the engines restart without weights. Callers with a timeout of 6 s that retry after 0.3 s are refused again before
    // any engine serves, and give up.
    Core::Random random(4);
    Core::Duration shortest{6000};
    Core::Duration longest{0};
    for (int caller = 0; caller < 100; ++caller) {
        const Core::Duration delay = Placement::retryAfterWithoutWeights(Core::Duration(6000), random);
        shortest = std::min(shortest, delay);
        longest = std::max(longest, delay);
    }
    CHECK(shortest >= Core::Duration(1700));
    CHECK(longest <= Core::Duration(2000));
    CHECK(longest - shortest > Core::Duration(200));
    CHECK(Placement::retryAfterWithoutWeights(Core::Duration(-5), random) == Core::Duration(0));
}

TEST_CASE("An engine that has stated a limit counts with what it takes, not with its slots")
{
    const Placement::ReportedSlots slots{16, 16, 40};
    CHECK(Placement::limitedSlots(slots, 2, Core::Duration(500)) == Placement::ReportedSlots{1, 16, 2});
    CHECK(Placement::limitedSlots(Placement::ReportedSlots{-3, 16, 40}, 2, Core::Duration(500)) == Placement::ReportedSlots{-3, 16, 2});
    CHECK(Placement::limitedSlots(slots, 1000, Core::Duration(500)) == slots);
}
