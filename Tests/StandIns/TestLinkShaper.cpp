/// @file Tests that links keep their rate, share it evenly and let short flows pass first, with a simulated clock.

#include "LibStandInNetwork/LinkShaper.h"
#include "LibStandInNetwork/Topology.h"

#include <catch2/catch.hpp>
#include <map>

namespace {

constexpr double Rate = 1e6;
constexpr std::size_t Plenty = 100 << 20;

/// A shaper with a simulated clock that advances from one wake-up to the next.
struct Simulation
{
    StandIn::LinkShaper m_shaper;
    Core::Instant m_start{};
    Core::Instant m_now{};
    std::map<StandIn::FlowId, std::size_t> m_granted;
    std::map<StandIn::FlowId, double> m_lastGrant; ///< In seconds since the start of the simulation.

    void take(const std::vector<StandIn::Grant> &grants)
    {
        for (const StandIn::Grant &grant : grants) {
            m_granted[grant.m_flow] += grant.m_bytes;
            m_lastGrant[grant.m_flow] = Core::secondsBetween(m_start, m_now);
        }
    }

    void add(StandIn::FlowId flow, std::size_t bytes)
    {
        std::vector<StandIn::Grant> grants;
        m_shaper.addBacklog(flow, bytes, m_now, grants);
        take(grants);
    }

    void runUntil(double seconds)
    {
        const Core::Instant end = m_start + std::chrono::duration_cast<Core::Clock::duration>(std::chrono::duration<double>(seconds));
        std::optional<Core::Instant> wake = m_shaper.nextWake();
        while (wake && *wake <= end) {
            m_now = std::max(m_now, *wake);
            std::vector<StandIn::Grant> grants;
            m_shaper.advance(m_now, grants);
            take(grants);
            wake = m_shaper.nextWake();
        }
        m_now = end;
    }
};

double inSeconds(std::size_t bytes)
{
    return static_cast<double>(bytes) / Rate;
}

}

TEST_CASE("A link carries no more than its rate")
{
    Simulation simulation;
    simulation.m_shaper.addFlow(1, {simulation.m_shaper.addLink(Rate, simulation.m_now)});
    simulation.add(1, Plenty);
    simulation.runUntil(10);
    REQUIRE(inSeconds(simulation.m_granted[1]) == Approx(10).margin(0.04));
}

TEST_CASE("An idle link accumulates no more than a short burst")
{
    Simulation simulation;
    simulation.m_shaper.addFlow(1, {simulation.m_shaper.addLink(Rate, simulation.m_now)});
    simulation.runUntil(100);
    simulation.add(1, Plenty);
    simulation.runUntil(101);
    REQUIRE(inSeconds(simulation.m_granted[1]) == Approx(1).margin(0.04));
}

TEST_CASE("Bulk flows share a link evenly")
{
    Simulation simulation;
    const StandIn::LinkId link = simulation.m_shaper.addLink(Rate, simulation.m_now);
    for (StandIn::FlowId flow = 1; flow <= 5; ++flow) {
        simulation.m_shaper.addFlow(flow, {link});
        simulation.add(flow, Plenty);
    }
    simulation.runUntil(10);
    for (StandIn::FlowId flow = 1; flow <= 5; ++flow) {
        REQUIRE(inSeconds(simulation.m_granted[flow]) == Approx(2).margin(0.05));
    }
}

TEST_CASE("A bulk flow that starts later does not overtake waiting flows")
{
    Simulation simulation;
    const StandIn::LinkId link = simulation.m_shaper.addLink(Rate, simulation.m_now);
    for (StandIn::FlowId flow = 1; flow <= 3; ++flow) {
        simulation.m_shaper.addFlow(flow, {link});
    }
    simulation.add(1, StandIn::LinkShaper::QuantumBytes);
    simulation.add(2, StandIn::LinkShaper::QuantumBytes);
    simulation.m_now += std::chrono::milliseconds(20);
    simulation.add(3, StandIn::LinkShaper::QuantumBytes);
    REQUIRE(simulation.m_granted[3] == 0);
    simulation.runUntil(0.02);
    REQUIRE(simulation.m_granted[2] == StandIn::LinkShaper::QuantumBytes);
    REQUIRE(simulation.m_granted[3] == 0);
}

