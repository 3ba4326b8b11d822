/// @file Reads the settings of an agent.

#include "LibEndpoint/AgentSettings.h"

namespace Endpoint {

namespace {

constexpr std::int64_t MaximumMilliseconds = 3'600'000;

Core::Duration readDuration(Settings::Reader &reader, const std::string &field, Core::Duration fallback)
{
    return reader.milliseconds(field, 1, MaximumMilliseconds, fallback.count());
}

WorkerSettings readWorkerSettings(Settings::Reader &reader)
{
    WorkerSettings settings;
    settings.m_statusInterval = readDuration(reader, "status_interval_ms", settings.m_statusInterval);
    settings.m_reportInterval = readDuration(reader, "report_interval_ms", settings.m_reportInterval);
    settings.m_reportBytesPerSecond = static_cast<std::uint64_t>(reader.integer("report_bytes_per_second", 256, 1 << 30, 4096));
    settings.m_maximumFenceAge = readDuration(reader, "fence_age_ms", settings.m_maximumFenceAge);
    settings.m_orderRetryDelay = readDuration(reader, "order_retry_ms", settings.m_orderRetryDelay);
    settings.m_retirementGrace = readDuration(reader, "retirement_grace_ms", settings.m_retirementGrace);
    settings.m_withdrawNotice = readDuration(reader, "withdraw_notice_ms", settings.m_withdrawNotice);
    settings.m_leaveNotice = readDuration(reader, "leave_notice_ms", settings.m_leaveNotice);
    settings.m_drainLimit = readDuration(reader, "drain_limit_ms", settings.m_drainLimit);
    settings.m_maximumWatchers = static_cast<std::size_t>(reader.integer("maximum_watchers", 1, 1024, 64));
    return settings;
}

}

AgentSettings readAgentSettings(Settings::Reader &reader)
{
    AgentSettings settings;
    settings.m_instance = Protocol::readInstanceSettings(reader, Protocol::Role::Agent);
    settings.m_entries = reader.addresses("entries");
    settings.m_origin = reader.address("origin");
    settings.m_originRegion = reader.text("origin_region", "");
    reader.section("engine", [&settings](Settings::Reader &section) { settings.m_engine = readEngineSettings(section); });
    reader.section("transfer", [&settings](Settings::Reader &section) { settings.m_transfer = Transfer::readTransferSettings(section); });
    reader.section("relay", [&settings](Settings::Reader &section) { settings.m_relay = readRelaySettings(section); });
    reader.section("duties", [&settings](Settings::Reader &section) { settings.m_workers = readWorkerSettings(section); });
    return settings;
}

}
