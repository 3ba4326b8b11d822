/// @file Topologies for tests and measurements.

#include "LibBench/Topology.h"

namespace Bench {

namespace {

constexpr std::uint64_t SmallWeights = 2 << 20;
constexpr std::uint64_t BurstWeights = 8 << 20;
constexpr int CurrentEntryCount = 12;

std::vector<StoredVersion> makeVersions(const std::string &model, std::uint64_t bytes)
{
    return {
        StoredVersion{model, "1", bytes, 11, 11, 100},
        StoredVersion{model, "2", bytes, 12, 11, 100},
        StoredVersion{model, "3", bytes, 13, 12, 25},
    };
}

}

Topology saoMaiTopology()
{
    Topology topology;
    topology.m_failureDomains = {{"hcm-a", "hcm"}, {"hanoi-a", "hanoi"}, {"danang-a", "danang"}};
    topology.m_entries = CurrentEntryCount;
    topology.m_services = {{"drafting-models", true, 16, true}, {"client-portal", false, 3, true}, {"studio-admin", false, 1, true}};
    topology.m_versions = makeVersions("moodboard", SmallWeights);
    return topology;
}

Topology accrochageTopology()
{
    Topology topology;
    topology.m_failureDomains = {{"flanders-ghent", "flanders"}, {"brussels-ixelles", "brussels"}, {"wallonia-namur", "wallonia"}};
    topology.m_entries = CurrentEntryCount;
    topology.m_services = {{"plan-model", true, 16, false}, {"booking-desk", false, 3, true}, {"studio-portal", false, 1, true}};
    topology.m_versions = makeVersions("layout", SmallWeights);
    return topology;
}

Topology smallTopology()
{
    Topology topology;
    topology.m_failureDomains = {{"hcm-a", "hcm"}, {"hanoi-a", "hanoi"}};
    topology.m_entries = 3;
    topology.m_services = {{"drafting-models", true, 4, true}, {"booking-desk", false, 2, true}};
    topology.m_versions = makeVersions("moodboard", SmallWeights / 2);
    return topology;
}

Topology burstTopology(int endpoints)
{
    Topology topology;
    topology.m_failureDomains = {{"hcm-a", "hcm"}, {"hanoi-a", "hanoi"}, {"danang-a", "danang"}};
    topology.m_entries = 3;
    topology.m_services = {{"drafting-models", true, endpoints, true}};
    topology.m_versions = makeVersions("moodboard", BurstWeights);
    return topology;
}

}
