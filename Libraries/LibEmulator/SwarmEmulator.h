/// @file Emulates the distribution of one version of the weights to many replicas over links of limited rate. Every replica runs the product's Exchange.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Emulator {

/// A time span, as delays after the declaration of the version.
struct Span
{
    Core::Duration m_from{0};
    Core::Duration m_to{0};

    bool operator==(const Span &) const = default;
};

/// Rates are in megabits per second.
struct SwarmParameters
{
    std::vector<std::uint32_t> m_replicasPerRegion{20, 19, 19};
    std::uint32_t m_chunkCount = 96;
    std::uint32_t m_chunkBytes = 24576;
    double m_originRate = 7.3;
    bool m_isOriginRateKnown = true; ///< The replicas pace their downloads by the origin's rate.
    double m_instanceRate = 7.3; ///< Of an instance's link, in each direction.
    double m_regionPairRate = 27; ///< Between two regions, in each direction.
    std::uint32_t m_concurrentPeerRequests = 5; ///< As in Transfer::TransferSettings.
    Core::Duration m_uploadQueueTime{190}; ///< As in Transfer::TransferSettings.
    Core::Duration m_delay{1}; ///< One way, between any two processes.
    Core::Duration m_startSpread{100}; ///< The replicas learn of the version at random times within this delay.
    double m_joiningShare = 0; ///< Share of the replicas that join during the distribution. The others do not know them before.
    Core::Duration m_joinDelay{300}; ///< They join, and the others learn of them, at random times within m_startSpread after this delay.
    double m_restartingShare = 0; ///< Share of the replicas whose processes are killed and start again without chunks.
    Core::Duration m_killDelay{1000}; ///< They are killed at random times within m_startSpread after this delay.
    Core::Duration m_restartDelay{200}; ///< From the kill to the restart.
    double m_slowShare = 0; ///< Share of the replicas whose links are slow.
    double m_slowFactor = 0.09; ///< Rate of a slow link, relative to m_instanceRate.
    std::optional<Span> m_originOutage;
    double m_corruptShare = 0; ///< Share of the chunks from the origin that are corrupt.
    Core::Duration m_limit{30000}; ///< The run ends after this time.
    std::uint64_t m_seed = 1;

    bool operator==(const SwarmParameters &) const = default;
};

struct SwarmResult
{
    std::vector<Core::Duration> m_completedAfter; ///< Delays after which replicas held every chunk, in increasing order; one element for each that did.
    double m_originCopies = 0; ///< Bytes sent by the origin, relative to the size of the version.
    std::uint64_t m_probes = 0; ///< Connections opened to find out whether the origin is reachable.

    bool operator==(const SwarmResult &) const = default;
};

/// Runs the emulation. Equal parameters give equal results.
SwarmResult emulateSwarm(const SwarmParameters &parameters);

}
