/// @file Implementation of the entry process.

#include "LibServing/EntryProcess.h"

#include "LibCore/SignalMask.h"
#include "LibHttp/AdminPages.h"
#include "LibRelay/LimitLine.h"
#include "LibRelay/RetryBudgetLine.h"
#include "LibServing/LimitHolders.h"
#include "LibTelemetry/MemoryGauges.h"

#include <unistd.h>

namespace Serving {

namespace {

constexpr Core::Duration TickInterval{200}; ///< Interval between log flushes, and between updates of the request rate.
constexpr std::size_t PageConnections = 256;
constexpr std::size_t AdminConnections = 16;
constexpr std::uint32_t MaximumPageBodyBytes = 64 << 10; ///< Of requests for pages and to the operators' interface; most have no body.
/// Fraction of the leaving time during which requests are still accepted, because callers use a received list of entry addresses for some seconds.
constexpr double AcceptingShare = 0.4;
/// Fraction of the leaving time after which idle connections are ended. By then callers have had time to learn of other entries.
constexpr double IdleEndShare = 0.3;
constexpr Core::Duration FirstRequestTime{500}; ///< For which a new connection is not idle; callers send a request as soon as they are connected.
constexpr Core::Duration LeavingCheckInterval{100};
constexpr Core::Duration ReportedDeclarationsAge{5000}; ///< Age of unconfirmed declarations from which it is logged; above the usual age by a few heartbeats.
constexpr Core::Duration FinalFlushMargin{250}; ///< Time left before the platform ends the process, so that the last log lines are written.
constexpr Core::Duration FinalAnswerTime{200}; ///< In which callers receive the answers to the requests that are open at the end; longer than a round trip.

Core::Duration fractionOf(Core::Duration whole, double part)
{
    return Core::Duration(static_cast<std::int64_t>(static_cast<double>(whole.count()) * part));
}

Relay::RelaySettings relaySettings(const EntrySettings &settings)
{
    Relay::RelaySettings relay;
    relay.m_failureDomain = settings.m_failureDomain;
    relay.m_regions = settings.m_regions;
    relay.m_queue.m_yieldPerRank = settings.m_yieldPerRank;
    return relay;
}

}

EntryProcess::EntryProcess(EntrySettings settings, EntryAdapter adapter)
    : m_settings(std::move(settings))
    , m_adapter(std::move(adapter))
    , m_log(STDOUT_FILENO, m_settings.m_instance, m_metrics)
    , m_random(Core::freshSeed(m_settings.m_instance))
    , m_retryBudgets(m_settings.m_instance, m_settings.m_retryBudgets, m_startedAt)
    , m_versions(m_settings.m_versionBound - Placement::VersionBoundMargin)
    , m_requestLimits(Placement::LimitHolder{m_settings.m_instance, m_settings.m_failureDomain})
    , m_coldBudget(Placement::LimitHolder{m_settings.m_instance, m_settings.m_failureDomain}, m_settings.m_coldBudget, m_startedAt)
    , m_quarantine(Core::stableHash(m_settings.m_instance))
    , m_node(Gossip::nodeSettings(m_settings.m_peers, m_settings.m_memory.m_peerBytes), m_metrics)
    , m_gossip(Gossip::GossipParts{m_loop, m_node, m_fleetState, m_versions, m_metrics, m_log, m_random}, m_settings.m_gossip, makeSelf())
    , m_follower(Follow::FollowerParts{m_loop, m_fleetState, m_versions, m_metrics, m_log, m_random},
                 Follow::FollowerSettings{},
                 m_adapter.m_makeSource(m_loop, m_settings.m_log, m_metrics))
    , m_verdictKeeper(VerdictKeeperParts{m_quarantine, m_gossip, m_log},
                      VerdictKeeperSettings{},
                      m_settings.m_readerSelection,
                      m_adapter.m_makeVerdictSource(m_loop, m_settings.m_log, m_metrics))
    , m_relay(Relay::RelayParts{m_loop,
                                m_fleetState,
                                m_endpointTracker,
                                m_retryBudgets,
                                m_versions,
                                m_elapsedTimeEstimator,
                                m_slotTracker,
                                m_requestLimits,
                                m_coldBudget,
                                m_quarantine,
                                m_metrics,
                                m_log,
                                m_random},
              relaySettings(m_settings),
              m_adapter.m_dialect)
    , m_admin(m_settings.m_admin, m_metrics)
    , m_callerContext(std::make_shared<Http::ServerContext>())
    , m_pageContext(std::make_shared<Http::ServerContext>())
    , m_adminContext(std::make_shared<Http::ServerContext>())
    , m_adminListener(m_loop, m_settings.m_admin, m_adminContext, AdminConnections)
    , m_signals(m_loop)
    , m_tickTimer(m_loop)
    , m_leavingTimer(m_loop)
{
}

Gossip::Member EntryProcess::makeSelf() const
{
    Gossip::Member self;
    self.m_id = m_settings.m_instance;
    self.m_incarnation = static_cast<std::uint32_t>(Core::freshSeed(m_settings.m_instance));
    self.m_role = Gossip::Role::Entry;
    self.m_region = m_settings.m_region;
    self.m_failureDomain = m_settings.m_failureDomain;
    self.m_peers = m_settings.m_peers;
    self.m_callers = m_settings.m_callers;
    return self;
}

int EntryProcess::run()
{
    const Core::Result<void> started = start();
    if (!started) {
        m_log.write(Telemetry::LogLine("start_failed").text("error", started.error().message()));
        m_log.flush();
        return 1;
    }
    m_log.write(Telemetry::LogLine("started").text("callers", m_settings.m_callers.toString()).text("peers", m_settings.m_peers.toString()));
    m_loop.run();
    m_node.stop();
    m_relay.logAccount(true);
    m_log.write(Telemetry::LogLine("stopped").number("open_requests", static_cast<std::int64_t>(m_relay.openRequests())));
    m_log.flush();
    return 0;
}

void EntryProcess::onReload(std::function<std::optional<EntrySettings>()> reload)
{
    m_reload = std::move(reload);
}

void EntryProcess::limitMemory()
{
    Http::RequestMemorySettings requests;
    requests.m_limitBytes = m_settings.m_memory.m_requestBytes;
    m_requestMemory = std::make_shared<Http::RequestMemory>(m_loop, requests);
    m_answerMemory = std::make_shared<Core::ByteBudget>(m_settings.m_memory.m_answerBytes);
    for (const std::shared_ptr<Http::ServerContext> &context : {m_callerContext, m_pageContext, m_adminContext}) {
        context->m_requestMemory = m_requestMemory;
        context->m_answerMemory = m_answerMemory;
    }
    m_pageContext->m_limits.m_maximumBodyBytes = MaximumPageBodyBytes;
    m_adminContext->m_limits.m_maximumBodyBytes = MaximumPageBodyBytes;
    m_callerContext->m_maximumMemoryWait = [this](const Http::ServerRequest &head) { return m_relay.maximumMemoryWait(head); };
    m_callerContext->m_onMemoryRefused = [this](const Http::ServerRequest &head, const Http::MemoryShortage &shortage) {
        return m_relay.onMemoryRefused(head, shortage);
    };
    Telemetry::addMemoryGauges(m_metrics, "requests", std::shared_ptr<const Core::ByteBudget>(m_requestMemory, &m_requestMemory->budget()));
    Telemetry::addMemoryGauges(m_metrics, "answers", m_answerMemory);
    m_metrics.gauge("requests_waiting_for_memory", [this] { return static_cast<double>(m_requestMemory->waitingCount()); });
}

Core::Result<void> EntryProcess::start()
{
    awaitSignals();
    limitMemory();
    m_callerContext->m_onRequest = [this](const std::shared_ptr<Http::ServerConnection> &connection, Http::ServerRequest request) {
        m_relay.handle(connection, std::move(request));
    };
    m_callerContext->m_onRejected = [this](int status, const std::string &peer, const std::string &reason) {
        m_log.write(Telemetry::LogLine("request_unreadable").number("status", static_cast<std::int64_t>(status)).text("peer", peer).text("reason", reason));
    };
    m_callerContext->m_onLateRequest = [this](const Http::ServerRequest &request) { m_relay.onLateRequest(request); };
    m_pageContext->m_onRequest = [this](const std::shared_ptr<Http::ServerConnection> &connection, const Http::ServerRequest &request) {
        answerPage(connection, request);
    };
    m_adminContext->m_onRequest = [this](const std::shared_ptr<Http::ServerConnection> &connection, const Http::ServerRequest &request) {
        Http::answerAdminRequest(m_admin, *connection, request);
    };
    m_listeners.push_back(std::make_unique<Http::Listener>(m_loop, m_settings.m_callers, m_callerContext, m_settings.m_connections));
    for (const Core::Address &address : m_settings.m_pages) {
        m_listeners.push_back(std::make_unique<Http::Listener>(m_loop, address, m_pageContext, PageConnections));
    }
    for (const std::unique_ptr<Http::Listener> &listener : m_listeners) {
        BOOST_OUTCOME_TRYV(listener->start());
    }
    BOOST_OUTCOME_TRYV(m_adminListener.start());
    addDumpSections();
    m_gossip.registerMethods();
    m_gossip.onStateApplied([this](const Fleet::FleetStateUpdate &update) { onFleetStateChanged(update, false); });
    m_gossip.onEngineUpdates([this](const std::vector<Gossip::EngineUpdate> &updates) { handleEngineUpdates(updates); });
    m_gossip.onMembersChanged([this] { updateShares(); });
    m_timeSuspended = Core::timeSuspended();
    m_gossip.setLimitSource([this](std::size_t count) { return sampleLimits(count); });
    m_gossip.onLimits([this](const std::vector<Placement::LimitObservation> &observations) { handleLimits(observations); });
    startQuarantine();
    m_follower.onUpdate([this](const Fleet::FleetStateUpdate &update) { onFleetStateChanged(update, true); });
    m_gossip.setListUncertaintyQuery([this] { return m_follower.uncertainSince(); });
    m_follower.onEndpointsRead([this](Core::Instant sentAt) { m_gossip.announceListRead(sentAt); });
    m_follower.setRelyOnPeersQuery([this] {
        const std::vector<Gossip::Member> entries = m_gossip.members().alive(Gossip::Role::Entry, Core::Clock::now());
        const StateAge age{m_gossip.listAge(), declarationsAge()};
        return mayRelyOnPeers(isReader(m_gossip.self(), entries, m_settings.m_readerSelection), age, m_settings.m_readerSelection);
    });
    m_follower.onDeclarationsConfirmed([this] {
        const std::vector<Gossip::Member> entries = m_gossip.members().alive(Gossip::Role::Entry, Core::Clock::now());
        m_gossip.sendHeartbeatsTo(otherReaders(m_gossip.self(), entries, m_settings.m_readerSelection));
    });
    m_follower.onUnreachable([this] { m_gossip.pullFromAnyEntry(); });
    BOOST_OUTCOME_TRYV(m_node.start());
    BOOST_OUTCOME_TRYV(m_gossip.start());
    m_follower.start();
    tick();
    return Core::success();
}

void EntryProcess::addDumpSections()
{
    m_metrics.gauge("retry_budget_entries", [this] { return static_cast<double>(m_retryBudgets.entryCount()); });
    m_metrics.gauge("evacuated_failure_domains", [this] { return static_cast<double>(m_evacuatedDomains.size()); });
    m_admin.addDumpSection("beliefs", [this] {
        Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
        object->set("configuration", m_fleetState.configuration() ? m_fleetState.configuration()->configuration().m_version : 0);
        object->set("configuration_skipped_items", m_fleetState.configuration() ? m_fleetState.configuration()->configuration().m_skippedItems : 0);
        object->set("configuration_offset", m_fleetState.declarations().m_configurationOffset);
        const std::optional<Core::Duration> age = declarationsAge();
        object->set("configuration_age_ms", age ? age->count() : -1);
        object->set("endpoints", m_fleetState.endpoints().size());
        object->set("endpoints_end", m_fleetState.endpointsEnd());
        object->set("members", m_gossip.members().alive(Core::Clock::now()).size());
        object->set("open_requests", m_relay.openRequests());
        object->set("limited_endpoints", m_requestLimits.limitedCount());
        object->set("cold_endpoints", m_coldBudget.coldCount(Core::Clock::now()));
        Poco::JSON::Array::Ptr evacuated(new Poco::JSON::Array);
        for (const std::string &domain : m_evacuatedDomains) {
            evacuated->add(domain);
        }
        object->set("evacuated_failure_domains", evacuated);
        object->set("suspect_parts", m_quarantine.suspectCount());
        object->set("suspect_requests", m_quarantine.suspectRequestCount());
        object->set("blamed_parts", m_quarantine.verdicts().blamed().size());
        object->set("known_parts", m_quarantine.historyCount());
        object->set("backed_off_endpoints", m_endpointTracker.backedOffCount(Core::Clock::now()));
        return object;
    });
}

void EntryProcess::awaitSignals()
{
    for (const int signal : Core::ProcessSignals) {
        m_signals.add(signal);
    }
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (!error) {
            handleSignal(signal);
            awaitSignals();
        }
    });
    Core::releaseProcessSignals();
}

