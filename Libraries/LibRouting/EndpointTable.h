/// @file Every endpoint that an entry watches, with the groups that can serve the same requests.
#pragma once

#include "LibRouting/Endpoint.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Routing {

/// Requests that any of the same endpoints can answer: one version of a model, or a plain service with an empty digest.
struct GroupKey
{
    std::string m_service;
    std::string m_digest;

    auto operator<=>(const GroupKey &) const = default;
};

using EndpointIndex = std::uint32_t;

/**
 * Keeps endpoints in slots with stable indices, and for each group the indices of its members.
 *
 * Groups are rebuilt when a report changes what an endpoint serves, and only looked up for a request, so that a routing decision costs no
 * allocation and does not grow with the number of endpoints.
 */
class EndpointTable
{
public:
    /// Takes in a report. Older reports of the same incarnation are ignored; a new incarnation starts afresh.
    void update(const Protocol::AgentReport &report, Core::Instant now);
    /// Forgets an instance that is no longer watched. Its slot stays until its outstanding calls have ended.
    void remove(const std::string &instance);

    /// The stream of reports has ended: the endpoint is not available until the next report.
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
    /// Members of the group in order of their slots; available or not.
    std::span<const EndpointIndex> group(const GroupKey &key) const;
    /// Members of the group that are available.
    std::size_t countAvailable(const GroupKey &key, Core::Instant now) const;
    /// Endpoints of a service that are available, whatever they serve.
    std::size_t countServiceAvailable(const std::string &service, Core::Instant now) const;

    /// A call of this entry starts at the endpoint.
    void onCallStarted(EndpointIndex index);
    /// The call has ended. @p seconds is negative if it does not count for the average.
    void onCallEnded(EndpointIndex index, const std::string &incarnation, double seconds);
    /// Puts the endpoint aside after a failure that says something about it.
    void avoid(EndpointIndex index, Core::Instant until);

private:
    void rebuildGroups();

    std::vector<EndpointView> m_endpoints; ///< A slot whose instance is not in m_slots is free and never available.
    std::map<std::string, EndpointIndex> m_indexes; ///< By name of the instance.
    std::map<GroupKey, std::vector<EndpointIndex>> m_groups;
};

}
