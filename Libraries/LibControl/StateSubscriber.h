/// @file Subscription of a process to control state from entries: agents get all state this way, entries while the log is down.
#pragma once

#include "LibControl/StateStore.h"
#include "LibControl/Worker.h"
#include "LibCore/Ring.h"
#include "LibWire/Node.h"

#include <atomic>
#include <map>
#include <set>

namespace Control {

struct StateSubscriberSettings
{
    std::size_t m_feedCount = 2; ///< Number of entries subscribed to at the same time.
    Core::Duration m_retryDelay{500}; ///< Time during which an entry that failed is avoided.
    Core::Duration m_checkInterval{200}; ///< Longest time between two checks of the selected entries.
};

/**
 * Keeps subscriptions to several entries and applies what they send, on its own thread.
 *
 * An entry can fail, or its connection can become permanently silent. The heartbeat of the connection then ends the stream,
 * and another entry is selected. With two feeds, changes are not delayed while a failure is being detected.
 */
class StateSubscriber
{
public:
    StateSubscriber(Wire::Node &node,
                    StateStore &store,
                    Protocol::Member self,
                    std::vector<Core::Address> seeds,
                    Telemetry::Metrics &metrics,
                    StateSubscriberSettings settings = {});
    ~StateSubscriber();

    void start();
    /// Must be called before the node is stopped.
    void stop();

    /// Announces changed data of the process, for example that it is leaving, to every entry that it is subscribed to.
    void updateSelf(const Protocol::Member &self);
    /// Returns the entries that it is subscribed to.
    std::vector<Core::Address> feeds() const;

private:
    /// A frame or the end of a stream, on its way from the node's thread to the worker.
    struct FeedEvent
    {
        std::uint64_t m_feedId = 0;
        std::string m_frame;
        bool m_hasEnded = false;
    };

    /// Shared with callbacks, which may outlive the subscriber.
    struct Inbox
    {
        explicit Inbox(std::size_t capacity)
            : m_events(capacity)
        {
        }

        Core::Ring<FeedEvent> m_events;
        std::atomic<bool> m_hasOverflowed = false; ///< An event was dropped, so no feed is reliable any more.
    };

    struct Feed
    {
        Core::Address m_address;
        Wire::CallId m_call = 0;
        Offset m_acknowledgedOffset = 0; ///< Last applied offset that was reported to the entry.
        Core::Instant m_acknowledgedAt; ///< Time of that report.
        std::string m_offeredChain; ///< Chain of the state that was last offered to the entry.
    };

    Core::Duration runOnce();
    void announceSelf();
    void processEvents();
    void closeAllFeeds();
    void handleUpdate(std::uint64_t feedId, const std::string &frame);
    bool isAgent() const;
    void offerState(std::uint64_t feedId);
    void closeFeed(std::uint64_t feedId, bool failed);
    void updateFeeds();
    void openFeed(const Core::Address &address);
    void sendAcknowledgements();

    Wire::Node &m_node;
    StateStore &m_store;
    const std::vector<Core::Address> m_seeds;
    const StateSubscriberSettings m_settings;
    Telemetry::Counter &m_feedsLost;
    Telemetry::Counter &m_gaps;
    Telemetry::Counter &m_overruns;
    std::shared_ptr<Inbox> m_inbox;

    mutable std::mutex m_mutex;
    Protocol::Member m_self;
    bool m_selfChanged = false;
    std::map<std::uint64_t, Feed> m_feeds; ///< By feed id; ids are never reused.

    std::uint64_t m_nextFeedId = 1; ///< Used by the worker's thread only, like m_avoidedUntil.
    std::map<Core::Address, Core::Instant> m_avoidedUntil;
    Worker m_worker;
};

}
