/// @file The operations that the agent needs of its engine. The platform's adapter supplies them.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibFleet/Endpoint.h"
#include "LibWeights/Manifest.h"

#include <algorithm>
#include <array>
#include <functional>
#include <optional>

namespace Staging {

/// A chunk that was damaged in the staging area this long before an engine accepts an order must not be loaded.
inline constexpr Core::Duration DamageNoticeTime{3000};
/// Longest time between the verification of a chunk and the sending of an order. With the timeout of the order it stays below DamageNoticeTime.
inline constexpr Core::Duration VerificationLimit{1500};

/// State of an engine, as reported by the engine.
struct EngineStatus
{
    std::uint64_t m_startedMilliseconds = 0; ///< Start time of the engine in milliseconds; identifies its incarnation. 0 if the engine does not report it.
    std::vector<Fleet::LoadedWeights> m_weights;
    bool m_isBusy = false; ///< The engine is executing a load order.
    std::uint64_t m_acceptedOrders = 0; ///< Number of load orders that the engine has accepted since its start.
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    double m_pace = 1; ///< Slowdown factor: 1 is the stated speed, larger values are slower.

    bool operator==(const EngineStatus &) const = default;
};

/**
 * Orders the engine to load the staged weights once its running requests have ended; meanwhile it accepts no new requests.
 *
 * No order aborts running requests. Whether a request can be continued elsewhere is up to its entry, its budget and its caller, of which the agent knows
 * nothing.
 */
struct LoadOrder
{
    std::string m_model;
    std::uint64_t m_version = 0;
    std::uint64_t m_fence = 0; ///< Log offset of the declaration. Engines that check it refuse an offset lower than the highest one seen.
    std::uint64_t m_expectedAcceptedOrders = 0; ///< The engine accepts the order only if it has accepted exactly this many orders before.

    bool operator==(const LoadOrder &) const = default;
};

template <typename T>
using Done = std::function<void(Core::Result<T>)>;

/// Returns whether a call to an engine has failed without any effect, now or later.
inline bool wasRejected(const Core::Result<void> &result)
{
    constexpr std::array<Core::ErrorCode, 3> codes{Core::ErrorCode::Conflict, Core::ErrorCode::Unavailable, Core::ErrorCode::Timeout};
    return !result && std::find(codes.begin(), codes.end(), result.error().m_code) != codes.end();
}

/**
 * Asynchronous operations. Each callback is called exactly once, on the event loop's thread, that of m_load within DamageNoticeTime - VerificationLimit. m_load
 * fails with Conflict if the order does not match the engine's state or a newer order was accepted, and with Ambiguous if the order may have been accepted.
 */
struct EngineControl
{
    std::function<void(Done<EngineStatus>)> m_readStatus;
    std::function<void(const std::string &model, Done<std::vector<Weights::ChunkIndex>>)> m_listStagedChunks;
    std::function<void(const std::string &model, Weights::ChunkIndex chunk, Done<std::string>)> m_readStagedChunk;
    std::function<void(const std::string &model, Weights::ChunkIndex chunk, const std::string &bytes, Done<void>)> m_stageChunk;
    std::function<void(const LoadOrder &order, Done<void>)> m_load;
    /// Reads the manifest of a version from the origin.
    std::function<void(const Core::Address &origin, const std::string &model, std::uint64_t version, Done<Weights::Manifest>)> m_fetchManifest;
};

}
