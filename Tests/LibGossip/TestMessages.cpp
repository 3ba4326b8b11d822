/// @file Datagrams survive their encoding, fit into one packet, and garbage is refused.

#include "LibGossip/GossipService.h"
#include "LibWire/Pack.h"

#include <catch2/catch.hpp>

namespace {

constexpr std::size_t PacketBytes = 1400;

Gossip::Member member(int number)
{
    Gossip::Member made;
    made.m_id = "side-brussels-ixelles-" + std::to_string(number);
    made.m_incarnation = 4000000000U;
    made.m_beat = 100000;
    made.m_region = "brussels";
    made.m_failureDomain = "brussels-ixelles";
    made.m_service = "huvo11a";
    made.m_peers = Core::Address{"10.200.100.200", 7700};
    return made;
}

}

TEST_CASE("a heartbeat with the largest sample fits into a datagram and comes back as it was")
{
    Gossip::Heartbeat heartbeat;
    heartbeat.m_sender = member(0);
    heartbeat.m_configurationMark = 1;
    heartbeat.m_weights = {Gossip::AgedWeights{Fleet::DeclaredWeights{"daka510000", 2, 17}, 1234},
                           Gossip::AgedWeights{Fleet::DeclaredWeights{"daka510000", 3, 18}, std::nullopt}};
    for (std::size_t index = 0; index < Gossip::GossipSettings{}.m_sampledForNewcomers; ++index) {
        heartbeat.m_members.push_back(member(static_cast<int>(index)));
    }
    const std::string encoded = Wire::pack(heartbeat);
    CHECK(encoded.size() < PacketBytes);
    CHECK(Wire::unpack<Gossip::Heartbeat>(encoded, "peer").value() == heartbeat);
}

TEST_CASE("bytes that are no heartbeat are refused")
{
    const std::string encoded = Wire::pack(Gossip::Heartbeat{});
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        CHECK_FALSE(Wire::unpack<Gossip::Heartbeat>(encoded.substr(0, length), "peer"));
    }
    CHECK_FALSE(Wire::unpack<Gossip::Heartbeat>("GET / HTTP/1.1\r\n\r\n", "peer"));
}
