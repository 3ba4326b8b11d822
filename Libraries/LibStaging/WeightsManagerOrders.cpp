/// @file The part of the weights manager's implementation that verifies the staged chunks, sends load orders and finds out what became of them.

#include "LibStaging/ChunkIteration.h"
#include "LibStaging/WeightsManager.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace Staging {

namespace {

constexpr Core::Duration LoadTimePollInterval{25}; ///< A fraction of the time between the load times of two engines.

}

/// Assumes an open order at an engine that was running before this agent was, since a predecessor may have sent one.
void WeightsManager::inheritOrder()
{
    const bool isFirstStatus = m_run == 0;
    if (isFirstStatus && !m_settings.m_mayHoldWeights && !m_wasEngineDown) {
        const UnsettledOrder order{m_status->m_startedMilliseconds, m_status->m_acceptedOrders};
        const std::chrono::milliseconds wallClock = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
        const bool mayBeStray = hasStartedWithin(m_settings.m_inheritedOrderTime, *m_status, static_cast<std::uint64_t>(wallClock.count()));
        m_inheritedOrder = InheritedOrder{order, Core::Clock::now(), mayBeStray};
    }
}

/// Forgets the unsettled order once the engine's status shows that it can no longer be accepted, or would change nothing.
void WeightsManager::settleOrder()
{
    if (m_inheritedOrder && !isOpen(*m_inheritedOrder, *m_status, Core::Clock::now(), m_settings.m_inheritedOrderTime)) {
        m_inheritedOrder.reset();
        m_inheritedStage.clear();
    }
    if (!m_unsettledOrder || (mayAccept(*m_status, *m_unsettledOrder) && !hasLoadedTarget())) {
        return;
    }
    const bool isSameEngine = m_status->m_startedMilliseconds == m_unsettledOrder->m_engineStartedMilliseconds;
    if (!isSameEngine && m_target) {
        // The engine may have restarted before the order arrived.
        const UnsettledOrder order{m_status->m_startedMilliseconds, m_unsettledOrder->m_expectedAcceptedOrders};
        m_strayOrder = StrayOrder{order, m_target->m_version, m_orderSentAt + m_settings.m_inheritedOrderTime};
    }
    m_parts.m_log.write(Telemetry::LogLine("order_settled")
                            .number("expected_orders", static_cast<std::int64_t>(m_unsettledOrder->m_expectedAcceptedOrders))
                            .flag("accepted", isSameEngine));
    m_unsettledOrder.reset();
    if (isSameEngine) {
        ++m_run;
        enterStep(Step::Loading);
    }
}

/// Returns whether the staging area may have to be kept for an order of a predecessor.
bool WeightsManager::isStageInherited() const
{
    return m_inheritedOrder && mayBeOtherVersion(m_inheritedStage, *m_manifest);
}

/// Returns whether the staging area must be kept for an order that may reach the engine although it was sent to an earlier start of it.
bool WeightsManager::isStageHeldByStrayOrder() const
{
    return m_strayOrder && m_status && m_target && holdsStage(*m_status, *m_strayOrder, m_target->m_version, Core::Clock::now());
}

bool WeightsManager::isFollowedByStrayOrder() const
{
    return m_strayOrder && m_status && m_target && followsOrder(*m_status, *m_strayOrder, m_target->m_version, Core::Clock::now());
}

/// Clears the inherited order if what is staged is what the engine has loaded, so that no order for it can be open at this start of the engine.
void WeightsManager::compareStageWithLoadedVersion()
{
    const Fleet::Service *origin = m_parts.m_fleetState.configuration()->origin();
    const bool mayBeStray = m_inheritedOrder && m_inheritedOrder->m_mayBeStray;
    if (!origin || !m_status || m_status->m_weights.empty() || mayBeStray) {
        return;
    }
    const Fleet::LoadedWeights &loaded = m_status->m_weights.front();
    const auto onFetched = [this, alive = m_isAlive, run = m_run](const Core::Result<Weights::Manifest> &manifest) {
        if (!*alive || !isCurrentRun(run) || !isStageInherited()) {
            return;
        }
        if (!manifest) {
            runAfter(m_settings.m_retryDelay, run, [this] { compareStageWithLoadedVersion(); });
        } else if (isStaged(m_inheritedStage, manifest.value())) {
            m_inheritedOrder.reset();
        }
    };
    m_engine.m_fetchManifest(*origin->m_origin, loaded.m_model, loaded.m_version, onFetched);
}

