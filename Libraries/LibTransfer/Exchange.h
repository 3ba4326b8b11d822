/// @file Decides, for one version of the weights on one replica, which chunks to request from which peer or the origin. Uses no threads and no sockets; time
/// and randomness are passed in.
#pragma once

#include "LibControl/Model.h"
#include "LibCore/Clock.h"
#include "LibCore/Random.h"
#include "LibTransfer/AnnouncedFetches.h"
#include "LibTransfer/ChunkSelection.h"
#include "LibTransfer/DownloadDecision.h"
#include "LibTransfer/Messages.h"
#include "LibTransfer/Pacer.h"
#include "LibTransfer/RendezvousRanking.h"
#include "LibTransfer/TransferSettings.h"
#include "LibWeights/Manifest.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Transfer {

using RequestId = std::uint64_t;

enum class ActionKind {
    Follow, ///< Open a stream of a peer's holdings.
    Unfollow,
    RequestFromPeer, ///< Request a chunk from a peer.
    RequestFromOrigin, ///< Download a chunk from the origin.
    ProbeOrigin, ///< Open and close a connection to the origin, to find out whether it is reachable again.
    Cancel, ///< Abandon a request. Its end is not reported back.
};

/// An action that the exchange requests from its caller.
struct Action
{
    ActionKind m_kind = ActionKind::Follow;
    Core::Address m_peer; ///< For Follow, Unfollow and RequestFromPeer.
    RequestId m_request = 0; ///< For RequestFromPeer, RequestFromOrigin and Cancel.
    Weights::ChunkIndex m_chunk = 0;
    bool m_forRegion = false; ///< For RequestFromPeer: the first copy for this region.
    std::optional<DownloadDecision> m_download = std::nullopt; ///< For RequestFromOrigin.

    bool operator==(const Action &) const = default;
};

/// Why a request ended without its chunk.
enum class Failure {
    Busy, ///< The peer refused the request for now.
    Unavailable, ///< The peer or the origin was unreachable, or the connection broke during the answer.
    Corrupt, ///< The answer does not match the chunk's digest.
};

/// Which actions a replica takes for a version.
enum class TransferMode {
    MonitorOnly, ///< It only monitors its open requests.
    Full, ///< It takes all actions.
    PeersOnly, ///< It downloads nothing from the origin.
    OwnDownloadsOnly, ///< It downloads from the origin the chunks for which it is the first downloader, and requests nothing from peers.
};

/// Counters of events, for metrics.
struct ExchangeCounts
{
    std::uint64_t m_stalls = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_busy = 0;
    std::uint64_t m_badChunks = 0;
    std::uint64_t m_takeovers = 0; ///< Chunks that a successor downloaded or imported instead of the replica of the first rank.
    std::uint64_t m_deferredDownloads = 0; ///< Chunks that this replica would have downloaded if no other had announced that it was fetching them.

    bool operator==(const ExchangeCounts &) const = default;
};

/**
 * One replica's part in the distribution of one version.
 *
 * For every chunk, rendezvous hashing ranks all replicas as downloaders from the origin, and the replicas of each region as importers into that region. The
 * replica of the first rank acts. A successor acts once all replicas ranked before it are known not to: the stream of their holdings has ended or is silent,
 * they do not participate, or they cannot reach the origin. Thus each chunk is downloaded from the origin about once and crosses each pair of regions once
 * without coordination, and the load is spread over all links.
 *
 * Ranks follow from the list of replicas, which may change during a transfer and differ between replicas. So every replica announces which chunks it is
 * fetching from the origin or from another region, and a replica that becomes the first leaves these chunks to it until it fails, is absent or takes too long.
 */
class Exchange
{
public:
    struct Identity
    {
        std::string m_digest;
        std::string m_instance; ///< Identifier of the own instance.
        std::string m_region;
        std::uint64_t m_seed = 0;
    };

    Exchange(const TransferSettings &settings, Identity identity, const Weights::Manifest &manifest, Core::Instant now);

