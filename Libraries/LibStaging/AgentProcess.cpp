/// @file Implementation of the agent process.

#include "LibStaging/AgentProcess.h"

#include "LibCore/SignalMask.h"
#include "LibHttp/AdminPages.h"

#include <unistd.h>

namespace Staging {

namespace {

constexpr Core::Duration TickInterval{250}; ///< Interval at which buffered log lines are flushed.
constexpr std::size_t MaximumAdminConnections = 16;
constexpr std::uint32_t MaximumAdminBodyBytes = 64 << 10; ///< Most requests to the operators' interface have no body.

Follow::FollowerSettings followerSettings()
{
    Follow::FollowerSettings settings;
    settings.m_followsEndpoints = false;
    return settings;
}

Transfer::TransferParts
transferParts(const AgentSettings &settings, const AgentAdapter &adapter, Wire::Node &node, Telemetry::Metrics &metrics, Telemetry::EventLog &log)
{
    Transfer::TransferParts parts;
    parts.m_settings = settings.m_transfer;
    parts.m_self.m_id = settings.m_instance;
    parts.m_self.m_incarnation = Core::randomIdentifier();
    parts.m_self.m_role = Protocol::Role::Agent;
    parts.m_self.m_region = settings.m_region;
    parts.m_self.m_failureDomain = settings.m_failureDomain;
    parts.m_self.m_wire = settings.m_peers;
    parts.m_node = &node;
    parts.m_network.m_bindHost = settings.m_peers.m_host;
    parts.m_originDialect = adapter.m_originDialect;
    parts.m_metrics = &metrics;
    parts.m_log = &log;
    return parts;
}

}

AgentProcess::AgentProcess(AgentSettings settings, AgentAdapter adapter)
    : m_settings(std::move(settings))
    , m_adapter(std::move(adapter))
    , m_log(STDOUT_FILENO, m_settings.m_instance, m_metrics)
    , m_random(Core::freshSeed(m_settings.m_instance))
    , m_versions(m_settings.m_versionBound)
    , m_node(Gossip::nodeSettings(m_settings.m_peers, m_settings.m_memory.m_peerBytes), m_metrics)
    , m_gossip(Gossip::GossipParts{m_loop, m_node, m_fleetState, m_versions, m_metrics, m_log, m_random}, m_settings.m_gossip, makeSelf())
    , m_follower(Follow::FollowerParts{m_loop, m_fleetState, m_versions, m_metrics, m_log, m_random},
                 followerSettings(),
                 m_adapter.m_makeRecordSource(m_loop, m_settings.m_log, m_metrics))
    , m_transfer(transferParts(m_settings, m_adapter, m_node, m_metrics, m_log))
    , m_engine(m_adapter.m_makeEngineControl(m_loop, m_settings.m_engine))
    , m_manifests(m_loop, m_node, m_engine.m_fetchManifest)
    , m_weightsManager(WeightsManagerParts{m_loop, m_fleetState, m_versions, m_transfer, m_metrics, m_log}, m_settings.m_weightsManager, engineControl())
    , m_admin(m_settings.m_admin, m_metrics)
    , m_adminContext(std::make_shared<Http::ServerContext>())
    , m_adminListener(m_loop, m_settings.m_admin, m_adminContext, MaximumAdminConnections)
    , m_signals(m_loop)
    , m_tickTimer(m_loop)
    , m_startedAt(Core::Clock::now())
{
}

EngineControl AgentProcess::engineControl()
{
    EngineControl control = m_engine;
    control.m_fetchManifest = [this](const Core::Address &origin, const std::string &model, std::uint64_t version, Done<Weights::Manifest> done) {
        m_manifests.fetch(origin, ModelVersion{model, version}, std::move(done));
    };
    return control;
}

Gossip::Member AgentProcess::makeSelf() const
{
    Gossip::Member self;
    self.m_id = m_settings.m_instance;
    self.m_incarnation = static_cast<std::uint32_t>(Core::freshSeed(m_settings.m_instance));
    self.m_role = Gossip::Role::Agent;
    self.m_region = m_settings.m_region;
    self.m_failureDomain = m_settings.m_failureDomain;
    self.m_service = m_settings.m_weightsManager.m_service;
    self.m_peers = m_settings.m_peers;
    self.m_isReady = true;
    return self;
}

void AgentProcess::onReload(std::function<std::optional<AgentSettings>()> reload)
{
    m_reload = std::move(reload);
}

int AgentProcess::run()
{
    const Core::Result<void> started = start();
    if (!started) {
        m_log.write(Telemetry::LogLine("start_failed").text("error", started.error().message()));
        m_log.flush();
        return 1;
    }
    m_log.write(Telemetry::LogLine("started").text("engine", m_settings.m_engine.toString()).text("peers", m_settings.m_peers.toString()));
    m_loop.run();
    m_transfer.stop();
    m_node.stop();
    m_log.write(Telemetry::LogLine("stopped"));
    m_log.flush();
    return 0;
}

Core::Result<void> AgentProcess::start()
{
    awaitSignals();
    m_adminContext->m_onRequest = [this](const std::shared_ptr<Http::ServerConnection> &connection, const Http::ServerRequest &request) {
        Http::answerAdminRequest(m_admin, *connection, request);
    };
    Http::RequestMemorySettings requests;
    requests.m_limitBytes = m_settings.m_memory.m_requestBytes;
    m_adminContext->m_requestMemory = std::make_shared<Http::RequestMemory>(m_loop, requests);
    m_adminContext->m_limits.m_maximumBodyBytes = MaximumAdminBodyBytes;
    BOOST_OUTCOME_TRYV(m_adminListener.start());
    m_admin.addDumpSection("transfer", [this] { return m_transfer.dump(); });
    m_gossip.registerMethods();
    m_manifests.registerMethod();
    m_gossip.onStateApplied([this](const Fleet::FleetStateUpdate &) { m_weightsManager.onFleetStateChanged(); });
    m_gossip.onMembersChanged([this] { onMembersChanged(); });
    m_follower.onUpdate([this](const Fleet::FleetStateUpdate &) { m_weightsManager.onFleetStateChanged(); });
    m_weightsManager.onStatus([this](const EngineStatus &status, bool isUnavailable, bool isChange) { onEngineStatus(status, isUnavailable, isChange); });
    BOOST_OUTCOME_TRYV(m_node.start());
    m_transfer.start();
    BOOST_OUTCOME_TRYV(m_gossip.start());
    m_weightsManager.start();
    tick();
    return Core::success();
}

void AgentProcess::awaitSignals()
{
    for (const int signal : Core::ProcessSignals) {
        m_signals.add(signal);
    }
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
            awaitSignals();
            return;
        }
        stop();
    });
    Core::releaseProcessSignals();
}

