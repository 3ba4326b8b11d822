/// @file The agent process: owns and connects its workers, transfers, relay and network node.
#pragma once

#include "LibControl/StateStore.h"
#include "LibControl/StateSubscriber.h"
#include "LibEndpoint/AgentSettings.h"
#include "LibEndpoint/AgentState.h"
#include "LibEndpoint/EngineClient.h"
#include "LibEndpoint/LiveRelay.h"
#include "LibEndpoint/OrderWorker.h"
#include "LibEndpoint/ReportWorker.h"
#include "LibEndpoint/StatusWorker.h"
#include "LibTelemetry/AdminServer.h"
#include "LibTelemetry/Metrics.h"
#include "LibTransfer/TransferManager.h"
#include "LibWire/Node.h"

namespace Endpoint {

/**
 * The process that runs beside one endpoint instance.
 *
 * Data flow: state feed -> plan -> transfer targets -> complete weights -> order to the engine -> engine status -> attestation -> report.
 */
class Agent : private OrderHost
{
public:
    explicit Agent(AgentSettings settings);
    ~Agent() override;

    Agent(const Agent &) = delete;
    Agent &operator=(const Agent &) = delete;

    Core::Result<void> start();
    /// Announces that the instance is leaving and refuses new calls. Running calls continue.
    void startLeaving();
    /// Waits until the leave notice has passed and no call is running. If the drain limit is reached first, ends the remaining calls and returns false.
    bool awaitDrained();
    void stop();

private:
    Core::Result<Control::Offset> newestPlanOffset() override;
    std::shared_ptr<const Weights::HeldVersion> heldWeights(const std::string &manifestDigest) override;
    void releaseWeights(const std::string &manifestDigest) override;
    void refreshStatus() override;

    Core::Result<Control::Offset> requestPlanOffset(const Core::Address &entry, Control::Offset applied);
    std::vector<Core::Address> entriesToQuery() const;
    void onStateChange();
    void onKnownWeightsChange();
    void registerMethods();
    void registerPages();
    Poco::JSON::Object::Ptr dumpInstance() const;

    const AgentSettings m_settings;
    const bool m_isModel;
    Telemetry::Metrics m_metrics;
    AgentState m_state;
    EngineClient m_client;
    Wire::Node m_node;
    Control::StateStore m_store;
    Control::StateSubscriber m_subscriber;
    Transfer::TransferManager m_transfer;
    LiveRelay m_relay;
    StatusWorker m_statusWorker;
    OrderWorker m_orderWorker;
    ReportWorker m_reportWorker;
    Telemetry::AdminServer m_admin;
    bool m_started = false;
};

}
