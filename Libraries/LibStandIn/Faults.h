/// @file The fault switches of a stand-in: one value of switches that is read by many threads and changed over HTTP.
#pragma once

#include "LibCore/Error.h"

#include <Poco/JSON/Object.h>
#include <functional>
#include <mutex>

namespace StandIn {

/**
 * Holds the current switches, a plain struct of type @p Switches. Thread-safe.
 *
 * A request names only the switches that it changes; one that is unknown or has a value of the wrong type changes nothing,
 * so that a misspelt scenario fails instead of running without its fault.
 */
template <typename Switches>
class FaultState
{
public:
    /// Returns the switches after the change that @p object asks for.
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