    /// Sets the replicas of the newest plan, including this one, and the origin budget in copies.
    void setReplicas(const std::vector<Control::PlannedReplica> &replicas, std::uint32_t originCopies);

    /// Records that a chunk is held and verified, regardless of its source. Returns actions that cancel the requests no longer needed.
    std::vector<Action> onChunkHeld(Weights::ChunkIndex chunk, Core::Instant now);
    /// Records that the request delivered its chunk. Must be followed by onChunkHeld().
    void onRequestSucceeded(RequestId request, Core::Instant now);
    void onRequestFailed(RequestId request, Failure failure, Core::Instant now);
    /// Records the result of a ProbeOrigin action.
    void onOriginProbed(bool isReachable, Core::Instant now);
    /// Records the number of bytes received so far for a request.
    void onRequestProgress(RequestId request, std::uint64_t bytes, Core::Instant now);

    /// Applies an update of a peer's holdings.
    void onUpdate(const Core::Address &peer, const HaveUpdate &update, Core::Instant now);
    /// Handles the end of the stream of a peer's holdings.
    void onFollowEnded(const Core::Address &peer, Core::Instant now);

    /// Returns all actions to be performed now.
    std::vector<Action> decide(Pacer &download, Core::Instant now, TransferMode mode = TransferMode::Full);

    /// Returns whether the downloads of all chunks from the origin are due, according to the known rate of the origin's link.
    bool areDownloadsDue(Core::Instant now) const;

    bool isComplete() const
    {
        return m_heldCount == m_manifest.chunkCount();
    }
    std::uint32_t heldCount() const
    {
        return m_heldCount;
    }
    const std::vector<bool> &heldChunks() const
    {
        return m_held;
    }
    /// Returns the chunks that are being downloaded from the origin or requested from another region, to be announced to followers. In increasing order.
    std::vector<std::uint32_t> fetchedChunks() const;
    /// Returns false if several downloads from the origin failed in a row, so that other replicas should try.
    bool canDownloadFromOrigin() const;
    const ExchangeCounts &counts() const
    {
        return m_counts;
    }
    bool hasRequest(RequestId request) const
    {
        return m_requests.contains(request);
    }
    /// Returns the requests that have not ended, to inspect their progress.
    std::vector<RequestId> openRequests() const;

private:
    enum class FollowState {
        NotFollowing,
        Following,
    };

    struct Peer
    {
        Control::PlannedReplica m_replica;
        Candidate m_candidate;
        bool m_isSelf = false;
        bool m_isSameRegion = false; ///< In the region of this replica.
        bool m_isListed = false; ///< In the newest plan.
        bool m_shouldFollow = false; ///< The peer's holdings should be followed.
        FollowState m_followState = FollowState::NotFollowing;
        Core::Instant m_nextFollowAt; ///< The peer is not followed again before this time.
        std::uint32_t m_followFailures = 0;
        std::optional<Core::Instant> m_absentSince; ///< Since when the peer is known not to act; empty if it acts.
        Core::Instant m_lastHeardAt;
        std::optional<Core::Instant> m_firstFollowedAt; ///< Empty until the peer is followed for the first time.
        bool m_hasAnswered = false; ///< An update was received since the peer was first followed.
        bool m_canDownloadFromOrigin = true;
        bool m_sentCorruptChunk = false; ///< The peer is permanently excluded.
        Core::Instant m_excludedUntil; ///< The peer is temporarily excluded, because its requests stalled repeatedly.
        std::uint32_t m_consecutiveFailures = 0; ///< Requests that stalled or broke off since the last valid chunk.
        Core::Instant m_usableAfter;
        std::uint32_t m_openRequests = 0;
        std::uint32_t m_queuedUploads = 0;
        std::uint32_t m_heldCount = 0;
        std::vector<bool> m_holds; ///< One element for each chunk.
        AnnouncedFetches m_fetches;
    };

