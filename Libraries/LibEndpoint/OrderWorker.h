/// @file The worker that sends orders to the local engine. No other code sends orders.
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

/// Interface from the order worker to the rest of the agent. Thread-safe.
class OrderHost
{
public:
    virtual ~OrderHost() = default;

    /// Requests the newest plan offset of this agent's service from an entry. Fails if no entry can answer.
    virtual Core::Result<Control::Offset> newestPlanOffset() = 0;
    /// Returns the complete weights with this manifest digest, or null.
    virtual std::shared_ptr<const Weights::HeldVersion> heldWeights(const std::string &manifestDigest) = 0;
    /// Releases weights that no order needs any more.
    virtual void releaseWeights(const std::string &manifestDigest) = 0;
    /// Requests the engine's status immediately.
    virtual void refreshStatus() = 0;
};

/// Dependencies of an order worker. All objects pointed to must outlive it.
struct OrderParts
{
    WorkerSettings m_settings;
    const EngineClient *m_client = nullptr;
    AgentState *m_state = nullptr;
    OrderHost *m_host = nullptr;
    Telemetry::Metrics *m_metrics = nullptr;
};

/// Decides and executes one order at a time.
class OrderWorker
{
public:
    explicit OrderWorker(OrderParts parts);
    ~OrderWorker();

    OrderWorker(const OrderWorker &) = delete;
    OrderWorker &operator=(const OrderWorker &) = delete;

    void start();
    /// Aborts a load in progress and joins the thread. The state must be closed before.
    void stop();

    /// Decides and executes the next order. Returns false if there was none or it failed. Called by the worker's thread and by tests.
    bool step(Core::Instant now);

    Poco::JSON::Object::Ptr dump() const;

private:
    void run();
    OrderDecisionInput decisionInput(const KnownState &state, Core::Instant now);
    Core::Result<void> execute(const Order &order);
    Core::Result<void> confirmFence(const Order &order);
    std::shared_ptr<AbortHandle> newAbortHandle();
    Core::Result<void> load(const Order &order);
    Core::Result<void> unload(const Order &order);
    void recordResult(const Order &order, const Core::Result<void> &result, bool wasMismatched);
    void clearFailuresOfOldPlan(Control::Offset planOffset);
    void releaseUnneededWeights(const KnownState &state);

    const OrderParts m_parts;
    Telemetry::Counter &m_ordersDone;
    Telemetry::Counter &m_ordersFailed;
    Telemetry::Counter &m_ordersFenced;
    mutable std::mutex m_mutex; ///< Protects the members below from concurrent access by dump().
    OrderFence m_fence;
    RetirementTimes m_retirementTimes;
    std::map<std::string, Core::Instant> m_notBefore; ///< Earliest next order, by content digest; cleared by a new plan.
    std::map<std::string, int> m_failures; ///< Consecutive failed orders, by content digest; cleared by a new plan.
    Control::Offset m_planOffset = 0; ///< Offset of the plan that m_notBefore and m_failures belong to.
    std::string m_lastError;
    std::shared_ptr<AbortHandle> m_abortHandle; ///< Handle of the load in progress or, if there is none, of the last load.
    std::thread m_thread;
};

}
