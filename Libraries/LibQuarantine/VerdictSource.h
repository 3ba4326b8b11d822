/// @file Interface for keeping verdicts where they outlast all processes. Implemented by the adapter of the platform.
#pragma once

#include "LibCore/Error.h"
#include "LibQuarantine/Observations.h"

#include <functional>

namespace Quarantine {

using VerdictsCallback = std::function<void(Core::Result<std::vector<Verdict>>)>;
using VerdictStoredCallback = std::function<void(Core::Result<void>)>;

/// Works without blocking; each call calls its callback exactly once, on the loop's thread.
struct VerdictSource
{
    /// Reads the stored verdicts, also the lifted ones.
    std::function<void(VerdictsCallback done)> m_readAll;
    /// Stores the verdict in place of an earlier one on the same part.
    std::function<void(const Verdict &verdict, VerdictStoredCallback done)> m_store;
};

}
