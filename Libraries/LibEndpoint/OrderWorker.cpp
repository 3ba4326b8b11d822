/// @file Implementation of the order duty.

#include "LibEndpoint/OrderWorker.h"

#include <glog/logging.h>

namespace Endpoint {

namespace {

constexpr Core::Duration IdleWait{1000};
constexpr Core::Duration DistrustPause{30000};
constexpr int MaximumDoublings = 5;

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
        const bool done = step(Core::Clock::now());
        if (done) {
            continue;
        }
        // A failed order makes no change of its own that would wake this duty, so the wait also bounds the pause before the next try.
        seen = version;
        m_parts.m_state->waitForChange(seen, IdleWait);
    }
}

OrderDecisionInput OrderWorker::decisionInput(const KnownState &facts, Core::Instant now)
{
    OrderDecisionInput situation;
    situation.m_planOffset = facts.m_planOffset;
    situation.m_plannedManifests = facts.m_plannedManifests;
    situation.m_knownWeights = facts.m_knownWeights;
    situation.m_engine = facts.m_engine;
    situation.m_slots = m_parts.m_client->settings().m_slots;
    situation.m_mismatched = facts.m_mismatched;
    situation.m_retirementGrace = m_parts.m_settings.m_retirementGrace;
    const std::lock_guard<std::mutex> lock(m_mutex);
    clearFailuresOfOldPlan(facts.m_planOffset);
    m_fence = withSeenOffset(m_fence, facts.m_planOffset);
    situation.m_notBefore = m_notBefore;
    situation.m_retirementTimes = m_retirementTimes;
    m_retirementTimes = retirementTimes(situation, now);
    situation.m_retirementTimes = m_retirementTimes;
    return situation;
}

bool OrderWorker::step(Core::Instant now)
{
    const KnownState facts = m_parts.m_state->knownState();
    if (facts.m_leaving) {
        return false;
    }
    releaseUnneededWeights(facts);
    const std::optional<Order> order = decideOrder(decisionInput(facts, now), now);
    if (!order) {
        return false;
    }
    const Core::Result<void> result = execute(*order);
    recordResult(*order, result, facts.m_mismatched.contains(order->m_contentDigest));
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
    const Core::Instant askedAt = Core::Clock::now();
    const Control::Offset newest = BOOST_OUTCOME_TRYX(m_parts.m_host->newestPlanOffset());
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_fence = withAnswer(m_fence, newest, askedAt);
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
    m_parts.m_state->update([&order](KnownState &facts) {
        facts.m_loadPlanOffsets[order.m_contentDigest] = order.m_fence;
        facts.m_mismatched.erase(order.m_contentDigest);
        facts.m_withdrawn.erase(order.m_contentDigest);
    });
    return Core::success();
}

Core::Result<void> OrderWorker::unload(const Order &order)
{
    // Entries would go on sending calls to weights that vanish; they learn first, and calls under way find them still there.
    m_parts.m_state->update([&order](KnownState &facts) { facts.m_withdrawn.insert(order.m_contentDigest); });
    std::this_thread::sleep_for(m_parts.m_settings.m_withdrawNotice);
    Core::Result<void> result = confirmFence(order);
    if (result) {
        LOG(INFO) << "unload " << order.m_contentDigest << " under plan " << order.m_fence;
        result = m_parts.m_client->unload(order);
    }
    const bool done = result.has_value();
    m_parts.m_state->update([&order, done](KnownState &facts) {
        facts.m_withdrawn.erase(order.m_contentDigest);
        if (done) {
            facts.m_loadPlanOffsets.erase(order.m_contentDigest);
            facts.m_mismatched.erase(order.m_contentDigest);
            std::erase_if(facts.m_engine.m_models, [&order](const EngineModel &model) { return model.m_contentDigest == order.m_contentDigest; });
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

void OrderWorker::recordResult(const Order &order, const Core::Result<void> &result, bool wasDistrusted)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Core::Instant now = Core::Clock::now();
    if (result) {
        m_ordersDone.add();
        m_failures.erase(order.m_contentDigest);
        m_lastError.clear();
        // An engine may list weights a while after it was told to unload them. One that answered under another version is not tried again at once.
        const Core::Duration pause = order.m_kind == OrderKind::Load ? Core::Duration(0) : m_parts.m_settings.m_orderRetryDelay;
        m_notBefore[order.m_contentDigest] = now + (wasDistrusted ? DistrustPause : pause);
        return;
    }
    m_ordersFailed.add();
    const int doublings = std::min(m_failures[order.m_contentDigest]++, MaximumDoublings);
    m_notBefore[order.m_contentDigest] = now + m_parts.m_settings.m_orderRetryDelay * (1 << doublings);
    const std::string error = kindName(order.m_kind) + ": " + result.error().message();
    if (error != m_lastError) {
        LOG(WARNING) << error;
        m_lastError = error;
    }
}

void OrderWorker::releaseUnneededWeights(const KnownState &facts)
{
    if (facts.m_planOffset == 0 || !facts.m_engine.m_reachable) {
        return;
    }
    const std::set<std::string> planned(facts.m_plannedManifests.begin(), facts.m_plannedManifests.end());
    for (const KnownWeights &held : facts.m_knownWeights) {
        if (!held.m_isComplete) {
            continue;
        }
        const bool loaded = std::any_of(facts.m_engine.m_models.begin(), facts.m_engine.m_models.end(), [&held](const EngineModel &model) {
            return model.m_contentDigest == held.m_contentDigest;
        });
        if (!loaded && !planned.contains(held.m_manifestDigest)) {
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
