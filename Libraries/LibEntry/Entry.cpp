/// @file Setup, shutdown and admin pages of an entry.

#include "LibEntry/Entry.h"
#include "LibEntry/StatusPage.h"
#include "LibTelemetry/MemoryGauges.h"

#include <Poco/JSON/Array.h>
#include <algorithm>
#include <glog/logging.h>

namespace Entry {

namespace {

constexpr Core::Duration DrainPollInterval{20};
/// Added to the address lifetime, for callers that got this entry's address just before it announced that it is leaving.
constexpr Core::Duration LifetimeMargin{500};
/// Time for the network to transmit the last answer before connections are closed.
constexpr Core::Duration FlushTime{200};
/// Kept at the end of the drain limit. The answer to a request whose time is over follows its deadline by some hundred milliseconds.
constexpr Core::Duration FinalAnswerTime{500};
constexpr Core::Duration ClaimsLogTimeout{1500};

Wire::NodeSettings nodeSettings(const EntrySettings &settings)
{
    Wire::NodeSettings node;
    node.m_listen = settings.m_instance.m_member.m_wire;
    node.m_network = settings.m_instance.m_network;
    return node;
}

Control::LogTailSettings tailSettings(const EntrySettings &settings)
{
    Control::LogTailSettings tail;
    tail.m_author = settings.m_instance.m_member.m_id;
    return tail;
}

Control::CheckpointerSettings checkpointerSettings(const EntrySettings &settings)
{
    Control::CheckpointerSettings checkpointer;
    checkpointer.m_author = settings.m_instance.m_member.m_id;
    return checkpointer;
}

}

Entry::Entry(EntrySettings settings)
    : m_settings(std::move(settings))
    , m_node(nodeSettings(m_settings), m_metrics)
    , m_log(m_settings.m_instance.m_network, m_settings.m_log)
    , m_claimsLog(m_settings.m_instance.m_network, m_settings.m_log, ClaimsLogTimeout)
    , m_instanceList(m_settings.m_instance.m_network, m_settings.m_instances)
    , m_store(m_metrics)
    , m_tail(m_log, m_store, m_metrics, tailSettings(m_settings))
    , m_feed(m_node, m_store, m_metrics)
    , m_subscriber(m_node, m_store, m_settings.m_instance.m_member, m_settings.m_entries, m_metrics)
    , m_instanceListWorker(m_instanceList, m_store, m_metrics)
    , m_planner(m_log, m_store, m_settings.m_instance.m_member, m_metrics)
    , m_checkpointer(m_log, m_store, m_settings.m_instance.m_member, m_metrics, checkpointerSettings(m_settings))
    , m_router(m_settings.m_scheduler, m_metrics)
    , m_versions(m_router)
    , m_agentWatcher(
          AgentWatcherParts{&m_node, &m_store, &m_router, &m_versions, &m_metrics, m_settings.m_instance.m_member.m_id, m_settings.m_watchedPerGroup})
    , m_claims(ClaimServiceParts{&m_node, &m_store, &m_claimsLog, &m_metrics, m_settings.m_instance.m_member, m_settings.m_claims})
    , m_frontend{&m_settings,
                 &m_node,
                 &m_store,
                 &m_router,
                 &m_versions,
                 &m_claims,
                 &m_metrics,
                 std::make_shared<Core::ByteBudget>(m_settings.m_callers.m_maximumHeldBytes),
                 std::make_shared<Core::ByteBudget>(m_settings.m_callers.m_maximumHeldAnswerBytes)}
    , m_callers(m_frontend)
    , m_admin(m_settings.m_instance.m_member.m_admin, m_metrics)
{
    m_store.onChange([this] { m_agentWatcher.wake(); });
    registerPages();
}

Entry::~Entry()
{
    stop();
}

void Entry::registerPages()
{
    m_admin.addDumpSection("instance", [this] { return dumpInstance(); });
    m_admin.addDumpSection("control", [this] { return m_store.dump(); });
    m_admin.addDumpSection("routing", [this] { return dumpRouting(); });
    m_admin.addDumpSection("claims", [this] { return dumpClaims(); });
    m_admin.addPage("/status", [this](const Telemetry::AdminRequest &) { return status(); });
    Telemetry::addMemoryGauges(m_metrics, "requests", m_frontend.m_requestMemory);
    Telemetry::addMemoryGauges(m_metrics, "answers", m_frontend.m_answerMemory);
    m_metrics.gauge("callers_requests_open", [this] { return static_cast<double>(m_frontend.m_openRequests); });
    m_metrics.gauge("routing_queued", [this] { return static_cast<double>(m_router.queued()); });
    m_metrics.gauge("control_applied_offset", [this] { return static_cast<double>(m_store.current()->m_applied); });
}

Core::Result<void> Entry::start()
{
    m_started = true;
    m_store.announce(m_settings.m_instance.m_member);
    BOOST_OUTCOME_TRYV(m_node.start());
    m_feed.start();
    m_tail.start();
    m_subscriber.start();
    m_instanceListWorker.start();
    m_planner.start();
    m_checkpointer.start();
    m_claims.start();
    m_agentWatcher.start();
    BOOST_OUTCOME_TRYV(m_callers.start());
    BOOST_OUTCOME_TRYV(m_admin.start());
    LOG(INFO) << "entry " << m_settings.m_instance.m_member.m_id << " started";
    return Core::success();
}

void Entry::startLeaving()
{
    LOG(INFO) << "entry is leaving";
    m_frontend.m_requestsEndAt = Core::Clock::now() + m_settings.m_drainLimit - FinalAnswerTime;
    m_frontend.m_state = EntryState::Leaving;
    Protocol::Member self = m_settings.m_instance.m_member;
    self.m_leaving = true;
    m_store.announce(self);
    m_subscriber.updateSelf(self);
}

bool Entry::awaitDrained()
{
    const Core::Instant announced = Core::Clock::now();
    std::this_thread::sleep_for(std::min(m_settings.m_addressLifetime + LifetimeMargin, m_settings.m_drainLimit));
    m_frontend.m_state = EntryState::Draining;
    while (m_frontend.m_openRequests > 0) {
        if (Core::Clock::now() - announced > m_settings.m_drainLimit) {
            LOG(WARNING) << "drain limit reached before all running requests had ended";
            return false;
        }
        std::this_thread::sleep_for(DrainPollInterval);
    }
    std::this_thread::sleep_for(FlushTime);
    return true;
}

void Entry::stop()
{
    if (!m_started) {
        return;
    }
    m_started = false;
    m_admin.stop();
    m_callers.stop();
    m_agentWatcher.stop();
    m_claims.stop();
    m_checkpointer.stop();
    m_planner.stop();
    m_instanceListWorker.stop();
    m_subscriber.stop();
    m_tail.stop();
    m_node.stop();
    m_feed.stop();
}

Telemetry::AdminAnswer Entry::status() const
{
    const std::shared_ptr<const Control::ControlState> state = m_store.current();
    StatusInput input;
    input.m_self = m_settings.m_instance.m_member;
    input.m_state = state.get();
    input.m_members = m_store.members();
    input.m_applied = m_feed.subscriberStatuses();
    input.m_reports = m_agentWatcher.reports();
    return Telemetry::AdminAnswer{200, "application/json", Telemetry::toJsonText(makeStatusPage(input))};
}

Poco::JSON::Object::Ptr Entry::dumpInstance() const
{
    const Protocol::Member &self = m_settings.m_instance.m_member;
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("id", self.m_id);
    object->set("incarnation", self.m_incarnation);
    object->set("leaving", m_frontend.m_state != EntryState::Serving);
    object->set("ready", m_store.isReady());
    object->set("log_up", m_tail.isLogUp());
    object->set("open_requests", m_frontend.m_openRequests.load());
    return object;
}

Poco::JSON::Object::Ptr Entry::dumpRouting() const
{
    Poco::JSON::Array::Ptr endpoints = new Poco::JSON::Array;
    m_router.readTable([&endpoints](const Routing::EndpointTable &table) {
        const Core::Instant now = Core::Clock::now();
        for (const Routing::EndpointView &endpoint : table.endpoints()) {
            Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
            item->set("instance", endpoint.m_member.m_id);
            item->set("service", endpoint.m_member.m_service);
            item->set("available", Routing::isAvailable(endpoint, now));
            item->set("running", endpoint.m_load.m_running);
            item->set("queued", endpoint.m_load.m_queued);
            item->set("capacity", endpoint.m_load.m_capacity);
            item->set("outstanding", endpoint.m_outstanding);
            item->set("versions", endpoint.m_attestations.size());
            endpoints->add(item);
        }
    });
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("queued", m_router.queued());
    object->set("endpoints", endpoints);
    return object;
}

Poco::JSON::Object::Ptr Entry::dumpClaims() const
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    const Core::Result<Claims::Epoch> epoch = m_claims.writer().epoch();
    object->set("current", epoch.has_value());
    object->set("epoch", epoch ? Claims::formatEpoch(epoch.value()) : std::string());
    object->set("held_keys", m_claims.writer().keyCount());
    return object;
}

}