void EntryProcess::handleSignal(int signal)
{
    if (signal == SIGHUP) {
        reload();
        return;
    }
    startLeaving();
}

void EntryProcess::reload()
{
    const std::optional<EntrySettings> settings = m_reload ? m_reload() : std::nullopt;
    Telemetry::LogLine line("reload");
    line.flag("accepted", settings.has_value());
    if (settings) {
        m_gossip.setSeedHosts(settings->m_gossip.m_seedHosts);
        liftVerdicts(settings->m_liftedParts);
    }
    m_log.write(line);
}

void EntryProcess::startLeaving()
{
    if (m_leavingSince) {
        return;
    }
    const Core::Instant now = Core::Clock::now();
    // The platform counts from when it sent the signal, which may have waited while the process was held up.
    const Core::Duration delay = Telemetry::possibleDelay(m_stallDetector, now);
    m_leavingSince = now - delay;
    m_callerContext->m_isClosing = true;
    m_pageContext->m_isClosing = true;
    Telemetry::LogLine line("leaving");
    line.number("open_requests", static_cast<std::int64_t>(m_relay.openRequests()));
    m_log.write(line.number("signal_delay_ms", std::int64_t{delay.count()}));
    m_gossip.announceLeaving();
    m_relay.startLeaving(requestsEndAt());
    for (const std::unique_ptr<Http::Listener> &listener : m_listeners) {
        listener->refuseWaiting();
    }
    continueLeaving();
}

