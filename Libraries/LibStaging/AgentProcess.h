/// @file The process beside an engine: weights, orders and reports.
#pragma once

#include "LibFollow/Follower.h"
#include "LibGossip/GossipService.h"
#include "LibHttp/Listener.h"
#include "LibStaging/AgentSettings.h"
#include "LibStaging/ManifestSharing.h"
#include "LibTelemetry/AdminServer.h"

#include <boost/asio/signal_set.hpp>

namespace Staging {

/// What an adapter supplies for the place where the agent runs.
struct AgentAdapter
{
    std::function<Follow::RecordSource(Http::EventLoop &loop, const Core::Address &log, Telemetry::Metrics &metrics)> m_makeRecordSource;
    std::function<EngineControl(Http::EventLoop &loop, const Core::Address &engine)> m_makeEngineControl;
    Transfer::OriginDialect m_originDialect;
};

/// Runs on the thread that calls run(), and on those of the node and the transfer.
class AgentProcess
{
public:
    AgentProcess(AgentSettings settings, AgentAdapter adapter);

    /// Runs until the process has been told to end. 0 if all went well.
    int run();
    /// Called with SIGHUP: reads the settings again.
    void onReload(std::function<std::optional<AgentSettings>()> reload);

private:
    Core::Result<void> start();
    void awaitSignals();
    void reload();
    void stop();
    void onEngineStatus(const EngineStatus &status, bool isAway, bool isChange);
    void onMembersChanged();
    void tick();
    Gossip::Member makeSelf() const;
    /// The engine as the keeper sees it: manifests may come from other agents.
    EngineControl engineControl();

    const AgentSettings m_settings;
    const AgentAdapter m_adapter;
    Http::EventLoop m_loop;
    Telemetry::Metrics m_metrics;
    Telemetry::EventLog m_log;
    Core::Random m_random;
    Fleet::FleetState m_beliefs;
    Placement::VersionDeadlines m_versions;
    Wire::Node m_node;
    Gossip::GossipService m_gossip;
    Follow::Follower m_follower;
    Transfer::TransferManager m_transfer;
    const EngineControl m_engine;
    ManifestSharing m_manifests;
    WeightsManager m_weightsManager;
    Telemetry::AdminServer m_admin;
    std::shared_ptr<Http::ServerContext> m_adminContext;
    Http::Listener m_adminListener;
    boost::asio::signal_set m_signals;
    Http::Timer m_tickTimer;
    std::function<std::optional<AgentSettings>()> m_reload;
    Core::Instant m_startedAt;
};

}