void WeightsManager::ruleOutStrayOrder()
{
    if (m_inheritedOrder && m_inheritedStage.size() < m_manifest->chunkCount()) {
        m_inheritedOrder = InheritedOrder{m_inheritedOrder->m_order, m_inheritedOrder->m_seenAt, false};
    }
}

/// Returns whether the target may be loaded now. The engine's status must be known.
bool WeightsManager::hasReachedLoadTime() const
{
    if (m_status->m_weights.empty()) {
        return true; // The engine serves no version that a load could interrupt.
    }
    const Core::Instant now = Core::Clock::now();
    const std::optional<Core::Duration> age = m_parts.m_versions.knownAge(m_target->m_model, m_target->m_version, now);
    if (!age) {
        return true;
    }
    std::vector<std::string> others;
    for (const Gossip::Member &agent : m_agents) {
        others.push_back(agent.m_id);
    }
    const std::size_t rank = loadRank(m_self.m_id, others, m_target->m_version);
    std::uint64_t loaded = 0;
    for (const Fleet::LoadedWeights &weights : m_status->m_weights) {
        loaded = std::max(loaded, weights.m_model == m_target->m_model ? weights.m_version : 0);
    }
    const Core::Duration oldest = m_parts.m_versions.oldestAgeAfter(m_target->m_model, loaded, now).value_or(*age);
    const Core::Duration staged = *age - std::chrono::duration_cast<Core::Duration>(now - m_stagedAt.value_or(now));
    return *age >= loadDelay(rank, others.size() + 1, staged, std::max(Core::Duration(0), oldest - *age), m_settings.m_loadSchedule);
}

void WeightsManager::awaitLoadTime()
{
    enterStep(Step::AwaitLoadTime);
    m_stagedAt = m_stagedAt.value_or(Core::Clock::now());
    const std::uint64_t run = m_run;
    const bool isReady = m_status && !m_status->m_isBusy && (m_unsettledOrder || hasReachedLoadTime());
    if (!isReady || mayOtherVersionBeWritten() || isFollowedByStrayOrder()) {
        runAfter(LoadTimePollInterval, run, [this] { awaitLoadTime(); });
        return;
    }
    if (isVerifiedWithin(m_settings.m_verificationLifetime)) {
        drainEngine();
    } else {
        verifyStagedChunks(run);
    }
}

bool WeightsManager::isVerifiedWithin(Core::Duration limit) const
{
    const Core::Instant now = Core::Clock::now();
    const Core::Duration suspended = Core::timeSuspended();
    const bool isComplete = m_manifest && m_stagedChunks.size() == m_manifest->chunkCount();
    return isComplete
        && std::all_of(m_stagedChunks.begin(), m_stagedChunks.end(), [now, suspended, limit](const std::pair<const Weights::ChunkIndex, Verification> &chunk) {
               return (now - chunk.second.m_at) + (suspended - chunk.second.m_suspendedBefore) < limit;
           });
}

void WeightsManager::recordVerified(Weights::ChunkIndex chunk)
{
    m_stagedChunks[chunk] = Verification{Core::Clock::now(), Core::timeSuspended()};
}

bool WeightsManager::isEngineUnavailable() const
{
    return m_unsettledOrder || m_step == Step::Drain || m_step == Step::SendOrder || m_step == Step::Loading;
}

void WeightsManager::drainEngine()
{
    const std::uint64_t run = m_run;
    if (!m_status) {
        runAfter(m_settings.m_retryDelay, run, [this] { awaitLoadTime(); }); // The engine has fallen silent during the verification.
        return;
    }
    enterStep(Step::Drain);
    if (m_onStatus) {
        // Entries must learn of the drain before the engine begins to refuse requests.
        m_onStatus(*m_status, true, true);
    }
    const bool isServing = !m_status->m_weights.empty() && m_status->m_running > 0;
    const bool hasDrained = m_unsettledOrder.has_value();
    runAfter(isServing && !hasDrained ? m_settings.m_drainTime : Core::Duration(0), run, [this, run] { sendLoadOrder(run); });
}

