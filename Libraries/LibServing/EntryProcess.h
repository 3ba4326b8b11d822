/// @file The entry process: answers callers on one event loop and keeps its fleet state up to date.
#pragma once

#include "LibFleet/EndpointIndex.h"
#include "LibFollow/Follower.h"
#include "LibGossip/EntryRoster.h"
#include "LibGossip/GossipService.h"
#include "LibHttp/Listener.h"
#include "LibRelay/Relay.h"
#include "LibServing/EntrySettings.h"
#include "LibServing/LimitTransition.h"
#include "LibServing/ListedCold.h"
#include "LibServing/VerdictKeeper.h"
#include "LibTelemetry/AdminServer.h"
#include "LibTelemetry/StallDetector.h"

#include <boost/asio/signal_set.hpp>

namespace Serving {

/// Answer of one page of the platform's interface.
struct PageAnswer
{
    int m_status = 200;
    std::string m_contentType = "application/json";
    std::string m_body;
};

/// Queries that the pages of the platform's interface may make of the entry.
struct PageView
{
    std::function<bool()> m_isReady;
    std::function<std::vector<Core::Address>(const CallerLocation &location)> m_entries;
    std::uint32_t m_lifetimeSeconds = 0; ///< Lifetime of an answer with entries.
};

/// Functions that the adapter of a platform supplies.
struct EntryAdapter
{
    std::function<Follow::RecordSource(Http::EventLoop &loop, const Core::Address &log, Telemetry::Metrics &metrics)> m_makeSource;
    std::function<Quarantine::VerdictSource(Http::EventLoop &loop, const Core::Address &log, Telemetry::Metrics &metrics)> m_makeVerdictSource;
    Relay::Dialect m_dialect;
    std::function<PageAnswer(const Http::ServerRequest &request, const PageView &view)> m_answerPage;
};

/// Runs on the thread that calls run() and on the threads of its node.
class EntryProcess
{
public:
    EntryProcess(EntrySettings settings, EntryAdapter adapter);

    /// Runs until a termination signal was received and the requests have ended or the leaving time is over. Returns 0 on success, 1 if the start failed.
    int run();
    /// Sets the function that reads the settings again on SIGHUP.
    void onReload(std::function<std::optional<EntrySettings>()> reload);

private:
    Core::Result<void> start();
    void awaitSignals();
    void handleSignal(int signal);
    void reload();
    void startLeaving();
    void continueLeaving();
    /// Returns when the requests that are still open are ended.
    Core::Instant requestsEndAt() const;
    /// Ends what is still open, and the process a moment later.
    void endRequests();
    void scheduleLeaving(Core::Duration delay, std::function<void()> step);
    void stop();
    void onFleetStateChanged(const Fleet::FleetStateUpdate &update, bool isFromLog);
    /// Tells the budget for cold endpoints what the list and the configuration state now, and logs what has changed.
    void updateColdEndpoints(bool isFromLog);
    /// Logs the evacuated failure domains, counts their engines out, and expects those that come back to be cold.
    void onEvacuationsChanged(bool isFromLog);
    void handleEngineUpdates(const std::vector<Gossip::EngineUpdate> &updates);
    void applyEngineUpdate(const Gossip::EngineUpdate &update, Core::Instant now);
    void applyLimits();
    /// Makes all listeners share the memory for requests and for answers.
    void limitMemory();
    void answerPage(const std::shared_ptr<Http::ServerConnection> &connection, const Http::ServerRequest &request);
    /// Records the free slots of an engine from a report of its load.
    void recordSlots(const Fleet::Endpoint &endpoint, const Placement::EngineReport &report, Core::Instant now);
    /// Tells the quarantine that the engine lives on, if the report shows it.
    void recordLiveness(const Fleet::Endpoint &endpoint, const Gossip::EngineUpdate &update, Core::Instant now);
    std::vector<Placement::LimitObservation> sampleLimits(std::size_t count);
    void handleLimits(const std::vector<Placement::LimitObservation> &observations);
    void startQuarantine();
    /// Logs changes of verdicts and tells other entries what is news.
    void onQuarantineChanged();
    /// Lifts the verdicts that operators have named in the settings.
    void liftVerdicts(const std::vector<std::string> &parts);
    /// Updates this entry's shares of the retry budgets, slots and limits that all entries share.
    void updateShares();
    void updateLimitShares();
    /// Returns the entries among which the slack of retries is divided.
    Placement::RetrySharers retrySharers() const;
    /// Counts the entries anew, and logs the retry budgets if that changes them.
    void updateRetryShares(const std::vector<Gossip::Member> &aliveEntries);
    /// Registers gauges of the retry budgets of all configured services.
    void addRetryGauges();
    void updateRequestRate();
    void tick();
    bool isReady() const;
    /// Returns the time since the declarations were confirmed to be complete; empty if they never were.
    std::optional<Core::Duration> declarationsAge() const;
    /// Logs when the declarations become too old, and when they are confirmed again.
    void checkDeclarationsAge();
    Gossip::Member makeSelf() const;
    void addDumpSections();

    const EntrySettings m_settings;
    const EntryAdapter m_adapter;
    Http::EventLoop m_loop;
    Telemetry::Metrics m_metrics;
    Telemetry::EventLog m_log;
    Core::Random m_random;
    const Core::Instant m_startedAt = Core::Clock::now();
    Fleet::FleetState m_fleetState;
    Fleet::EndpointIndex m_endpointsByAddress; ///< Of the endpoints in m_fleetState.
    Placement::EndpointTracker m_endpointTracker;
    Placement::RetryBudgets m_retryBudgets;
    Placement::VersionDeadlines m_versions;
    Placement::ElapsedTimeEstimator m_elapsedTimeEstimator;
    Placement::SlotTracker m_slotTracker;
    Placement::RequestLimits m_requestLimits;
    Placement::ColdBudget m_coldBudget;
    Quarantine::PartQuarantine m_quarantine;
    Core::Duration m_timeSuspended{0}; ///< Suspensions of the machine that are included in the ages of m_requestLimits.
    Wire::Node m_node;
    Gossip::GossipService m_gossip;
    Gossip::EntryRoster m_roster; ///< Of the other entries.
    Follow::Follower m_follower;
    VerdictKeeper m_verdictKeeper;
    Relay::Relay m_relay;
    Telemetry::AdminServer m_admin;
    std::shared_ptr<Http::RequestMemory> m_requestMemory;
    std::shared_ptr<Core::ByteBudget> m_answerMemory;
    std::shared_ptr<Http::ServerContext> m_callerContext;
    std::shared_ptr<Http::ServerContext> m_pageContext;
    std::shared_ptr<Http::ServerContext> m_adminContext;
    Http::Listener m_adminListener; ///< Serves until the process ends.
    std::vector<std::unique_ptr<Http::Listener>> m_listeners; ///< For callers and for pages.
    boost::asio::signal_set m_signals;
    Http::Timer m_tickTimer;
    Telemetry::StallDetector m_stallDetector;
    Http::Timer m_leavingTimer;
    std::function<std::optional<EntrySettings>()> m_reload;
    bool m_areDeclarationsOld = false;
    std::set<std::string> m_evacuatedDomains; ///< As last applied to the trackers.
    std::optional<LimitTransition> m_limits; ///< Of callers; empty until a configuration is known.
    std::optional<Core::Instant> m_leavingSince; ///< Set once a termination signal was received.
    double m_requestRate = 0; ///< Requests per second, as a moving average.
    std::uint64_t m_countedRequests = 0; ///< Number of requests already included in m_requestRate.
};

}
