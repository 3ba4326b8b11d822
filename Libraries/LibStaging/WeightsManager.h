/// @file Brings the engine beside the agent to the declared version of its model: downloads, stages, verifies and loads the weights.
#pragma once

#include "LibCore/Random.h"
#include "LibFleet/FleetState.h"
#include "LibGossip/Membership.h"
#include "LibHttp/EventLoop.h"
#include "LibPlacement/VersionDeadlines.h"
#include "LibStaging/EngineControl.h"
#include "LibStaging/InheritedOrder.h"
#include "LibStaging/LoadSchedule.h"
#include "LibStaging/StageWrites.h"
#include "LibStaging/UnsettledOrder.h"
#include "LibTelemetry/EventLog.h"
#include "LibTelemetry/Metrics.h"
#include "LibTransfer/TransferManager.h"

#include <map>
#include <set>

namespace Staging {

struct WeightsManagerSettings
{
    std::string m_service; ///< Name of the engine's service.
    /// Set if the whole fleet is starting and engines may already hold their first version. Nothing is downloaded until the engine has reported what it holds.
    bool m_mayHoldWeights = false;
    Core::Duration m_statusInterval{250}; ///< Time between polls of the engine's status: half of the interval at which its load is reported.
    Core::Duration m_loadingStatusInterval{60}; ///< Poll interval while the engine loads. Short, so that the engine gets requests again as soon as it is ready.
    /// Poll interval while the engine is nearly full. Each status is then reported immediately, since several requests can arrive within half a second.
    Core::Duration m_nearlyFullStatusInterval{180};
    /// Poll interval while the engine does not respond, such as after a start: a fraction of the time that its weights take to arrive.
    Core::Duration m_unreachableStatusInterval{100};
    Core::Duration m_retryDelay{200}; ///< Delay before a failed step is retried.
    std::size_t m_concurrentChunks = 4; ///< Concurrent calls to the engine while chunks are staged or read back.
    Core::Duration m_manifestCheckDelay{6000}; ///< If no chunk arrives within this time, the manifest itself may be corrupt and is fetched again.
    /// Time between announcing the drain to the entries and sending the load order, if requests run. Requests that arrive after the order are refused by the
    /// engine, and each repetition elsewhere uses up the retry budget.
    Core::Duration m_drainTime{500};
    /// A chunk that was read back or written within this time before its engine's load time is not read back again.
    Core::Duration m_verificationLifetime{500};
    Core::Duration m_verificationLimit{VerificationLimit}; ///< Longest time between the verification of a chunk and the sending of the load order.
    /// After this time a write to the staging area that got no response is expected to have taken effect. Until then no order for another version is sent.
    Core::Duration m_writeSettleTime{3000};
    /// For this time after its start an agent expects that its predecessor may have left an order without a response at the engine.
    Core::Duration m_inheritedOrderTime{10000};
    /// Share of the chunks that must be held for a superseded version to be finished. After an outage of the log, two versions become known at the same time.
    /// Loading both makes each engine unavailable twice, and the first load delays the second by 4 s.
    double m_minimumShareToFinish = 0.25;
    /// A superseded version that is not staged within this time after its declaration is abandoned: the bound of versions. While the origin is unreachable, an
    /// older version of which a few chunks are missing is complete long before the newer one.
    Core::Duration m_finishAgeLimit{8000};
    LoadScheduleSettings m_loadSchedule;

    bool operator==(const WeightsManagerSettings &) const = default;
};

/// Dependencies of the weights manager. All of them must outlive it.
struct WeightsManagerParts
{
    Http::EventLoop &m_loop;
    Fleet::FleetState &m_fleetState;
    Placement::VersionDeadlines &m_versions;
    Transfer::TransferManager &m_transfer;
    Telemetry::Metrics &m_metrics;
    Telemetry::EventLog &m_log;
};

/// A version that the engine should load.
struct TargetVersion
{
    std::string m_model;
    std::uint64_t m_version = 0;
    std::uint64_t m_fence = 0;