Core::Instant EntryProcess::requestsEndAt() const
{
    return *m_leavingSince + m_settings.m_leavingTime - FinalFlushMargin - FinalAnswerTime;
}

void EntryProcess::continueLeaving()
{
    const Core::Instant now = Core::Clock::now();
    const Core::Duration since = std::chrono::duration_cast<Core::Duration>(now - *m_leavingSince);
    if (now >= requestsEndAt()) {
        endRequests();
        return;
    }
    const bool acceptsRequests = since < fractionOf(m_settings.m_leavingTime, AcceptingShare);
    const bool endsIdle = since >= fractionOf(m_settings.m_leavingTime, IdleEndShare);
    std::size_t connections = 0;
    for (const std::unique_ptr<Http::Listener> &listener : m_listeners) {
        if (endsIdle) {
            listener->endIdle(FirstRequestTime);
        }
        if (!acceptsRequests) {
            listener->stop();
        }
        connections += listener->connectionCount();
    }
    const bool isIdle = m_relay.openRequests() == 0 && connections == 0;
    if (!acceptsRequests && isIdle) {
        stop();
        return;
    }
    scheduleLeaving(std::min(LeavingCheckInterval, std::chrono::ceil<Core::Duration>(requestsEndAt() - now)), [this] { continueLeaving(); });
}

