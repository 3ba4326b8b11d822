/// @file The instance list of the log stand-in, shown as it was some time ago.
#pragma once

#include "LibCore/Clock.h"

#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace StandIn {

/// One instance, as the test bench put it.
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

/// Thread-safe. Each change becomes visible after the lag.
class DelayedInstanceList
{
public:
    explicit DelayedInstanceList(Core::Duration lag);

    void put(const std::string &id, const ListedInstance &instance, Core::Instant now);
    void remove(const std::string &id, Core::Instant now);
    /// The list as of the lag ago, by id.
    std::map<std::string, ListedInstance> visible(Core::Instant now);

private:
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
    std::deque<Change> m_changes; ///< Not visible yet, oldest first.
};

}
