/// @file The entry's side of distributing control state to agents and other entries.
#pragma once

#include "LibControl/StateStore.h"
#include "LibControl/Worker.h"
#include "LibCore/Ring.h"
#include "LibWire/Node.h"

#include <map>

namespace Control {

/// Status of a subscriber, as far as this entry knows it.
struct SubscriberStatus
{
    Protocol::Member m_member;
    Offset m_applied = 0; ///< Revision in force at the subscriber; 0 if none was reported.
    bool m_isSubscribed = false; ///< Its stream to this entry is open.

    bool operator==(const SubscriberStatus &) const = default;
};

/**
 * Answers control.state, control.applied, control.offer and control.fence.
 *
 * The feed must be constructed before the node is started, and stopped after the node. A subscriber that falls behind is
 * disconnected, and gets a snapshot when it subscribes again.
 */
class StateFeed
{
public:
    StateFeed(Wire::Node &node, StateStore &store, Telemetry::Metrics &metrics);
    ~StateFeed();

    void start();
    void stop();

    /// Returns the status of each instance that is or was subscribed here, by id.
    std::map<std::string, SubscriberStatus> subscriberStatuses() const;

private:
    struct Subscription
    {
        Protocol::Member m_member;
        Wire::Responder m_responder;
        std::string m_chain; ///< Digest of the history that the subscriber has, or is being sent.
        std::string m_membersKey; ///< Key of the members update that was sent last.
        Core::Instant m_membersSentAt; ///< Time when the last members update was sent.
        Core::Instant m_announcedAt; ///< Time when the subscriber was last announced to the store.
        Core::Instant m_aheadSince; ///< Time since which the subscriber has been ahead of this entry; unset if it is not ahead.
    };

    /// An update that is the same for many subscribers, encoded once.
    struct EncodedUpdate
    {
        std::string m_key; ///< Identifies the content; empty if there is none yet.
        std::string m_update;
    };

    struct PendingSubscription
    {
        Protocol::StateRequest m_request;
        Wire::Responder m_responder;
    };

    void onSubscribe(const Wire::IncomingCall &call);
    void onApplied(const Wire::IncomingCall &call);
    void onOffer(const Wire::IncomingCall &call);
    void onFence(const Wire::IncomingCall &call) const;
    Core::Duration runOnce();
    void admitSubscriptions();
    void processOffers();
    bool isAhead(Subscription &subscription, Offset applied, Core::Instant now) const;
    bool sendDueUpdates(Subscription &subscription, Core::Instant now);
    const std::string &encodedStateUpdate(const std::string &chain, const ControlState &state);
    void refreshMembers();
    const EncodedUpdate &membersFor(const Subscription &subscription) const;
    bool deliver(const Subscription &subscription, const std::string &update);
    void recordSubscribed(const Protocol::Member &member, bool isSubscribed);

    StateStore &m_store;
    Telemetry::Counter &m_updatesSent;
    Telemetry::Counter &m_subscribersCut;
    Telemetry::Counter &m_subscribersRefused;
    Core::Ring<PendingSubscription> m_pendingSubscriptions;
    Core::Ring<std::string> m_offers; ///< Encoded states.
    std::vector<Subscription> m_subscriptions; ///< Used by the worker's thread only.
    EncodedUpdate m_stateUpdate; ///< Used by the worker's thread only, like the following members up to m_membersVersion.
    EncodedUpdate m_membersForEntries;
    /// Agents need the entries only. If all members were sent, each agent would get hundreds of kilobytes whenever any instance joins or leaves.
    EncodedUpdate m_membersForAgents;
    std::uint64_t m_membersVersion = 0; ///< Version of the store's members when they were last encoded.
    mutable std::mutex m_subscriberStatusesMutex;
    std::map<std::string, SubscriberStatus> m_subscriberStatuses; ///< By instance; at most MaximumSubscribers.
    Worker m_worker;
};

inline constexpr std::size_t MaximumSubscribers = 8192;

}
