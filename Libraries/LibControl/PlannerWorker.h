/// @file Keeps the plans on the log up to date with templates and members.
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
    Core::Duration m_settleDelay{100}; ///< Wait after a change, so that members that change together are planned together.
    Core::Duration m_retryDelay{1000}; ///< Wait after a failed append, and longest wait for an appended record to be read back.
};

/**
 * Appends a new plan when the one in force is out of date, on its own thread.
 *
 * Every entry runs a planner. Ranks by rendezvous weight distribute the services over the entries, so that usually a single
 * entry acts for a service. If two act at once, the first plan in the log's order is accepted and the other is refused as
 * stale. An append whose answer was lost may have taken effect: the planner waits for its record, which it finds by id,
 * before it appends anything else for the service.
 */
class PlannerWorker
{
public:
    PlannerWorker(Platform::Log &log, StateStore &store, Protocol::Member self, Telemetry::Metrics &metrics, PlannerSettings settings = {});
    ~PlannerWorker();

    void start();
    void stop();

private:
    /// The plan that this entry is about to append, or has appended, for one service.
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
    std::map<std::string, PendingPlan> m_pending; ///< By service; used by the worker's thread only.
    std::uint64_t m_lastMembersVersion = 0;
    std::string m_lastChain;
    Worker m_worker;
};

}