void EntryProcess::endRequests()
{
    m_log.write(Telemetry::LogLine("open_requests_ended").number("open_requests", static_cast<std::int64_t>(m_relay.openRequests())));
    m_relay.endOpenRequests();
    for (const std::unique_ptr<Http::Listener> &listener : m_listeners) {
        listener->stop();
        listener->endUnanswered();
    }
    const Core::Instant end = *m_leavingSince + m_settings.m_leavingTime - FinalFlushMargin;
    scheduleLeaving(std::max(Core::Duration(0), std::chrono::duration_cast<Core::Duration>(end - Core::Clock::now())), [this] { stop(); });
}

void EntryProcess::scheduleLeaving(Core::Duration delay, std::function<void()> step)
{
    m_leavingTimer.expires_after(delay);
    m_leavingTimer.async_wait([next = std::move(step)](const boost::system::error_code &error) {
        if (!error) {
            next();
        }
    });
}

void EntryProcess::stop()
{
    m_loop.stop();
}

void EntryProcess::applyLimits()
{
    const Fleet::CallerLimits &limits = m_fleetState.configuration()->configuration().m_limits;
    Http::ServerLimits server;
    server.m_maximumHeaderBytes = limits.m_maximumHeaderBytes;
    server.m_maximumBodyBytes = limits.m_maximumBodyBytes;
    server.m_headTimeout = Core::Duration(limits.m_headerTimeoutMilliseconds);
    server.m_idleTimeout = Core::Duration(limits.m_idleTimeoutMilliseconds);
    server.m_bodyTimeout = Core::Duration(limits.m_idleTimeoutMilliseconds);
    const Core::Instant now = Core::Clock::now();
    m_limits = m_limits ? changeLimits(*m_limits, server, now) : LimitTransition{server, server, now};
    m_callerContext->m_limits = limitsInForce(*m_limits, now);
}

