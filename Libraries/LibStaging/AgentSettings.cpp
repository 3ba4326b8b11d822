/// @file Reading of the agent's settings.

#include "LibStaging/AgentSettings.h"

namespace Staging {

namespace {

constexpr double BytesPerMegabit = 1e6 / 8;
/**
 * Parts of the instance's link that weights may use, and how much of them may be under way. The engine's answers leave over the same link: an event
 * that waits behind a chunk of 48 KiB is 42 ms late on 9.4 Mbit/s, and behind a few of them its stream is late.
 */
constexpr double UploadShare = 0.9;
constexpr double DownloadShare = 0.95;
constexpr std::uint64_t BurstBytes = 16 << 10;
/// Chunks that are asked for ahead: enough to keep the link busy while a request waits at an uploader, few enough that answers are not held up.
constexpr std::uint32_t ChunksAhead = 5;
/**
 * Requests that wait at an uploader of one slot; it refuses more, and who asked goes elsewhere. At 46 ms a chunk the last of twelve waits for half a second
 * (worked out), while other uploaders are idle. The last of 99 replicas was whole after 3.22 s or more with twelve, after 2.85 and 3.01 s with four.
 */
constexpr std::uint32_t QueuedUploads = 4;

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
    settings.m_transfer.m_concurrentPeerRequests = ChunksAhead;
    settings.m_transfer.m_uploadSlots = 1;
    settings.m_transfer.m_queuedUploads = QueuedUploads;
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
    reader.section("link", [&settings](Settings::Reader &section) { readLink(section, settings); });
    return settings;
}

}
