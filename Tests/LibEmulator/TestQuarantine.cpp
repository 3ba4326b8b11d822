/// @file Tests that emulated fleets of entries keep requests from engines which end under them, and serve the others.

#include "LibEmulator/QuarantineEmulator.h"

#include <catch2/catch.hpp>

using Emulator::play;
using Emulator::QuarantineExperiment;
using Emulator::QuarantineOutcome;

namespace {

constexpr std::size_t AllowedLateArrivals = 3; ///< For each part.
constexpr double AllowedRefusals = 0.01; ///< Share of the sound requests.

void check(const QuarantineExperiment &experiment)
{
    const QuarantineOutcome outcome = play(experiment);
    CAPTURE(experiment.m_seed, outcome.m_crashes, outcome.m_soundHeld, outcome.m_wronglyBlamed);
    CHECK(outcome.m_lateArrivals <= AllowedLateArrivals * experiment.m_crashingParts);
    CHECK(static_cast<double>(outcome.m_soundRefused) <= AllowedRefusals * static_cast<double>(outcome.m_soundRequests));
}

}

TEST_CASE("Crashes that different entries see keep later requests with the part from all engines")
{
    QuarantineExperiment experiment;
    experiment.m_seed = GENERATE(1, 2, 3);
    experiment.m_crashingParts = GENERATE(1, 3);
    check(experiment);
}

TEST_CASE("A part that ends engines from the first second on is told from the parts that all prompts have")
{
    QuarantineExperiment experiment;
    experiment.m_seed = GENERATE(4, 5, 6);
    experiment.m_begin = Core::Duration(0);
    check(experiment);
}

TEST_CASE("A loss of power and engines that end for other reasons have no sound part blamed for long")
{
    QuarantineExperiment experiment;
    experiment.m_seed = GENERATE(7, 8, 9);
    experiment.m_powerLosses = {Core::Duration(7000)};
    experiment.m_otherCrashesPerSecond = 2;
    experiment.m_crashingPerSecond = GENERATE(0.0, 4.0);
    check(experiment);
}

TEST_CASE("Entries that have forgotten everything learn from the others")
{
    QuarantineExperiment experiment;
    experiment.m_seed = GENERATE(10, 11, 12);
    experiment.m_entriesRestart = Core::Duration(12000);
    check(experiment);
}

TEST_CASE("A fleet of 150 entries that loses a fifth of its messages learns in time")
{
    QuarantineExperiment experiment;
    experiment.m_seed = 13;
    experiment.m_entries = 150;
    experiment.m_engines = 156;
    experiment.m_requestsPerSecond = 1165;
    experiment.m_lossShare = 0.2;
    experiment.m_duration = Core::Duration(15000);
    check(experiment);
}

TEST_CASE("Three engines end under a request in a fleet, however often its caller sends it to whichever entry")
{
    QuarantineExperiment experiment;
    experiment.m_seed = GENERATE(21, 22, 23);
    experiment.m_crashingPerSecond = 0;
    experiment.m_crashingCallers = GENERATE(1, 3);
    experiment.m_callerAttempts = 3;
    experiment.m_maximumAttempts = GENERATE(1, 2);
    experiment.m_entriesRestart = GENERATE(Core::Duration(5600), Core::Duration(12000));
    experiment.m_lossShare = 0;
    const QuarantineOutcome outcome = play(experiment);
    CAPTURE(experiment.m_seed, outcome.m_requestCrashes, outcome.m_soundHeld);
    CHECK(outcome.m_requestCrashes >= experiment.m_crashingCallers);
    CHECK(outcome.m_crashesAfterThird == 0);
    CHECK(static_cast<double>(outcome.m_soundBlamed) <= AllowedRefusals * static_cast<double>(outcome.m_soundRequests));
}

TEST_CASE("Losses of power make no entry refuse a request that was at an engine each time")
{
    QuarantineExperiment experiment;
    experiment.m_seed = GENERATE(24, 25, 26);
    experiment.m_crashingPerSecond = 0;
    experiment.m_callerAttempts = 3;
    for (std::int64_t at = 3000; at < 20000; at += 2400) {
        experiment.m_powerLosses.emplace_back(at);
    }
    const QuarantineOutcome outcome = play(experiment);
    CAPTURE(experiment.m_seed, outcome.m_soundRequests);
    CHECK(outcome.m_soundBlamed == 0);
}
