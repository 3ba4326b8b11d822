/// @file Keeps the fleet state up to date from the log and reports when the log is unreachable.
#pragma once

#include "LibCore/Random.h"
#include "LibFollow/ReadEvidence.h"
#include "LibFollow/RecordSource.h"
#include "LibHttp/EventLoop.h"
#include "LibPlacement/VersionDeadlines.h"
#include "LibTelemetry/EventLog.h"
#include "LibTelemetry/Metrics.h"

#include <memory>

namespace Follow {

struct FollowerSettings
{
    bool m_followsEndpoints = true; ///< False for agents, which do not use the endpoint list.
    Core::Duration m_declarationsWaitLimit{25000}; ///< Maximum wait of one read. That a read is dead is found out sooner; see ReadLimits.
    ReadLimits m_readLimits;
    /// Maximum of the random time by which this process asks later than others whether a read has missed something; several times the delay of a heartbeat.
    Core::Duration m_maximumPatience{600};
    Core::Duration m_readCheckInterval{200}; ///< Interval between checks of the read under way; a fraction of the time in which a change must be in force.
    /// Interval between reads of the endpoint list. Together with the network delay it is under half of the time in which a leaving endpoint must be known.
    Core::Duration m_endpointsInterval{900};
    Core::Duration m_initialRetryDelay{150};
    Core::Duration m_maximumRetryDelay{1200};
    Core::Duration m_peerCheckInterval{200}; ///< Interval between checks whether peers may still be relied on; a fraction of the maximum list age.
    /// For this long after an outage, the endpoint of a removed list entry may still be live; live endpoints return to the list within two seconds.
    Core::Duration m_outageGracePeriod{2500};
    /// Interval between checks for endpoints whose list entries have disappeared and not returned. The engine of such an entry may be leaving.
    Core::Duration m_missingCheckInterval{200};

    bool operator==(const FollowerSettings &) const = default;
};

/// Objects that the follower uses. All of them must outlive it.
struct FollowerParts
{
    Http::EventLoop &m_loop;
    Fleet::FleetState &m_fleetState;
    Placement::VersionDeadlines &m_versions;
    Telemetry::Metrics &m_metrics;
    Telemetry::EventLog &m_log;
    Core::Random &m_random;
};

/// Reads declarations and the endpoint list from the log and applies them to the fleet state. Used on the loop's thread.
class Follower
{
public:
    Follower(FollowerParts parts, FollowerSettings settings, RecordSource source);
    ~Follower();

    Follower(const Follower &) = delete;
    Follower &operator=(const Follower &) = delete;

    /// Sets the callback that is called after every read that changed the fleet state.
    void onUpdate(std::function<void(const Fleet::FleetStateUpdate &update)> callback);
    /// Sets the callback that is called after each failed read, so that state can be requested from peers.
    void onUnreachable(std::function<void()> callback);

    /// Sets the callback that is called after every successful read of the endpoint list. @p sentAt: when the read was sent; the list is up to date as of then.
    void onEndpointsRead(std::function<void(Core::Instant sentAt)> callback);
    /// Sets the callback that is called when a read has confirmed the declarations, so that other processes need not ask.
    void onDeclarationsConfirmed(std::function<void()> callback);
    /// Sets the query that is made before each read except the first. While it returns true, peers keep this process up to date and the log is not read.
    void setRelyOnPeersQuery(std::function<bool()> mayRelyOnPeers);
    /**
     * Returns a time if the endpoint list may lack live endpoints because their entries expired, and empty otherwise. While the list is unreachable, this is
     * the current time. Otherwise it is the time when the list became reachable again, or when this process started, if that is recent.
     */
    std::optional<Core::Instant> uncertainSince() const;

    /// Starts reading. Has no effect if already started.
    void start();
    bool isStarted() const
    {
        return m_isStarted;
    }

private:
    /// Progress in one of the two logs.
    struct ReadState
    {
        explicit ReadState(Http::EventLoop &loop)
            : m_timer(loop)
        {
        }

        Http::Timer m_timer;
        Fleet::Offset m_nextOffset = 0; ///< Where the next read begins; 0 if the next read is a full one.
        std::uint32_t m_consecutiveFailures = 0; ///< Failed reads since the last successful one.
        std::optional<Core::Instant> m_recoveredAt; ///< When a read last succeeded after a failed one.
    };

