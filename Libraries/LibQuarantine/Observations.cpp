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

}
