/// @file An entry process, composed of its workers and services.
#pragma once

#include "LibControl/Checkpointer.h"
#include "LibControl/InstanceListWorker.h"
#include "LibControl/LogTail.h"
#include "LibControl/PlannerWorker.h"
#include "LibControl/StateFeed.h"
#include "LibControl/StateSubscriber.h"
#include "LibEntry/AgentWatcher.h"
#include "LibEntry/CallerServer.h"
#include "LibPlatform/HttpInstanceList.h"
#include "LibPlatform/HttpLog.h"
#include "LibTelemetry/AdminServer.h"

namespace Entry {

/// One entry process. May be started and stopped only once.
class Entry
{
public:
    explicit Entry(EntrySettings settings);
    ~Entry();

    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /// Starts all workers and servers. Fails if an address cannot be listened on.
    Core::Result<void> start();
    /// Announces that the entry is leaving. Its address is no longer given to callers, but requests that end within the drain limit are still served.
    void startLeaving();
    /// Serves for one address lifetime, during which callers may still use the address, then refuses new requests and waits for running ones.
    /// Returns false if the drain limit is reached first.
    bool awaitDrained();
    void stop();

private:
    void registerPages();
    Telemetry::AdminAnswer status() const;
    Poco::JSON::Object::Ptr dumpInstance() const;
    Poco::JSON::Object::Ptr dumpRouting() const;
    Poco::JSON::Object::Ptr dumpClaims() const;

    const EntrySettings m_settings;
    Telemetry::Metrics m_metrics;
    Wire::Node m_node;
    Platform::HttpLog m_log;
    Platform::HttpLog m_claimsLog; ///< Has a shorter timeout, since callers wait for claims.
    Platform::HttpInstanceList m_instanceList;
    Control::StateStore m_store;
    Control::LogTail m_tail;
    Control::StateFeed m_feed;
    Control::StateSubscriber m_subscriber;
    Control::InstanceListWorker m_instanceListWorker;
    Control::PlannerWorker m_planner;
    Control::Checkpointer m_checkpointer;
    Router m_router;
    VersionTracker m_versions;
    AgentWatcher m_agentWatcher;
    ClaimService m_claims;
    Frontend m_frontend;
    CallerServer m_callers;
    Telemetry::AdminServer m_admin;
    bool m_started = false;
};

}
