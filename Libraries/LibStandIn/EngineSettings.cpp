/// @file Reads the settings of the engine stand-in.

#include "LibStandIn/EngineSettings.h"

namespace StandIn {

namespace {

constexpr std::int64_t MaximumCount = 100000;
constexpr std::int64_t MaximumReportLagMs = 600000;
constexpr std::size_t MaximumEngines = 4096;
constexpr double MaximumMilliseconds = 600000;
constexpr int MaximumThreadsLimit = 20000;

std::uint32_t readCount(Settings::Reader &reader, const std::string &field, std::int64_t minimum, std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(reader.integer(field, minimum, MaximumCount, fallback));
}

EngineSettings readEngine(Settings::Reader &reader, const EngineSettings &defaults)
{
    EngineSettings settings = defaults;
    settings.m_checksFencing = reader.flag("checks_fencing", defaults.m_checksFencing);
    settings.m_capacity = readCount(reader, "capacity", 1, defaults.m_capacity);
    settings.m_maximumQueued = readCount(reader, "maximum_queued", 0, defaults.m_maximumQueued);
    settings.m_slots = readCount(reader, "slots", 1, defaults.m_slots);
    settings.m_firstTokenMs = reader.number("first_token_ms", 0, MaximumMilliseconds, defaults.m_firstTokenMs);
    settings.m_tokenMs = reader.number("token_ms", 0, MaximumMilliseconds, defaults.m_tokenMs);
    settings.m_loadMsPerMebibyte = reader.number("load_ms_per_mebibyte", 0, MaximumMilliseconds, defaults.m_loadMsPerMebibyte);
    settings.m_reportLag = reader.milliseconds("report_lag_ms", 0, MaximumReportLagMs, defaults.m_reportLag.count());
    settings.m_cachedPrefixes = readCount(reader, "cached_prefixes", 0, defaults.m_cachedPrefixes);
    settings.m_cachedFirstTokenFactor = reader.number("cached_first_token_factor", 0, 1, defaults.m_cachedFirstTokenFactor);
    return settings;
}

/// Returns enough threads for full batches, queues and slots, and some spare ones for other requests such as status.
int defaultThreads(const std::vector<EngineSettings> &engines)
{
    constexpr int spare = 16;
    std::int64_t threads = spare;
    for (const EngineSettings &engine : engines) {
        threads += engine.m_capacity + std::int64_t(engine.m_maximumQueued) + engine.m_slots;
    }
    return static_cast<int>(std::min<std::int64_t>(threads, MaximumThreadsLimit));
}

}

EngineProgramSettings readEngineProgramSettings(Settings::Reader &reader)
{
    EngineProgramSettings settings;
    EngineSettings common = readEngine(reader, EngineSettings{});
    if (reader.has("engines")) {
        reader.list("engines", MaximumEngines, [&settings, &common](Settings::Reader &item) {
            EngineSettings engine = readEngine(item, common);
            engine.m_listen = item.address("listen");
            settings.m_engines.push_back(engine);
        });
    } else {
        common.m_listen = reader.address("listen");
        settings.m_engines.push_back(common);
    }
    settings.m_maximumThreads = static_cast<int>(reader.integer("maximum_threads", 2, MaximumThreadsLimit, defaultThreads(settings.m_engines)));
    return settings;
}

}
