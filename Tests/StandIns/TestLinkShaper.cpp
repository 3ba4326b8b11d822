/// @file Links hold their rate, share it evenly and let short flows pass, on a clock that the tests turn.

#include "LibStandInNetwork/LinkShaper.h"
#include "LibStandInNetwork/Topology.h"

#include <catch2/catch.hpp>
#include <map>

namespace {

constexpr double Rate = 1e6;
constexpr std::size_t Plenty = 100 << 20;

/// A shaper whose clock jumps from one wake to the next.
struct Simulation
{
    StandIn::LinkShaper m_shaper;
    Core::Instant m_start{};
    Core::Instant m_now{};
    std::map<StandIn::FlowId, std::size_t> m_granted;
    std::map<StandIn::FlowId, double> m_lastGrant; ///< Seconds from the start.

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

TEST_CASE("a link carries its rate and no more")
{
    Simulation simulation;
    simulation.m_shaper.addFlow(1, {simulation.m_shaper.addLink(Rate, simulation.m_now)});
    simulation.add(1, Plenty);
    simulation.runUntil(10);
    REQUIRE(inSeconds(simulation.m_granted[1]) == Approx(10).margin(0.04));
}

TEST_CASE("an idle link saves up no more than a short burst")
{
    Simulation simulation;
    simulation.m_shaper.addFlow(1, {simulation.m_shaper.addLink(Rate, simulation.m_now)});
    simulation.runUntil(100);
    simulation.add(1, Plenty);
    simulation.runUntil(101);
    REQUIRE(inSeconds(simulation.m_granted[1]) == Approx(1).margin(0.04));
}

TEST_CASE("bulk flows share a link evenly, whenever they start")
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

TEST_CASE("a bulk flow that comes later does not overtake those that wait")
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

TEST_CASE("a request does not wait behind transfers")
{
    // Fifty transfers fill a machine's link. A request that had to take its turn after all of them would wait for fifty quanta,
    // most of a second here, and a caller would see live answers stall whenever new weights spread.
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

TEST_CASE("a flow over two busy links is not starved by flows over one")
{
    // A transfer between regions needs the machine's link and the pair's link at once. If it had to start over whenever the
    // second was busy, transfers that need only one of them would always be there first.
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

TEST_CASE("a removed flow leaves the link to the others")
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

TEST_CASE("the path between two hosts has the links that the settings name")
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
