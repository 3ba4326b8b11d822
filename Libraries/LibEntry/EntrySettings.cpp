/// @file Parsing of the settings file.

#include "LibEntry/EntrySettings.h"

namespace Entry {

namespace {

CallerLimits readCallerLimits(Settings::Reader &section)
{
    CallerLimits limits;
    limits.m_maximumConnections = static_cast<std::size_t>(section.integer("connections", 1, 16384, 512));
    limits.m_maximumBodyBytes = static_cast<std::size_t>(section.integer("body_bytes", 1024, 64 << 20, 1 << 20));
    limits.m_maximumHeldBytes = static_cast<std::size_t>(section.integer("held_bytes", 1 << 20, std::int64_t{1} << 40, 64 << 20));
    limits.m_maximumAnswerBytes = static_cast<std::size_t>(section.integer("answer_bytes", 1024, 256 << 20, 16 << 20));
    limits.m_maximumHeldAnswerBytes = static_cast<std::size_t>(section.integer("held_answer_bytes", 1 << 20, std::int64_t{1} << 40, 64 << 20));
    limits.m_requestTimeout = section.milliseconds("request_ms", 100, 600000, 10000);
    limits.m_keepAliveTimeout = section.milliseconds("keep_alive_ms", 100, 600000, 5000);
    limits.m_defaultTimeout = section.milliseconds("default_timeout_ms", 1, 600000, 30000);
    limits.m_maximumTimeout = section.milliseconds("maximum_timeout_ms", 1, 3600000, 600000);
    limits.m_defaultTokens = static_cast<std::uint32_t>(section.integer("default_tokens", 1, 1 << 20, 256));
    limits.m_maximumTokens = static_cast<std::uint32_t>(section.integer("maximum_tokens", 1, 1 << 20, 65536));
    return limits;
}

Routing::Strategy readStrategy(Settings::Reader &section)
{
    const std::string word = section.choice("strategy", {"affinity", "two_choices", "fastest_free", "least_reported", "random"}, "affinity");
    if (word == "two_choices") {
        return Routing::Strategy::PowerOfTwoChoices;
    }
    if (word == "fastest_free") {
        return Routing::Strategy::JoinFastestFreeServer;
    }
    if (word == "least_reported") {
        return Routing::Strategy::LeastReportedLoad;
    }
    return word == "random" ? Routing::Strategy::Random : Routing::Strategy::PrefixAffinity;
}

Routing::SchedulerSettings readSchedulerSettings(Settings::Reader &section)
{
    Routing::SchedulerSettings settings;
    settings.m_strategy = readStrategy(section);
    settings.m_queuePerAccount = static_cast<std::size_t>(section.integer("queue_per_account", 1, 65536, 64));
    settings.m_retryShare = section.number("retry_share", 0, 1, 0.1);
    settings.m_retryBurst = section.number("retry_burst", 0, 10000, 20);
    settings.m_avoidAfterFailure = section.milliseconds("avoid_after_failure_ms", 0, 60000, 2000);
    return settings;
}

Claims::WriterSettings readClaimSettings(Settings::Reader &section)
{
    Claims::WriterSettings settings;
    settings.m_batchInterval = section.milliseconds("batch_ms", 1, 1000, 10);
    settings.m_window = static_cast<Claims::Offset>(section.integer("window_records", 16, 10000000, 20000));
    settings.m_readBackTimeout = section.milliseconds("settle_ms", 10, 60000, 2000);
    return settings;
}

}

EntrySettings readEntrySettings(Settings::Reader &reader)
{
    EntrySettings settings;
    settings.m_instance = Protocol::readInstanceSettings(reader, Protocol::Role::Entry);
    reader.section("platform", [&settings](Settings::Reader &section) {
        settings.m_log = section.address("log");
        settings.m_instances = section.address("instances");
    });
    settings.m_entries = reader.addresses("entries");
    reader.section("limits", [&settings](Settings::Reader &section) { settings.m_callers = readCallerLimits(section); });
    reader.section("routing", [&settings](Settings::Reader &section) {
        settings.m_scheduler = readSchedulerSettings(section);
        settings.m_watchedPerGroup = static_cast<std::size_t>(section.integer("watched_agents", 1, 1024, 24));
    });
    reader.section("claims", [&settings](Settings::Reader &section) { settings.m_claims = readClaimSettings(section); });
    reader.section("addresses", [&settings](Settings::Reader &section) {
        settings.m_addressesPerAnswer = static_cast<std::size_t>(section.integer("count", 1, 64, 3));
        settings.m_addressLifetime = section.milliseconds("lifetime_ms", 100, 60000, 3000);
    });
    settings.m_drainLimit = reader.milliseconds("drain_limit_ms", 0, 3600000, 600000);
    reader.finish();
    return settings;
}

}