void WeightsManager::verifyStagedChunks(std::uint64_t run)
{
    enterStep(Step::Verify);
    std::vector<Weights::ChunkIndex> chunks(m_manifest->chunkCount());
    std::iota(chunks.begin(), chunks.end(), Weights::ChunkIndex{0});
    const ChunkStep step = [this, run](Weights::ChunkIndex chunk, const std::function<void()> &done) {
        m_engine.m_readStagedChunk(m_target->m_model, chunk, [this, alive = m_isAlive, run, chunk, done](const Core::Result<std::string> &bytes) {
            if (!*alive || !isCurrentRun(run)) {
                return;
            }
            if (bytes && Weights::isValidChunk(*m_manifest, chunk, bytes.value())) {
                recordVerified(chunk);
            } else {
                m_corruptStagedChunks.add();
                m_stagedChunks.erase(chunk);
                m_parts.m_log.write(Telemetry::LogLine("staged_chunk_spoilt").number("chunk", static_cast<std::int64_t>(chunk)));
            }
            done();
        });
    };
    forEachChunk(std::move(chunks), m_settings.m_concurrentChunks, step, [this, run] {
        if (m_stagedChunks.size() < m_manifest->chunkCount()) {
            stageMissingChunks(run);
            return;
        }
        drainEngine();
    });
}

void WeightsManager::sendLoadOrder(std::uint64_t run)
{
    enterStep(Step::SendOrder);
    if (!m_status || !isVerifiedWithin(m_settings.m_verificationLimit)) {
        runAfter(m_settings.m_retryDelay, run, [this] { awaitLoadTime(); });
        return;
    }
    m_ordersSent.add();
    m_orderSentAt = Core::Clock::now();
    const bool wasUnsettled = m_unsettledOrder.has_value();
    const UnsettledOrder unsettled{m_status->m_startedMilliseconds, m_status->m_acceptedOrders};
    m_unsettledOrder = unsettled;
    const LoadOrder order{m_target->m_model, m_target->m_version, m_target->m_fence, m_status->m_acceptedOrders};
    m_engine.m_load(order, [this, alive = m_isAlive, run, order, unsettled, wasUnsettled, sentAt = m_orderSentAt](const Core::Result<void> &result) {
        if (!*alive) {
            return;
        }
        logOrderResult(order, sentAt, result);
        recordOrderResult(unsettled, wasUnsettled, result);
        if (isCurrentRun(run)) {
            handleOrderResult(run, result);
        }
    });
}

void WeightsManager::logOrderResult(const LoadOrder &order, Core::Instant sentAt, const Core::Result<void> &result)
{
    Telemetry::LogLine line("order");
    line.text("model", order.m_model).number("version", static_cast<std::int64_t>(order.m_version)).flag("accepted", result.has_value());
    line.number("expected_orders", static_cast<std::int64_t>(order.m_expectedAcceptedOrders));
    if (m_status) {
        line.number("running", std::int64_t{m_status->m_running}).number("waiting", std::int64_t{m_status->m_waiting});
    }
    line.number("took_ms", std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - sentAt).count());
    m_parts.m_log.write(result ? line : line.text("error", result.error().message()));
}

/// @p wasUnsettled: an earlier order under the same precondition had no response; a rejection of its repetition does not settle it.
void WeightsManager::recordOrderResult(const UnsettledOrder &order, bool wasUnsettled, const Core::Result<void> &result)
{
    if (!result && !wasRejected(result)) {
        m_ordersUnanswered.add();
        return;
    }
    if (m_unsettledOrder == order && (result || !wasUnsettled)) {
        m_unsettledOrder.reset();
    }
}

void WeightsManager::handleOrderResult(std::uint64_t run, const Core::Result<void> &result)
{
    if (result) {
        enterStep(Step::Loading);
        return;
    }
    runAfter(m_settings.m_retryDelay, run, [this] { awaitLoadTime(); });
}

}
