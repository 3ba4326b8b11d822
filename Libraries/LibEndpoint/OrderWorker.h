/// @file The duty that orders the local engine. It is the only path to it.
#pragma once

#include "LibEndpoint/AgentSettings.h"
#include "LibEndpoint/AgentState.h"
#include "LibEndpoint/EngineClient.h"
#include "LibEndpoint/OrderFence.h"
#include "LibTelemetry/Metrics.h"

#include <Poco/JSON/Object.h>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace Endpoint {

/// What the order duty asks of others. Thread-safe.
class OrderHost
{
public:
    virtual ~OrderHost() = default;

    /// The newest plan offset of this agent's service as an entry knows it now. Fails if no entry can tell.
    virtual Core::Result<Control::Offset> newestPlanOffset() = 0;
    /// Whole weights by manifest digest, or null.
    virtual std::shared_ptr<const Weights::HeldVersion> heldWeights(const std::string &manifestDigest) = 0;
    /// The weights are no longer needed for an order.
    virtual void releaseWeights(const std::string &manifestDigest) = 0;
    /// Asks for the engine's status now.
    virtual void refreshStatus() = 0;
};

/// What an order duty is made of. Everything pointed to must outlive it.
struct OrderParts
{
    WorkerSettings m_settings;
    const EngineClient *m_client = nullptr;
    AgentState *m_state = nullptr;
    OrderHost *m_host = nullptr;
    Telemetry::Metrics *m_metrics = nullptr;
};

/// Decides and carries out one order at a time.
class OrderWorker
{
public:
    explicit OrderWorker(OrderParts parts);
    ~OrderWorker();

    OrderWorker(const OrderWorker &) = delete;
    OrderWorker &operator=(const OrderWorker &) = delete;

    void start();
    /// Breaks off a load that is under way and joins the thread. The state must have been closed before.
    void stop();

    /// Decides and carries out the next order; false if there was none or it failed. Used by the duty's own thread, and by tests.
    bool step(Core::Instant now);

    Poco::JSON::Object::Ptr dump() const;

private:
    void run();
    OrderDecisionInput decisionInput(const KnownState &facts, Core::Instant now);
    Core::Result<void> execute(const Order &order);
    Core::Result<void> confirmFence(const Order &order);
    std::shared_ptr<AbortHandle> newAbortHandle();
    Core::Result<void> load(const Order &order);
    Core::Result<void> unload(const Order &order);
    void recordResult(const Order &order, const Core::Result<void> &result, bool wasDistrusted);
    void clearFailuresOfOldPlan(Control::Offset planOffset);
    void releaseUnneededWeights(const KnownState &facts);

    const OrderParts m_parts;
    Telemetry::Counter &m_ordersDone;
    Telemetry::Counter &m_ordersFailed;
    Telemetry::Counter &m_ordersFenced;
    mutable std::mutex m_mutex; ///< Guards the members below against dump().
    OrderFence m_fence;
    RetirementTimes m_retirementTimes;
    std::map<std::string, Core::Instant> m_notBefore; ///< By content digest; emptied by a new plan.
    std::map<std::string, int> m_failures; ///< Failed orders in a row, by content digest; emptied by a new plan.
    Control::Offset m_planOffset = 0; ///< Of the plan that the two above belong to.
    std::string m_lastError;
    std::shared_ptr<AbortHandle> m_abortHandle; ///< Of the load that is under way, or of the last one.
    std::thread m_thread;
};

}