void EntryProcess::onFleetStateChanged(const Fleet::FleetStateUpdate &update, bool isFromLog)
{
    if (update.m_configuration || update.m_endpoints) {
        updateColdEndpoints(isFromLog);
    }
    if (update.m_configuration) {
        applyLimits();
        addRetryGauges();
        m_relay.onConfigurationChanged();
        const Fleet::Configuration &configuration = m_fleetState.configuration()->configuration();
        Telemetry::LogLine line("configuration");
        line.number("version", static_cast<std::int64_t>(configuration.m_version)).text("source", isFromLog ? "log" : "peer");
        line.number("routes", static_cast<std::int64_t>(configuration.m_routes.size()));
        line.number("skipped", std::int64_t{configuration.m_skippedItems});
        m_log.write(line);
    }
    if (update.m_weights) {
        for (const Fleet::DeclaredWeights &declared : m_fleetState.declarations().m_weights) {
            Telemetry::LogLine line("weights_declared");
            line.text("model", declared.m_model).number("version", static_cast<std::int64_t>(declared.m_version));
            m_log.write(line.text("source", isFromLog ? "log" : "peer"));
        }
    }
    if (update.m_evacuations) {
        onEvacuationsChanged(isFromLog);
    }
    if (update.m_endpoints) {
        m_coldBudget.retainKnown(m_fleetState.endpoints());
        m_endpointsByAddress.rebuild(m_fleetState.endpoints());
        m_endpointTracker.retainKnown(m_fleetState.endpoints(), Core::Clock::now());
        m_requestLimits.retainKnown(m_fleetState.endpoints(), Core::Clock::now());
        m_slotTracker.retainKnown([this](const std::string &engine) { return m_fleetState.endpoints().contains(engine); });
        std::int64_t leaving = 0;
        for (const std::pair<const std::string, Fleet::KnownEndpoint> &entry : m_fleetState.endpoints()) {
            leaving += entry.second.m_endpoint.m_isLeaving ? 1 : 0;
        }
        Telemetry::LogLine line("endpoints");
        line.number("known", static_cast<std::int64_t>(m_fleetState.endpoints().size())).number("leaving", leaving);
        m_log.write(line.text("source", isFromLog ? "log" : "peer"));
    }
    if (isFromLog && (update.m_weights || update.m_configuration || update.m_evacuations)) {
        m_gossip.announceStateChange();
    } else if (update.m_weights) {
        m_gossip.announceStateChangeToAgents();
    }
    if (!m_leavingSince) {
        m_gossip.setReady(isReady());
    }
}

