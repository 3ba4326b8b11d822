/// @file Decides, for one version of the weights on one replica, what to ask of whom. No threads, no sockets; time and randomness are passed in.
#pragma once

#include "LibControl/Model.h"
#include "LibCore/Clock.h"
#include "LibCore/Random.h"
#include "LibTransfer/ChunkSelection.h"
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
    RequestFromPeer, ///< Ask a peer for a chunk.
    RequestFromOrigin, ///< Draw a chunk from the origin.
    Cancel, ///< Give up a request; nothing of it is reported back.
};

/// What the exchange wants done.
struct Action
{
    ActionKind m_kind = ActionKind::Follow;
    Core::Address m_peer; ///< For Follow, Unfollow and AskPeer.
    RequestId m_request = 0; ///< For AskPeer, AskOrigin and Cancel.
    Weights::ChunkIndex m_chunk = 0;
    bool m_forRegion = false; ///< For AskPeer: the first copy for this region.

    bool operator==(const Action &) const = default;
};

/// How a request ended without its chunk.
enum class Failure {
    Busy, ///< The peer refused for now.
    Unavailable, ///< The peer or the origin could not be reached, or the answer broke off.
    Corrupt, ///< The answer does not match the chunk's digest.
};

/// How much of its part a replica does.
enum class TransferMode {
    MonitorOnly, ///< It only watches its requests.
    Full,
    OwnDownloadsOnly, ///< It draws from the origin what it is the first to draw, and asks nothing of peers.
};

/// Counted events, for metrics.
struct ExchangeCounts
{
    std::uint64_t m_stalls = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_busy = 0;
    std::uint64_t m_badChunks = 0;
    std::uint64_t m_takeovers = 0; ///< Chunks that a successor drew or imported in place of the first in rank.

    bool operator==(const ExchangeCounts &) const = default;
};

/**
 * One replica's part in a burst of one version.
 *
 * For every chunk rendezvous hashing ranks all replicas as drawers from the origin, and the replicas of each region as importers
 * into it. The first in rank acts; a successor acts once everybody before it is known not to: the stream of its holdings ended or
 * fell silent, it does not take part, or it cannot reach the origin. So each chunk leaves the origin about once and crosses a pair
 * of regions once, with nothing to agree on, and the work is spread over all links.
 */
class Exchange
{
public:
    struct Identity
    {
        std::string m_digest;
        std::string m_instance; ///< The own one.
        std::string m_region;
        std::uint64_t m_seed = 0;
    };

    Exchange(const TransferSettings &settings, Identity identity, const Weights::Manifest &manifest, Core::Instant now);

    /// The replicas of the newest plan, the own one included, and the origin budget in copies.
    void setReplicas(const std::vector<Control::PlannedReplica> &replicas, std::uint32_t originCopies);

    /// A chunk is held and verified, from wherever it came. Returns what that makes superfluous.
    std::vector<Action> onChunkHeld(Weights::ChunkIndex chunk, Core::Instant now);
    /// The request brought its chunk; chunkHeld() must follow.
    void onRequestSucceeded(RequestId request, Core::Instant now);
    void onRequestFailed(RequestId request, Failure failure, Core::Instant now);
    /// Bytes of the answer so far.
    void onRequestProgress(RequestId request, std::uint64_t bytes, Core::Instant now);

    void onUpdate(const Core::Address &peer, const HaveUpdate &update, Core::Instant now);
    void onFollowEnded(const Core::Address &peer, Core::Instant now);

    /// Everything that is to be done now.
    std::vector<Action> decide(Pacer &download, Core::Instant now, TransferMode effort = TransferMode::Full);