    /// A read of declarations whose answer has not arrived.
    struct OpenRead
    {
        std::uint64_t m_number = 0; ///< Tells it from reads that were given up.
        Fleet::Offset m_from = 0; ///< 0 for a full read.
        Core::Duration m_waitLimit{0};
        Core::Instant m_sentAt;
    };

    void readDeclarations();
    void handleDeclarations(Core::Result<Fleet::Declarations> result, const OpenRead &read);
    void applyDeclarations(const Fleet::Declarations &declarations, const OpenRead &read);
    /// Gives up the read under way if it is dead, and asks whether it has missed something if nothing confirms it.
    void checkOpenRead();
    void drawPatience();
    void scheduleReadCheck();
    ReadEvidence evidence(const OpenRead &read);
    void giveUpRead(const OpenRead &read);
    /// Makes a read that does not wait beside the one under way, to find out whether that one has missed something.
    void probeLog();
    void handleProbe(Core::Result<Fleet::Declarations> result, const OpenRead &read);
    void recordLoss();
    void recordAnswer(Core::Instant sentAt);
    /// Reads the declarations at once if their read is only waiting to be retried, because another read has been answered.
    void hastenDeclarations();
    void logRead(const OpenRead &read, const std::string &outcome, Fleet::Offset end);
    void recordVersions(const Fleet::Declarations &declarations, bool isFirst);
    void readEndpoints();
    void handleEndpoints(Core::Result<Fleet::EndpointChanges> result, Core::Instant sentAt);
    /// Removes endpoints that stay missing. Does nothing while the list is unreachable, because it then cannot show whether they have returned.
    void removeMissingEndpoints();
    void handleFailure(ReadState &state, const Core::Error &error, const char *what);
    void scheduleRead(ReadState &state, Core::Duration delay, void (Follower::*read)());
    bool mayRelyOnPeers(const ReadState &state) const;
    /// Like uncertainSince(), but a recent start of this process does not count.
    std::optional<Core::Instant> outageEnd() const;
    Core::Duration retryDelay(const ReadState &state);
    void notifyUpdate(const Fleet::FleetStateUpdate &update);

    const FollowerParts m_parts;
    const FollowerSettings m_settings;
    std::optional<OpenRead> m_openRead;
    std::uint64_t m_readCount = 0; ///< Of declarations; the number of the newest one.
    bool m_isUnsure = false; ///< The last read of declarations failed or was given up, so the next one does not wait.
    bool m_isProbing = false;
    Core::Instant m_nextProbe; ///< Not before this time.
    Core::Duration m_patience{0}; ///< See FollowerSettings::m_maximumPatience; drawn anew for each read.
    std::optional<Core::Instant> m_lastLossAt; ///< See ReadEvidence.
    std::optional<Core::Instant> m_lastAnsweredCallSentAt; ///< See ReadEvidence.
    std::optional<Core::Instant> m_overdueSince; ///< See ReadEvidence; of the read under way.
    /// Reads in a row that were given up because of a record that the log then did not deliver either. Peers may know what the log no longer has.
    std::uint32_t m_fruitlessReads = 0;
    Fleet::Offset m_knownEnd = 0; ///< End of the declarations according to any read.
    const RecordSource m_source;
    ReadState m_declarationsState;
    ReadState m_endpointsState;
    Http::Timer m_missingCheckTimer;
    Http::Timer m_readCheckTimer;
    bool m_isStarted = false;
    std::function<void(const Fleet::FleetStateUpdate &)> m_onUpdate;
    std::function<void()> m_onUnreachable;
    std::function<void(Core::Instant sentAt)> m_onEndpointsRead;
    std::function<void()> m_onDeclarationsConfirmed;
    std::function<bool()> m_mayRelyOnPeers;
    std::optional<Core::Instant> m_startedAt;
    Telemetry::Counter &m_reads;
    Telemetry::Counter &m_readsFailed;
    Telemetry::Counter &m_readsGivenUp;
    Telemetry::Counter &m_probes;
    std::shared_ptr<bool> m_isAlive; ///< False once the follower is destroyed; reads can outlive it.
};

}