void EntryProcess::updateColdEndpoints(bool isFromLog)
{
    const Core::Instant now = Core::Clock::now();
    for (const ColdStatement &statement : recordListedCold(m_fleetState, m_coldBudget)) {
        Telemetry::LogLine line(statement.m_isCold ? "endpoint_cold" : "endpoint_warm");
        line.text("endpoint", statement.m_endpoint);
        if (statement.m_coldUntil) {
            line.number("left_ms", Core::secondsBetween(now, *statement.m_coldUntil) * 1000);
        }
        m_log.write(line.text("source", isFromLog ? "log" : "peer"));
    }
}

void EntryProcess::onEvacuationsChanged(bool isFromLog)
{
    const std::set<std::string> before = std::exchange(m_evacuatedDomains, m_fleetState.evacuatedDomains());
    const Core::Instant now = Core::Clock::now();
    for (const Fleet::Evacuation &evacuation : m_fleetState.declarations().m_evacuations) {
        if (before.contains(evacuation.m_failureDomain) == evacuation.m_isInForce) {
            continue;
        }
        Telemetry::LogLine line("evacuation");
        line.text("failure_domain", evacuation.m_failureDomain).flag("in_force", evacuation.m_isInForce);
        m_log.write(line.number("offset", static_cast<std::int64_t>(evacuation.m_offset)).text("source", isFromLog ? "log" : "peer"));
    }
    m_slotTracker.retainKnown([this](const std::string &engine) {
        const std::map<std::string, Fleet::KnownEndpoint>::const_iterator known = m_fleetState.endpoints().find(engine);
        return known != m_fleetState.endpoints().end() && !m_evacuatedDomains.contains(known->second.m_endpoint.m_failureDomain);
    });
    for (const std::pair<const std::string, Fleet::KnownEndpoint> &entry : m_fleetState.endpoints()) {
        const std::string &domain = entry.second.m_endpoint.m_failureDomain;
        if (before.contains(domain) && !m_evacuatedDomains.contains(domain)) {
            suspectCold(entry.second.m_endpoint, m_fleetState, m_coldBudget, now);
        }
    }
}

void EntryProcess::handleEngineUpdates(const std::vector<Gossip::EngineUpdate> &updates)
{
    const Core::Instant now = Core::Clock::now();
    for (const Gossip::EngineUpdate &update : updates) {
        applyEngineUpdate(update, now);
    }
    m_relay.onSlotsChanged();
}

void EntryProcess::applyEngineUpdate(const Gossip::EngineUpdate &update, Core::Instant now)
{
    for (const std::string &id : m_endpointsByAddress.idsAt(update.m_address)) {
        const Fleet::Endpoint &endpoint = m_fleetState.endpoints().at(id).m_endpoint;
        // An engine that does not state its start time in reports is identified by its address alone.
        if (update.m_startedMilliseconds == 0 || endpoint.m_startedMilliseconds == update.m_startedMilliseconds) {
            m_endpointTracker.recordEngineReport(endpoint, update.m_report, now);
            recordLiveness(endpoint, update, now);
            recordSlots(endpoint, update.m_report, now);
        }
    }
}

