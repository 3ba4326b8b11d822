/// @file Implementation of the weights manager.

#include "LibStaging/WeightsManager.h"

#include "LibCore/Digest.h"
#include "LibStaging/ChunkIteration.h"

#include <algorithm>
#include <numeric>

namespace Staging {

namespace {

constexpr Core::Duration TransferPollInterval{25}; ///< Poll interval of a transfer: a fraction of the time that a chunk takes on the slowest link.
constexpr Core::Duration OrderSettleTime{600}; ///< Several polls. A status requested before the order was sent does not reflect the order.
constexpr double BytesPerMegabit = 1e6 / 8;
constexpr std::uint64_t FirstVersion = 1; ///< Version of a model for which no version has been declared.

std::string stepName(int step)
{
    constexpr std::array<const char *, 10> names{"idle", "manifest", "stage", "transfer", "put", "turn", "verify", "quiet", "order", "loading"};
    return names.at(static_cast<std::size_t>(step));
}

}

WeightsManager::WeightsManager(WeightsManagerParts parts, WeightsManagerSettings settings, EngineControl engine)
    : m_parts(parts)
    , m_settings(std::move(settings))
    , m_engine(std::move(engine))
    , m_statusTimer(parts.m_loop)
    , m_ordersSent(parts.m_metrics.counter("staging_orders_total"))
    , m_ordersUnanswered(parts.m_metrics.counter("staging_orders_unanswered_total"))
    , m_corruptStagedChunks(parts.m_metrics.counter("staging_chunks_spoilt_total"))
    , m_isAlive(std::make_shared<bool>(true))
{
}

WeightsManager::~WeightsManager()
{
    *m_isAlive = false;
}

void WeightsManager::onStatus(std::function<void(const EngineStatus &, bool, bool)> callback)
{
    m_onStatus = std::move(callback);
}

void WeightsManager::start()
{
    pollStatus();
}

void WeightsManager::setAgents(std::vector<Gossip::Member> agents, const Gossip::Member &self)
{
    const bool isChanged = agents.size() != m_agents.size()
        || !std::equal(agents.begin(), agents.end(), m_agents.begin(), [](const Gossip::Member &left, const Gossip::Member &right) {
                               return left.m_id == right.m_id && left.m_peers == right.m_peers;
                           });
    m_agents = std::move(agents);
    m_self = self;
    if (isChanged) {
        updateTransferTargets();
    }
}

void WeightsManager::onFleetStateChanged()
{
    const Fleet::Service *origin = m_parts.m_fleetState.configuration() ? m_parts.m_fleetState.configuration()->origin() : nullptr;
    if (origin) {
        m_parts.m_transfer.setOrigin(*origin->m_origin, static_cast<std::uint64_t>(origin->m_originLinkMegabits * BytesPerMegabit));
    }
    advance();
}

void WeightsManager::pollStatus()
{
    if (m_isStatusPending) {
        return;
    }
    m_isStatusPending = true;
    m_engine.m_readStatus([this, alive = m_isAlive](Core::Result<EngineStatus> status) {
        if (!*alive) {
            return;
        }
        m_isStatusPending = false;
        handleStatus(std::move(status));
        m_statusTimer.expires_after(statusPollInterval());
        m_statusTimer.async_wait([this, alive](const boost::system::error_code &error) {
            if (*alive && !error) {
                pollStatus();
            }
        });
    });
}

bool WeightsManager::isNearlyFull() const
{
    constexpr double nearlyFullShare = 0.75; // Share of the slots. Above it a burst of a few requests is queued.
    const Fleet::Service *service = ownService();
    return m_status && service && m_status->m_running + m_status->m_waiting >= service->m_engine.m_slots * nearlyFullShare;
}

Core::Duration WeightsManager::statusPollInterval() const
{
    if (!m_status) {
        return m_settings.m_unreachableStatusInterval;
    }
    if (m_step == Step::Loading) {
        return m_settings.m_loadingStatusInterval;
    }
    return isNearlyFull() ? m_settings.m_nearlyFullStatusInterval : m_settings.m_statusInterval;
}

void WeightsManager::handleStatus(Core::Result<EngineStatus> status)
{
    if (!status) {
        if (m_status) {
            m_parts.m_log.write(Telemetry::LogLine("engine_unreachable").text("error", status.error().message()));
        }
        m_status.reset();
        m_isEngineUnreachable = true;
        m_wasEngineDown = m_wasEngineDown || status.error().m_code == Core::ErrorCode::Unavailable;
        advance();
        return;
    }
    m_isEngineUnreachable = false;
    const EngineStatus &next = status.value();
    const bool isOtherEngine = !m_status || m_status->m_startedMilliseconds != next.m_startedMilliseconds;
    const bool isChange = isOtherEngine || m_status->m_weights != next.m_weights || m_status->m_isBusy != next.m_isBusy;
    const bool hasAcceptedOrder = !isOtherEngine && m_status->m_acceptedOrders != next.m_acceptedOrders;
    m_status = next;
    if (isChange || hasAcceptedOrder) {
        Telemetry::LogLine line("engine");
        line.number("started_ms", static_cast<std::int64_t>(next.m_startedMilliseconds)).flag("busy", next.m_isBusy);
        line.number("accepted_orders", static_cast<std::int64_t>(next.m_acceptedOrders));
        line.number("version", static_cast<std::int64_t>(next.m_weights.empty() ? 0 : next.m_weights.front().m_version));
        m_parts.m_log.write(line);
    }
    inheritOrder();
    settleOrder();
    if (isOtherEngine) {
        handleOtherEngine();
    }
    if (m_onStatus) {
        m_onStatus(next, isEngineUnavailable(), isChange);
    }
    advance();
}

/// A new engine has accepted no orders, and the chunks found in the old engine's staging area may be gone.
void WeightsManager::handleOtherEngine()
{
    if (m_unsettledOrder) {
        restartFromStage(); // The engine was only unreachable.
        return;
    }
    ++m_run;
    preserveManifest();
    m_target.reset();
    m_stagedChunks.clear();
    enterStep(Step::Idle);
}

/// Keeps the manifest of the target for the next engine. By then the origin may be unreachable, although every chunk is held here or by other agents.
void WeightsManager::preserveManifest()
{
    if (m_target && m_manifest && !m_nextTarget) {
        m_nextTarget = m_target;
        m_nextManifest = m_manifest;
    }
}

const Fleet::Service *WeightsManager::ownService() const
{
    return m_parts.m_fleetState.configuration() ? m_parts.m_fleetState.configuration()->service(m_settings.m_service) : nullptr;
}

std::optional<TargetVersion> WeightsManager::wantedTarget() const
{
    const Fleet::Service *service = ownService();
    if (!service || service->m_engine.m_models.empty()) {
        return std::nullopt;
    }
    const std::string &model = service->m_engine.m_models.front();
    const Fleet::DeclaredWeights *declared = m_parts.m_fleetState.declaredWeights(model);
    return declared ? TargetVersion{model, declared->m_version, declared->m_offset} : TargetVersion{model, FirstVersion, 0};
}

bool WeightsManager::hasLoadedTarget() const
{
    const Fleet::Service *service = ownService();
    const std::uint32_t layers = service ? service->m_engine.m_layers : 0;
    return m_status && m_target && std::any_of(m_status->m_weights.begin(), m_status->m_weights.end(), [this, layers](const Fleet::LoadedWeights &loaded) {
               return loaded.m_model == m_target->m_model && loaded.m_version >= m_target->m_version && Fleet::holdsEveryLayer(loaded, layers);
           });
}

void WeightsManager::enterStep(Step step)
{
    if (m_step != step) {
        Telemetry::LogLine line("weights_step");
        line.text("step", stepName(static_cast<int>(step)));
        line.number("version", static_cast<std::int64_t>(m_target ? m_target->m_version : 0));
        m_parts.m_log.write(line);
    }
    m_step = step;
}

bool WeightsManager::isCurrentRun(std::uint64_t run) const
{
    return run == m_run;
}

void WeightsManager::runAfter(Core::Duration pause, std::uint64_t run, std::function<void()> action)
{
    const std::shared_ptr<Http::Timer> timer = std::make_shared<Http::Timer>(m_parts.m_loop, pause);
    timer->async_wait([this, alive = m_isAlive, run, timer, callback = std::move(action)](const boost::system::error_code &error) {
        if (*alive && !error && isCurrentRun(run)) {
            callback();
        }
    });
}

void WeightsManager::advance()
{
    const std::optional<TargetVersion> wanted = wantedTarget();
    const bool isNew = wanted && wanted != m_target;
    if (!m_status) {
        if (isNew && m_isEngineUnreachable && !(m_settings.m_mayHoldWeights && m_run == 0)) {
            prefetch(*wanted);
        }
        return;
    }
    if (isNew && (m_unsettledOrder || isReadyToLoad() || shouldFinishTarget())) {
        prefetch(*wanted);
        return;
    }
    if (isNew) {
        beginTarget(*wanted);
        return;
    }
    if (m_step == Step::Idle && m_target && !hasLoadedTarget()) {
        // The engine restarted between two polls and holds no weights. If it does not report its start time, only the missing weights reveal this.
        beginTarget(TargetVersion(*m_target));
        return;
    }
    if (m_step == Step::Loading && hasLoadedTarget()) {
        enterStep(Step::Idle);
        return;
    }
    if (m_step == Step::Loading && !m_status->m_isBusy && Core::Clock::now() - m_orderSentAt > OrderSettleTime) {
        // The order was accepted, but the engine neither loads nor has the version. Start again with the staged chunks.
        restartFromStage();
    }
}

void WeightsManager::beginTarget(const TargetVersion &target)
{
    ++m_run;
    m_target = target;
    m_manifest.reset();
    m_manifestDigest.clear();
    m_stagedChunks.clear();
    m_stagedAt.reset();
    Telemetry::LogLine line("weights_wanted");
    line.text("model", target.m_model).number("version", static_cast<std::int64_t>(target.m_version));
    m_parts.m_log.write(line);
    const bool isKnown = m_nextTarget == target && m_nextManifest;
    const std::optional<Weights::Manifest> known = isKnown ? m_nextManifest : std::nullopt;
    m_nextTarget.reset();
    m_nextManifest.reset();
    if (known) {
        enterStep(Step::FetchManifest);
        handleManifest(m_run, *known);
        return;
    }
    fetchManifest();
}

/**
 * Returns whether the target is completely staged and not yet loaded. Such a version is loaded at its scheduled time even if a newer one has been declared. If
 * it were abandoned, its deadline would make every engine that has not loaded it change to the newer version at the same moment, as soon as that one is staged,
 * and callers would be refused meanwhile.
 */
bool WeightsManager::isReadyToLoad() const
{
    return m_step == Step::AwaitLoadTime || m_step == Step::Drain || m_step == Step::Verify || m_step == Step::SendOrder;
}

/**
 * Returns whether the target should be finished before a newer version is downloaded. This is so if its download has begun. The origin may become unreachable
 * before the newer version has been downloaded; an engine that had abandoned the older version would then have neither of them at the deadline.
 */
bool WeightsManager::shouldFinishTarget() const
{
    if (!m_target || !m_manifest || m_step == Step::Idle || m_step == Step::Loading) {
        return false;
    }
    if (heldChunkCount() < m_settings.m_minimumShareToFinish * m_manifest->chunkCount()) {
        return false;
    }
    const std::optional<Core::Duration> age = m_parts.m_versions.knownAge(m_target->m_model, m_target->m_version, Core::Clock::now());
    return age && *age < m_settings.m_finishAgeLimit;
}

/// Returns the number of the target's chunks that are held.
std::uint32_t WeightsManager::heldChunkCount() const
{
    for (const Protocol::TransferProgress &progress : m_parts.m_transfer.progress()) {
        if (progress.m_digest == m_manifestDigest) {
            return progress.m_chunksHeld;
        }
    }
    return 0;
}

/**
 * Downloads a version before its own run begins: while an older version is staged or loaded, or before the engine has responded. An engine that starts together
 * with its instance responds about a second after the agent; without prefetching, its weights would arrive that much later.
 */
void WeightsManager::prefetch(const TargetVersion &target)
{
    if (m_nextTarget == target) {
        return;
    }
    m_nextTarget = target;
    m_nextManifest.reset();
    fetchNextManifest(target);
}

void WeightsManager::fetchNextManifest(const TargetVersion &target)
{
    const Fleet::Service *origin = m_parts.m_fleetState.configuration()->origin();
    if (!origin || m_nextTarget != target) {
        return;
    }
    m_engine.m_fetchManifest(
        *origin->m_origin, target.m_model, target.m_version, [this, alive = m_isAlive, target](const Core::Result<Weights::Manifest> &manifest) {
            if (*alive) {
                handleNextManifest(target, manifest);
            }
        });
}

void WeightsManager::handleNextManifest(const TargetVersion &target, const Core::Result<Weights::Manifest> &manifest)
{
    if (m_nextTarget != target) {
        return;
    }
    if (!manifest) {
        m_parts.m_log.write(Telemetry::LogLine("manifest_failed").text("error", manifest.error().message()));
        runAfter(m_settings.m_retryDelay, m_run, [this, target] { fetchNextManifest(target); });
        return;
    }
    m_nextManifest = manifest.value();
    updateTransferTargets();
    const std::string encoded = Weights::encodeManifest(*m_nextManifest);
    m_parts.m_transfer.offerManifest(Weights::manifestDigest(encoded), encoded);
}

void WeightsManager::fetchManifest()
{
    enterStep(Step::FetchManifest);
    const std::uint64_t run = m_run;
    const Fleet::Service *origin = m_parts.m_fleetState.configuration()->origin();
    if (!origin) {
        runAfter(m_settings.m_retryDelay, run, [this] { fetchManifest(); });
        return;
    }
    m_engine.m_fetchManifest(
        *origin->m_origin, m_target->m_model, m_target->m_version, [this, alive = m_isAlive, run](Core::Result<Weights::Manifest> manifest) {
            if (*alive && isCurrentRun(run)) {
                handleManifest(run, std::move(manifest));
            }
        });
}

void WeightsManager::handleManifest(std::uint64_t run, Core::Result<Weights::Manifest> manifest)
{
    if (!manifest) {
        m_parts.m_log.write(Telemetry::LogLine("manifest_failed").text("error", manifest.error().message()));
        runAfter(m_settings.m_retryDelay, run, [this] { fetchManifest(); });
        return;
    }
    m_manifest = manifest.value();
    const std::string encoded = Weights::encodeManifest(*m_manifest);
    m_manifestDigest = Weights::manifestDigest(encoded);
    m_manifestCheckedAt = Core::Clock::now();
    m_isManifestCheckOpen = false;
    updateTransferTargets();
    m_parts.m_transfer.offerManifest(m_manifestDigest, encoded);
    listStagedChunks();
}

Control::Deployment WeightsManager::makeDeployment(const TargetVersion &target, const Weights::Manifest &manifest) const
{
    Control::Deployment deployment;
    deployment.m_model = target.m_model;
    deployment.m_version = std::to_string(target.m_version);
    deployment.m_digest = Weights::manifestDigest(Weights::encodeManifest(manifest));
    for (const Gossip::Member &agent : m_agents) {
        deployment.m_replicas.push_back(Control::PlannedReplica{agent.m_id, agent.m_region, agent.m_failureDomain, agent.m_peers});
    }
    deployment.m_replicas.push_back(Control::PlannedReplica{m_self.m_id, m_self.m_region, m_self.m_failureDomain, m_self.m_peers});
    std::sort(deployment.m_replicas.begin(), deployment.m_replicas.end(), [](const Control::PlannedReplica &left, const Control::PlannedReplica &right) {
        return left.m_instance < right.m_instance;
    });
    return deployment;
}

void WeightsManager::updateTransferTargets()
{
    std::vector<Control::Deployment> wanted;
    const bool isNextKnown = m_nextManifest && m_nextTarget;
    // Once the target is staged, holding both versions in memory would double the agent's peak usage.
    if (m_manifest && m_target && !(isNextKnown && isReadyToLoad())) {
        wanted.push_back(makeDeployment(*m_target, *m_manifest));
    }
    if (isNextKnown) {
        wanted.push_back(makeDeployment(*m_nextTarget, *m_nextManifest));
    }
    if (wanted.empty()) {
        return;
    }
    std::set<std::string> digests;
    for (const Control::Deployment &deployment : wanted) {
        digests.insert(deployment.m_digest);
    }
    m_parts.m_transfer.setTargets(std::move(wanted));
    // Also releases versions that are not known to be held: the transfer may have completed one that its last published state does not list yet.
    for (const std::string &earlier : m_transferTargets) {
        if (!digests.contains(earlier)) {
            m_parts.m_transfer.release(earlier);
        }
    }
    m_transferTargets = std::move(digests);
}

/// Reads the staged chunks of the target again, and downloads those that are missing or damaged.
void WeightsManager::restartFromStage()
{
    ++m_run;
    m_stagedChunks.clear();
    enterStep(Step::ReadStage);
    updateTransferTargets();
    m_parts.m_transfer.offerManifest(m_manifestDigest, Weights::encodeManifest(*m_manifest));
    listStagedChunks();
}

void WeightsManager::listStagedChunks()
{
    enterStep(Step::ReadStage);
    const std::uint64_t run = m_run;
    m_engine.m_listStagedChunks(m_target->m_model, [this, alive = m_isAlive, run](Core::Result<std::vector<Weights::ChunkIndex>> held) {
        if (!*alive || !isCurrentRun(run)) {
            return;
        }
        if (!held) {
            runAfter(m_settings.m_retryDelay, run, [this] { listStagedChunks(); });
            return;
        }
        readStagedChunks(run, std::move(held.value()));
    });
}

void WeightsManager::readStagedChunks(std::uint64_t run, std::vector<Weights::ChunkIndex> chunks)
{
    m_inheritedStage.clear();
    const ChunkStep step = [this, run](Weights::ChunkIndex chunk, const std::function<void()> &done) {
        m_engine.m_readStagedChunk(m_target->m_model, chunk, [this, alive = m_isAlive, run, chunk, done](const Core::Result<std::string> &bytes) {
            if (!*alive || !isCurrentRun(run)) {
                return;
            }
            if (bytes && Weights::isValidChunk(*m_manifest, chunk, bytes.value())) {
                recordVerified(chunk);
                m_parts.m_transfer.offerChunk(m_manifestDigest, chunk, bytes.value());
            }
            if (m_inheritedOrder) {
                m_inheritedStage[chunk] = bytes ? Core::sha256Raw(bytes.value()) : std::string();
            }
            done();
        });
    };
    forEachChunk(std::move(chunks), m_settings.m_concurrentChunks, step, [this] {
        ruleOutStrayOrder();
        if (hasLoadedTarget()) {
            enterStep(Step::Idle);
            return;
        }
        if (isStageInherited()) {
            compareStageWithLoadedVersion();
        }
        awaitTransfer();
    });
}

void WeightsManager::awaitTransfer()
{
    enterStep(Step::AwaitTransfer);
    const std::uint64_t run = m_run;
    if (m_parts.m_transfer.heldVersion(m_manifestDigest)) {
        stageMissingChunks(run);
        return;
    }
    if (isManifestCheckDue()) {
        checkManifest();
    }
    runAfter(TransferPollInterval, run, [this] { awaitTransfer(); });
}

bool WeightsManager::isManifestCheckDue()
{
    const Core::Instant now = Core::Clock::now();
    const std::uint32_t held = heldChunkCount();
    if (held != m_heldAtManifestCheck) {
        m_heldAtManifestCheck = held;
        m_manifestCheckedAt = now;
    }
    return !m_isManifestCheckOpen && now - m_manifestCheckedAt > m_settings.m_manifestCheckDelay;
}

/// Fetches the manifest again and starts over if it differs. The download goes on meanwhile: usually its chunks are only delayed.
void WeightsManager::checkManifest()
{
    const Fleet::Service *origin = m_parts.m_fleetState.configuration()->origin();
    if (!origin) {
        return;
    }
    m_isManifestCheckOpen = true;
    const auto onFetched = [this, alive = m_isAlive, run = m_run](const Core::Result<Weights::Manifest> &manifest) {
        if (!*alive || !isCurrentRun(run)) {
            return;
        }
        m_isManifestCheckOpen = false;
        m_manifestCheckedAt = Core::Clock::now();
        if (!manifest) {
            m_parts.m_log.write(Telemetry::LogLine("manifest_failed").text("error", manifest.error().message()));
        } else if (m_step == Step::AwaitTransfer && manifest.value() != *m_manifest) {
            ++m_run;
            m_stagedChunks.clear();
            handleManifest(m_run, manifest);
        }
    };
    m_engine.m_fetchManifest(*origin->m_origin, m_target->m_model, m_target->m_version, onFetched);
}

void WeightsManager::stageMissingChunks(std::uint64_t run)
{
    enterStep(Step::StageChunks);
    const std::shared_ptr<const Weights::HeldVersion> held = m_parts.m_transfer.heldVersion(m_manifestDigest);
    if (!held) {
        if (m_unsettledOrder) {
            restartFromStage(); // The engine may still load what is staged, so a corrupt chunk is replaced even if a newer version is being downloaded.
            return;
        }
        if (m_nextTarget) {
            beginTarget(TargetVersion(*m_nextTarget)); // A chunk is corrupt and its version is no longer downloaded.
            return;
        }
        awaitTransfer();
        return;
    }
    if (isStageInherited() || isStageHeldByStrayOrder()) {
        runAfter(m_settings.m_retryDelay, run, [this, run] { stageMissingChunks(run); });
        return;
    }
    std::vector<Weights::ChunkIndex> missing;
    for (Weights::ChunkIndex chunk = 0; chunk < m_manifest->chunkCount(); ++chunk) {
        if (!m_stagedChunks.contains(chunk)) {
            missing.push_back(chunk);
        }
    }
    const ChunkStep step = [this, run, held](Weights::ChunkIndex chunk, const std::function<void()> &done) {
        stageChunk(run, chunk, *held->m_chunks[chunk], done);
    };
    forEachChunk(std::move(missing), m_settings.m_concurrentChunks, step, [this, run] {
        if (m_stagedChunks.size() < m_manifest->chunkCount()) {
            runAfter(m_settings.m_retryDelay, run, [this, run] { stageMissingChunks(run); });
            return;
        }
        awaitLoadTime();
        updateTransferTargets();
    });
}

void WeightsManager::stageChunk(std::uint64_t run, Weights::ChunkIndex chunk, const std::string &bytes, const std::function<void()> &done)
{
    beginWrite(m_stageWrites, m_manifestDigest);
    const auto onEnd = [this, alive = m_isAlive, run, chunk, digest = m_manifestDigest, done](const Core::Result<void> &result) {
        if (!*alive) {
            return;
        }
        recordWriteEnd(digest, chunk, result);
        if (!isCurrentRun(run)) {
            return;
        }
        if (result) {
            recordVerified(chunk);
        }
        done();
    };
    m_engine.m_stageChunk(m_target->m_model, chunk, bytes, onEnd);
}

void WeightsManager::recordWriteEnd(const std::string &manifestDigest, Weights::ChunkIndex chunk, const Core::Result<void> &result)
{
    endWrite(m_stageWrites, manifestDigest, result || wasRejected(result), Core::Clock::now());
    if (manifestDigest != m_manifestDigest) {
        m_stagedChunks.erase(chunk);
    }
}

/// Returns whether a write of another version may still take effect. Once the last of them has settled, all chunks must be read back again.
bool WeightsManager::mayOtherVersionBeWritten()
{
    if (forgetSettledWrites(m_stageWrites, m_manifestDigest, Core::Clock::now(), m_settings.m_writeSettleTime)) {
        m_stagedChunks.clear();
    }
    return hasOtherWrites(m_stageWrites, m_manifestDigest);
}

}
