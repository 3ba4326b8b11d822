/// @file Implementation of the decisions on a request's head.

#include "LibRelay/CallerAccess.h"

namespace Relay {

const Fleet::ClientAccount *accountOf(const Fleet::ConfigurationIndex &configuration, const RequestFacts &facts)
{
    return facts.m_key.empty() ? nullptr : configuration.accountOfKey(facts.m_key);
}

bool mayUseRoute(const Fleet::ConfigurationIndex &configuration, const Fleet::Route &route, const RequestFacts &facts)
{
    return route.m_isPublic || !configuration.configuration().m_needsKeys || accountOf(configuration, facts) != nullptr;
}

Core::Duration requestTimeout(const Fleet::Route &route, const RequestFacts &facts)
{
    const Core::Duration timeout(route.m_timeoutMilliseconds);
    if (facts.m_timeout && (*facts.m_timeout < timeout || timeout.count() == 0)) {
        return *facts.m_timeout;
    }
    return timeout;
}

}