    bool operator==(const TargetVersion &) const = default;
};

/**
 * Processes one target version at a time, in consecutive steps.
 *
 * A version that is superseded before its download has begun is abandoned immediately. If the download has begun, the version is finished first
 * (shouldFinishTarget()). A version that is completely staged is loaded at its scheduled time while the newer one is downloaded (isReadyToLoad()).
 *
 * The engine loads the content of its staging area without checking it. A chunk that is missing, corrupt or of another version would be served to callers as a
 * model that nobody published. Therefore every chunk is read back and compared with its digest shortly before the load order, while the engine still serves.
 *
 * An engine may accept an order long after its response was lost. Until such an order is settled, the staging area must hold its version: the order is repeated
 * under the same precondition, so that the engine accepts one of the two and rejects the other, and only then is a newer version staged. An agent that has
 * restarted keeps a stage that its predecessor may have ordered (InheritedOrder).
 * All methods must be called on the event loop's thread.
 */
class WeightsManager
{
public:
    WeightsManager(WeightsManagerParts parts, WeightsManagerSettings settings, EngineControl engine);
    ~WeightsManager();

    WeightsManager(const WeightsManager &) = delete;
    WeightsManager &operator=(const WeightsManager &) = delete;

    /// Sets the callback for each status of the engine. @p isUnavailable: the engine should get no new requests. @p isChange: the status differs from the
    /// previous one in more than its load.
    void onStatus(std::function<void(const EngineStatus &status, bool isUnavailable, bool isChange)> callback);
    void start();
    /// Sets the other agents of the service.
    void setAgents(std::vector<Gossip::Member> agents, const Gossip::Member &self);
    /// Checks for a new target immediately. Called when the known state of the fleet has changed.
    void onFleetStateChanged();

    /// Returns whether the engine has loaded its target or has no target.
    bool isSettled() const
    {
        return m_step == Step::Idle;
    }
    /// Returns whether nearly all slots of the engine are occupied, according to its last status.
    bool isNearlyFull() const;

private:
    enum class Step {
        Idle, ///< The engine has loaded the target, or there is no target.
        FetchManifest, ///< Waits for the manifest.
        ReadStage, ///< Reads the staged chunks, to reuse them and to serve them to peers.
        AwaitTransfer, ///< Waits for chunks to be downloaded.
        StageChunks, ///< Writes chunks to the staging area.
        AwaitLoadTime, ///< All chunks are staged; waits for the scheduled load time.
        Verify, ///< Reads the staged chunks back and verifies them.
        Drain, ///< Entries have been asked to send no new requests.
        SendOrder, ///< The load order has been sent.
        Loading, ///< The engine has accepted the load order, and loads once its running requests have ended.
    };

    /// When a staged chunk was written or read back.
    struct Verification
    {
        Core::Instant m_at;
        Core::Duration m_suspendedBefore{0}; ///< Core::timeSuspended() at that moment.
    };

