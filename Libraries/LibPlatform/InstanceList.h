/// @file The platform's list of live and leaving instances, which lags behind the truth.
#pragma once

#include "LibCore/Error.h"
#include "LibProtocol/Member.h"

#include <vector>

namespace Platform {

/// Source of the list. Thread-safe.
class InstanceList
{
public:
    virtual ~InstanceList() = default;

    /// Every listed instance. Members from the list have no incarnation and know their wire address only.
    virtual Core::Result<std::vector<Protocol::Member>> instances() = 0;
};

}
