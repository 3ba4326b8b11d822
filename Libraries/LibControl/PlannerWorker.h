/// @file Keeps the plans on the log in step with templates and members.
#pragma once

#include "LibControl/Records.h"
#include "LibControl/StateStore.h"
#include "LibControl/Worker.h"
#include "LibPlatform/Log.h"

#include <map>
#include <optional>

namespace Control {

struct PlannerSettings
{
    Core::Duration m_rankDelay{300}; ///< The entry of rank r waits r times this before it appends.
    Core::Duration m_settleDelay{100}; ///< Members that change together are planned together.
    Core::Duration m_retryDelay{1000}; ///< After an append that failed, and while a record is awaited.
};

/**
 * Appends a new plan when the one in force is out of date, on a thread of its own.
 *
 * Every entry does this; ranks by rendezvous spread the services over the entries and let one usually act for all. If two
 * act at once, the first in the log's order wins and the other's plan is refused as stale. An append whose answer was
 * lost may have taken effect: its record is awaited by its id before anything else is appended for the service.
 */
class PlannerWorker
{
public:
    PlannerWorker(Platform::Log &log, StateStore &store, Protocol::Member self, Telemetry::Metrics &metrics, PlannerSettings settings = {});
    ~PlannerWorker();

    void start();
    void stop();

private:
    /// What this entry is about to do, or has done, for one service.
    struct PendingPlan
    {
        Plan m_plan;
        Core::Instant m_since; ///< When the plan in force was first seen to be out of date.
        std::optional<std::string> m_recordId; ///< Id of the record that was appended.
        Core::Instant m_appendedAt;
    };

    Core::Duration runOnce();
    Core::Duration updatePlan(const std::string &service, const ControlState &state, const std::vector<Protocol::Member> &members, Core::Instant now);
    void append(const std::string &service, const ControlState &state, PendingPlan &pending, Core::Instant now);

    Platform::Log &m_log;
    StateStore &m_store;
    const Protocol::Member m_self;
    const PlannerSettings m_settings;
    Telemetry::Counter &m_plansAppended;
    Telemetry::Counter &m_appendFailures;
    std::map<std::string, PendingPlan> m_pending; ///< By service; used by the duty's thread only.
    std::uint64_t m_lastMembersVersion = 0;
    std::string m_lastChain;
    Worker m_worker;
};

}
