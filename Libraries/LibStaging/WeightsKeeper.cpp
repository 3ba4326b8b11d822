/// @file Implementation of the keeper.

#include "LibStaging/WeightsKeeper.h"

#include "LibStaging/ChunkSweep.h"

#include <algorithm>
#include <numeric>

namespace Staging {

namespace {

constexpr Core::Duration TransferLook{25}; ///< Between looks at a transfer: a fraction of a chunk's time on the slowest link.
constexpr Core::Duration OrderSettles{600}; ///< Several looks: a report that was under way when the order was given says nothing about it.
constexpr std::uint64_t FirstVersion = 1; ///< Of a model for which nothing has been declared.

std::string stepName(int step)
{
    constexpr std::array<const char *, 10> names{"idle", "manifest", "stage", "transfer", "put", "turn", "quiet", "verify", "order", "loading"};
    return names.at(static_cast<std::size_t>(step));
}

}

WeightsKeeper::WeightsKeeper(KeeperParts parts, KeeperSettings settings, EngineControl engine)
    : m_parts(parts)
    , m_settings(std::move(settings))
    , m_engine(std::move(engine))
    , m_lookTimer(parts.m_loop)
    , m_ordersGiven(parts.m_metrics.counter("staging_orders_total"))
    , m_stagedSpoilt(parts.m_metrics.counter("staging_chunks_spoilt_total"))
    , m_isAlive(std::make_shared<bool>(true))
{
}

WeightsKeeper::~WeightsKeeper()
{
    *m_isAlive = false;
}

void WeightsKeeper::onStatus(std::function<void(const EngineStatus &, bool, bool)> callback)
{
    m_onStatus = std::move(callback);
}

void WeightsKeeper::start()
{
    look();
}

void WeightsKeeper::setAgents(std::vector<Gossip::Member> agents, const Gossip::Member &self)
{
    const bool isChanged = agents.size() != m_agents.size()
        || !std::equal(agents.begin(), agents.end(), m_agents.begin(), [](const Gossip::Member &left, const Gossip::Member &right) {
                               return left.m_id == right.m_id && left.m_peers == right.m_peers;
                           });
    m_agents = std::move(agents);
    m_self = self;
    if (isChanged) {
        applyTargets();
    }
}

void WeightsKeeper::beliefsChanged()
{
    const Fleet::Service *origin = m_parts.m_beliefs.configuration() ? m_parts.m_beliefs.configuration()->origin() : nullptr;
    if (origin) {
        m_parts.m_transfer.setOrigin(*origin->m_origin);
    }
    advance();
}

void WeightsKeeper::look()
{
    if (m_isLooking) {
        return;
    }
    m_isLooking = true;
    m_engine.m_readStatus([this, alive = m_isAlive](Core::Result<EngineStatus> status) {
        if (!*alive) {
            return;
        }
        m_isLooking = false;
        statusCame(std::move(status));
        m_lookTimer.expires_after(lookInterval());
        m_lookTimer.async_wait([this, alive](const boost::system::error_code &error) {
            if (*alive && !error) {
                look();
            }
        });
    });
}

bool WeightsKeeper::isNearlyFull() const
{
    constexpr double nearlyFull = 0.75; // Of the slots: from here on a burst of a few requests queues.
    const Fleet::Service *own = service();
    return m_status && own && m_status->m_running + m_status->m_waiting >= own->m_engine.m_slots * nearlyFull;
}

Core::Duration WeightsKeeper::lookInterval() const
{
    if (!m_status) {
        return m_settings.m_absentInterval;
    }
    if (m_step == Step::Loading) {
        return m_settings.m_loadingInterval;
    }
    return isNearlyFull() ? m_settings.m_loadedInterval : m_settings.m_statusInterval;
}

void WeightsKeeper::statusCame(Core::Result<EngineStatus> status)
{
    if (!status) {
        if (m_status) {
            m_parts.m_log.write(Telemetry::LogLine("engine_unreachable").text("error", status.error().message()));
        }
        m_status.reset();
        m_isEngineAbsent = true;
        advance();
        return;
    }
    m_isEngineAbsent = false;
    const EngineStatus &next = status.value();
    const bool isOtherEngine = !m_status || m_status->m_startedMilliseconds != next.m_startedMilliseconds;
    const bool isChange = isOtherEngine || m_status->m_weights != next.m_weights || m_status->m_isBusy != next.m_isBusy;
    m_status = next;
    if (isChange) {
        Telemetry::LogLine line("engine");
        line.number("started_ms", static_cast<std::int64_t>(next.m_startedMilliseconds)).flag("busy", next.m_isBusy);
        line.number("version", static_cast<std::int64_t>(next.m_weights.empty() ? 0 : next.m_weights.front().m_version));
        m_parts.m_log.write(line);
    }
    if (isOtherEngine) {
        // A new engine knows nothing of orders, and what was read from the stage may be gone.
        ++m_run;
        keepManifest();
        m_target.reset();
        m_staged.clear();
        enter(Step::Idle);
    }
    if (m_onStatus) {
        m_onStatus(next, isAway(), isChange);
    }
    advance();
}

/// The manifest is the same for the engine that comes next. The origin may be away by then, while every chunk is here or at other agents.
void WeightsKeeper::keepManifest()
{
    if (m_target && m_manifest && !m_nextTarget) {
        m_nextTarget = m_target;
        m_nextManifest = m_manifest;
    }
}

const Fleet::Service *WeightsKeeper::service() const
{
    return m_parts.m_beliefs.configuration() ? m_parts.m_beliefs.configuration()->service(m_settings.m_service) : nullptr;
}

std::optional<TargetVersion> WeightsKeeper::wantedTarget() const
{
    const Fleet::Service *own = service();
    if (!own || own->m_engine.m_models.empty()) {
        return std::nullopt;
    }
    const std::string &model = own->m_engine.m_models.front();
    const Fleet::DeclaredWeights *declared = m_parts.m_beliefs.declaredWeights(model);
    return declared ? TargetVersion{model, declared->m_version, declared->m_offset} : TargetVersion{model, FirstVersion, 0};
}

bool WeightsKeeper::hasTarget() const
{
    const Fleet::Service *own = service();
    const std::uint32_t layers = own ? own->m_engine.m_layers : 0;
    return m_status && m_target && std::any_of(m_status->m_weights.begin(), m_status->m_weights.end(), [this, layers](const Fleet::LoadedWeights &loaded) {
               return loaded.m_model == m_target->m_model && loaded.m_version >= m_target->m_version && Fleet::holdsEveryLayer(loaded, layers);
           });
}

void WeightsKeeper::enter(Step step)
{
    if (m_step != step) {
        Telemetry::LogLine line("weights_step");
        line.text("step", stepName(static_cast<int>(step)));
        line.number("version", static_cast<std::int64_t>(m_target ? m_target->m_version : 0));
        m_parts.m_log.write(line);
    }
    m_step = step;
}

bool WeightsKeeper::isCurrent(std::uint64_t run) const
{
    return run == m_run;
}

void WeightsKeeper::later(Core::Duration pause, std::uint64_t run, std::function<void()> action)
{
    const std::shared_ptr<Http::Timer> timer = std::make_shared<Http::Timer>(m_parts.m_loop, pause);
    timer->async_wait([this, alive = m_isAlive, run, timer, act = std::move(action)](const boost::system::error_code &error) {
        if (*alive && !error && isCurrent(run)) {
            act();
        }
    });
}

void WeightsKeeper::advance()
{
    const std::optional<TargetVersion> wanted = wantedTarget();
    const bool isNew = wanted && wanted != m_target;
    if (!m_status) {
        if (isNew && m_isEngineAbsent && !(m_settings.m_mayHoldWeights && m_run == 0)) {
            prefetch(*wanted);
        }
        return;
    }
    if (isNew && (isNearOrder() || isWorthFinishing())) {
        prefetch(*wanted);
        return;
    }
    if (isNew) {
        begin(*wanted);
        return;
    }
    if (m_step == Step::Idle && m_target && !hasTarget()) {
        // It restarted between two looks and holds nothing; an engine that states no time of its start shows it by this alone.
        begin(TargetVersion(*m_target));
        return;
    }
    if (m_step == Step::Loading && hasTarget()) {
        enter(Step::Idle);
        return;
    }
    if (m_step == Step::Loading && !m_status->m_isBusy && Core::Clock::now() - m_orderedAt > OrderSettles) {
        // The order was accepted, or its answer lost, and the engine neither loads nor has the version: start over from the stage.
        ++m_run;
        m_staged.clear();
        listStaged();
    }
}

void WeightsKeeper::begin(const TargetVersion &target)
{
    ++m_run;
    m_target = target;
    m_manifest.reset();
    m_manifestDigest.clear();
    m_staged.clear();
    Telemetry::LogLine line("weights_wanted");
    line.text("model", target.m_model).number("version", static_cast<std::int64_t>(target.m_version));
    m_parts.m_log.write(line);
    const bool isKnown = m_nextTarget == target && m_nextManifest;
    const std::optional<Weights::Manifest> known = isKnown ? m_nextManifest : std::nullopt;
    m_nextTarget.reset();
    m_nextManifest.reset();
    if (known) {
        enter(Step::Manifest);
        manifestCame(m_run, *known);
        return;
    }
    fetchManifest();
}

/**
 * A version that is staged whole is loaded in its turn though a newer one has been declared. If it were dropped, its bound would make every
 * engine that has not had its turn change to the newer version at one moment, as soon as that is staged, and callers would be refused meanwhile.
 */
bool WeightsKeeper::isNearOrder() const
{
    return m_step == Step::Turn || m_step == Step::Quiet || m_step == Step::Verify || m_step == Step::Order;
}

/**
 * A version whose draw has begun is finished before a newer one is drawn. The origin may go away before the newer one has left it, and then an engine
 * that had dropped the older one would have neither when its bound comes.
 */
bool WeightsKeeper::isWorthFinishing() const
{
    if (!m_target || m_step == Step::Idle || m_step == Step::Loading || drawnShare() < m_settings.m_finishFromShare) {
        return false;
    }
    const std::optional<Core::Duration> age = m_parts.m_versions.knownAge(m_target->m_model, m_target->m_version, Core::Clock::now());
    return age && *age < m_settings.m_finishWithin;
}

/// Of the target's chunks, from 0 to 1.
double WeightsKeeper::drawnShare() const
{
    for (const Protocol::TransferProgress &progress : m_parts.m_transfer.progress()) {
        if (progress.m_digest == m_manifestDigest && progress.m_chunksTotal > 0) {
            return static_cast<double>(progress.m_chunksHeld) / progress.m_chunksTotal;
        }
    }
    return 0;
}

/**
 * Draws a version before its own run begins: while an older one is staged or loaded, or before the engine has answered. An engine that starts with its
 * instance answers about a second after the agent, and would have its weights so much later.
 */
void WeightsKeeper::prefetch(const TargetVersion &target)
{
    if (m_nextTarget == target) {
        return;
    }
    m_nextTarget = target;
    m_nextManifest.reset();
    askForNextManifest(target);
}

void WeightsKeeper::askForNextManifest(const TargetVersion &target)
{
    const Fleet::Service *origin = m_parts.m_beliefs.configuration()->origin();
    if (!origin || m_nextTarget != target) {
        return;
    }
    m_engine.m_fetchManifest(
        *origin->m_origin, target.m_model, target.m_version, [this, alive = m_isAlive, target](const Core::Result<Weights::Manifest> &manifest) {
            if (*alive) {
                prefetched(target, manifest);
            }
        });
}

void WeightsKeeper::prefetched(const TargetVersion &target, const Core::Result<Weights::Manifest> &manifest)
{
    if (m_nextTarget != target) {
        return;
    }
    if (!manifest) {
        m_parts.m_log.write(Telemetry::LogLine("manifest_failed").text("error", manifest.error().message()));
        later(m_settings.m_retryPause, m_run, [this, target] { askForNextManifest(target); });
        return;
    }
    m_nextManifest = manifest.value();
    applyTargets();
    const std::string encoded = Weights::encodeManifest(*m_nextManifest);
    m_parts.m_transfer.offerManifest(Weights::manifestDigest(encoded), encoded);
}

void WeightsKeeper::fetchManifest()
{
    enter(Step::Manifest);
    const std::uint64_t run = m_run;
    const Fleet::Service *origin = m_parts.m_beliefs.configuration()->origin();
    if (!origin) {
        later(m_settings.m_retryPause, run, [this] { fetchManifest(); });
        return;
    }
    m_engine.m_fetchManifest(
        *origin->m_origin, m_target->m_model, m_target->m_version, [this, alive = m_isAlive, run](Core::Result<Weights::Manifest> manifest) {
            if (*alive && isCurrent(run)) {
                manifestCame(run, std::move(manifest));
            }
        });
}

void WeightsKeeper::manifestCame(std::uint64_t run, Core::Result<Weights::Manifest> manifest)
{
    if (!manifest) {
        m_parts.m_log.write(Telemetry::LogLine("manifest_failed").text("error", manifest.error().message()));
        later(m_settings.m_retryPause, run, [this] { fetchManifest(); });
        return;
    }
    m_manifest = manifest.value();
    const std::string encoded = Weights::encodeManifest(*m_manifest);
    m_manifestDigest = Weights::manifestDigest(encoded);
    m_manifestAt = Core::Clock::now();
    applyTargets();
    m_parts.m_transfer.offerManifest(m_manifestDigest, encoded);
    listStaged();
}

Control::Deployment WeightsKeeper::deployment(const TargetVersion &target, const Weights::Manifest &manifest) const
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

void WeightsKeeper::applyTargets()
{
    std::vector<Control::Deployment> wanted;
    const bool isNextKnown = m_nextManifest && m_nextTarget;
    // Once the target is staged, to hold both versions in memory would double the agent's peak.
    if (m_manifest && m_target && !(isNextKnown && isNearOrder())) {
        wanted.push_back(deployment(*m_target, *m_manifest));
    }
    if (isNextKnown) {
        wanted.push_back(deployment(*m_nextTarget, *m_nextManifest));
    }
    if (wanted.empty()) {
        return;
    }
    std::set<std::string> digests;
    for (const Control::Deployment &deployment : wanted) {
        digests.insert(deployment.m_digest);
    }
    m_parts.m_transfer.setTargets(std::move(wanted));
    for (const std::string &held : m_parts.m_transfer.heldDigests()) {
        if (!digests.contains(held)) {
            m_parts.m_transfer.release(held);
        }
    }
}

void WeightsKeeper::listStaged()
{
    enter(Step::Stage);
    const std::uint64_t run = m_run;
    m_engine.m_listStagedChunks(m_target->m_model, [this, alive = m_isAlive, run](Core::Result<std::vector<Weights::ChunkIndex>> held) {
        if (!*alive || !isCurrent(run)) {
            return;
        }
        if (!held) {
            later(m_settings.m_retryPause, run, [this] { listStaged(); });
            return;
        }
        readStaged(run, std::move(held.value()));
    });
}

void WeightsKeeper::readStaged(std::uint64_t run, std::vector<Weights::ChunkIndex> chunks)
{
    const ChunkStep step = [this, run](Weights::ChunkIndex chunk, const std::function<void()> &done) {
        m_engine.m_readStagedChunk(m_target->m_model, chunk, [this, alive = m_isAlive, run, chunk, done](const Core::Result<std::string> &bytes) {
            if (!*alive || !isCurrent(run)) {
                return;
            }
            if (bytes && Weights::isChunk(*m_manifest, chunk, bytes.value())) {
                m_staged.insert(chunk);
                m_parts.m_transfer.offerChunk(m_manifestDigest, chunk, bytes.value());
            }
            done();
        });
    };
    sweepChunks(std::move(chunks), m_settings.m_chunksAtOnce, step, [this] {
        if (hasTarget()) {
            enter(Step::Idle);
            return;
        }
        awaitTransfer();
    });
}

void WeightsKeeper::awaitTransfer()
{
    enter(Step::Transfer);
    const std::uint64_t run = m_run;
    if (m_parts.m_transfer.heldVersion(m_manifestDigest)) {
        putMissing(run);
        return;
    }
    if (Core::Clock::now() - m_manifestAt > m_settings.m_manifestLifetime) {
        fetchManifest();
        return;
    }
    later(TransferLook, run, [this] { awaitTransfer(); });
}

void WeightsKeeper::putMissing(std::uint64_t run)
{
    enter(Step::Put);
    const std::shared_ptr<const Weights::HeldVersion> held = m_parts.m_transfer.heldVersion(m_manifestDigest);
    if (!held) {
        if (m_nextTarget) {
            begin(TargetVersion(*m_nextTarget)); // A chunk was spoilt whose version is not drawn any more.
            return;
        }
        awaitTransfer();
        return;
    }
    std::vector<Weights::ChunkIndex> missing;
    for (Weights::ChunkIndex chunk = 0; chunk < m_manifest->chunkCount(); ++chunk) {
        if (!m_staged.contains(chunk)) {
            missing.push_back(chunk);
        }
    }
    const ChunkStep step = [this, run, held](Weights::ChunkIndex chunk, const std::function<void()> &done) {
        m_engine.m_stageChunk(m_target->m_model, chunk, *held->m_chunks[chunk], [this, alive = m_isAlive, run, chunk, done](const Core::Result<void> &result) {
            if (!*alive || !isCurrent(run)) {
                return;
            }
            if (result) {
                m_staged.insert(chunk);
            }
            done();
        });
    };
    sweepChunks(std::move(missing), m_settings.m_chunksAtOnce, step, [this, run] {
        if (m_staged.size() < m_manifest->chunkCount()) {
            later(m_settings.m_retryPause, run, [this, run] { putMissing(run); });
            return;
        }
        awaitTurn();
        applyTargets();
    });
}

bool WeightsKeeper::isTurn() const
{
    if (m_status && m_status->m_weights.empty()) {
        return true; // It serves nothing that a load could interrupt.
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
    const std::size_t rank = turnRank(m_self.m_id, others, m_target->m_version);
    std::uint64_t loaded = 0;
    for (const Fleet::LoadedWeights &weights : m_status->m_weights) {
        loaded = std::max(loaded, weights.m_model == m_target->m_model ? weights.m_version : 0);
    }
    const Core::Duration oldest = m_parts.m_versions.oldestAgeAfter(m_target->m_model, loaded, now).value_or(*age);
    return *age >= turnAfter(rank, others.size() + 1, std::max(Core::Duration(0), oldest - *age), m_settings.m_turns);
}

void WeightsKeeper::awaitTurn()
{
    enter(Step::Turn);
    const std::uint64_t run = m_run;
    if (!m_status || m_status->m_isBusy || !isTurn()) {
        later(TransferLook, run, [this] { awaitTurn(); });
        return;
    }
    quieten();
}

bool WeightsKeeper::isAway() const
{
    return m_step == Step::Quiet || m_step == Step::Verify || m_step == Step::Order || m_step == Step::Loading;
}

void WeightsKeeper::quieten()
{
    enter(Step::Quiet);
    const std::uint64_t run = m_run;
    if (m_onStatus) {
        // Entries must hear of the pause before the engine begins to refuse.
        m_onStatus(*m_status, true, true);
    }
    const bool isServing = !m_status->m_weights.empty() && m_status->m_running > 0;
    const bool willCut = runningRequests() == RunningRequests::Abort;
    later(isServing && willCut ? m_settings.m_quietTime : Core::Duration(0), run, [this, run] {
        enter(Step::Verify);
        verify(run);
    });
}

void WeightsKeeper::verify(std::uint64_t run)
{
    std::vector<Weights::ChunkIndex> chunks(m_manifest->chunkCount());
    std::iota(chunks.begin(), chunks.end(), Weights::ChunkIndex{0});
    const ChunkStep step = [this, run](Weights::ChunkIndex chunk, const std::function<void()> &done) {
        m_engine.m_readStagedChunk(m_target->m_model, chunk, [this, alive = m_isAlive, run, chunk, done](const Core::Result<std::string> &bytes) {
            if (!*alive || !isCurrent(run)) {
                return;
            }
            if (!bytes || !Weights::isChunk(*m_manifest, chunk, bytes.value())) {
                m_stagedSpoilt.add();
                m_staged.erase(chunk);
                m_parts.m_log.write(Telemetry::LogLine("staged_chunk_spoilt").number("chunk", static_cast<std::int64_t>(chunk)));
            }
            done();
        });
    };
    sweepChunks(std::move(chunks), m_settings.m_chunksAtOnce, step, [this, run] {
        if (m_staged.size() < m_manifest->chunkCount()) {
            putMissing(run);
            return;
        }
        order(run);
    });
}

/**
 * Streams that another engine may continue are cut. To wait for the longest of them keeps an engine idle for about two seconds, which for a whole
 * fleet within the bound of a version takes over a quarter of its capacity; a stream that moves pauses for the reading of its prompt.
 */
RunningRequests WeightsKeeper::runningRequests() const
{
    const Fleet::Service *own = service();
    return own && own->m_mayMoveRequests ? RunningRequests::Abort : RunningRequests::Finish;
}

void WeightsKeeper::order(std::uint64_t run)
{
    enter(Step::Order);
    if (!m_status) {
        later(m_settings.m_retryPause, run, [this] { awaitTurn(); });
        return;
    }
    m_ordersGiven.add();
    m_orderedAt = Core::Clock::now();
    const RunningRequests running = runningRequests();
    const LoadOrder order{m_target->m_model, m_target->m_version, running, m_target->m_fence, m_status->m_acceptedOrders};
    m_engine.m_load(order, [this, alive = m_isAlive, run](const Core::Result<void> &result) {
        if (*alive && isCurrent(run)) {
            orderEnded(run, result);
        }
    });
}

void WeightsKeeper::orderEnded(std::uint64_t run, const Core::Result<void> &result)
{
    Telemetry::LogLine line("order");
    line.text("model", m_target->m_model).number("version", static_cast<std::int64_t>(m_target->m_version)).flag("accepted", result.has_value());
    m_parts.m_log.write(result ? line : line.text("error", result.error().message()));
    if (result || result.error().m_code == Core::ErrorCode::Ambiguous) {
        enter(Step::Loading);
        return;
    }
    later(m_settings.m_retryPause, run, [this] { awaitTurn(); });
}

}
