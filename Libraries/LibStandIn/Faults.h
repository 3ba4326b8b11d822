/// @file Thread-safe holder of a stand-in's fault switches, which are changed over HTTP.
#pragma once

#include "LibCore/Error.h"

#include <Poco/JSON/Object.h>
#include <functional>
#include <mutex>

namespace StandIn {

/**
 * Holds the current switches, a plain struct of type @p Switches. Thread-safe.
 *
 * A change names only the switches that it sets. A change with an unknown switch or a value of the wrong type is refused as a
 * whole, so that a test scenario with a typo fails instead of running without its fault.
 */
template <typename Switches>
class FaultState
{
public:
    /// Returns the switches with the change in the JSON object applied.
    using Change = std::function<Core::Result<Switches>(Switches, const Poco::JSON::Object &)>;

    explicit FaultState(Change change)
        : m_change(std::move(change))
    {
    }

    Switches current() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_switches;
    }

    /// Applies a change. On an error the switches stay as they were.
    Core::Result<void> apply(const Poco::JSON::Object &object)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_switches = BOOST_OUTCOME_TRYX(m_change(m_switches, object));
        return Core::success();
    }

private:
    Change m_change;
    mutable std::mutex m_mutex;
    Switches m_switches;
};

}