    void pollStatus();
    Core::Duration statusPollInterval() const;
    void handleStatus(Core::Result<EngineStatus> status);
    void handleOtherEngine();
    void settleOrder();
    void inheritOrder();
    void preserveManifest();
    std::optional<TargetVersion> wantedTarget() const;
    bool hasLoadedTarget() const;
    const Fleet::Service *ownService() const;
    void beginTarget(const TargetVersion &target);
    bool isReadyToLoad() const;
    bool shouldFinishTarget() const;
    std::uint32_t heldChunkCount() const;
    void prefetch(const TargetVersion &target);
    void fetchNextManifest(const TargetVersion &target);
    void handleNextManifest(const TargetVersion &target, const Core::Result<Weights::Manifest> &manifest);
    void advance();
    void fetchManifest();
    void handleManifest(std::uint64_t run, Core::Result<Weights::Manifest> manifest);
    Control::Deployment makeDeployment(const TargetVersion &target, const Weights::Manifest &manifest) const;
    void updateTransferTargets();
    void restartFromStage();
    void listStagedChunks();
    void readStagedChunks(std::uint64_t run, std::vector<Weights::ChunkIndex> chunks);
    void awaitTransfer();
    bool isStageInherited() const;
    bool isStageHeldByStrayOrder() const;
    /// Returns whether an order now would let the engine accept a stray order of another version right after it.
    bool isFollowedByStrayOrder() const;
    void compareStageWithLoadedVersion();
    /// Rules out an order for an earlier start of the engine if the stage that was inherited is not complete, as nothing is ordered before it is.
    void ruleOutStrayOrder();
    bool isManifestCheckDue();
    void checkManifest();
    void stageMissingChunks(std::uint64_t run);
    void stageChunk(std::uint64_t run, Weights::ChunkIndex chunk, const std::string &bytes, const std::function<void()> &done);
    void recordWriteEnd(const std::string &manifestDigest, Weights::ChunkIndex chunk, const Core::Result<void> &result);
    bool mayOtherVersionBeWritten();
    void awaitLoadTime();
    bool hasReachedLoadTime() const;
    void drainEngine();
    bool isEngineUnavailable() const;
    bool isVerifiedWithin(Core::Duration limit) const;
    void recordVerified(Weights::ChunkIndex chunk);
    void verifyStagedChunks(std::uint64_t run);
    void sendLoadOrder(std::uint64_t run);
    void logOrderResult(const LoadOrder &order, Core::Instant sentAt, const Core::Result<void> &result);
    void recordOrderResult(const UnsettledOrder &order, bool wasUnsettled, const Core::Result<void> &result);
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
    std::optional<Weights::Manifest> m_manifest; ///< Manifest of the target.
    std::string m_manifestDigest;
    std::set<std::string> m_transferTargets; ///< Digests of the manifests that the transfer was last told to get.
    std::optional<TargetVersion> m_nextTarget; ///< Newer than the target. Its chunks are downloaded while the target is staged and loaded.
    std::optional<Weights::Manifest> m_nextManifest; ///< Manifest of the next target, once known.
    Core::Instant m_manifestCheckedAt; ///< When the manifest was last received, or a chunk arrived.
    std::uint32_t m_heldAtManifestCheck = 0; ///< Chunks that were held then.
    bool m_isManifestCheckOpen = false;
    Core::Instant m_orderSentAt; ///< When the last load order was sent.
    std::optional<UnsettledOrder> m_unsettledOrder; ///< An order for m_target that the engine may still accept. While set, m_target does not change.
    std::optional<Core::Instant> m_stagedAt; ///< When all chunks of the target were first staged.
    std::map<Weights::ChunkIndex, Verification> m_stagedChunks; ///< Chunks of the target that are in the staging area, with their last verification.
    std::optional<StrayOrder> m_strayOrder; ///< The last one.
    std::optional<InheritedOrder> m_inheritedOrder; ///< Set until it is known that no order of a predecessor is open.
    StageDigests m_inheritedStage; ///< What the staging area held when it was last read; only filled while m_inheritedOrder is set.
    StageWrites m_stageWrites; ///< Writes of all runs that may still take effect.
    Step m_step = Step::Idle;
    std::uint64_t m_run = 0; ///< Incremented for each new target or engine. Callbacks of earlier runs are ignored.
    std::vector<Gossip::Member> m_agents;
    Gossip::Member m_self;
    Http::Timer m_statusTimer;
    bool m_isStatusPending = false;
    bool m_isEngineUnreachable = false; ///< The engine did not respond to the last poll.
    bool m_wasEngineDown = false; ///< The engine has refused a connection since this agent started.
    Telemetry::Counter &m_ordersSent;
    Telemetry::Counter &m_ordersUnanswered;
    Telemetry::Counter &m_corruptStagedChunks;
    std::shared_ptr<bool> m_isAlive; ///< Set to false by the destructor. Callbacks can outlive the object.
};

}
