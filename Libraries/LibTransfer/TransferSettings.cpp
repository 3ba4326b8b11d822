/// @file Reads the "transfer" section.

#include "LibTransfer/TransferSettings.h"

namespace Transfer {

namespace {

constexpr std::int64_t MaximumRate = std::int64_t{1} << 40;
constexpr std::int64_t MaximumMemoryMebibytes = 1 << 20;
constexpr std::int64_t MaximumSlots = 64;
constexpr std::int64_t MaximumNeighbours = 64;
constexpr std::int64_t MaximumWaitMilliseconds = 600'000;

Strategy parseStrategy(const std::string &name)
{
    for (const Strategy strategy : {Strategy::Swarm, Strategy::Origin, Strategy::Tree}) {
        if (strategyName(strategy) == name) {
            return strategy;
        }
    }
    return Strategy::Swarm;
}

std::uint32_t readCount(Settings::Reader &reader, const std::string &field, std::int64_t maximum, std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(reader.integer(field, 1, maximum, fallback));
}

std::uint64_t readRate(Settings::Reader &reader, const std::string &field)
{
    return static_cast<std::uint64_t>(reader.integer(field, 0, MaximumRate, 0));
}

}

TransferSettings readTransferSettings(Settings::Reader &reader)
{
    TransferSettings settings;
    settings.m_strategy = parseStrategy(reader.choice("strategy", {"swarm", "origin", "tree"}, "swarm"));
    settings.m_uploadBytesPerSecond = readRate(reader, "upload_bytes_per_second");
    settings.m_downloadBytesPerSecond = readRate(reader, "download_bytes_per_second");
    settings.m_originBytesPerSecond = readRate(reader, "origin_bytes_per_second");
    settings.m_memoryMebibytes = readCount(reader, "memory_mebibytes", MaximumMemoryMebibytes, settings.m_memoryMebibytes);
    settings.m_uploadSlots = readCount(reader, "upload_slots", MaximumSlots, settings.m_uploadSlots);
    settings.m_queuedUploads = readCount(reader, "queued_uploads", MaximumSlots, settings.m_queuedUploads);
    settings.m_concurrentPeerRequests = readCount(reader, "requests_ahead", MaximumSlots, settings.m_concurrentPeerRequests);
    settings.m_neighbours = readCount(reader, "neighbours", MaximumNeighbours, settings.m_neighbours);
    settings.m_originConnections = readCount(reader, "origin_connections", MaximumSlots, settings.m_originConnections);
    settings.m_stallLimit = reader.milliseconds("stall_limit_ms", 10, MaximumWaitMilliseconds, settings.m_stallLimit.count());
    settings.m_originTimeouts.m_connect =
        reader.milliseconds("origin_connect_timeout_ms", 10, MaximumWaitMilliseconds, settings.m_originTimeouts.m_connect.count());
    settings.m_originTimeouts.m_read = reader.milliseconds("origin_timeout_ms", 10, MaximumWaitMilliseconds, settings.m_originTimeouts.m_read.count());
    return settings;
}

std::string strategyName(Strategy strategy)
{
    switch (strategy) {
    case Strategy::Swarm:
        return "swarm";
    case Strategy::Origin:
        return "origin";
    case Strategy::Tree:
        return "tree";
    }
    return "swarm";
}

}
