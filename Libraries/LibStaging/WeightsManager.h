/// @file Brings the engine beside the agent to the declared version of its model: draws, stages, verifies, orders.
#pragma once

#include "LibCore/Random.h"
#include "LibFleet/FleetState.h"
#include "LibGossip/Membership.h"
#include "LibHttp/EventLoop.h"
#include "LibPlacement/VersionDeadlines.h"
#include "LibStaging/EngineControl.h"
#include "LibStaging/LoadSchedule.h"
#include "LibTelemetry/EventLog.h"
#include "LibTelemetry/Metrics.h"
#include "LibTransfer/TransferManager.h"

#include <map>
#include <set>

namespace Staging {

struct WeightsManagerSettings
{
    std::string m_service; ///< Of the engine.
    /// The whole site starts, and engines may hold their first version: nothing is drawn before the engine has said what it holds.
    bool m_mayHoldWeights = false;
    Core::Duration m_statusInterval{250}; ///< Between looks at the engine: half of the interval at which its load is passed on.
    Core::Duration m_loadingStatusInterval{60}; ///< The same while it loads, so that it is used again at once.
    /// The same while it is nearly full, when each look is passed on: half a second is several requests then.
    Core::Duration m_nearlyFullStatusInterval{180};
    Core::Duration m_unreachableStatusInterval{100}; ///< The same while it does not answer, as after a start: a fraction of the time that its weights take.
    Core::Duration m_retryDelay{200}; ///< After a failed step.
    std::size_t m_concurrentChunks = 4; ///< Calls to the engine under way while chunks are staged or read back.
    Core::Duration m_manifestLifetime{6000}; ///< A manifest whose chunks do not come within it may itself be spoilt and is asked for again.
    /**
     * From telling the entries until the order, if running streams will be cut. About half of them end within it. Without it more streams move and
     * pause; to wait for the last one keeps the engine away for seconds.
     */
    Core::Duration m_drainTime{500};
    /// Share of the chunks that must be here for a superseded version to be finished. After an outage of the log two versions are read at once; to load both
    /// takes the engines away twice, and the first delays the second by 4 s.
    double m_minimumShareToFinish = 0.25;
    Core::Duration m_finishAgeLimit{6000}; ///< A superseded version that is not staged so long after its declaration is dropped: its last turn is near.
    LoadScheduleSettings m_loadSchedule;

    bool operator==(const WeightsManagerSettings &) const = default;
};

/// What the keeper works with. Everything outlives it.
struct WeightsManagerParts
{
    Http::EventLoop &m_loop;
    Fleet::FleetState &m_beliefs;
    Placement::VersionDeadlines &m_versions;
    Transfer::TransferManager &m_transfer;
    Telemetry::Metrics &m_metrics;
    Telemetry::EventLog &m_log;
};

/// A version that the engine is to have.
struct TargetVersion
{
    std::string m_model;
    std::uint64_t m_version = 0;
    std::uint64_t m_fence = 0;

    bool operator==(const TargetVersion &) const = default;
};

/**
 * One step after the other, for one target version. A version that is superseded before its draw has begun is dropped at once; one whose draw has begun
 * is finished first (isWorthFinishing()), and one that is staged whole is loaded in its turn while the newer one is drawn (isNearOrder()).
 *
 * The engine loads whatever lies in its stage, unchecked. A chunk that is missing, spoilt or of another version there would be served to callers
 * as a model that nobody published; therefore every chunk is read back and compared with its digest right before the order. Used on the loop's
 * thread.
 */
class WeightsManager
{
public:
    WeightsManager(WeightsManagerParts parts, WeightsManagerSettings settings, EngineControl engine);
    ~WeightsManager();

    WeightsManager(const WeightsManager &) = delete;
    WeightsManager &operator=(const WeightsManager &) = delete;

    /// Called with each report of the engine. @p isAway: it should get nothing new. @p isChange: the report differs in more than its load.
    void onStatus(std::function<void(const EngineStatus &status, bool isAway, bool isChange)> callback);
    void start();
    /// Tells who the other agents of the service are.
    void setAgents(std::vector<Gossip::Member> agents, const Gossip::Member &self);
    /// Looks again at once, since the beliefs have changed.
    void onFleetStateChanged();

