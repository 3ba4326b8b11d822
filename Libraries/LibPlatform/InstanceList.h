/// @file The platform's list of live and leaving instances, which may be stale.
#pragma once

#include "LibCore/Error.h"
#include "LibProtocol/Member.h"

#include <vector>

namespace Platform {

/// Source of the instance list. Thread-safe.
class InstanceList
{
public:
    virtual ~InstanceList() = default;

    /// Returns every listed instance. The members have no incarnation, and m_wire is their only address.
    virtual Core::Result<std::vector<Protocol::Member>> instances() = 0;
};

}
