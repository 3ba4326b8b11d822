/// @file Tracks since when each declared version of the weights is known, and from when on requests must begin on it.
#pragma once

#include "LibCore/Clock.h"
#include "LibFleet/FleetState.h"

#include <map>
#include <optional>
#include <string>

namespace Placement {

/// Time before the bound of a version from which on no request is sent to engines with an older one, because a request waits almost this long at a full engine
/// before it starts.
inline constexpr Core::Duration VersionBoundMargin{2000};

/// Time at which a declaration was accepted, as far as it is known. A process that learns of the declaration directly does so at most a moment after that time.
struct DeclarationTime
{
    Core::Instant m_acceptedAt;
    bool m_isAgeKnown = false; ///< Some process observed the acceptance. Otherwise the declaration counts as older than the bound.
};

/// Acceptance times of the declared versions of each model. Used by one thread.
class VersionDeadlines
{
public:
    /// @p bound: time after the acceptance of a declaration from which on no request may begin on an older version.
    explicit VersionDeadlines(Core::Duration bound);

    /// Records that a version was accepted @p age ago. If several ages are recorded for a version, the greatest counts.
    void recordDeclared(const std::string &model, std::uint64_t version, Core::Duration age, Core::Instant now);
    /**
     * Records that a version is declared, with unknown age. Until an age is recorded, the version's deadline counts as passed. Otherwise a process
     * that starts before the deadline would let requests begin on old weights for longer than allowed.
     */
    void recordFound(const std::string &model, std::uint64_t version, Core::Instant now);
    /// Returns the oldest version that requests may begin on; empty while any version may answer.
    std::optional<std::uint64_t> requiredVersion(const std::string &model, Core::Instant now) const;
    /// Returns the versions of the model that were accepted less than @p horizon ago, oldest first, each with its age. Leaves out versions of unknown age.
    std::vector<std::pair<std::uint64_t, Core::Duration>> recentVersions(const std::string &model, Core::Duration horizon, Core::Instant now) const;
    /// Returns the time since the version was accepted; empty if it is unknown.
    std::optional<Core::Duration> knownAge(const std::string &model, std::uint64_t version, Core::Instant now) const;

    /// Returns the greatest known age of the versions after @p loaded; empty if no such version has a known age.
    std::optional<Core::Duration> oldestAgeAfter(const std::string &model, std::uint64_t loaded, Core::Instant now) const;

private:
    void removeOldest(const std::string &model);

    const Core::Duration m_bound;
    std::map<std::string, std::map<std::uint64_t, DeclarationTime>> m_declared; ///< By model and version.
};

}