void EntryProcess::recordSlots(const Fleet::Endpoint &endpoint, const Placement::EngineReport &report, Core::Instant now)
{
    const Fleet::Service *service = m_fleetState.configuration() ? m_fleetState.configuration()->service(endpoint.m_service) : nullptr;
    if (!service || service->m_engine.m_slots == 0 || m_evacuatedDomains.contains(endpoint.m_failureDomain)) {
        return;
    }
    Placement::ReportedSlots slots = Placement::reportedSlots(service->m_engine, report.m_running, report.m_waiting, report.m_pace);
    if (report.m_isLoading || report.m_weights.empty() || endpoint.m_isLeaving) {
        slots = Placement::ReportedSlots{};
    }
    const std::optional<double> limit = m_requestLimits.limit(endpoint);
    if (limit) {
        slots = Placement::limitedSlots(slots, *limit, m_settings.m_gossip.m_interval);
    }
    m_slotTracker.recordReport(endpoint.m_id, slots, now, endpoint.m_failureDomain);
    m_slotTracker.block(endpoint.m_id, m_endpointTracker.get(endpoint).m_backoff.m_end);
}

std::vector<Placement::LimitObservation> EntryProcess::sampleLimits(std::size_t count)
{
    constexpr Core::Duration clockNoise{100};
    const Core::Duration suspended = Core::timeSuspended() - m_timeSuspended;
    if (suspended > clockNoise) {
        m_requestLimits.addAge(suspended);
        m_timeSuspended += suspended;
    }
    return m_requestLimits.sample(count, Core::Clock::now(), m_random);
}

void EntryProcess::handleLimits(const std::vector<Placement::LimitObservation> &observations)
{
    const Core::Instant now = Core::Clock::now();
    for (const Placement::LimitObservation &observation : observations) {
        const std::map<std::string, Fleet::KnownEndpoint>::const_iterator known = m_fleetState.endpoints().find(observation.m_endpoint);
        if (known == m_fleetState.endpoints().end() || !m_requestLimits.recordObservation(known->second.m_endpoint, observation, now)) {
            continue;
        }
        Telemetry::LogLine line = Relay::limitLine(known->second.m_endpoint, m_requestLimits, "peer");
        m_log.write(line.number("age_ms", static_cast<std::int64_t>(observation.m_ageMilliseconds)));
    }
}

void EntryProcess::updateLimitShares()
{
    // Silent entries keep their shares for a while: they may only be out of this entry's reach, and still send requests.
    std::vector<Placement::LimitHolder> others = limitHolders(m_gossip.members().known(Gossip::Role::Entry));
    const bool areKnown = m_gossip.mayDivideByMembers();
    const Core::Instant now = Core::Clock::now();
    m_coldBudget.setEntries(withSilentEntries(others, m_roster), areKnown, now);
    m_requestLimits.setEntries(std::move(others), areKnown, now);
}

void EntryProcess::updateShares()
{
    const std::vector<Gossip::Member> entries = m_gossip.members().alive(Gossip::Role::Entry, Core::Clock::now());
    updateRetryShares(entries);
    m_quarantine.setProcessCount(entries.size() + 1);
    m_slotTracker.setShare(trafficShare(m_gossip.self(), entries));
    updateLimitShares();
}

Placement::RetrySharers EntryProcess::retrySharers() const
{
    Placement::RetrySharers sharers;
    sharers.m_self = m_settings.m_instance;
    for (const std::pair<const std::string, Gossip::RosterEntry> &entry : m_roster) {
        sharers.m_others.push_back(entry.first);
    }
    sharers.m_reportedEntries = m_gossip.reportedEntryCount();
    // An entry that has heard of no other although its settings name some may be cut off from any number of them.
    const bool isCutOff = m_roster.empty() && m_gossip.hasOtherSeeds();
    sharers.m_areKnown = m_gossip.mayDivideByMembers() && !isCutOff;
    return sharers;
}

void EntryProcess::updateRetryShares(const std::vector<Gossip::Member> &aliveEntries)
{
    Gossip::updateRoster(m_roster, aliveEntries, Gossip::EntryRosterSettings{}, Core::Clock::now());
    m_gossip.setEntryCount(m_roster.size() + 1);
    if (!m_retryBudgets.setSharers(retrySharers())) {
        return;
    }
    for (const Placement::RetryBudgetState &state : m_retryBudgets.describeAll(Core::Clock::now())) {
        m_log.write(Relay::retryBudgetLine("retry_budget", state));
    }
}

