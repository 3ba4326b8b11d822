/// @file From when on requests may only begin on a declared version of the weights.
#pragma once

#include "LibCore/Clock.h"
#include "LibFleet/FleetState.h"

#include <map>
#include <optional>
#include <string>

namespace Placement {

/// When a declaration became known, which is at most a moment after it was accepted.
struct DeclarationTime
{
    Core::Instant m_acceptedAt;
    bool m_isAgeKnown = false; ///< Somebody saw it being accepted; otherwise it is taken to be old.
};

/// Used by one thread.
class VersionDeadlines
{
public:
    /// @p bound: from the acceptance of a declaration until no request may begin on an older version.
    explicit VersionDeadlines(Core::Duration bound);

    /// Notes that a version was accepted @p age ago. The oldest statement about a version counts.
    void recordDeclared(const std::string &model, std::uint64_t version, Core::Duration age, Core::Instant now);
    /**
     * Notes that a version was found declared, nobody knows since when. Unless somebody states it, the bound counts as passed: a process that
     * starts within the bound would otherwise let requests begin on old weights for longer than allowed.
     */
    void recordFound(const std::string &model, std::uint64_t version, Core::Instant now);
    /// The version that requests must begin on; empty while any version may answer.
    std::optional<std::uint64_t> requiredVersion(const std::string &model, Core::Instant now) const;
    /// Versions of the model whose acceptance somebody stated and that were accepted within @p horizon, oldest first, with the time since.
    std::vector<std::pair<std::uint64_t, Core::Duration>> recentVersions(const std::string &model, Core::Duration horizon, Core::Instant now) const;
    /// Time since the version was accepted, if somebody stated it.
    std::optional<Core::Duration> knownAge(const std::string &model, std::uint64_t version, Core::Instant now) const;

    /// Time since the oldest stated version after @p loaded was accepted; empty if there is none.
    std::optional<Core::Duration> oldestAgeAfter(const std::string &model, std::uint64_t loaded, Core::Instant now) const;

private:
    void removeOldest(const std::string &model);

    const Core::Duration m_bound;
    std::map<std::string, std::map<std::uint64_t, DeclarationTime>> m_declared; ///< By model and version.
};

}