TEST_CASE("A request does not wait behind transfers")
{
    // Fifty transfers saturate an instance's link. If a request waited behind all of them, it would wait for fifty quanta, most of a
    // second here, and answers to callers would stall whenever new weights are distributed.
    Simulation simulation;
    const StandIn::LinkId link = simulation.m_shaper.addLink(Rate, simulation.m_now);
    for (StandIn::FlowId flow = 1; flow <= 50; ++flow) {
        simulation.m_shaper.addFlow(flow, {link});
        simulation.add(flow, Plenty);
    }
    simulation.runUntil(5);
    simulation.m_shaper.addFlow(99, {link});
    simulation.add(99, 500);
    simulation.runUntil(10);
    REQUIRE(simulation.m_granted[99] == 500);
    REQUIRE(simulation.m_lastGrant[99] - 5 <= 2 * inSeconds(StandIn::LinkShaper::QuantumBytes));
}

TEST_CASE("A flow over two busy links is not starved by flows over one of them")
{
    // A transfer between regions needs the instance's link and the link of the region pair. If it started over whenever the second
    // link is busy, transfers that need only one link would always go first.
    Simulation simulation;
    const StandIn::LinkId first = simulation.m_shaper.addLink(Rate, simulation.m_now);
    const StandIn::LinkId second = simulation.m_shaper.addLink(Rate, simulation.m_now);
    simulation.m_shaper.addFlow(1, {first, second});
    simulation.add(1, Plenty);
    for (StandIn::FlowId flow = 2; flow <= 5; ++flow) {
        simulation.m_shaper.addFlow(flow, {flow % 2 == 0 ? first : second});
        simulation.add(flow, Plenty);
    }
    simulation.runUntil(30);
    REQUIRE(inSeconds(simulation.m_granted[1]) > 30 / 3.0 * 0.45);
    REQUIRE(inSeconds(simulation.m_granted[1] + simulation.m_granted[2] + simulation.m_granted[4]) == Approx(30).margin(0.1));
}

TEST_CASE("After a flow is removed, the other flows get its share of the link")
{
    Simulation simulation;
    const StandIn::LinkId link = simulation.m_shaper.addLink(Rate, simulation.m_now);
    simulation.m_shaper.addFlow(1, {link});
    simulation.m_shaper.addFlow(2, {link});
    simulation.add(1, Plenty);
    simulation.add(2, Plenty);
    simulation.runUntil(1);
    simulation.m_shaper.removeFlow(1);
    const std::size_t before = simulation.m_granted[2];
    simulation.runUntil(2);
    REQUIRE(inSeconds(simulation.m_granted[2] - before) == Approx(1).margin(0.04));
}

TEST_CASE("The path and latency between two hosts follow the settings")
{
    StandIn::GatewaySettings settings;
    settings.m_instanceBytesPerSecond = Rate;
    settings.m_regionPairBytesPerSecond = Rate;
    settings.m_overrides = {StandIn::LinkOverride{"127.0.9.1", 0, 0}};
    settings.m_hosts = {{"127.0.9.1", "north", "n1"}, {"127.0.9.2", "north", "n2"}, {"127.0.9.3", "south", "s1"}};
    settings.m_sameRegionLatencyMs = 0.5;
    settings.m_crossRegionLatencyMs = 2;
    StandIn::LinkShaper shaper;
    const StandIn::Topology topology(settings, shaper, Core::Instant());
    REQUIRE(topology.path("127.0.9.2", "127.0.9.3").size() == 3);
    REQUIRE(topology.path("127.0.9.1", "127.0.9.3").size() == 2);
    REQUIRE(topology.path("127.0.9.1", "127.0.9.2").size() == 1);
    REQUIRE(topology.path("127.0.9.2", "127.0.9.2").empty());
    REQUIRE(topology.path("127.0.9.77", "127.0.9.2").size() == 1);
    REQUIRE(topology.path("127.0.9.77", "127.0.9.78").empty());
    REQUIRE(topology.path("127.0.9.2", "127.0.9.3")[1] != topology.path("127.0.9.3", "127.0.9.2")[1]);
    REQUIRE(topology.latency("127.0.9.2", "127.0.9.3") == std::chrono::milliseconds(2));
    REQUIRE(topology.latency("127.0.9.1", "127.0.9.2") == std::chrono::microseconds(500));
    REQUIRE(topology.matches("south", "127.0.9.3"));
    REQUIRE(topology.matches("s1", "127.0.9.3"));
    REQUIRE_FALSE(topology.matches("", "127.0.9.77"));
}