    /// The engine has its target, or there is none.
    bool isSettled() const
    {
        return m_step == Step::Idle;
    }
    /// The engine's slots are nearly all taken, by its last report.
    bool isNearlyFull() const;

private:
    enum class Step {
        Idle, ///< The engine has the target, or there is none.
        FetchManifest, ///< The manifest is awaited.
        ReadStage, ///< What is staged is read, to be used and passed on.
        AwaitTransfer, ///< Chunks are awaited.
        StageChunks, ///< Chunks are staged.
        AwaitLoadTime, ///< Everything is staged; the turn is awaited.
        Drain, ///< Entries have been told to send nothing new; some of what runs ends.
        Verify, ///< What is staged is read back.
        SendOrder, ///< The order is under way.
        Loading, ///< The engine has the order.
    };

    void pollStatus();
    Core::Duration statusPollInterval() const;
    void handleStatus(Core::Result<EngineStatus> status);
    void preserveManifest();
    std::optional<TargetVersion> wantedTarget() const;
    bool hasLoadedTarget() const;
    const Fleet::Service *ownService() const;
    void beginTarget(const TargetVersion &target);
    bool isReadyToLoad() const;
    bool shouldFinishTarget() const;
    double heldChunkShare() const;
    void prefetch(const TargetVersion &target);
    void fetchNextManifest(const TargetVersion &target);
    void handleNextManifest(const TargetVersion &target, const Core::Result<Weights::Manifest> &manifest);
    void advance();
    void fetchManifest();
    void handleManifest(std::uint64_t run, Core::Result<Weights::Manifest> manifest);
    Control::Deployment makeDeployment(const TargetVersion &target, const Weights::Manifest &manifest) const;
    void updateTransferTargets();
    void listStagedChunks();
    void readStagedChunks(std::uint64_t run, std::vector<Weights::ChunkIndex> chunks);
    void awaitTransfer();
    void stageMissingChunks(std::uint64_t run);
    void awaitLoadTime();
    bool hasReachedLoadTime() const;
    void drainEngine();
    bool isEngineUnavailable() const;
    void verifyStagedChunks(std::uint64_t run);
    RunningRequestPolicy runningRequestPolicy() const;
    void sendLoadOrder(std::uint64_t run);
    void handleOrderResult(std::uint64_t run, const Core::Result<void> &result);
    void enterStep(Step step);
    void runAfter(Core::Duration pause, std::uint64_t run, std::function<void()> action);
    bool isCurrentRun(std::uint64_t run) const;

    const WeightsManagerParts m_parts;
    const WeightsManagerSettings m_settings;
    const EngineControl m_engine;
    std::function<void(const EngineStatus &, bool, bool)> m_onStatus;
    std::optional<EngineStatus> m_status;
    std::optional<TargetVersion> m_target;
    std::optional<Weights::Manifest> m_manifest; ///< Of the target.
    std::string m_manifestDigest;
    std::optional<TargetVersion> m_nextTarget; ///< Newer than the target; its chunks are drawn while the target is staged and loaded.
    std::optional<Weights::Manifest> m_nextManifest; ///< Of the next target, once known.
    Core::Instant m_manifestReceivedAt;
    Core::Instant m_orderSentAt; ///< When the engine was last given an order.
    std::set<Weights::ChunkIndex> m_stagedChunks; ///< Chunks of the target that were seen in the stage, whole.
    Step m_step = Step::Idle;
    std::uint64_t m_run = 0; ///< Grows with each new target or engine; what belongs to an earlier one is dropped.
    std::vector<Gossip::Member> m_agents;
    Gossip::Member m_self;
    Http::Timer m_statusTimer;
    bool m_isStatusPending = false;
    bool m_isEngineUnreachable = false; ///< It did not answer the last look.
    Telemetry::Counter &m_ordersSent;
    Telemetry::Counter &m_corruptStagedChunks;
    std::shared_ptr<bool> m_isAlive; ///< False once the keeper is gone; answers can outlive it.
};

}
