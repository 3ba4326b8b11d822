/// @file Reads the agent's settings.

#include "LibStaging/AgentSettings.h"

namespace Staging {

namespace {

constexpr double BytesPerMegabit = 1e6 / 8;
/**
 * Shares of the instance's link that weight transfers may use, and the number of bytes that they may send in one burst. The engine's answers use the same link:
 * an event that waits behind a chunk of 48 KiB is 42 ms late at 9.4 Mbit/s, and behind several chunks its stream is late.
 */
constexpr double UploadShare = 0.9;
constexpr double DownloadShare = 0.95;
constexpr std::uint64_t BurstBytes = 16 << 10;
/// Chunks requested from peers concurrently: enough to keep the link busy while a request is queued at an uploader, few enough not to delay the engine's
/// answers.
constexpr std::uint32_t ConcurrentPeerRequests = 5;
/// Longest time that a request waits at an uploader with one slot. Further requests are refused, and the requester asks another peer. With a longer queue the
/// last requests would wait while other uploaders are idle.
constexpr Core::Duration UploadQueueTime{190};

void readEngine(Settings::Reader &section, AgentSettings &settings)
{
    settings.m_engine = section.address("address");
    settings.m_weightsManager.m_service = section.text("service");
    settings.m_weightsManager.m_mayHoldWeights = section.flag("may_hold_weights", false);
}

void readLink(Settings::Reader &section, AgentSettings &settings)
{
    constexpr double mostMegabits = 1e6;
    const double megabits = section.number("megabits", 0, mostMegabits, 0);
    settings.m_transfer.m_uploadBytesPerSecond = static_cast<std::uint64_t>(megabits * BytesPerMegabit * UploadShare);
    settings.m_transfer.m_downloadBytesPerSecond = static_cast<std::uint64_t>(megabits * BytesPerMegabit * DownloadShare);
    settings.m_transfer.m_burstBytes = BurstBytes;
    settings.m_transfer.m_concurrentPeerRequests = ConcurrentPeerRequests;
    settings.m_transfer.m_uploadSlots = 1;
    settings.m_transfer.m_uploadQueueTime = UploadQueueTime;
    settings.m_transfer.m_memoryMebibytes = static_cast<std::uint32_t>(section.integer("weights_mebibytes", 1, 1 << 20, 48));
}

}

AgentSettings readAgentSettings(Settings::Reader &reader)
{
    AgentSettings settings;
    reader.section("instance", [&settings](Settings::Reader &section) {
        settings.m_instance = section.text("id");
        settings.m_region = section.text("region");
        settings.m_failureDomain = section.text("failure_domain");
    });
    reader.section("peers", [&settings](Settings::Reader &section) {
        settings.m_peers = section.address("listen");
        settings.m_gossip.m_seedHosts = Gossip::readSeedHosts(section);
    });
    settings.m_admin = reader.address("admin");
    settings.m_log = reader.address("log");
    reader.section("engine", [&settings](Settings::Reader &section) { readEngine(section, settings); });
    settings.m_memory = Settings::readMemoryShares(reader);
    reader.section("bounds", [&settings](Settings::Reader &section) {
        settings.m_versionBound = section.milliseconds("version_ms", 100, 600000, settings.m_versionBound.count());
        settings.m_weightsManager.m_loadSchedule.m_versionBound = settings.m_versionBound;
        settings.m_weightsManager.m_finishAgeLimit = settings.m_versionBound;
    });
    reader.section("link", [&settings](Settings::Reader &section) { readLink(section, settings); });
    return settings;
}

}
