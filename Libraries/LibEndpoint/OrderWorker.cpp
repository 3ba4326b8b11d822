/// @file Implementation of OrderWorker.

#include "LibEndpoint/OrderWorker.h"

#include <glog/logging.h>

namespace Endpoint {

namespace {

constexpr Core::Duration IdleWait{1000};
constexpr Core::Duration MismatchRetryDelay{30000};
constexpr int MaximumBackoffDoublings = 5;

std::string kindName(OrderKind kind)
{
    return kind == OrderKind::Load ? "load" : "unload";
}

}

OrderWorker::OrderWorker(OrderParts parts)
    : m_parts(std::move(parts))
    , m_ordersDone(m_parts.m_metrics->counter("orders_total{end=\"done\"}"))
    , m_ordersFailed(m_parts.m_metrics->counter("orders_total{end=\"failed\"}"))
    , m_ordersFenced(m_parts.m_metrics->counter("orders_total{end=\"fenced\"}"))
    , m_abortHandle(std::make_shared<AbortHandle>())
{
}

OrderWorker::~OrderWorker()
{
    stop();
}

void OrderWorker::start()
{
    m_thread = std::thread([this] { run(); });
}

void OrderWorker::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_abortHandle->abort();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void OrderWorker::run()
{
    std::uint64_t seen = 0;
    while (!m_parts.m_state->isClosed()) {
        const std::uint64_t version = m_parts.m_state->version();
        const bool isDone = step(Core::Clock::now());
        if (isDone) {
            continue;
        }
        // A failed order changes no state that would wake this thread, so the wait limit also bounds the delay before the retry.
        seen = version;
        m_parts.m_state->waitForChange(seen, IdleWait);
    }
}

OrderDecisionInput OrderWorker::decisionInput(const KnownState &state, Core::Instant now)
{
    OrderDecisionInput input;
    input.m_planOffset = state.m_planOffset;
    input.m_plannedManifests = state.m_plannedManifests;
    input.m_knownWeights = state.m_knownWeights;
    input.m_engine = state.m_engine;
    input.m_slots = m_parts.m_client->settings().m_slots;
    input.m_mismatched = state.m_mismatched;
    input.m_retirementGrace = m_parts.m_settings.m_retirementGrace;
    const std::lock_guard<std::mutex> lock(m_mutex);
    clearFailuresOfOldPlan(state.m_planOffset);
    m_fence = withSeenOffset(m_fence, state.m_planOffset);
    input.m_notBefore = m_notBefore;
    input.m_retirementTimes = m_retirementTimes;
    m_retirementTimes = retirementTimes(input, now);
    input.m_retirementTimes = m_retirementTimes;
    return input;
}

bool OrderWorker::step(Core::Instant now)
{
    const KnownState state = m_parts.m_state->knownState();
    if (state.m_leaving) {
        return false;
    }
    releaseUnneededWeights(state);
    const std::optional<Order> order = decideOrder(decisionInput(state, now), now);
    if (!order) {
        return false;
    }
    const Core::Result<void> result = execute(*order);
    recordResult(*order, result, state.m_mismatched.contains(order->m_contentDigest));
    m_parts.m_host->refreshStatus();
    return result.has_value();
}

Core::Result<void> OrderWorker::execute(const Order &order)
{
    if (order.m_kind == OrderKind::Load) {
        return load(order);
    }
    return unload(order);
}

Core::Result<void> OrderWorker::confirmFence(const Order &order)
{
    const Core::Instant requestedAt = Core::Clock::now();
    const Control::Offset newest = BOOST_OUTCOME_TRYX(m_parts.m_host->newestPlanOffset());
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_fence = withAnswer(m_fence, newest, requestedAt);
    const Core::Result<void> checked = checkOrder(m_fence, order.m_fence, Core::Clock::now(), m_parts.m_settings.m_maximumFenceAge);
    m_fence = withConfirmationUsed(m_fence);
    if (!checked) {
        m_ordersFenced.add();
    }
    return checked;
}

std::shared_ptr<AbortHandle> OrderWorker::newAbortHandle()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_abortHandle = std::make_shared<AbortHandle>();
    if (m_parts.m_state->isClosed()) {
        m_abortHandle->abort();
    }
    return m_abortHandle;
}

