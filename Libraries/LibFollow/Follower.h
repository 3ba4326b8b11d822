/// @file Keeps the beliefs up to date from the log, and says when the log is out of reach.
#pragma once

#include "LibCore/Random.h"
#include "LibFollow/RecordSource.h"
#include "LibHttp/EventLoop.h"
#include "LibPlacement/VersionDeadlines.h"
#include "LibTelemetry/EventLog.h"
#include "LibTelemetry/Metrics.h"

#include <memory>

namespace Follow {

struct FollowerSettings
{
    bool m_followsEndpoints = true; ///< Agents have no use for the list of endpoints.
    Core::Duration m_declarationsWaitLimit{12000}; ///< A waiting read that went silent is noticed by then at the latest; peers tell of news sooner.
    Core::Duration m_endpointsInterval{900}; ///< With the answer's way under half of the time in which a leaving endpoint must be known.
    Core::Duration m_initialRetryDelay{150};
    Core::Duration m_maximumRetryDelay{1200};
    Core::Duration m_peerCheckInterval{200}; ///< Between looks whether this process still may rest: a fraction of the age at which it may not.
    Core::Duration m_outageGracePeriod{
        2500}; ///< After an outage, for which entries that vanish may only have lapsed; live endpoints are back within two seconds.
    Core::Duration m_missingCheckInterval{200}; ///< Between looks for entries that have not come back: an engine behind one may be leaving.

    bool operator==(const FollowerSettings &) const = default;
};

/// What the follower works with. Everything outlives it.
struct FollowerParts
{
    Http::EventLoop &m_loop;
    Fleet::FleetState &m_fleetState;
    Placement::VersionDeadlines &m_versions;
    Telemetry::Metrics &m_metrics;
    Telemetry::EventLog &m_log;
    Core::Random &m_random;
};

/// Used on the loop's thread.
class Follower
{
public:
    Follower(FollowerParts parts, FollowerSettings settings, RecordSource source);
    ~Follower();

    Follower(const Follower &) = delete;
    Follower &operator=(const Follower &) = delete;

    /// Called after every read that changed the beliefs.
    void onUpdate(std::function<void(const Fleet::FleetStateUpdate &update)> callback);
    /// Called with each failed read, so that peers can be asked.
    void onUnreachable(std::function<void()> callback);

    /// Called after every read of the list of endpoints that succeeded. @p asked: when it was sent, as of which the list is known.
    void onEndpointsRead(std::function<void(Core::Instant asked)> callback);
    /// Asked before each read but the first: while it says yes, peers keep this process up to date and nothing is read.
    void setRelyOnPeersQuery(std::function<bool()> mayRest);
    /**
     * When the list came within reach again, or was first read, if that is so short ago that entries may have lapsed from it though their endpoints
     * live. Now, while it is out of reach.
     */
    std::optional<Core::Instant> uncertainSince() const;

    /// Begins to read. Without effect once begun.
    void start();
    bool isStarted() const
    {
        return m_isStarted;
    }

private:
    /// One of the two logs that are read.
    struct ReadState
    {
        explicit ReadState(Http::EventLoop &loop)
            : m_timer(loop)
        {
        }

        Http::Timer m_timer;
        Fleet::Offset m_nextOffset = 0; ///< Where the next read begins; 0 before everything was read.
        std::uint32_t m_consecutiveFailures = 0; ///< In a row.
        std::optional<Core::Instant> m_recoveredAt; ///< When a read last succeeded after one that had failed.
    };

    void readDeclarations();
    void handleDeclarations(Core::Result<Fleet::Declarations> result, bool isFirst);
    void recordVersions(const Fleet::Declarations &declarations, bool isFirst);
    void readEndpoints();
    void handleEndpoints(Core::Result<Fleet::EndpointChanges> result, Core::Instant asked);
    /// Lets go of endpoints that stay missing, unless the list is out of reach: whether they are back cannot be seen then.
    void removeMissingEndpoints();
    void handleFailure(ReadState &reading, const Core::Error &error, const char *what);
    void scheduleRead(ReadState &reading, Core::Duration pause, void (Follower::*read)());
    bool mayRelyOnPeers(const ReadState &reading) const;
    /// Like doubtfulSince(), but a process that has only just started is no reason for doubt.
    std::optional<Core::Instant> outageEnd() const;
    Core::Duration retryDelay(const ReadState &reading);
    void notifyUpdate(const Fleet::FleetStateUpdate &update);

    const FollowerParts m_parts;
    const FollowerSettings m_settings;
    const RecordSource m_source;
    ReadState m_declarationsState;
    ReadState m_endpointsState;
    Http::Timer m_missingCheckTimer;
    bool m_isStarted = false;
    std::function<void(const Fleet::FleetStateUpdate &)> m_onUpdate;
    std::function<void()> m_onUnreachable;
    std::function<void(Core::Instant asked)> m_onEndpointsRead;
    std::function<bool()> m_mayRelyOnPeers;
    std::optional<Core::Instant> m_startedAt;
    Telemetry::Counter &m_reads;
    Telemetry::Counter &m_readsFailed;
    std::shared_ptr<bool> m_isAlive; ///< False once the follower is gone; reads can outlive it.
};

}
