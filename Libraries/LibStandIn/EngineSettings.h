/// @file Settings of the model engine stand-in.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibSettings/Reader.h"

#include <cstdint>
#include <vector>

namespace StandIn {

/// One engine; a process can host several.
struct EngineSettings
{
    Core::Address m_listen;
    bool m_checksFencing = true; ///< Refuses orders with a fencing number below the highest seen.
    std::uint32_t m_capacity = 8; ///< Requests in the batch at once.
    std::uint32_t m_maximumQueued = 64; ///< Requests waiting for a place in the batch.
    std::uint32_t m_slots = 2; ///< Models held at once, those loading and draining included.
    double m_firstTokenMs = 50;
    double m_tokenMs = 10;
    double m_loadMsPerMebibyte = 1;
    Core::Duration m_reportLag{200}; ///< Age of the load that GET /status tells.
    std::uint32_t m_cachedPrefixes = 64; ///< Prompt prefixes kept; a request with a kept one gets its first token sooner.
    double m_cachedFirstTokenFactor = 0.3; ///< Share of m_firstTokenMs when the prefix is kept.

    bool operator==(const EngineSettings &) const = default;
};

/// Everything in the settings file of standin-engine.
struct EngineProgramSettings
{
    std::vector<EngineSettings> m_engines;
    int m_maximumThreads = 0; ///< Requests answered at once by the process.

    bool operator==(const EngineProgramSettings &) const = default;
};

/// Reads either one engine at the top level or the list "engines", whose items take missing fields from the top level.
EngineProgramSettings readEngineProgramSettings(Settings::Reader &reader);

}
