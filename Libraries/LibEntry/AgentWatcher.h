/// @file Worker that subscribes to agents' reports and passes them to the router.
#pragma once

#include "LibControl/StateStore.h"
#include "LibControl/Worker.h"
#include "LibCore/Ring.h"
#include "LibEntry/VersionTracker.h"
#include "LibEntry/WatchSet.h"
#include "LibWire/Node.h"

#include <map>
#include <mutex>

namespace Entry {

struct AgentWatcherParts
{
    Wire::Node *m_node = nullptr;
    Control::StateStore *m_store = nullptr;
    Router *m_router = nullptr;
    VersionTracker *m_versions = nullptr;
    Telemetry::Metrics *m_metrics = nullptr;
    std::string m_entryName; ///< Id of this entry.
    std::size_t m_watchedPerGroup = 24;
};

/// Keeps a stream of reports open from each agent of the watch set, and reopens it when it ends.
class AgentWatcher
{
public:
    explicit AgentWatcher(AgentWatcherParts parts);
    ~AgentWatcher();

    void start();
    /// Must be called before the node is stopped.
    void stop();
    /// Updates the watch set soon. To be called when state or members have changed.
    void wake();

    /// Returns the newest report of each watched agent, by instance.
    std::map<std::string, Protocol::AgentReport> reports() const;

private:
    struct ReceivedFrame
    {
        std::uint64_t m_stream = 0;
        std::string m_frame;
    };

    /// Shared with callbacks, which may outlive this object.
    struct Inbox
    {
        Inbox(std::size_t frames, std::size_t ends)
            : m_frames(frames)
            , m_ends(ends)
        {
        }

        Core::Ring<ReceivedFrame> m_frames;
        Core::Ring<std::uint64_t> m_ends; ///< Separate from the frames, so that no end is dropped when m_frames is full.
    };

    struct Stream
    {
        std::string m_instance;
        Core::Address m_address;
        Wire::CallId m_call = 0;
    };

    Core::Duration poll();
    void processInbox();
    void onStreamEnd(std::uint64_t streamId);
    void onFrame(std::uint64_t streamId, const std::string &frame);
    Protocol::AgentReport lastReport(const std::string &instance) const;
    void updateWatchSet();
    void reconcile(const WatchSet &wanted);
    void openStream(const Protocol::Member &member);
    std::vector<std::string> instancesServingEarlierVersions() const;

    const AgentWatcherParts m_parts;
    Telemetry::Counter &m_reportsReceived;
    Telemetry::Counter &m_loadsIgnored;
    Telemetry::Counter &m_streamsLost;
    Telemetry::Counter &m_reportsDropped;
    std::shared_ptr<Inbox> m_inbox;
    std::map<std::uint64_t, Stream> m_streams; ///< By a number that is never reused. This member and the next five are used by the worker's thread only.
    std::uint64_t m_nextStream = 1;
    std::map<std::string, Core::Instant> m_retryAt; ///< Earliest time to reopen a stream that ended, by instance.
    Control::Offset m_lastApplied = 0;
    std::uint64_t m_lastMembersVersion = 0;
    Core::Instant m_nextUpdate;
    mutable std::mutex m_reportsMutex;
    std::map<std::string, Protocol::AgentReport> m_reports; ///< Newest reports of the watched agents, by instance.
    Control::Worker m_worker;
};

}
