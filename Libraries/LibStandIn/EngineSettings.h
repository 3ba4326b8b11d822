/// @file Settings of the model engine stand-in.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibSettings/Reader.h"

#include <cstdint>
#include <vector>

namespace StandIn {

/// Settings of one engine. A process can host several engines.
struct EngineSettings
{
    Core::Address m_listen;
    bool m_checksFencing = true; ///< Refuses loads and removals with a fencing number below the highest seen.
    std::uint32_t m_capacity = 8; ///< Maximum number of requests in the batch.
    std::uint32_t m_maximumQueued = 64; ///< Maximum number of requests waiting for the batch.
    std::uint32_t m_slots = 2; ///< Maximum number of models held, including those loading and draining.
    double m_firstTokenMs = 50; ///< Time to the first token of an answer.
    double m_tokenMs = 10; ///< Time to each later token.
    double m_loadMsPerMebibyte = 1;
    Core::Duration m_reportLag{200}; ///< Age of the load reported by GET /status.
    std::uint32_t m_cachedPrefixes = 64; ///< Number of prompt prefixes cached; a request with a cached prefix gets its first token sooner.
    double m_cachedFirstTokenFactor = 0.3; ///< Factor on m_firstTokenMs when the prefix is cached.

    bool operator==(const EngineSettings &) const = default;
};

/// Contents of the settings file of standin-engine.
struct EngineProgramSettings
{
    std::vector<EngineSettings> m_engines;
    int m_maximumThreads = 0; ///< Maximum number of requests handled concurrently by the process.

    bool operator==(const EngineProgramSettings &) const = default;
};

/// Reads one engine at the top level or the list "engines". Items of the list inherit missing fields from the top level.
EngineProgramSettings readEngineProgramSettings(Settings::Reader &reader);

}
