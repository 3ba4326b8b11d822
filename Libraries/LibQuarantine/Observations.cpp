/// @file Implementation of the identities in observations.

#include "LibQuarantine/Observations.h"

#include "LibCore/Random.h"

namespace Quarantine {

Incarnation incarnationOf(const std::string &endpointId, std::uint64_t startedMilliseconds)
{
    return Core::stableHash(endpointId, startedMilliseconds);
}

Account accountOf(const std::string &name)
{
    return name.empty() ? 0 : Core::stableHash(name);
}

RequestHash requestOf(const PromptPart &identity)
{
    return Core::stableHash(identity.m_id);
}

std::uint64_t ageMilliseconds(Core::Instant at, Core::Instant now)
{
    return now > at ? static_cast<std::uint64_t>(std::chrono::duration_cast<Core::Duration>(now - at).count()) : 0;
}

}