void AgentProcess::reload()
{
    const std::optional<AgentSettings> settings = m_reload ? m_reload() : std::nullopt;
    if (settings) {
        m_gossip.setSeedHosts(settings->m_gossip.m_seedHosts);
    }
    m_log.write(Telemetry::LogLine("reload").flag("accepted", settings.has_value()));
}

void AgentProcess::stop()
{
    m_log.write(Telemetry::LogLine("leaving"));
    m_gossip.announceLeaving();
    m_loop.stop();
}

void AgentProcess::onEngineStatus(const EngineStatus &status, bool isUnavailable, bool isChange)
{
    Gossip::EngineUpdate update;
    update.m_address = m_settings.m_engine;
    update.m_startedMilliseconds = status.m_startedMilliseconds;
    update.m_report.m_running = status.m_running;
    update.m_report.m_waiting = status.m_waiting;
    update.m_report.m_pace = status.m_pace;
    update.m_report.m_isLoading = status.m_isBusy || isUnavailable;
    update.m_report.m_weights = status.m_weights;
    // Entries decide on admission by these reports, so a nearly full engine is reported sooner.
    const Gossip::ReportUrgency urgency = m_weightsManager.isNearlyFull() ? Gossip::ReportUrgency::Prompt : Gossip::ReportUrgency::Regular;
    m_gossip.setEngineUpdate(std::move(update), isChange ? Gossip::ReportUrgency::Critical : urgency);
}

void AgentProcess::onMembersChanged()
{
    // All agents must rank the same list, or two of them download the same chunk. The exchange finds out by itself which of them do not respond.
    std::vector<Gossip::Member> agents = m_gossip.members().known(Gossip::Role::Agent);
    std::erase_if(agents, [this](const Gossip::Member &member) { return member.m_service != m_settings.m_weightsManager.m_service || member.m_isLeaving; });
    m_transfer.setMayDownloadFromOrigin(m_gossip.knowsMostMembers());
    m_manifests.setAgents(m_settings.m_instance, agents);
    m_weightsManager.setAgents(std::move(agents), m_gossip.self());
}

void AgentProcess::tick()
{
    const std::optional<Core::Duration> stall = Telemetry::recordTick(m_stallDetector, TickInterval, Core::Clock::now());
    if (stall) {
        m_log.write(Telemetry::LogLine("stalled").number("late_ms", std::int64_t{stall->count()}));
    }
    const std::optional<Core::Duration> silence = m_gossip.timeSinceEntryHeartbeat();
    const Core::Duration entrySilence = silence ? *silence : std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - m_startedAt);
    if (entrySilence > m_settings.m_entrySilenceLimit && !m_follower.isStarted()) {
        m_log.write(Telemetry::LogLine("no_entry_heard").number("for_ms", static_cast<std::int64_t>(entrySilence.count())));
        m_follower.start();
    }
    m_log.flush();
    m_tickTimer.expires_after(TickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

}
