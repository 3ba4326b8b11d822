/// @file Implementation of reading the entry's settings.

#include "LibServing/EntrySettings.h"

namespace Serving {

namespace {

void readPeers(Settings::Reader &section, EntrySettings &settings)
{
    settings.m_peers = section.address("listen");
    settings.m_gossip.m_seedHosts = Gossip::readSeedHosts(section);
}

void readBounds(Settings::Reader &section, EntrySettings &settings)
{
    settings.m_leavingTime = section.milliseconds("leaving_ms", 100, 600000, settings.m_leavingTime.count());
    settings.m_versionBound = section.milliseconds("version_ms", 100, 600000, settings.m_versionBound.count());
    settings.m_retryBudgets.m_retriesPerRequest = section.number("repeat_share", 0, 1, settings.m_retryBudgets.m_retriesPerRequest);
    settings.m_retryBudgets.m_slack = section.number("repeat_slack", 0, 100000, settings.m_retryBudgets.m_slack);
    settings.m_retryBudgets.m_window = section.milliseconds("repeat_window_ms", 1000, 600000, settings.m_retryBudgets.m_window.count());
    settings.m_coldBudget.m_excess = section.number("cold_excess", 0.1, 100, settings.m_coldBudget.m_excess);
    settings.m_coldBudget.m_slack = section.number("cold_slack", 0, 100000, settings.m_coldBudget.m_slack);
    constexpr std::int64_t longestLifetime = 3600;
    settings.m_directory.m_lifetimeSeconds = static_cast<std::uint32_t>(
        section.integer("address_lifetime_s", 1, longestLifetime, static_cast<std::int64_t>(settings.m_directory.m_lifetimeSeconds)));
}

}

EntrySettings readEntrySettings(Settings::Reader &reader)
{
    EntrySettings settings;
    reader.section("instance", [&settings](Settings::Reader &section) {
        settings.m_instance = section.text("id");
        settings.m_region = section.text("region");
        settings.m_failureDomain = section.text("failure_domain");
    });
    reader.section("callers", [&settings](Settings::Reader &section) {
        settings.m_callers = section.address("listen");
        settings.m_connections = static_cast<std::size_t>(section.integer("connections", 1, 65536, static_cast<std::int64_t>(settings.m_connections)));
    });
    settings.m_pages = reader.addresses("pages");
    reader.section("peers", [&settings](Settings::Reader &section) { readPeers(section, settings); });
    settings.m_admin = reader.address("admin");
    settings.m_log = reader.address("log");
    settings.m_memory = Settings::readMemoryShares(reader);
    reader.section("bounds", [&settings](Settings::Reader &section) { readBounds(section, settings); });
    reader.section("regions", [&settings](Settings::Reader &section) {
        for (const std::string &domain : section.fields()) {
            settings.m_regions[domain] = section.text(domain);
        }
    });
    reader.section("ranks", [&settings](Settings::Reader &section) {
        settings.m_yieldPerRank = section.milliseconds("yield_ms", 0, 10000, settings.m_yieldPerRank.count());
    });
    reader.section("quarantine", [&settings](Settings::Reader &section) { settings.m_liftedParts = section.texts("lifted"); });
    return settings;
}

}
