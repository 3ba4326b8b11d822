/// @file Instance list of the log stand-in, whose changes become visible with a delay.
#pragma once

#include "LibCore/Clock.h"

#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace StandIn {

/// An instance in the list, as set by the test.
struct ListedInstance
{
    std::string m_address;
    std::string m_role;
    std::string m_service;
    std::string m_region;
    std::string m_failureDomain;
    std::string m_state = "live";

    bool operator==(const ListedInstance &) const = default;
};

/// Instance list in which each change becomes visible after the lag. Thread-safe.
class DelayedInstanceList
{
public:
    explicit DelayedInstanceList(Core::Duration lag);

    /// Adds or replaces an instance.
    void put(const std::string &id, const ListedInstance &instance, Core::Instant now);
    void remove(const std::string &id, Core::Instant now);
    /// Returns the instances as of @p now minus the lag, by id.
    std::map<std::string, ListedInstance> visible(Core::Instant now);

private:
    /// A change that is not visible yet.
    struct Change
    {
        Core::Instant m_changedAt;
        std::string m_id;
        ListedInstance m_instance;
        bool m_isRemoval = false;
    };

    const Core::Duration m_lag;
    std::mutex m_mutex;
    std::map<std::string, ListedInstance> m_visible;
    std::deque<Change> m_changes; ///< Changes that are not visible yet, oldest first.
};

}