    struct Chunk
    {
        std::vector<PeerIndex> m_downloaders; ///< Highest rank first; only the first few ranks.
        std::vector<PeerIndex> m_importers; ///< Replicas of the own region in the same order. The first downloader is the first importer of its region.
        std::uint32_t m_openRequests = 0;
        std::uint32_t m_downloadRank = 0; ///< Rank of this replica among the downloaders.
        bool m_isDownloader = false; ///< This replica is in m_downloaders.
        bool m_isImporter = false; ///< This replica is in m_importers.
        bool m_isLateDownload = false; ///< See markLateChunks().
        bool m_isLateImport = false;
        bool m_isDeferred = false; ///< Its download was due here and left to a replica that had announced it.
    };

    struct Request
    {
        Weights::ChunkIndex m_chunk = 0;
        std::optional<PeerIndex> m_peer; ///< Empty for the origin.
        Core::Instant m_sentAt;
        Core::Instant m_progressAt;
        std::uint64_t m_bytes = 0;
        bool m_isHedged = false;
    };

    void rankChunks();
    void selectFollowedPeers();
    /// Follows the replicas ranked before this one, if they are few, or @p successors replicas ranked after it if it is the first.
    void followRanked(const std::vector<PeerIndex> &ranked, std::size_t successors);
    void markForFollowing(PeerIndex peer);
    std::optional<PeerIndex> findPeer(const Core::Address &address) const;
    void markAbsent(Peer &peer, Core::Instant now);
    bool isAbsent(const Peer &peer, Core::Instant now) const;
    bool isFirstAvailable(const std::vector<PeerIndex> &ranked, bool needsOrigin, Core::Instant now) const;
    /// Returns whether this replica may download in place of replicas ranked before it that report that they cannot.
    bool mayReplaceDownloaders(Core::Instant now) const;
    bool mayImport(Weights::ChunkIndex index, Core::Instant now) const;
    /// Marks the chunks that their first downloader or importer delivers later than all others, so that this replica should act in its place.
    void markLateChunks(Core::Instant now);
    bool isScarce(Weights::ChunkIndex index, bool onlySameRegion, Core::Instant now) const;
    /// Returns whether only few of the due chunks are scarce. If so, the cause is slow replicas and not a slow origin.
    bool areFewChunksScarce(bool onlySameRegion, Core::Instant now) const;
    std::optional<std::size_t> ownRank(const std::vector<PeerIndex> &ranked) const;
    bool isRequestedFromOrigin(Weights::ChunkIndex index) const;
    /// Returns the rule by which this replica may download the chunk, if any.
    std::optional<DownloadReason> downloadReason(Weights::ChunkIndex index, Core::Instant now) const;
    std::optional<DownloadReason> downloadReasonInSwarm(Weights::ChunkIndex index, Core::Instant now) const;
    DownloadDecision describeDownload(Weights::ChunkIndex index, DownloadReason reason, Core::Instant now) const;
    bool isHeldByPeer(Weights::ChunkIndex index, Core::Instant now) const;
    /// Returns whether a peer that acts has announced that it is fetching the chunk.
    bool isFetchedByPeer(Weights::ChunkIndex index, bool onlySameRegion, Core::Instant now) const;
    /// Returns whether the schedule has reached the chunk, the replicas that could have it have answered, and none of them holds it.
    bool isDownloadTurn(Weights::ChunkIndex index, Core::Instant now) const;
    void recordFailure(Peer &peer, Core::Instant now);
    void recordOriginFailure(Failure failure, Core::Instant now);
    void recordOriginReachable(Core::Instant now);
    static bool isExcluded(const Peer &peer, Core::Instant now);
    bool haveNeighboursAnswered(Core::Instant now) const;
    /// Returns whether the followed replicas among the ranked ones have told what they hold and fetch, or will not.
    bool haveRankedAnswered(const std::vector<PeerIndex> &ranked, Core::Instant now) const;
    bool isAnswerAwaited(const Peer &peer, Core::Instant now) const;
    void followSources(Weights::ChunkIndex index, Core::Instant now);
    /// Returns the time at which the download of the chunk is due in the given round of downloads.
    Core::Instant downloadDueAt(Weights::ChunkIndex index, std::uint32_t round) const;
    bool isDownloadDue(Weights::ChunkIndex index, std::uint32_t round, Core::Instant now) const;
    /// Returns whether the first download of the chunk should have ended, according to the known rate of the origin's link.
    bool isDownloadExpected(Weights::ChunkIndex index, Core::Instant now) const;
    std::vector<SourcePeer> sourcePeers(Core::Instant now) const;
    void decideFollows(std::vector<Action> &actions, Core::Instant now);
    bool isStalled(const Request &request, Core::Instant now) const;
    void decideStalls(std::vector<Action> &actions, Core::Instant now);
    void decideDownloads(std::vector<Action> &actions, Pacer &download, Core::Instant now);
    void recordDeferral(Weights::ChunkIndex index, Core::Instant now);
    /// Returns the rule by which the chunk should be requested from the origin now, if any.
    std::optional<DownloadReason> wantedDownload(Weights::ChunkIndex index, Core::Instant now) const;
    void probeOrigin(std::vector<Action> &actions, Core::Instant now);
    /// Restarts the schedule of downloads with the chunks that no known replica holds.
    void restartDownloadSchedule(Core::Instant now);
    void decideRequests(std::vector<Action> &actions, Pacer &download, Core::Instant now);
    void decideHedges(std::vector<Action> &actions, Pacer &download, Core::Instant now);
    Action openPeerRequest(Weights::ChunkIndex chunk, PeerIndex peer, Core::Instant now);
    void closeRequest(std::map<RequestId, Request>::iterator request);

