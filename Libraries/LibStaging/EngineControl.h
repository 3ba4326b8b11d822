/// @file What the agent needs of the engine beside it. Supplied by the adapter of the place where the agent runs.
#pragma once

#include "LibCore/Address.h"
#include "LibFleet/Endpoint.h"
#include "LibWeights/Manifest.h"

#include <functional>
#include <optional>

namespace Staging {

/// An engine as it reports itself.
struct EngineStatus
{
    std::uint64_t m_startedMilliseconds = 0; ///< Incarnation of the engine.
    std::vector<Fleet::LoadedWeights> m_weights;
    bool m_isBusy = false; ///< An order is under way.
    std::uint64_t m_acceptedOrders = 0; ///< Orders that it has accepted since its start.
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    double m_pace = 1; ///< Over 1 means slower than stated.

    bool operator==(const EngineStatus &) const = default;
};

/// What becomes of the requests that an engine is running when it is told to load.
enum class RunningRequestPolicy {
    Finish, ///< They end first; the engine takes nothing new meanwhile.
    Abort, ///< They break off, and the engine loads at once.
};

/// Tells the engine to load what is staged.
struct LoadOrder
{
    std::string m_model;
    std::uint64_t m_version = 0;
    RunningRequestPolicy m_runningRequestPolicy = RunningRequestPolicy::Finish;
    std::uint64_t m_fence = 0; ///< Offset of the declaration; engines that check refuse lower ones than seen.
    std::uint64_t m_expectedAcceptedOrders = 0; ///< The order counts only if the engine has accepted as many before.

    bool operator==(const LoadOrder &) const = default;
};

template <typename T>
using Done = std::function<void(Core::Result<T>)>;

/**
 * Asynchronous; each call back comes exactly once, on the loop's thread. Errors of load(): Conflict if the order does not fit the engine's state
 * or a newer one was given, Ambiguous if it may have been accepted.
 */
struct EngineControl
{
    std::function<void(Done<EngineStatus>)> m_readStatus;
    std::function<void(const std::string &model, Done<std::vector<Weights::ChunkIndex>>)> m_listStagedChunks;
    std::function<void(const std::string &model, Weights::ChunkIndex chunk, Done<std::string>)> m_readStagedChunk;
    std::function<void(const std::string &model, Weights::ChunkIndex chunk, const std::string &bytes, Done<void>)> m_stageChunk;
    std::function<void(const LoadOrder &order, Done<void>)> m_load;
    /// Asks the origin for the manifest of a version.
    std::function<void(const Core::Address &origin, const std::string &model, std::uint64_t version, Done<Weights::Manifest>)> m_fetchManifest;
};

}
