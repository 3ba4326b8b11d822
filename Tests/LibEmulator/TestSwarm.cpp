/// @file Plays the distribution of a version to a fleet in emulated time, and checks how long the replicas wait for it and what the origin sends.

#include "LibEmulator/SwarmEmulator.h"

#include <catch2/catch.hpp>

namespace {

using Emulator::SwarmParameters;
using Emulator::SwarmResult;

constexpr std::size_t Replicas = 98;

SwarmParameters fleet()
{
    SwarmParameters parameters;
    parameters.m_replicasPerRegion = {33, 33, 32};
    return parameters;
}

/// Returns the time in which an instance's link, or that of the origin, carries a complete version.
Core::Duration copyTime(const SwarmParameters &parameters)
{
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMegabit = 1e6;
    const double bits = static_cast<double>(parameters.m_chunkBytes) * parameters.m_chunkCount * bitsPerByte;
    const std::chrono::duration<double> seconds(bits / (std::min(parameters.m_originRate, parameters.m_instanceRate) * bitsPerMegabit));
    return std::chrono::duration_cast<Core::Duration>(seconds);
}

}

TEST_CASE("A version reaches every replica in less than twice the time of a copy, with one copy from the origin")
{
    // Guards against downloads that all share the origin's link and end late, and against uploaders that are idle while others have long queues.
    const SwarmParameters parameters = fleet();
    const SwarmResult result = Emulator::emulateSwarm(parameters);
    REQUIRE(result.m_completedAfter.size() == Replicas);
    CHECK(result.m_completedAfter.back() < 2 * copyTime(parameters));
    CHECK(result.m_originCopies < 1.1);
    CHECK(result.m_probes == 0);
}

TEST_CASE("A replica that does not know the origin's rate still completes")
{
    SwarmParameters parameters = fleet();
    parameters.m_isOriginRateKnown = false;
    const SwarmResult result = Emulator::emulateSwarm(parameters);
    REQUIRE(result.m_completedAfter.size() == Replicas);
    CHECK(result.m_originCopies < 1.5);
}

TEST_CASE("After an outage of the origin the remaining chunks reach every replica in about a second")
{
    // Guards against replicas that request all chunks at once, or again, when the origin recovers. No engine can answer once the version's bound has passed.
    SwarmParameters parameters = fleet();
    const Core::Duration outageEnd(8500);
    parameters.m_originOutage = Emulator::Span{Core::Duration(2500), outageEnd};
    const SwarmResult result = Emulator::emulateSwarm(parameters);
    REQUIRE(result.m_completedAfter.size() == Replicas);
    CHECK(result.m_completedAfter.back() < outageEnd + Core::Duration(1300));
    CHECK(result.m_originCopies < 1.1);
}

TEST_CASE("A version that is declared during an outage of the origin is drawn once, in order, after its end")
{
    SwarmParameters parameters = fleet();
    const Core::Duration outageEnd(5500);
    parameters.m_originOutage = Emulator::Span{Core::Duration(0), outageEnd};
    const SwarmResult result = Emulator::emulateSwarm(parameters);
    REQUIRE(result.m_completedAfter.size() == Replicas);
    CHECK(result.m_completedAfter.back() < outageEnd + 2 * copyTime(parameters));
    CHECK(result.m_originCopies < 1.1);
    constexpr std::uint64_t probesPerReplica = 60; // One each 100 ms of the outage.
    CHECK(result.m_probes <= Replicas * probesPerReplica);
}

TEST_CASE("Corrupt chunks from the origin delay a version by little")
{
    SwarmParameters parameters = fleet();
    parameters.m_corruptShare = 0.04;
    const SwarmResult result = Emulator::emulateSwarm(parameters);
    REQUIRE(result.m_completedAfter.size() == Replicas);
    CHECK(result.m_completedAfter.back() < 2 * copyTime(parameters));
    CHECK(result.m_originCopies < 1.2);
}

TEST_CASE("Slow links of some replicas do not hold back the others")
{
    SwarmParameters parameters = fleet();
    parameters.m_slowShare = 0.12;
    parameters.m_limit = Core::Duration(12000);
    const SwarmResult result = Emulator::emulateSwarm(parameters);
    const std::size_t normal = Replicas * 8 / 10;
    REQUIRE(result.m_completedAfter.size() >= normal);
    CHECK(result.m_completedAfter[normal - 1] < 2 * copyTime(parameters) + Core::Duration(1000));
}

TEST_CASE("Equal parameters give equal results")
{
    SwarmParameters parameters = fleet();
    parameters.m_replicasPerRegion = {5, 4};
    CHECK(Emulator::emulateSwarm(parameters) == Emulator::emulateSwarm(parameters));
}

TEST_CASE("Replicas that join during a version do not download again what others are downloading")
{
    // Guards against a second plan by which other replicas download chunks that are on their way.
    SwarmParameters parameters;
    parameters.m_replicasPerRegion = {8};
    parameters.m_chunkCount = 16;
    parameters.m_isOriginRateKnown = false;
    parameters.m_joiningShare = 0.5;
    parameters.m_joinDelay = Core::Duration(120);
    parameters.m_startSpread = Core::Duration(10);
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        parameters.m_seed = seed;
        const SwarmResult result = Emulator::emulateSwarm(parameters);
        REQUIRE(result.m_completedAfter.size() == parameters.m_replicasPerRegion.front());
        CHECK(result.m_originCopies < 1.1);
    }
}

TEST_CASE("Replicas that join a large fleet during a version do not download again what others are downloading")
{
    SwarmParameters parameters = fleet();
    parameters.m_joiningShare = 0.5;
    parameters.m_joinDelay = Core::Duration(1000);
    const SwarmResult result = Emulator::emulateSwarm(parameters);
    REQUIRE(result.m_completedAfter.size() == Replicas);
    CHECK(result.m_originCopies < 1.1);
}

TEST_CASE("Replicas that restart without chunks during a version do not download what others have taken over from them")
{
    SwarmParameters parameters = fleet();
    parameters.m_restartingShare = 0.3;
    const SwarmResult result = Emulator::emulateSwarm(parameters);
    REQUIRE(result.m_completedAfter.size() == Replicas);
    CHECK(result.m_originCopies < 1.1);
}
