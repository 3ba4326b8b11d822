/// @file Decides whether an agent that has restarted must leave the staging area to an order that its predecessor may have sent.
#pragma once

#include "LibCore/Clock.h"
#include "LibStaging/EngineControl.h"
#include "LibStaging/UnsettledOrder.h"

#include <map>
#include <optional>
#include <string>

namespace Staging {

/// An engine that was running when the agent started. The agent does not know whether an order without a response is open there.
struct InheritedOrder
{
    UnsettledOrder m_order; ///< The order that the engine would accept.
    Core::Instant m_seenAt; ///< When this agent first saw the engine.
    /// The engine had restarted shortly before. A start may accept an order that was sent to the one before, once it has accepted as many as that expects.
    bool m_mayBeStray = false;

    bool operator==(const InheritedOrder &) const = default;
};

/// SHA-256 of each chunk that the engine lists as staged; an empty text if the chunk could not be read, so that it may belong to any version.
using StageDigests = std::map<Weights::ChunkIndex, std::string>;

/// Returns whether the staged chunks are exactly those of the manifest.
bool isStaged(const StageDigests &staged, const Weights::Manifest &manifest);

/**
 * Returns whether the staged chunks may all be those of a version other than the target. An order is sent only for a version that is completely staged, and the
 * stage is kept until the order is settled; so nothing is open if a chunk is missing or belongs to the target.
 */
bool mayBeOtherVersion(const StageDigests &staged, const Weights::Manifest &target);

/**
 * Returns whether the engine has started less than @p time before @p wallClock, in milliseconds since the epoch. Its start time is of the wall clock as well:
 * if that was set back, the engine seems to have started later than it has.
 */
bool hasStartedWithin(Core::Duration time, const EngineStatus &status, std::uint64_t wallClock);

/// Returns whether the order may still be accepted. @p settleTime: after this time an order is no longer expected to be open.
bool isOpen(const InheritedOrder &inherited, const EngineStatus &status, Core::Instant now, Core::Duration settleTime);

}
