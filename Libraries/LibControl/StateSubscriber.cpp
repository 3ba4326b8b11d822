/// @file Implementation of the state subscriber.

#include "LibControl/StateSubscriber.h"
#include "LibControl/FeedSelection.h"
#include "LibWire/Pack.h"

#include <glog/logging.h>

namespace Control {

namespace {

constexpr std::size_t QueueCapacity = 1024;
constexpr Core::Duration NoticeTimeout{2000};
constexpr Core::Duration NoticeInterval{5000};
constexpr Core::Duration NoWait{0};

}

StateSubscriber::StateSubscriber(
    Wire::Node &node, StateStore &store, Protocol::Member self, std::vector<Core::Address> seeds, Telemetry::Metrics &metrics, StateSubscriberSettings settings)
    : m_node(node)
    , m_store(store)
    , m_seeds(std::move(seeds))
    , m_settings(settings)
    , m_feedsLost(metrics.counter("control_feeds_lost_total"))
    , m_gaps(metrics.counter("control_feed_gaps_total"))
    , m_overruns(metrics.counter("control_feed_overruns_total"))
    , m_inbox(std::make_shared<Inbox>(QueueCapacity))
    , m_self(std::move(self))
{
    store.onChange([this] { m_worker.wake(); });
}

StateSubscriber::~StateSubscriber()
{
    stop();
}

void StateSubscriber::start()
{
    m_worker.start([this] { return runOnce(); });
}

void StateSubscriber::stop()
{
    m_worker.stop();
    m_inbox->m_events.close();
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::pair<const std::uint64_t, Feed> &entry : m_feeds) {
        m_node.cancel(entry.second.m_call);
    }
    m_feeds.clear();
}

void StateSubscriber::updateSelf(const Protocol::Member &self)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_self = self;
        m_selfChanged = true;
    }
    m_worker.wake();
}

std::vector<Core::Address> StateSubscriber::feeds() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Core::Address> addresses;
    for (const std::pair<const std::uint64_t, Feed> &entry : m_feeds) {
        addresses.push_back(entry.second.m_address);
    }
    return addresses;
}

Core::Duration StateSubscriber::runOnce()
{
    processEvents();
    announceSelf();
    updateFeeds();
    sendAcknowledgements();
    return m_inbox->m_events.size() > 0 ? NoWait : m_settings.m_checkInterval;
}

/// Announces an entry to its own member table. Otherwise the table would not keep the entry while the list does not show it, since no other process announces
/// the entry there.
void StateSubscriber::announceSelf()
{
    Protocol::Member self;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        self = m_self;
    }
    if (self.m_role == Protocol::Role::Entry) {
        m_store.announce(self);
    }
}

void StateSubscriber::processEvents()
{
    if (m_inbox->m_hasOverflowed.exchange(false)) {
        closeAllFeeds();
    }
    while (std::optional<FeedEvent> event = m_inbox->m_events.pop(NoWait)) {
        if (event->m_hasEnded) {
            closeFeed(event->m_feedId, true);
        } else {
            handleUpdate(event->m_feedId, event->m_frame);
        }
    }
}

/// Closes all feeds because the full inbox has dropped an event: a feed may lack an update, or a stream that has ended may look open. Feeds that are opened
/// again start from the state in force in this process, so no update stays missing.
void StateSubscriber::closeAllFeeds()
{
    m_overruns.add();
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::pair<const std::uint64_t, Feed> &entry : m_feeds) {
        m_node.cancel(entry.second.m_call);
    }
    m_feeds.clear();
}

void StateSubscriber::handleUpdate(std::uint64_t feedId, const std::string &frame)
{
    const Core::Result<Protocol::StateUpdate> decoded = Wire::unpack<Protocol::StateUpdate>(frame, "");
    if (!decoded) {
        closeFeed(feedId, true);
        return;
    }
    const Protocol::StateUpdate &update = decoded.value();
    if (update.m_membersVersion > 0 && isAgent()) {
        m_store.replaceMembers(update.m_members);
    } else if (update.m_membersVersion > 0) {
        m_store.mergeMembers(MembershipSnapshot{update.m_members, update.m_endedIncarnations});
    }
    if (update.m_snapshotOffset > 0) {
        Core::Result<ControlState> snapshot = decodeState(update.m_snapshot, "");
        if (!snapshot) {
            closeFeed(feedId, true);
            return;
        }
        if (m_store.applySnapshot(std::move(snapshot.value())) == ApplyResult::Refused) {
            offerState(feedId);
        }
    }
    if (update.m_wantsState) {
        offerState(feedId);
    }
    if (!update.m_records.empty() && m_store.applyRecords(update.m_baseChain, update.m_records) == ApplyResult::Gap) {
        // The entry has applied another history than this process. The snapshot that a new feed starts with shows which of the two covers the other.
        m_gaps.add();
        closeFeed(feedId, false);
    }
}

/**
 * Sends the state in force in this process to an entry that lacks a part of it.
 *
 * All entries can be replaced while the log loses records. Agents, which never read the log, are then the only processes
 * that still have what was accepted.
 */
