/// @file Admission, queueing and refusal of requests.

#include "LibRouting/Scheduler.h"

#include <algorithm>

namespace Routing {

namespace {

/// Groups at which idle groups are removed.
constexpr std::size_t MaximumGroups = 1024;
/// Weight of the newest call in the moving average of call times.
constexpr double AverageShare = 0.05;
/// Time allowed for a call after its start, as a multiple of the mean call time. A request that would end after its deadline is refused, not queued.
constexpr double CallMargin = 2;

}

Scheduler::Scheduler(SchedulerSettings settings, Core::Random random)
    : m_settings(settings)
    , m_random(random)
    , m_retryBudget(settings.m_retryShare, settings.m_retryBurst)
{
}

Scheduler::Group &Scheduler::findOrCreateGroup(const GroupKey &key)
{
    const std::map<GroupKey, Group>::iterator it = m_groups.find(key);
    if (it != m_groups.end()) {
        return it->second;
    }
    removeIdleGroups();
    return m_groups.emplace(key, Group{FairQueue(m_settings.m_queuePerAccount), {}, 0, 0}).first->second;
}

void Scheduler::removeIdleGroups()
{
    if (m_groups.size() < MaximumGroups) {
        return;
    }
    std::erase_if(m_groups, [](const std::pair<const GroupKey, Group> &entry) { return entry.second.m_running == 0 && entry.second.m_submissions.empty(); });
}

std::optional<Granted> Scheduler::tryGrant(const Submission &submission, Core::Instant now)
{
    const SelectionRequest request{submission.m_affinity, submission.m_excluded, waitsForFreeSlot(m_settings.m_strategy)};
    const std::optional<EndpointIndex> index = selectEndpoint(m_settings.m_strategy, m_table, submission.m_group, request, now, m_random);
    if (!index) {
        return std::nullopt;
    }
    m_table.onCallStarted(*index);
    const EndpointView &endpoint = m_table.at(*index);
    m_runningGroups[submission.m_request.m_ticket] = submission.m_group;
    findOrCreateGroup(submission.m_group).m_running += 1;
    return Granted{submission.m_request.m_ticket, *index, endpoint.m_member, endpoint.m_sequence};
}

Admission Scheduler::submit(const Submission &submission, Core::Instant now)
{
    const Ticket ticket = submission.m_request.m_ticket;
    if (submission.m_excluded.empty()) {
        m_retryBudget.onRequest();
    }
    Group &group = findOrCreateGroup(submission.m_group);
    if (!hasCandidate(submission, now)) {
        return Refused{ticket, RefusalReason::NoEndpoint, m_settings.m_minimumRetryAfter};
    }
    if (group.m_queue.size() == 0) {
        const std::optional<Granted> granted = tryGrant(submission, now);
        if (granted) {
            group.m_queue.charge(submission.m_request);
            return *granted;
        }
    }
    const double ahead = group.m_queue.requestsAhead(submission.m_request.m_account, submission.m_request.m_weight);
    if (now + expectedWait(group, ahead) + expectedCallTime(group) >= submission.m_request.m_deadline) {
        return Refused{ticket, RefusalReason::TooLate, retryAfter(submission.m_group)};
    }
    if (!group.m_queue.push(submission.m_request)) {
        return Refused{ticket, RefusalReason::QueueFull, retryAfter(submission.m_group)};
    }
    // Excluded instances are not applied in the queue: a request that must not use the only free endpoint would block all requests behind it.
    group.m_submissions.emplace(ticket, submission).first->second.m_excluded.clear();
    return Queued{};
}

bool Scheduler::hasCandidate(const Submission &submission, Core::Instant now) const
{
    const std::span<const EndpointIndex> members = m_table.group(submission.m_group);
    const std::vector<std::string> &excluded = submission.m_excluded;
    return std::any_of(members.begin(), members.end(), [this, now, &excluded](EndpointIndex index) {
        const EndpointView &endpoint = m_table.at(index);
        return isAvailable(endpoint, now) && std::find(excluded.begin(), excluded.end(), endpoint.m_member.m_id) == excluded.end();
    });
}

void Scheduler::finish(const Granted &granted, CallResult result, Core::Instant started, Core::Instant now)
{
    const double seconds = Core::secondsBetween(started, now);
    m_table.onCallEnded(granted.m_endpoint, granted.m_member.m_incarnation, result == CallResult::Answered ? seconds : -1);
    if (result == CallResult::Failed) {
        m_table.avoid(granted.m_endpoint, now + m_settings.m_avoidAfterFailure);
    }
    const std::map<Ticket, GroupKey>::const_iterator it = m_runningGroups.find(granted.m_ticket);
    if (it == m_runningGroups.end()) {
        return;
    }
    Group &group = findOrCreateGroup(it->second);
    group.m_running -= std::min<std::size_t>(1, group.m_running);
    if (result == CallResult::Answered) {
        group.m_meanCallSeconds = group.m_meanCallSeconds == 0 ? seconds : (1 - AverageShare) * group.m_meanCallSeconds + AverageShare * seconds;
    }
    m_runningGroups.erase(it);
}

void Scheduler::cancel(Ticket ticket)
{
    for (std::pair<const GroupKey, Group> &entry : m_groups) {
        if (entry.second.m_submissions.erase(ticket) > 0) {
            entry.second.m_queue.remove(ticket);
            return;
        }
    }
}

std::vector<Resolution> Scheduler::poll(Core::Instant now)
{
    std::vector<Resolution> resolutions;
    for (std::pair<const GroupKey, Group> &entry : m_groups) {
        if (entry.second.m_submissions.empty()) {
            continue;
        }
        refuseExpired(entry.first, entry.second, now, resolutions);
        if (m_table.countAvailable(entry.first, now) == 0) {
            refuseAll(entry.first, entry.second, resolutions);
            continue;
        }
        grantQueued(entry.second, now, resolutions);
    }
    return resolutions;
}

void Scheduler::refuseExpired(const GroupKey &key, Group &group, Core::Instant now, std::vector<Resolution> &resolutions)
{
    for (const QueuedRequest &request : group.m_queue.removeExpired(now)) {
        group.m_submissions.erase(request.m_ticket);
        resolutions.push_back(Refused{request.m_ticket, RefusalReason::TooLate, retryAfter(key)});
    }
}

void Scheduler::refuseAll(const GroupKey &key, Group &group, std::vector<Resolution> &resolutions)
{
    while (const std::optional<QueuedRequest> request = group.m_queue.pop()) {
        group.m_submissions.erase(request->m_ticket);
        resolutions.push_back(Refused{request->m_ticket, RefusalReason::NoEndpoint, retryAfter(key)});
    }
}

void Scheduler::grantQueued(Group &group, Core::Instant now, std::vector<Resolution> &resolutions)
{
    while (const QueuedRequest *front = group.m_queue.front()) {
        const Ticket ticket = front->m_ticket;
        const std::optional<Granted> granted = tryGrant(group.m_submissions.at(ticket), now);
        if (!granted) {
            return;
        }
        group.m_queue.pop();
        group.m_submissions.erase(ticket);
        resolutions.push_back(*granted);
    }
}

Core::Duration Scheduler::expectedWait(const Group &group, double ahead) const
{
    if (group.m_running == 0) {
        return Core::Duration(0);
    }
    const double seconds = group.m_meanCallSeconds * ahead / static_cast<double>(group.m_running);
    return Core::Duration(static_cast<std::int64_t>(seconds * 1000));
}

Core::Duration Scheduler::expectedCallTime(const Group &group)
{
    return Core::Duration(static_cast<std::int64_t>(CallMargin * group.m_meanCallSeconds * 1000));
}

Core::Duration Scheduler::retryAfter(const GroupKey &key) const
{
    const std::map<GroupKey, Group>::const_iterator it = m_groups.find(key);
    if (it == m_groups.end()) {
        return m_settings.m_minimumRetryAfter;
    }
    const Core::Duration wait = expectedWait(it->second, static_cast<double>(it->second.m_queue.size()));
    return std::clamp(wait, m_settings.m_minimumRetryAfter, m_settings.m_maximumRetryAfter);
}

std::size_t Scheduler::queued() const
{
    std::size_t sum = 0;
    for (const std::pair<const GroupKey, Group> &entry : m_groups) {
        sum += entry.second.m_submissions.size();
    }
    return sum;
}

}
