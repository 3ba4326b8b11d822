/// @file Tests of bursts between transfer managers without limits on the links: what arrives, and how many bytes the origin sends.

#include "ReplicaCluster.h"

#include <catch2/catch.hpp>

namespace {

constexpr std::uint64_t WeightBytes = 40 * 4096 + 17;
constexpr std::uint64_t Seed = 7;

StandIn::OriginSettings originSettings()
{
    StandIn::OriginSettings settings;
    settings.m_chunkBytes = 4096;
    settings.m_objects.push_back(StandIn::ObjectRecipe{"drafts", "1", WeightBytes, Seed, 0, 100});
    return settings;
}

}

TEST_CASE("A burst completes on every replica with one copy from the origin")
{
    TransferTest::ReplicaCluster replicas(originSettings());
    for (int index = 0; index < 9; ++index) {
        replicas.addReplica(index % 3 == 0 ? "hcm" : index % 3 == 1 ? "hanoi" : "danang");
        replicas.start(static_cast<std::size_t>(index), Transfer::TransferSettings{});
    }
    const Control::Deployment deployment = replicas.deployment("drafts", "1");
    replicas.setTargets({deployment});
    REQUIRE(TransferTest::waitFor([&] { return replicas.countHolders(deployment.m_digest) == replicas.size(); }));
    for (std::size_t index = 0; index < replicas.size(); ++index) {
        REQUIRE(replicas.at(index).m_manager->heldVersion(deployment.m_digest)->fullContent() == replicas.content("drafts", "1"));
    }
    REQUIRE(replicas.counterTotal("transfer_bytes_from_origin_total") <= WeightBytes + WeightBytes / 20 + 4503);
    REQUIRE(replicas.counterTotal("transfer_bytes_across_regions_total") <= 2 * WeightBytes);
}
