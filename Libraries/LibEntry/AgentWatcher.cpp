/// @file Receipt of report streams from agents.

#include "LibEntry/AgentWatcher.h"
#include "LibWire/Pack.h"

namespace Entry {

namespace {

constexpr Core::Duration PollInterval{50};
constexpr Core::Duration RetryInterval{500};
/// Longest time between two updates of the watch set; a change of state or members triggers one at once.
constexpr Core::Duration UpdateInterval{1000};
constexpr std::size_t FrameCapacity = 8192;
constexpr std::size_t EndCapacity = 65536;

}

AgentWatcher::AgentWatcher(AgentWatcherParts parts)
    : m_parts(std::move(parts))
    , m_reportsReceived(m_parts.m_metrics->counter("watch_reports_received_total"))
    , m_loadsIgnored(m_parts.m_metrics->counter("watch_loads_ignored_total"))
    , m_streamsLost(m_parts.m_metrics->counter("watch_streams_lost_total"))
    , m_reportsDropped(m_parts.m_metrics->counter("watch_reports_dropped_total"))
    , m_inbox(std::make_shared<Inbox>(FrameCapacity, EndCapacity))
{
}

AgentWatcher::~AgentWatcher()
{
    stop();
}

void AgentWatcher::start()
{
    m_worker.start([this] { return poll(); });
}

void AgentWatcher::stop()
{
    m_worker.stop();
    m_inbox->m_frames.close();
    m_inbox->m_ends.close();
    for (const std::pair<const std::uint64_t, Stream> &entry : m_streams) {
        m_parts.m_node->cancel(entry.second.m_call);
    }
    m_streams.clear();
}

void AgentWatcher::wake()
{
    m_worker.wake();
}

std::map<std::string, Protocol::AgentReport> AgentWatcher::reports() const
{
    const std::lock_guard<std::mutex> lock(m_reportsMutex);
    return m_reports;
}

Core::Duration AgentWatcher::poll()
{
    processInbox();
    const std::shared_ptr<const Control::ControlState> state = m_parts.m_store->current();
    const std::uint64_t members = m_parts.m_store->membersVersion();
    const Core::Instant now = Core::Clock::now();
    if (state->m_applied != m_lastApplied) {
        m_parts.m_versions->onState(*state);
    }
    if (state->m_applied != m_lastApplied || members != m_lastMembersVersion || now >= m_nextUpdate) {
        m_lastApplied = state->m_applied;
        m_lastMembersVersion = members;
        m_nextUpdate = now + UpdateInterval;
        updateWatchSet();
    }
    m_parts.m_router->poll();
    return PollInterval;
}

void AgentWatcher::processInbox()
{
    while (const std::optional<ReceivedFrame> received = m_inbox->m_frames.pop(Core::Duration(0))) {
        onFrame(received->m_stream, received->m_frame);
    }
    while (const std::optional<std::uint64_t> ended = m_inbox->m_ends.pop(Core::Duration(0))) {
        onStreamEnd(*ended);
    }
}

void AgentWatcher::onStreamEnd(std::uint64_t streamId)
{
    const std::map<std::uint64_t, Stream>::const_iterator it = m_streams.find(streamId);
    if (it == m_streams.end()) {
        return;
    }
    m_streamsLost.add();
    m_parts.m_router->markUnavailable(it->second.m_instance);
    const Core::Instant retryAt = Core::Clock::now() + RetryInterval;
    m_retryAt[it->second.m_instance] = retryAt;
    m_nextUpdate = std::min(m_nextUpdate, retryAt);
    m_streams.erase(it);
}

void AgentWatcher::onFrame(std::uint64_t streamId, const std::string &frame)
{
    const std::map<std::uint64_t, Stream>::const_iterator it = m_streams.find(streamId);
    if (it == m_streams.end()) {
        return;
    }
    Protocol::AgentReport report = lastReport(it->second.m_instance);
    const Core::Result<void> applied = Protocol::applyWatchFrame(frame, it->second.m_address.toString(), report);
    if (!applied && applied.error().m_code == Core::ErrorCode::Conflict) {
        m_loadsIgnored.add();
        return;
    }
    if (!applied || report.m_member.m_id != it->second.m_instance) {
        // Another process answers at this address. The instance list will provide the new address.
        m_parts.m_node->cancel(it->second.m_call);
        return;
    }
    m_reportsReceived.add();
    m_parts.m_router->onReport(report);
    const std::lock_guard<std::mutex> lock(m_reportsMutex);
    m_reports[it->second.m_instance] = std::move(report);
}

Protocol::AgentReport AgentWatcher::lastReport(const std::string &instance) const
{
    const std::lock_guard<std::mutex> lock(m_reportsMutex);
    const std::map<std::string, Protocol::AgentReport>::const_iterator it = m_reports.find(instance);
    return it == m_reports.end() ? Protocol::AgentReport() : it->second;
}

std::vector<std::string> AgentWatcher::instancesServingEarlierVersions() const
{
    std::vector<std::string> serving;
    const std::lock_guard<std::mutex> lock(m_reportsMutex);
    for (const std::pair<const std::string, Protocol::AgentReport> &entry : m_reports) {
        const std::vector<std::string> previous = m_parts.m_versions->previousDigests(entry.second.m_member.m_service);
        const std::vector<Protocol::Attestation> &attestations = entry.second.m_attestations;
        const bool serves = std::any_of(attestations.begin(), attestations.end(), [&previous](const Protocol::Attestation &attestation) {
            return std::find(previous.begin(), previous.end(), attestation.m_digest) != previous.end();
        });
        if (serves) {
            serving.push_back(entry.first);
        }
    }
    return serving;
}

void AgentWatcher::updateWatchSet()
{
    const std::shared_ptr<const Control::ControlState> state = m_parts.m_store->current();
    const std::vector<Protocol::Member> members = m_parts.m_store->members();
    reconcile(chooseWatchSet(m_parts.m_entryName, *state, members, instancesServingEarlierVersions(), m_parts.m_watchedPerGroup));
}

void AgentWatcher::reconcile(const WatchSet &wanted)
{
    std::set<std::string> open;
    for (std::map<std::uint64_t, Stream>::const_iterator it = m_streams.begin(); it != m_streams.end();) {
        const WatchSet::const_iterator member = wanted.find(it->second.m_instance);
        if (member != wanted.end() && member->second.m_wire == it->second.m_address) {
            open.insert(it->second.m_instance);
            ++it;
            continue;
        }
        m_parts.m_node->cancel(it->second.m_call);
        if (member == wanted.end()) {
            m_parts.m_router->removeEndpoint(it->second.m_instance);
            const std::lock_guard<std::mutex> lock(m_reportsMutex);
            m_reports.erase(it->second.m_instance);
        }
        it = m_streams.erase(it);
    }
    const Core::Instant now = Core::Clock::now();
    for (const std::pair<const std::string, Protocol::Member> &entry : wanted) {
        const std::map<std::string, Core::Instant>::const_iterator retryAt = m_retryAt.find(entry.first);
        if (open.contains(entry.first) || (retryAt != m_retryAt.end() && now < retryAt->second)) {
            continue;
        }
        this->openStream(entry.second);
    }
    std::erase_if(m_retryAt, [&wanted](const std::pair<const std::string, Core::Instant> &entry) { return !wanted.contains(entry.first); });
}

void AgentWatcher::openStream(const Protocol::Member &member)
{
    const std::uint64_t id = m_nextStream++;
    const std::shared_ptr<Inbox> inbox = m_inbox;
    Wire::CallEvents events;
    events.m_onFrame = [this, inbox, id](std::string frame) {
        if (!inbox->m_frames.tryPush(ReceivedFrame{id, std::move(frame)})) {
            m_reportsDropped.add();
        }
    };
    events.m_onEnd = [inbox, id](const Wire::CallEnd &) { inbox->m_ends.tryPush(id); };
    const Wire::CallId call = m_parts.m_node->call(
        member.m_wire, "control.watch", Wire::pack(Protocol::WatchRequest{m_parts.m_entryName}), Wire::CallOptions{Core::Duration(0)}, events);
    m_streams.emplace(id, Stream{member.m_id, member.m_wire, call});
}

}
