/// @file Implementation of the state feed.

#include "LibControl/StateFeed.h"
#include "LibWire/Pack.h"

namespace Control {

namespace {

constexpr std::size_t QueueCapacity = 4096;
/// Shortest time between two members updates. Members change in bursts when many instances join or leave, and each update contains all of them.
constexpr Core::Duration MembersInterval{200};
constexpr Core::Duration IdleInterval{500};
constexpr std::size_t OfferCapacity = 4;
/// Time that a subscriber must be ahead before the entry asks for its state. An entry that reads the log is often briefly behind
/// a subscriber that received a record elsewhere.
constexpr Core::Duration AheadTimeout{2000};
/// Interval at which a subscriber is announced to the store. Its open stream shows that it is live, even if the instance list does not.
constexpr Core::Duration AnnounceInterval{5000};

}

StateFeed::StateFeed(Wire::Node &node, StateStore &store, Telemetry::Metrics &metrics)
    : m_store(store)
    , m_updatesSent(metrics.counter("control_updates_sent_total"))
    , m_subscribersCut(metrics.counter("control_subscribers_cut_total"))
    , m_subscribersRefused(metrics.counter("control_subscribers_refused_total"))
    , m_pendingSubscriptions(QueueCapacity)
    , m_offers(OfferCapacity)
{
    node.handle("control.state", [this](const Wire::IncomingCall &call) { onSubscribe(call); });
    node.handle("control.applied", [this](const Wire::IncomingCall &call) { onApplied(call); });
    node.handle("control.offer", [this](const Wire::IncomingCall &call) { onOffer(call); });
    node.handle("control.fence", [this](const Wire::IncomingCall &call) { onFence(call); });
    store.onChange([this] { m_worker.wake(); });
}

StateFeed::~StateFeed()
{
    stop();
}

void StateFeed::start()
{
    m_worker.start([this] { return runOnce(); });
}

void StateFeed::stop()
{
    m_worker.stop();
}

std::map<std::string, SubscriberStatus> StateFeed::subscriberStatuses() const
{
    const std::lock_guard<std::mutex> lock(m_subscriberStatusesMutex);
    return m_subscriberStatuses;
}

void StateFeed::onSubscribe(const Wire::IncomingCall &call)
{
    Core::Result<Protocol::StateRequest> request = Wire::unpack<Protocol::StateRequest>(call.m_body, call.m_peer);
    if (!request) {
        call.m_responder.fail(request.error());
        return;
    }
    if (!m_pendingSubscriptions.tryPush(PendingSubscription{std::move(request.value()), call.m_responder})) {
        m_subscribersRefused.add();
        call.m_responder.fail(Core::makeError(Core::ErrorCode::Overloaded, "subscribe to state", "", "too many subscribers are waiting"));
        return;
    }
    m_worker.wake();
}

void StateFeed::onApplied(const Wire::IncomingCall &call)
{
    const Core::Result<Protocol::AppliedNotice> notice = Wire::unpack<Protocol::AppliedNotice>(call.m_body, call.m_peer);
    if (!notice) {
        call.m_responder.fail(notice.error());
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(m_subscriberStatusesMutex);
        const std::map<std::string, SubscriberStatus>::iterator found = m_subscriberStatuses.find(notice.value().m_instance);
        const bool isCurrent = found != m_subscriberStatuses.end() && found->second.m_member.m_incarnation == notice.value().m_incarnation;
        if (isCurrent) {
            found->second.m_applied = std::max(found->second.m_applied, notice.value().m_appliedOffset);
        }
    }
    call.m_responder.reply("");
}

void StateFeed::onOffer(const Wire::IncomingCall &call)
{
    Core::Result<Protocol::StateOffer> offer = Wire::unpack<Protocol::StateOffer>(call.m_body, call.m_peer);
    if (!offer) {
        call.m_responder.fail(offer.error());
        return;
    }
    if (!m_offers.tryPush(std::move(offer.value().m_snapshot))) {
        call.m_responder.fail(Core::makeError(Core::ErrorCode::Overloaded, "offer state", "", "other offers are waiting"));
        return;
    }
    m_worker.wake();
    call.m_responder.reply("");
}

void StateFeed::processOffers()
{
    while (std::optional<std::string> encoded = m_offers.pop(Core::Duration(0))) {
        Core::Result<ControlState> state = decodeState(*encoded, "");
        if (state) {
            m_store.offer(std::move(state.value()));
        }
    }
}

/// Returns whether the subscriber has been ahead of this entry for so long that the entry should ask for its state.
bool StateFeed::isAhead(Subscription &subscription, Offset applied, Core::Instant now) const
{
    const std::lock_guard<std::mutex> lock(m_subscriberStatusesMutex);
    const std::map<std::string, SubscriberStatus>::const_iterator found = m_subscriberStatuses.find(subscription.m_member.m_id);
    if (found == m_subscriberStatuses.end() || found->second.m_applied <= applied) {
        subscription.m_aheadSince = Core::Instant();
        return false;
    }
    if (subscription.m_aheadSince == Core::Instant()) {
        subscription.m_aheadSince = now;
    }
    if (now - subscription.m_aheadSince < AheadTimeout) {
        return false;
    }
    subscription.m_aheadSince = now;
    return true;
}

void StateFeed::onFence(const Wire::IncomingCall &call) const
{
    const Core::Result<Protocol::FenceRequest> request = Wire::unpack<Protocol::FenceRequest>(call.m_body, call.m_peer);
    if (!request) {
        call.m_responder.fail(request.error());
        return;
    }
    const std::shared_ptr<const ControlState> state = m_store.current();
    if (state->m_applied == 0) {
        call.m_responder.fail(Core::makeError(Core::ErrorCode::Unavailable, "tell fencing number", "", "no control state yet"));
        return;
    }
    const std::map<std::string, Plan>::const_iterator plan = state->m_plans.find(request.value().m_service);
    const Offset planOffset = plan == state->m_plans.end() ? 0 : plan->second.m_offset;
    call.m_responder.reply(Wire::pack(Protocol::FenceAnswer{planOffset, state->m_applied}));
}

void StateFeed::recordSubscribed(const Protocol::Member &member, bool isSubscribed)
{
    const std::lock_guard<std::mutex> lock(m_subscriberStatusesMutex);
    const std::map<std::string, SubscriberStatus>::iterator found = m_subscriberStatuses.find(member.m_id);
    if (found == m_subscriberStatuses.end()) {
        if (isSubscribed && m_subscriberStatuses.size() < MaximumSubscribers) {
            m_subscriberStatuses[member.m_id] = SubscriberStatus{member, 0, true};
        }
        return;
    }
    if (found->second.m_member.m_incarnation == member.m_incarnation) {
        found->second.m_isSubscribed = isSubscribed;
        found->second.m_member = member;
    } else if (isSubscribed) {
        found->second = SubscriberStatus{member, 0, true};
    }
}

void StateFeed::admitSubscriptions()
{
    while (std::optional<PendingSubscription> pending = m_pendingSubscriptions.pop(Core::Duration(0))) {
        const Protocol::Member &member = pending->m_request.m_subscriber;
        if (m_subscriptions.size() >= MaximumSubscribers) {
            m_subscribersRefused.add();
            pending->m_responder.fail(Core::makeError(Core::ErrorCode::Overloaded, "subscribe to state", "", "too many subscribers"));
            continue;
        }
        m_store.announce(member);
        recordSubscribed(member, true);
        if (pending->m_request.m_appliedOffset > 0) {
            const std::lock_guard<std::mutex> lock(m_subscriberStatusesMutex);
            const std::map<std::string, SubscriberStatus>::iterator found = m_subscriberStatuses.find(member.m_id);
            if (found != m_subscriberStatuses.end()) {
                found->second.m_applied = std::max(found->second.m_applied, pending->m_request.m_appliedOffset);
            }
        }
        m_subscriptions.push_back(
            Subscription{member, pending->m_responder, pending->m_request.m_chain, "", Core::Instant(), Core::Clock::now(), Core::Instant()});
    }
}

const std::string &StateFeed::encodedStateUpdate(const std::string &chain, const ControlState &state)
{
    const std::string key = chain + ">" + state.m_chain;
    if (m_stateUpdate.m_key == key) {
        return m_stateUpdate.m_update;
    }
    Protocol::StateUpdate update;
    std::optional<std::vector<Protocol::LogRecord>> records = chain.empty() ? std::nullopt : m_store.recordsSince(chain);
    if (records) {
        update.m_baseChain = chain;
        update.m_records = std::move(*records);
    } else {
        update.m_snapshotOffset = state.m_applied;
        update.m_snapshot = encodeState(state);
    }
    m_stateUpdate = EncodedUpdate{key, Wire::pack(update)};
    return m_stateUpdate.m_update;
}

void StateFeed::refreshMembers()
{
    const std::uint64_t version = m_store.membersVersion();
    if (version == m_membersVersion) {
        return;
    }
    m_membersVersion = version;
    MembershipSnapshot membership = m_store.membershipSnapshot();
    Protocol::StateUpdate update;
    update.m_membersVersion = version;
    update.m_members = std::move(membership.m_members);
    update.m_endedIncarnations = std::move(membership.m_endedIncarnations);
    m_membersForEntries = EncodedUpdate{std::to_string(version), Wire::pack(update)};

    std::erase_if(update.m_members, [](const Protocol::Member &member) { return member.m_role != Protocol::Role::Entry; });
    update.m_endedIncarnations.clear();
    const std::string entries = Wire::pack(update.m_members);
    if (m_membersForAgents.m_key != entries) {
        m_membersForAgents = EncodedUpdate{entries, Wire::pack(update)};
    }
}

const StateFeed::EncodedUpdate &StateFeed::membersFor(const Subscription &subscription) const
{
    return subscription.m_member.m_role == Protocol::Role::Agent ? m_membersForAgents : m_membersForEntries;
}

bool StateFeed::deliver(const Subscription &subscription, const std::string &update)
{
    m_updatesSent.add();
    if (subscription.m_responder.send(update)) {
        return true;
    }
    m_subscribersCut.add();
    subscription.m_responder.fail(Core::makeError(Core::ErrorCode::Overloaded, "send state", "", "the subscriber is too far behind"));
    return false;
}

bool StateFeed::sendDueUpdates(Subscription &subscription, Core::Instant now)
{
    if (subscription.m_responder.isCancelled()) {
        return false;
    }
    if (now - subscription.m_announcedAt >= AnnounceInterval) {
        subscription.m_announcedAt = now;
        m_store.announce(subscription.m_member);
    }
    const std::shared_ptr<const ControlState> state = m_store.current();
    if (state->m_applied > 0 && subscription.m_chain != state->m_chain) {
        const std::string &update = encodedStateUpdate(subscription.m_chain, *state);
        subscription.m_chain = state->m_chain;
        if (!deliver(subscription, update)) {
            return false;
        }
    }
    if (isAhead(subscription, state->m_applied, now)) {
        Protocol::StateUpdate question;
        question.m_wantsState = true;
        if (!deliver(subscription, Wire::pack(question))) {
            return false;
        }
    }
    const EncodedUpdate &members = membersFor(subscription);
    if (members.m_key != subscription.m_membersKey && now - subscription.m_membersSentAt >= MembersInterval) {
        subscription.m_membersKey = members.m_key;
        subscription.m_membersSentAt = now;
        return deliver(subscription, members.m_update);
    }
    return true;
}

Core::Duration StateFeed::runOnce()
{
    admitSubscriptions();
    processOffers();
    refreshMembers();
    const Core::Instant now = Core::Clock::now();
    bool hasUnsentMembers = false;
    for (std::vector<Subscription>::iterator it = m_subscriptions.begin(); it != m_subscriptions.end();) {
        if (sendDueUpdates(*it, now)) {
            hasUnsentMembers = hasUnsentMembers || it->m_membersKey != membersFor(*it).m_key;
            ++it;
            continue;
        }
        recordSubscribed(it->m_member, false);
        it = m_subscriptions.erase(it);
    }
    return hasUnsentMembers ? MembersInterval : IdleInterval;
}

}
