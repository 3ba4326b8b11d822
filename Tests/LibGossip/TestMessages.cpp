/// @file Tests that heartbeats are encoded without loss, fit into one packet, and that malformed datagrams are refused.

#include "LibGossip/GossipService.h"
#include "LibWire/Pack.h"

#include <catch2/catch.hpp>

namespace {

constexpr std::size_t PacketBytes = 1400;

Gossip::Member member(int number)
{
    Gossip::Member result;
    result.m_id = "side-brussels-ixelles-" + std::to_string(number);
    result.m_incarnation = 4000000000U;
    result.m_heartbeatCount = 100000;
    result.m_region = "brussels";
    result.m_failureDomain = "brussels-ixelles";
    result.m_service = "huvo11a";
    result.m_peers = Core::Address{"10.200.100.200", 7700};
    return result;
}

}

TEST_CASE("A heartbeat with the largest sample fits into a datagram and is decoded without loss")
{
    Gossip::Heartbeat heartbeat;
    heartbeat.m_sender = member(0);
    heartbeat.m_configurationRevisionOffset = 1;
    heartbeat.m_weights = {Gossip::AgedWeights{Fleet::DeclaredWeights{"daka510000", 2, 17}, 1234},
                           Gossip::AgedWeights{Fleet::DeclaredWeights{"daka510000", 3, 18}, std::nullopt}};
    for (std::size_t index = 0; index < Gossip::GossipSettings{}.m_sampledForNewcomers; ++index) {
        heartbeat.m_members.push_back(member(static_cast<int>(index)));
    }
    const std::string encoded = Wire::pack(heartbeat);
    CHECK(encoded.size() < PacketBytes);
    CHECK(Wire::unpack<Gossip::Heartbeat>(encoded, "peer").value() == heartbeat);
}

TEST_CASE("Bytes that do not encode a heartbeat are refused")
{
    const std::string encoded = Wire::pack(Gossip::Heartbeat{});
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        CHECK_FALSE(Wire::unpack<Gossip::Heartbeat>(encoded.substr(0, length), "peer"));
    }
    CHECK_FALSE(Wire::unpack<Gossip::Heartbeat>("GET / HTTP/1.1\r\n\r\n", "peer"));
}

TEST_CASE("A heartbeat with the default samples and a heartbeat with relayed engine updates fit into a datagram")
{
    const Gossip::GossipSettings settings;
    Gossip::Heartbeat regular;
    regular.m_sender = member(0);
    regular.m_weights = {Gossip::AgedWeights{Fleet::DeclaredWeights{"daka510000", 2, 17}, 1234}};
    for (std::size_t index = 0; index < settings.m_sampledMembers; ++index) {
        regular.m_members.push_back(member(static_cast<int>(index)));
    }
    regular.m_digests.assign(settings.m_sampledDigests, Gossip::HeartbeatDigest{4000000000U, 100000, 3, 120});
    const std::string encoded = Wire::pack(regular);
    CHECK(encoded.size() < PacketBytes);
    CHECK(Wire::unpack<Gossip::Heartbeat>(encoded, "peer").value() == regular);

    Gossip::Heartbeat withLimits = regular;
    withLimits.m_limits.assign(settings.m_sampledLimits, Placement::LimitObservation{"i-28a91f3622", 1789000000000, 1.7, 12345});
    withLimits.m_digests.resize(settings.m_sampledDigests - settings.m_sampledLimits * settings.m_digestsPerLimit);
    const std::string encodedLimits = Wire::pack(withLimits);
    CHECK(encodedLimits.size() < PacketBytes);
    CHECK(Wire::unpack<Gossip::Heartbeat>(encodedLimits, "peer").value() == withLimits);

    Gossip::Heartbeat relayed;
    relayed.m_sender = member(0);
    relayed.m_weights = regular.m_weights;
    Gossip::EngineUpdate update{Core::Address{"10.200.100.200", 8014}, 1789000000000, 4000000000U, 100000, {12, 24, 1.25, false, {}}};
    update.m_report.m_weights = {Fleet::LoadedWeights{"daka510000", 2, Fleet::LayerRanges{{0, 16}}}};
    relayed.m_engineUpdates.assign(settings.m_relayBatchSize, update);
    CHECK(Wire::pack(relayed).size() < PacketBytes);
}

TEST_CASE("Observations with the longest names that callers can make fit into a datagram, beside limits and members, too")
{
    const Gossip::GossipSettings settings;
    const Quarantine::PromptPart part{"huvo11a", std::string(Quarantine::MaximumPartIdLength, 'f')};
    const std::uint64_t large = ~std::uint64_t{0};
    const Quarantine::CrashObservation crash{part, large, large, true, Quarantine::MaximumPartsPerPrompt, large, 1800000};
    const Quarantine::Verdict verdict{
        part, 100000, false, large, std::vector<std::uint64_t>(Quarantine::QuarantineSettings{}.m_maximumCrashes, large), true, 3600000};
    const std::function<Quarantine::Observations(Quarantine::SampleSize)> largest = [&](Quarantine::SampleSize size) {
        Quarantine::Observations observations;
        observations.m_crashes.assign(size.m_crashes, crash);
        observations.m_completions.assign(size.m_completions, Quarantine::CompletionObservation{part, 3600000});
        observations.m_verdicts.assign(size.m_verdicts, verdict);
        return observations;
    };
    Gossip::Heartbeat news;
    news.m_sender = member(0);
    news.m_weights = {Gossip::AgedWeights{Fleet::DeclaredWeights{"daka510000", 2, 17}, 1234},
                      Gossip::AgedWeights{Fleet::DeclaredWeights{"daka510000", 3, 18}, 5}};
    news.m_verdictDigest = large;
    news.m_quarantine = largest(Quarantine::NewsSample);
    CHECK(Wire::pack(news).size() < PacketBytes);
    CHECK(Wire::unpack<Gossip::Heartbeat>(Wire::pack(news), "peer").value() == news);

    for (const std::size_t limits : {std::size_t{0}, settings.m_sampledLimits}) {
        Gossip::Heartbeat regular = news;
        regular.m_quarantine = largest(Quarantine::RegularSample);
        for (std::size_t index = 0; index < settings.m_sampledMembers; ++index) {
            regular.m_members.push_back(member(static_cast<int>(index)));
        }
        regular.m_limits.assign(limits, Placement::LimitObservation{"i-28a91f3622", 1789000000000, 1.7, 12345});
        Gossip::fitObservations(regular, settings);
        regular.m_digests.assign(Gossip::remainingDigests(regular, settings), Gossip::HeartbeatDigest{4000000000U, 100000, 3, 120});
        CHECK(regular.m_quarantine.m_verdicts.size() == 1);
        CHECK(Wire::pack(regular).size() < PacketBytes);
    }
}