void EntryProcess::addRetryGauges()
{
    for (const Fleet::Service &service : m_fleetState.configuration()->configuration().m_services) {
        const std::string label = "{service=\"" + service.m_name + "\"}";
        const std::function<Placement::RetryBudgetState()> state = [this, name = service.m_name] { return m_retryBudgets.describe(name, Core::Clock::now()); };
        m_metrics.gauge("retry_budget_tokens" + label, [state] { return state().m_tokens; });
        m_metrics.gauge("retry_budget_slack" + label, [state] { return static_cast<double>(state().m_share.m_slack); });
        m_metrics.gauge("retry_budget_slack_spent" + label, [state] { return static_cast<double>(state().m_slackSpent); });
        m_metrics.gauge("retry_budget_spent" + label, [state] { return static_cast<double>(state().m_spent); });
    }
}

std::optional<Core::Duration> EntryProcess::declarationsAge() const
{
    const std::optional<Core::Instant> &confirmed = m_fleetState.declarationsConfirmedAsOf();
    return confirmed ? std::optional<Core::Duration>(std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - *confirmed)) : std::nullopt;
}

void EntryProcess::checkDeclarationsAge()
{
    const std::optional<Core::Duration> age = declarationsAge();
    const bool isOld = age && *age > ReportedDeclarationsAge;
    if (isOld == m_areDeclarationsOld) {
        return;
    }
    m_areDeclarationsOld = isOld;
    Telemetry::LogLine line(isOld ? "declarations_unconfirmed" : "declarations_confirmed");
    line.number("age_ms", std::int64_t{age->count()});
    m_log.write(line.number("configuration", static_cast<std::int64_t>(m_fleetState.declarations().configurationRevisionOffset())));
}

bool EntryProcess::isReady() const
{
    return m_fleetState.configuration() && !m_leavingSince;
}

void EntryProcess::answerPage(const std::shared_ptr<Http::ServerConnection> &connection, const Http::ServerRequest &request)
{
    PageView view;
    view.m_isReady = [this] { return isReady(); };
    view.m_lifetimeSeconds = m_settings.m_directory.m_lifetimeSeconds;
    view.m_entries = [this](const CallerLocation &location) {
        const std::vector<Gossip::Member> others = m_gossip.members().alive(Gossip::Role::Entry, Core::Clock::now());
        const std::optional<RouteHomes> homes = knownHomes(m_fleetState.configuration().get(), location.m_host);
        return chooseEntries(others, m_gossip.self(), location, homes, m_settings.m_directory);
    };
    PageAnswer answer = m_adapter.m_answerPage(request, view);
    connection->answer(answer.m_status, {Http::HeaderField{"Content-Type", answer.m_contentType}}, std::move(answer.m_body));
}

void EntryProcess::updateRequestRate()
{
    // A moving average over about two seconds: short compared to a burst, long compared to the gaps between requests at a single entry.
    constexpr double weight = 0.1;
    const std::uint64_t requests = m_relay.requests();
    constexpr double ticksPerSecond = 1000.0 / TickInterval.count();
    m_requestRate += weight * (static_cast<double>(requests - m_countedRequests) * ticksPerSecond - m_requestRate);
    m_countedRequests = requests;
    m_gossip.setRequestRate(static_cast<std::uint32_t>(m_requestRate + 0.5));
}

void EntryProcess::tick()
{
    const std::optional<Core::Duration> stall = Telemetry::recordTick(m_stallDetector, TickInterval, Core::Clock::now());
    if (stall) {
        m_log.write(Telemetry::LogLine("stalled").number("late_ms", std::int64_t{stall->count()}));
    }
    updateRequestRate();
    checkDeclarationsAge();
    if (m_limits) {
        m_callerContext->m_limits = limitsInForce(*m_limits, Core::Clock::now());
    }
    m_quarantine.update(Core::Clock::now());
    m_verdictKeeper.check(Core::Clock::now());
    onQuarantineChanged();
    m_relay.logAccount();
    m_log.flush();
    m_tickTimer.expires_after(TickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

}