void StateSubscriber::offerState(std::uint64_t feedId)
{
    const std::shared_ptr<const ControlState> state = m_store.current();
    Protocol::StateOffer message;
    Core::Address address;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::map<std::uint64_t, Feed>::iterator found = m_feeds.find(feedId);
        if (found == m_feeds.end() || found->second.m_offeredChain == state->m_chain) {
            return;
        }
        found->second.m_offeredChain = state->m_chain;
        address = found->second.m_address;
        message.m_instance = m_self.m_id;
    }
    message.m_snapshot = encodeState(*state);
    Wire::CallEvents events;
    events.m_onEnd = [](const Wire::CallEnd &) {
        // No retry is needed: several instances offer the same state, and one of the calls succeeds.
    };
    m_node.call(address, "control.offer", Wire::pack(message), Wire::CallOptions{NoticeTimeout}, std::move(events));
}

bool StateSubscriber::isAgent() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_self.m_role == Protocol::Role::Agent;
}

void StateSubscriber::closeFeed(std::uint64_t feedId, bool failed)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::map<std::uint64_t, Feed>::iterator found = m_feeds.find(feedId);
    if (found == m_feeds.end()) {
        return;
    }
    m_node.cancel(found->second.m_call);
    if (failed) {
        m_feedsLost.add();
        m_avoidedUntil[found->second.m_address] = Core::Clock::now() + m_settings.m_retryDelay;
    }
    m_feeds.erase(found);
}

void StateSubscriber::updateFeeds()
{
    const Core::Instant now = Core::Clock::now();
    std::erase_if(m_avoidedUntil, [now](const std::pair<const Core::Address, Core::Instant> &entry) { return entry.second <= now; });
    std::set<Core::Address> avoided;
    for (const std::pair<const Core::Address, Core::Instant> &entry : m_avoidedUntil) {
        avoided.insert(entry.first);
    }
    const std::vector<Protocol::Member> members = m_store.members();
    std::vector<Core::Address> missing;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::vector<Core::Address> wanted = selectFeeds(m_self, members, m_seeds, avoided, m_settings.m_feedCount);
        const bool mustReannounce = std::exchange(m_selfChanged, false);
        std::set<Core::Address> open;
        for (std::map<std::uint64_t, Feed>::iterator it = m_feeds.begin(); it != m_feeds.end();) {
            const bool isWanted = std::find(wanted.begin(), wanted.end(), it->second.m_address) != wanted.end();
            if (isWanted && !mustReannounce) {
                open.insert(it->second.m_address);
                ++it;
                continue;
            }
            m_node.cancel(it->second.m_call);
            it = m_feeds.erase(it);
        }
        for (const Core::Address &address : wanted) {
            if (!open.contains(address) && !avoided.contains(address)) {
                missing.push_back(address);
            }
        }
    }
    for (const Core::Address &address : missing) {
        openFeed(address);
    }
}

void StateSubscriber::openFeed(const Core::Address &address)
{
    const std::uint64_t feedId = m_nextFeedId++;
    const std::shared_ptr<const ControlState> state = m_store.current();
    Protocol::StateRequest request;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        request.m_subscriber = m_self;
        m_feeds[feedId] = Feed{address, 0, state->m_applied, Core::Clock::now(), ""};
    }
    request.m_appliedOffset = state->m_applied;
    request.m_chain = state->m_chain;

    Wire::CallEvents events;
    const std::shared_ptr<Inbox> inbox = m_inbox;
    Worker &worker = m_worker;
    const auto deliver = [inbox, &worker](FeedEvent event) {
        if (inbox->m_events.tryPush(std::move(event))) {
            worker.wake();
        } else if (!inbox->m_events.isClosed()) {
            inbox->m_hasOverflowed = true;
            worker.wake();
        }
    };
    events.m_onFrame = [deliver, feedId](std::string frame) { deliver(FeedEvent{feedId, std::move(frame), false}); };
    events.m_onEnd = [deliver, feedId](const Wire::CallEnd &) { deliver(FeedEvent{feedId, "", true}); };
    const Wire::CallId call = m_node.call(address, "control.state", Wire::pack(request), Wire::CallOptions{Core::Duration(0)}, std::move(events));
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::map<std::uint64_t, Feed>::iterator found = m_feeds.find(feedId);
    if (found != m_feeds.end()) {
        found->second.m_call = call;
    }
}

void StateSubscriber::sendAcknowledgements()
{
    const Offset applied = m_store.current()->m_applied;
    const Core::Instant now = Core::Clock::now();
    std::vector<Core::Address> due;
    Protocol::AppliedNotice notice;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        notice = Protocol::AppliedNotice{m_self.m_id, m_self.m_incarnation, applied};
        for (std::pair<const std::uint64_t, Feed> &entry : m_feeds) {
            Feed &feed = entry.second;
            // Repeated at intervals, since a notice can be lost with its connection.
            const bool isDue = feed.m_acknowledgedOffset < applied || (applied > 0 && now - feed.m_acknowledgedAt >= NoticeInterval);
            if (isDue) {
                feed.m_acknowledgedOffset = applied;
                feed.m_acknowledgedAt = now;
                due.push_back(feed.m_address);
            }
        }
    }
    for (const Core::Address &address : due) {
        Wire::CallEvents events;
        events.m_onEnd = [](const Wire::CallEnd &) {
            // No retry is needed: the next notice replaces a lost one.
        };
        m_node.call(address, "control.applied", Wire::pack(notice), Wire::CallOptions{NoticeTimeout}, std::move(events));
    }
}

}
