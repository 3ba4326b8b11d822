/// @file Implementation of the agent process.

#include "LibEndpoint/Agent.h"
#include "LibWire/Pack.h"

#include <glog/logging.h>

namespace Endpoint {

namespace {

constexpr Core::Duration FenceTimeout{700};
constexpr std::size_t MaximumQueriedEntries = 3;
constexpr Core::Duration DrainPollInterval{20};
/// Delay before shutdown closes the connections. The last answers have been passed to the sockets but may still be in transmission.
constexpr Core::Duration FlushDelay{200};

Wire::NodeSettings nodeSettings(const AgentSettings &settings)
{
    Wire::NodeSettings node;
    node.m_listen = settings.m_instance.m_member.m_wire;
    node.m_network = settings.m_instance.m_network;
    return node;
}

ReportSettings reportSettings(const WorkerSettings &workers)
{
    ReportSettings settings;
    settings.m_interval = workers.m_reportInterval;
    settings.m_bytesPerSecond = workers.m_reportBytesPerSecond;
    settings.m_maximumWatchers = workers.m_maximumWatchers;
    return settings;
}

Transfer::TransferParts transferParts(const AgentSettings &settings, Wire::Node &node, Telemetry::Metrics &metrics)
{
    Transfer::TransferParts parts;
    parts.m_settings = settings.m_transfer;
    parts.m_self = settings.m_instance.m_member;
    parts.m_node = &node;
    parts.m_network = settings.m_instance.m_network;
    parts.m_origin = settings.m_origin;
    parts.m_originRegion = settings.m_originRegion;
    parts.m_metrics = &metrics;
    return parts;
}

}

Agent::Agent(AgentSettings settings)
    : m_settings(std::move(settings))
    , m_isModel(m_settings.m_engine.m_kind == EndpointKind::Model)
    , m_client(m_settings.m_engine, m_settings.m_instance.m_network)
    , m_node(nodeSettings(m_settings), m_metrics)
    , m_store(m_metrics)
    , m_subscriber(m_node, m_store, m_settings.m_instance.m_member, m_settings.m_entries, m_metrics)
    , m_transfer(transferParts(m_settings, m_node, m_metrics))
    , m_relay(RelayParts{m_settings.m_relay, m_settings.m_instance.m_member, &m_client, &m_state, &m_metrics})
    , m_statusWorker(m_client, m_state, m_settings.m_workers.m_statusInterval, m_metrics)
    , m_orderWorker(OrderParts{m_settings.m_workers, &m_client, &m_state, this, &m_metrics})
    , m_reportWorker(
          m_settings.m_instance.m_member, m_state, [this] { return m_transfer.progress(); }, reportSettings(m_settings.m_workers), m_metrics)
    , m_admin(m_settings.m_instance.m_member.m_admin, m_metrics)
{
    m_state.onLiveTraffic([this](std::uint64_t bytes) { m_transfer.recordLiveBytes(bytes); });
    m_store.onChange([this] { onStateChange(); });
    m_transfer.onManifestVerified([this](const std::string &) { onKnownWeightsChange(); });
    m_transfer.onVersionComplete([this](const std::string &) { onKnownWeightsChange(); });
    registerMethods();
    registerPages();
}

Agent::~Agent()
{
    stop();
}

void Agent::registerMethods()
{
    m_node.handle("control.watch", [this](const Wire::IncomingCall &call) { m_reportWorker.addWatcher(call); });
    m_node.handle("live.call", [this](const Wire::IncomingCall &call) { m_relay.onCall(call); });
    m_node.handle("live.outcome", [this](const Wire::IncomingCall &call) { m_relay.onOutcomeRequest(call); });
}

void Agent::registerPages()
{
    m_admin.addDumpSection("instance", [this] { return dumpInstance(); });
    m_admin.addDumpSection("control", [this] { return m_store.dump(); });
    m_admin.addDumpSection("transfer", [this] { return m_transfer.dump(); });
    m_admin.addDumpSection("orders", [this] { return m_orderWorker.dump(); });
    m_admin.addDumpSection("live", [this] { return m_relay.dump(); });
}

Core::Result<void> Agent::start()
{
    BOOST_OUTCOME_TRYV(m_node.start());
    m_started = true;
    m_relay.start();
    m_statusWorker.start();
    m_reportWorker.start();
    if (m_isModel) {
        m_transfer.start();
        m_orderWorker.start();
    }
    m_subscriber.start();
    BOOST_OUTCOME_TRYV(m_admin.start());
    LOG(INFO) << "agent " << m_settings.m_instance.m_member.m_id << " started";
    return Core::success();
}

void Agent::startLeaving()
{
    LOG(INFO) << "leaving: new calls are refused";
    m_relay.startLeaving();
    m_state.update([](KnownState &knownState) { knownState.m_leaving = true; });
    Protocol::Member self = m_settings.m_instance.m_member;
    self.m_leaving = true;
    m_subscriber.updateSelf(self);
}

bool Agent::awaitDrained()
{
    const Core::Instant start = Core::Clock::now();
    while (Core::Clock::now() - start < m_settings.m_workers.m_leaveNotice || !m_relay.isDrained()) {
        if (Core::Clock::now() - start > m_settings.m_workers.m_drainLimit) {
            LOG(WARNING) << "drain limit reached before the last answer was complete";
            m_relay.stop();
            std::this_thread::sleep_for(FlushDelay);
            return false;
        }
        std::this_thread::sleep_for(DrainPollInterval);
    }
    std::this_thread::sleep_for(FlushDelay);
    return true;
}

void Agent::stop()
{
    if (!m_started) {
        return;
    }
    m_started = false;
    m_admin.stop();
    m_subscriber.stop();
    m_state.close();
    m_orderWorker.stop();
    m_reportWorker.stop();
    m_statusWorker.stop();
    m_relay.stop();
    m_transfer.stop();
    m_node.stop();
}

void Agent::onStateChange()
{
    const std::shared_ptr<const Control::ControlState> state = m_store.current();
    const Protocol::Member &self = m_settings.m_instance.m_member;
    const std::map<std::string, Control::Plan>::const_iterator plan = state->m_plans.find(self.m_service);
    std::vector<Control::Deployment> planned;
    if (plan != state->m_plans.end()) {
        planned = deploymentsOf(plan->second, self.m_id);
    }
    const Control::Offset planOffset = plan == state->m_plans.end() ? 0 : plan->second.m_offset;
    const bool isNewPlan = planOffset > m_state.knownState().m_planOffset;
    m_state.update([&state, &planned, planOffset](KnownState &knownState) {
        knownState.m_appliedOffset = std::max(knownState.m_appliedOffset, state->m_applied);
        if (planOffset <= knownState.m_planOffset) {
            return;
        }
        knownState.m_planOffset = planOffset;
        knownState.m_plannedManifests.clear();
        for (const Control::Deployment &deployment : planned) {
            knownState.m_plannedManifests.push_back(deployment.m_digest);
        }
    });
    if (isNewPlan && m_isModel) {
        m_transfer.setTargets(std::move(planned));
    }
}

void Agent::onKnownWeightsChange()
{
    std::vector<KnownWeights> weights;
    for (const Transfer::KnownVersion &version : m_transfer.knownVersions()) {
        weights.push_back(KnownWeights{version.m_manifestDigest, version.m_contentDigest, version.m_isComplete});
    }
    m_state.update([&weights](KnownState &knownState) { knownState.m_knownWeights = weights; });
}

Core::Result<Control::Offset> Agent::newestPlanOffset()
{
    const Control::Offset applied = m_store.current()->m_applied;
    Core::Error last = Core::makeError(Core::ErrorCode::Unavailable, "ask fence", "", "no entry is known");
    for (const Core::Address &entry : entriesToQuery()) {
        const Core::Result<Control::Offset> answer = requestPlanOffset(entry, applied);
        if (answer) {
            return answer;
        }
        last = answer.error();
    }
    return last;
}

Core::Result<Control::Offset> Agent::requestPlanOffset(const Core::Address &entry, Control::Offset applied)
{
    const std::string request = Wire::pack(Protocol::FenceRequest{m_settings.m_instance.m_member.m_service});
    const std::string bytes = BOOST_OUTCOME_TRYX(m_node.request(entry, "control.fence", request, FenceTimeout));
    const Protocol::FenceAnswer answer = BOOST_OUTCOME_TRYX(Wire::unpack<Protocol::FenceAnswer>(bytes, entry.toString()));
    if (answer.m_appliedOffset < applied) {
        return Core::makeError(Core::ErrorCode::Unavailable, "ask fence", entry.toString(), "the entry is behind this agent");
    }
    return answer.m_planOffset;
}

std::vector<Core::Address> Agent::entriesToQuery() const
{
    std::vector<Core::Address> addresses = m_subscriber.feeds();
    for (const Protocol::Member &member : m_store.members()) {
        if (member.m_role == Protocol::Role::Entry && !member.m_leaving) {
            addresses.push_back(member.m_wire);
        }
    }
    addresses.insert(addresses.end(), m_settings.m_entries.begin(), m_settings.m_entries.end());
    std::vector<Core::Address> distinct;
    for (const Core::Address &address : addresses) {
        const bool isDuplicate = std::find(distinct.begin(), distinct.end(), address) != distinct.end();
        if (!isDuplicate && distinct.size() < MaximumQueriedEntries) {
            distinct.push_back(address);
        }
    }
    return distinct;
}

std::shared_ptr<const Weights::HeldVersion> Agent::heldWeights(const std::string &manifestDigest)
{
    return m_transfer.heldVersion(manifestDigest);
}

void Agent::releaseWeights(const std::string &manifestDigest)
{
    m_transfer.release(manifestDigest);
    onKnownWeightsChange();
}

void Agent::refreshStatus()
{
    m_statusWorker.refresh();
}

Poco::JSON::Object::Ptr Agent::dumpInstance() const
{
    const KnownState knownState = m_state.knownState();
    const Protocol::Member &self = m_settings.m_instance.m_member;
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("id", self.m_id);
    object->set("incarnation", self.m_incarnation);
    object->set("service", self.m_service);
    object->set("leaving", knownState.m_leaving);
    object->set("applied", knownState.m_appliedOffset);
    object->set("plan", knownState.m_planOffset);
    object->set("endpoint_healthy", knownState.m_engine.m_reachable);
    object->set("watchers", m_reportWorker.watchers());
    Poco::JSON::Array::Ptr planned = new Poco::JSON::Array;
    for (const std::string &manifest : knownState.m_plannedManifests) {
        planned->add(manifest);
    }
    object->set("planned", planned);
    Poco::JSON::Array::Ptr attested = new Poco::JSON::Array;
    for (const Protocol::Attestation &attestation : attestationsOf(knownState)) {
        Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
        item->set("digest", attestation.m_digest);
        item->set("fence", attestation.m_fence);
        attested->add(item);
    }
    object->set("attested", attested);
    return object;
}

}
