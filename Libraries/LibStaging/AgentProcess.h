/// @file The agent process: loads weights into the engine beside it and reports the engine's state.
#pragma once

#include "LibFollow/Follower.h"
#include "LibGossip/GossipService.h"
#include "LibHttp/Listener.h"
#include "LibStaging/AgentSettings.h"
#include "LibStaging/ManifestSharing.h"
#include "LibTelemetry/AdminServer.h"
#include "LibTelemetry/StallDetector.h"

#include <boost/asio/signal_set.hpp>

namespace Staging {

/// Functions supplied by the adapter for the platform on which the agent runs.
struct AgentAdapter
{
    std::function<Follow::RecordSource(Http::EventLoop &loop, const Core::Address &log, Telemetry::Metrics &metrics)> m_makeRecordSource;
    std::function<EngineControl(Http::EventLoop &loop, const Core::Address &engine)> m_makeEngineControl;
    Transfer::OriginDialect m_originDialect;
};

/// Runs on the thread that calls run(); the node and the transfer manager have threads of their own.
class AgentProcess
{
public:
    AgentProcess(AgentSettings settings, AgentAdapter adapter);

    /// Runs until the process receives SIGTERM or SIGINT. Returns 0 on success.
    int run();
    /// Sets the callback that reads the settings again. It is called on SIGHUP.
    void onReload(std::function<std::optional<AgentSettings>()> reload);

private:
    Core::Result<void> start();
    void awaitSignals();
    void reload();
    void stop();
    void onEngineStatus(const EngineStatus &status, bool isUnavailable, bool isChange);
    void onMembersChanged();
    void tick();
    Gossip::Member makeSelf() const;
    /// Returns the engine's control for the weights manager. Manifests may be fetched from other agents instead of the origin.
    EngineControl engineControl();

    const AgentSettings m_settings;
    const AgentAdapter m_adapter;
    Http::EventLoop m_loop;
    Telemetry::Metrics m_metrics;
    Telemetry::EventLog m_log;
    Core::Random m_random;
    Fleet::FleetState m_fleetState;
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
    Telemetry::StallDetector m_stallDetector;
    std::function<std::optional<AgentSettings>()> m_reload;
    Core::Instant m_startedAt;
};

}