Core::Result<void> OrderWorker::load(const Order &order)
{
    const std::shared_ptr<const Weights::HeldVersion> weights = m_parts.m_host->heldWeights(order.m_manifestDigest);
    if (!weights) {
        return Core::makeError(Core::ErrorCode::NotFound, "load weights", order.m_manifestDigest, "they are not whole here");
    }
    BOOST_OUTCOME_TRYV(confirmFence(order));
    LOG(INFO) << "load " << order.m_manifestDigest << " under plan " << order.m_fence;
    BOOST_OUTCOME_TRYV(m_parts.m_client->load(order, *weights, newAbortHandle()));
    m_parts.m_state->update([&order](KnownState &state) {
        state.m_loadPlanOffsets[order.m_contentDigest] = order.m_fence;
        state.m_mismatched.erase(order.m_contentDigest);
        state.m_withdrawn.erase(order.m_contentDigest);
    });
    return Core::success();
}

Core::Result<void> OrderWorker::unload(const Order &order)
{
    // The report withdraws the weights before they are unloaded, so that entries stop sending calls and calls already on their way are still served.
    m_parts.m_state->update([&order](KnownState &state) { state.m_withdrawn.insert(order.m_contentDigest); });
    std::this_thread::sleep_for(m_parts.m_settings.m_withdrawNotice);
    Core::Result<void> result = confirmFence(order);
    if (result) {
        LOG(INFO) << "unload " << order.m_contentDigest << " under plan " << order.m_fence;
        result = m_parts.m_client->unload(order);
    }
    const bool isDone = result.has_value();
    m_parts.m_state->update([&order, isDone](KnownState &state) {
        state.m_withdrawn.erase(order.m_contentDigest);
        if (isDone) {
            state.m_loadPlanOffsets.erase(order.m_contentDigest);
            state.m_mismatched.erase(order.m_contentDigest);
            std::erase_if(state.m_engine.m_models, [&order](const EngineModel &model) { return model.m_contentDigest == order.m_contentDigest; });
        }
    });
    return result;
}

void OrderWorker::clearFailuresOfOldPlan(Control::Offset planOffset)
{
    if (planOffset != m_planOffset) {
        m_planOffset = planOffset;
        m_notBefore.clear();
        m_failures.clear();
    }
}

void OrderWorker::recordResult(const Order &order, const Core::Result<void> &result, bool wasMismatched)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Core::Instant now = Core::Clock::now();
    if (result) {
        m_ordersDone.add();
        m_failures.erase(order.m_contentDigest);
        m_lastError.clear();
        // An engine may still list weights for a while after an unload. Weights for which it reported another version are not loaded again at once.
        const Core::Duration pause = order.m_kind == OrderKind::Load ? Core::Duration(0) : m_parts.m_settings.m_orderRetryDelay;
        m_notBefore[order.m_contentDigest] = now + (wasMismatched ? MismatchRetryDelay : pause);
        return;
    }
    m_ordersFailed.add();
    const int doublings = std::min(m_failures[order.m_contentDigest]++, MaximumBackoffDoublings);
    m_notBefore[order.m_contentDigest] = now + m_parts.m_settings.m_orderRetryDelay * (1 << doublings);
    const std::string error = kindName(order.m_kind) + ": " + result.error().message();
    if (error != m_lastError) {
        LOG(WARNING) << error;
        m_lastError = error;
    }
}

void OrderWorker::releaseUnneededWeights(const KnownState &state)
{
    if (state.m_planOffset == 0 || !state.m_engine.m_reachable) {
        return;
    }
    const std::set<std::string> planned(state.m_plannedManifests.begin(), state.m_plannedManifests.end());
    for (const KnownWeights &held : state.m_knownWeights) {
        if (!held.m_isComplete) {
            continue;
        }
        const bool isLoaded = std::any_of(state.m_engine.m_models.begin(), state.m_engine.m_models.end(), [&held](const EngineModel &model) {
            return model.m_contentDigest == held.m_contentDigest;
        });
        if (!isLoaded && !planned.contains(held.m_manifestDigest)) {
            m_parts.m_host->releaseWeights(held.m_manifestDigest);
        }
    }
}

Poco::JSON::Object::Ptr OrderWorker::dump() const
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    const std::lock_guard<std::mutex> lock(m_mutex);
    object->set("highest_fence", m_fence.m_highestPlanOffset);
    object->set("last_error", m_lastError);
    object->set("waiting_after_failure", m_notBefore.size());
    return object;
}

}
