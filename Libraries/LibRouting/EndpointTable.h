/// @file The endpoints that an entry watches, grouped by the requests that they can serve.
#pragma once

#include "LibRouting/Endpoint.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Routing {

/// Identifies a group of interchangeable endpoints: those that serve one version of a model, or a plain service (with an empty digest).
struct GroupKey
{
    std::string m_service;
    std::string m_digest;

    auto operator<=>(const GroupKey &) const = default;
};

using EndpointIndex = std::uint32_t;

/**
 * Stores endpoints under stable indices, and for each group the indices of its members.
 *
 * Groups are rebuilt when a report changes what an endpoint serves, and only looked up for a request, so that a routing decision allocates
 * nothing and its cost does not grow with the total number of endpoints.
 */
class EndpointTable
{
public:
    /// Applies a report. Ignores older reports of the same incarnation; a new incarnation resets the endpoint's state.
    void update(const Protocol::AgentReport &report, Core::Instant now);
    /// Makes an instance that is no longer watched unavailable. Its index stays valid, since calls to it may be outstanding.
    void remove(const std::string &instance);

    /// Makes the endpoint unavailable until its next report, after its stream of reports has ended.
    void markUnavailable(const std::string &instance);

    const EndpointView *find(const std::string &instance) const;
    const EndpointView &at(EndpointIndex index) const
    {
        return m_endpoints[index];
    }
    std::span<const EndpointView> endpoints() const
    {
        return m_endpoints;
    }
    /// Members of the group in ascending order of index, available or not.
    std::span<const EndpointIndex> group(const GroupKey &key) const;
    /// Number of available members of the group.
    std::size_t countAvailable(const GroupKey &key, Core::Instant now) const;
    /// Number of available endpoints of a service, whichever versions they serve.
    std::size_t countServiceAvailable(const std::string &service, Core::Instant now) const;

    /// Counts a call that this entry starts at the endpoint.
    void onCallStarted(EndpointIndex index);
    /// Counts a call as ended; ignores calls to another incarnation. @p seconds is the call's duration, negative if it must not count in the average.
    void onCallEnded(EndpointIndex index, const std::string &incarnation, double seconds);
    /// Makes the endpoint unavailable until the given time, after a failure of the endpoint or of the connection to it.
    void avoid(EndpointIndex index, Core::Instant until);

private:
    void rebuildGroups();

    std::vector<EndpointView> m_endpoints; ///< Never shrinks, so that indices stay valid.
    std::map<std::string, EndpointIndex> m_indexes; ///< By name of the instance.
    std::map<GroupKey, std::vector<EndpointIndex>> m_groups;
};

}
