/// @file Tracks writes to an engine's staging area that may still take effect, so that no order is sent while one of another version may.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Staging {

/// Writes of one version.
struct UnsettledWrites
{
    std::uint32_t m_inProgress = 0;
    std::optional<Core::Instant> m_unansweredAt; ///< When the latest write without a response was given up.

    bool operator==(const UnsettledWrites &) const = default;
};

/// Unsettled writes by the digest of their version's manifest. Writes of the same version are interchangeable, so only those of other versions matter.
using StageWrites = std::map<std::string, UnsettledWrites>;

/// Records that a write has been sent.
void beginWrite(StageWrites &writes, const std::string &manifestDigest);

/// Records the end of a write. @p isAnswered: the engine has carried it out, or will not.
void endWrite(StageWrites &writes, const std::string &manifestDigest, bool isAnswered, Core::Instant now);

/**
 * Forgets the writes that have settled by @p now. Returns whether there were any of another version than @p manifestDigest.
 *
 * @p settleTime: a write without a response is expected to have taken effect after this time. It has no precondition by which the engine could reject it.
 */
bool forgetSettledWrites(StageWrites &writes, const std::string &manifestDigest, Core::Instant now, Core::Duration settleTime);

/// Returns whether a write of another version than @p manifestDigest may still take effect.
bool hasOtherWrites(const StageWrites &writes, const std::string &manifestDigest);

}