    const TransferSettings m_settings;
    const Identity m_identity;
    const Weights::Manifest m_manifest;
    const Core::Instant m_startedAt;
    Core::Random m_random;
    std::chrono::duration<double, std::milli> m_originChunkTime{0}; ///< Time that one chunk takes on the origin's link.
    Core::Duration m_probeDelay{0};
    std::uint32_t m_originCopies = 1;
    Core::Instant m_downloadScheduleStart; ///< Time at which the download of the chunk at the first position is due.
    std::vector<std::uint32_t> m_downloadPositions; ///< Positions of the chunks in the schedule of downloads. Missing chunks have different positions.
    std::vector<Peer> m_peers; ///< Indices never change. Peers that left the plan are kept but not listed.
    std::optional<PeerIndex> m_self;
    std::optional<PeerIndex> m_treeParent; ///< For the tree strategy only; empty at the root.
    std::vector<std::vector<Candidate>> m_regions; ///< Listed peers of each region.
    std::vector<Chunk> m_chunks;
    std::vector<bool> m_held; ///< m_heldCount elements are true.
    std::uint32_t m_heldCount = 0;
    std::map<RequestId, Request> m_requests;
    RequestId m_nextRequest = 1;
    std::uint32_t m_peerRequests = 0; ///< Open requests to peers.
    std::uint32_t m_originRequests = 0; ///< Open requests to the origin.
    std::uint32_t m_consecutiveOriginFailures = 0; ///< Failed downloads and probes since the last successful one.
    std::optional<Core::Instant> m_originUnreachableSince; ///< Set while the last download or probe failed without an answer. Only probes are sent meanwhile.
    std::optional<Core::Instant> m_originProbeSentAt; ///< Set while a probe is open.
    bool m_wasLastDownloadCorrupt = false;
    /// First successful download, or probe before it, after so many failures that other replicas took over; empty without such failures.
    std::optional<Core::Instant> m_originRecoveredAt;
    bool m_isOriginRecovering = false; ///< A probe succeeded after so many failures, and no download since.
    Core::Instant m_nextOriginRequestAt; ///< No download from the origin starts before this time.
    Core::Instant m_nextSourceCheck; ///< When the followed sources of missing chunks are next reviewed.
    double m_smoothedRequestSeconds = 0; ///< Smoothed time from a request to a peer until the chunk is complete, in seconds; 0 while unknown.
    ExchangeCounts m_counts;
};

}
