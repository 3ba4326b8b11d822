/// @file How a process gets control state from entries: agents always, entries while the log is down.
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
    std::size_t m_feedCount = 2; ///< Entries that it is subscribed to at once.
    Core::Duration m_retryDelay{500}; ///< How long an entry that failed is passed over.
    Core::Duration m_checkInterval{200}; ///< Longest time between two looks at the choice of entries.
};

/**
 * Keeps subscriptions to several entries and applies what they send, on a thread of its own.
 *
 * An entry can die, or its connection can go silent for good; the wire's heartbeat ends the stream then, and another entry
 * is chosen. With two feeds a change is not late while that is noticed.
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
    /// To be called before the node is stopped.
    void stop();

    /// Announces the process anew, for example that it is leaving, at every entry that it is subscribed to.
    void updateSelf(const Protocol::Member &self);
    /// Entries that it is subscribed to.
    std::vector<Core::Address> feeds() const;

private:
    /// What a stream brought, on its way from the node's thread.
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
        std::atomic<bool> m_hasOverflowed = false; ///< Something was refused, so no feed can be relied on any more.
    };

    struct Feed
    {
        Core::Address m_address;
        Wire::CallId m_call = 0;
        Offset m_acknowledgedOffset = 0; ///< Last offset that this entry was told is in force here.
        Core::Instant m_acknowledgedAt; ///< When.
        std::string m_offeredChain; ///< Chain of the state that this entry was offered last.
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
    std::map<std::uint64_t, Feed> m_feeds; ///< By a number that is never used again.

    std::uint64_t m_nextFeedId = 1; ///< Used by the duty's thread only, as is the following.
    std::map<Core::Address, Core::Instant> m_avoidedUntil;
    Worker m_worker;
};

}
