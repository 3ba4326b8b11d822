/// @file The process on an entry instance: answers callers on one event loop and keeps its beliefs up to date.
#pragma once

#include "LibFleet/EndpointIndex.h"
#include "LibFollow/Follower.h"
#include "LibGossip/GossipService.h"
#include "LibHttp/Listener.h"
#include "LibRelay/Relay.h"
#include "LibServing/EntrySettings.h"
#include "LibTelemetry/AdminServer.h"

#include <boost/asio/signal_set.hpp>

namespace Serving {

/// Answer of a page.
struct PageAnswer
{
    int m_status = 200;
    std::string m_contentType = "application/json";
    std::string m_body;
};

/// What the pages of a place may ask of the entry.
struct PageView
{
    std::function<bool()> m_isReady;
    std::function<std::vector<Core::Address>(const CallerLocation &place)> m_entries;
    std::uint32_t m_lifetimeSeconds = 0; ///< Of an answer with entries.
};

/// What an adapter supplies for the place where the entry runs.
struct EntryAdapter
{
    std::function<Follow::RecordSource(Http::EventLoop &loop, const Core::Address &log, Telemetry::Metrics &metrics)> m_makeSource;
    Relay::Dialect m_dialect;
    std::function<PageAnswer(const Http::ServerRequest &request, const PageView &view)> m_answerPage;
};

/// Runs on the thread that calls run(), and on the node's.
class EntryProcess
{
public:
    EntryProcess(EntrySettings settings, EntryAdapter adapter);

    /// Runs until the process has been told to end and its requests have ended. 0 if all went well.
    int run();
    /// Called with SIGHUP: reads the settings again.
    void onReload(std::function<std::optional<EntrySettings>()> reload);

private:
    Core::Result<void> start();
    void awaitSignals();
    void handleSignal(int signal);
    void reload();
    void startLeaving();
    void continueLeaving();
    void stop();
    void onFleetStateChanged(const Fleet::FleetStateUpdate &update, bool isFromLog);
    void handleEngineUpdates(const std::vector<Gossip::EngineUpdate> &news);
    void applyEngineUpdate(const Gossip::EngineUpdate &news, Core::Instant now);
    void applyLimits();
    void answerPage(const std::shared_ptr<Http::ServerConnection> &connection, const Http::ServerRequest &request);
    /// Takes a report of an engine's load into the ledger of places.
    void recordSlots(const Fleet::Endpoint &endpoint, const Placement::EngineReport &report, Core::Instant now);
    /// Works out this entry's parts of what all entries share.
    void updateShares();
    void updateRequestRate();
    void tick();
    bool isReady() const;
    Gossip::Member makeSelf() const;
    void addDumpSections();

    const EntrySettings m_settings;
    const EntryAdapter m_adapter;
    Http::EventLoop m_loop;
    Telemetry::Metrics m_metrics;
    Telemetry::EventLog m_log;
    Core::Random m_random;
    Fleet::FleetState m_fleetState;
    Fleet::EndpointIndex m_endpointsByAddress; ///< Of the endpoints in m_beliefs.
    Placement::EndpointTracker m_endpointTracker;
    Placement::RetryBudgets m_retryBudgets;
    Placement::VersionDeadlines m_versions;
    Placement::ElapsedTimeEstimator m_elapsedTimeEstimator;
    Placement::SlotTracker m_slotTracker;
    Wire::Node m_node;
    Gossip::GossipService m_gossip;
    Follow::Follower m_follower;
    Relay::Relay m_relay;
    Telemetry::AdminServer m_admin;
    std::shared_ptr<Http::ServerContext> m_callerContext;
    std::shared_ptr<Http::ServerContext> m_pageContext;
    std::shared_ptr<Http::ServerContext> m_adminContext;
    std::vector<std::unique_ptr<Http::Listener>> m_listeners; ///< The callers' first.
    boost::asio::signal_set m_signals;
    Http::Timer m_tickTimer;
    Http::Timer m_leavingTimer;
    std::function<std::optional<EntrySettings>()> m_reload;
    std::optional<Core::Instant> m_leavingSince; ///< Set once the process has been told to end.
    double m_requestRate = 0; ///< Requests per second, as a moving average.
    std::uint64_t m_countedRequests = 0; ///< That the average has taken in.
};

}