    /// Every chunk's turn on the origin's link has come, by the rate that is known of it.
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
    /// False if several draws in a row failed, so that others should try.
    bool canDownloadFromOrigin() const;
    const ExchangeCounts &counts() const
    {
        return m_counts;
    }
    bool hasRequest(RequestId request) const
    {
        return m_requests.contains(request);
    }
    /// Requests that have not ended, for a look at their progress.
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
        bool m_isSameRegion = false; ///< Of the own region.
        bool m_isListed = false; ///< In the newest plan.
        bool m_shouldFollow = false; ///< To be followed.
        FollowState m_followState = FollowState::NotFollowing;
        Core::Instant m_nextFollowAt; ///< No new attempt before.
        std::uint32_t m_followFailures = 0;
        std::optional<Core::Instant> m_absentSince; ///< Known not to do its part since then.
        Core::Instant m_lastHeardAt;
        bool m_hasAnswered = false; ///< An update has come since it was first followed.
        bool m_canDownloadFromOrigin = true;
        bool m_sentCorruptChunk = false; ///< Set aside for good.
        Core::Instant m_excludedUntil; ///< Set aside for a while, because it held requests up again and again.
        std::uint32_t m_consecutiveFailures = 0; ///< Requests that stalled or broke off since the last good chunk.
        Core::Instant m_usableAfter;
        std::uint32_t m_openRequests = 0;
        std::uint32_t m_queuedUploads = 0;
        std::uint32_t m_heldCount = 0;
        std::vector<bool> m_holds; ///< One element for each chunk.
    };

    struct Chunk
    {
        std::vector<PeerIndex> m_downloaders; ///< First in rank first; only the first few.
        std::vector<PeerIndex> m_importers; ///< Of the own region, in the same order; the first drawer is the first importer of its region.
        std::uint32_t m_openRequests = 0;
        std::uint32_t m_downloadRank = 0; ///< Own rank as a drawer.
        bool m_isDownloader = false; ///< The own replica is in m_drawers.
        bool m_isImporter = false; ///< The own replica is in m_importers.
        bool m_isLateDownload = false; ///< See noteLateChunks().
        bool m_isLateImport = false;
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
    void markForFollowing(PeerIndex peer);
    std::optional<PeerIndex> findPeer(const Core::Address &address) const;
    void markAbsent(Peer &peer, Core::Instant now);
    bool isAbsent(const Peer &peer, Core::Instant now) const;
    bool isFirstAvailable(const std::vector<PeerIndex> &ranked, bool needsOrigin, Core::Instant now) const;
    /// Whether this replica may draw what others before it say they cannot draw.
    bool mayReplaceDownloaders(Core::Instant now) const;
    bool mayImport(const Chunk &chunk, Core::Instant now) const;
    /// Notes the chunks whose first drawer or importer lags behind all others, so that this replica should do its part.
    void markLateChunks(Core::Instant now);
    bool isScarce(Weights::ChunkIndex index, bool onlyNear, Core::Instant now) const;
    /// Whether few of the chunks that are due are scarce: then those few have slow replicas in common, not a slow origin.
    bool areFewChunksScarce(bool onlyNear, Core::Instant now) const;
    std::optional<std::size_t> ownRank(const std::vector<PeerIndex> &ranked) const;
    bool isRequestedFromOrigin(Weights::ChunkIndex index) const;
    bool mayDownload(Weights::ChunkIndex index, Core::Instant now) const;
    bool isHeldByPeer(Weights::ChunkIndex index, Core::Instant now) const;
    void recordFailure(Peer &peer, Core::Instant now);
    static bool isExcluded(const Peer &peer, Core::Instant now);
    bool haveNeighboursAnswered(Core::Instant now) const;
    void followSources(Weights::ChunkIndex index, Core::Instant now);
    bool isDownloadDue(Weights::ChunkIndex index, std::uint32_t round, Core::Instant now) const;
    std::vector<SourcePeer> sourcePeers(Core::Instant now) const;
    void decideFollows(std::vector<Action> &actions, Core::Instant now);
    bool isStalled(const Request &request, Core::Instant now) const;
    void decideStalls(std::vector<Action> &actions, Core::Instant now);
    void decideDownloads(std::vector<Action> &actions, Pacer &download, Core::Instant now);
    void decideRequests(std::vector<Action> &actions, Pacer &download, Core::Instant now);
    void decideHedges(std::vector<Action> &actions, Pacer &download, Core::Instant now);
    Action openPeerRequest(Weights::ChunkIndex chunk, PeerIndex peer, Core::Instant now);
    void closeRequest(std::map<RequestId, Request>::iterator request);

    const TransferSettings m_settings;
    const Identity m_identity;
    const Weights::Manifest m_manifest;
    const Core::Instant m_startedAt;
    Core::Random m_random;
    Core::Duration m_originChunkTime{0}; ///< Time that one chunk takes on the origin's link.
    Core::Duration m_probeDelay{0};
    std::uint32_t m_originCopies = 1;
    std::vector<Peer> m_peers; ///< Positions never change; peers that left the plan stay, unlisted.
    std::optional<PeerIndex> m_self;
    std::optional<PeerIndex> m_treeParent; ///< For the tree only; empty at its root.
    std::vector<std::vector<Candidate>> m_regions; ///< Listed peers of each region.
    std::vector<Chunk> m_chunks;
    std::vector<bool> m_held; ///< m_heldCount elements are true.
    std::uint32_t m_heldCount = 0;
    std::map<RequestId, Request> m_requests;
    RequestId m_nextRequest = 1;
    std::uint32_t m_peerRequests = 0; ///< Open requests to peers.
    std::uint32_t m_originRequests = 0; ///< Open requests to the origin.
    std::uint32_t m_consecutiveOriginFailures = 0; ///< In a row.
    std::optional<Core::Instant> m_originRecoveredAt; ///< First success after failures that made others try; empty if there were none.
    Core::Instant m_nextOriginRequestAt; ///< No draw before.
    Core::Instant m_nextSourceCheck; ///< When to look again at whom to follow for chunks that are missing.
    double m_smoothedRequestSeconds = 0; ///< Smoothed time from asking a peer to the whole chunk; 0 while unknown.
    ExchangeCounts m_counts;
};

}
