/// @file Admission of requests: at once to an endpoint with room, else into a fair and bounded queue, else refused.
#pragma once

#include "LibRouting/EndpointSelection.h"
#include "LibRouting/FairQueue.h"
#include "LibRouting/RetryBudget.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Routing {

struct SchedulerSettings
{
    Strategy m_strategy = Strategy::PrefixAffinity;
    std::size_t m_queuePerAccount = 64; ///< Waiting requests of one account at one group.
    double m_retryShare = 0.1; ///< Retries as a share of requests.
    double m_retryBurst = 20;
    Core::Duration m_avoidAfterFailure{2000}; ///< How long an endpoint gets no new work after a call to it failed.
    Core::Duration m_minimumRetryAfter{1000};
    Core::Duration m_maximumRetryAfter{30000};

    bool operator==(const SchedulerSettings &) const = default;
};

/// A request that wants an endpoint.
struct Submission
{
    QueuedRequest m_request;
    GroupKey m_group;
    std::uint64_t m_affinity = 0;
    std::vector<std::string> m_excluded; ///< Instances at which the request has failed.

    bool operator==(const Submission &) const = default;
};

/// The request may be sent to this endpoint now.
struct Granted
{
    Ticket m_ticket = 0;
    EndpointIndex m_endpoint = 0;
    Protocol::Member m_member; ///< As known when it was granted.
    std::uint64_t m_reportSequence = 0; ///< Newest report of the agent that the choice rests on.

    bool operator==(const Granted &) const = default;
};

/// The request is in the queue; a later step grants or refuses it.
struct Queued
{
    bool operator==(const Queued &) const = default;
};

enum class RefusalReason {
    NoEndpoint, ///< No endpoint serves the version now.
    QueueFull, ///< The account's queue is full.
    TooLate, ///< It would not start before its deadline.
};

/// The request was not sent anywhere and will not be.
struct Refused
{
    Ticket m_ticket = 0;
    RefusalReason m_reason = RefusalReason::NoEndpoint;
    Core::Duration m_retryAfter{0}; ///< When it is worth trying again.

    bool operator==(const Refused &) const = default;
};

using Admission = std::variant<Granted, Queued, Refused>;
using Resolution = std::variant<Granted, Refused>;

/// How a granted call ended, as far as the endpoint's standing is concerned.
enum class CallResult {
    Answered,
    Failed, ///< The endpoint or the way to it is in trouble.
    Abandoned, ///< The caller went away or the request was at fault; says nothing about the endpoint.
};

/**
 * Decides where and when requests go. Not thread-safe; time and randomness are passed in, so that a simulation drives the same code.
 *
 * A request is only granted an endpoint at which it would start at once, as far as this entry can tell. The others wait here and not at the
 * endpoints, because here an account's share, a priority and a deadline can still be honoured, and because work that waits at a slow endpoint
 * cannot be moved to a fast one.
 */
class Scheduler
{
public:
    Scheduler(SchedulerSettings settings, Core::Random random);

    EndpointTable &table()
    {
        return m_table;
    }
    const EndpointTable &table() const
    {
        return m_table;
    }
    const SchedulerSettings &settings() const
    {
        return m_settings;
    }

    /// A new request, or one that is tried again.
    Admission submit(const Submission &submission, Core::Instant now);
    /// A granted call has ended.
    void finish(const Granted &granted, CallResult result, Core::Instant started, Core::Instant now);
    /// The request is no longer wanted. Does nothing unless it waits in the queue.
    void cancel(Ticket ticket);
    /// Grants and refusals of queued requests; to be called after finish(), after reports, and now and then for deadlines.
    std::vector<Resolution> poll(Core::Instant now);

    /// Takes a retry out of the budget.
    bool tryRetry()
    {
        return m_retryBudget.tryRetry();
    }
    std::size_t queued() const;
    /// Estimate of when a request that is refused now is worth trying again.
    Core::Duration retryAfter(const GroupKey &key) const;

private:
    struct Group
    {
        FairQueue m_queue;
        std::map<Ticket, Submission> m_submissions; ///< Of the requests in m_queue.
        double m_meanCallSeconds = 0; ///< Moving average of the time of the group's calls; 0 before the first.
        std::size_t m_running = 0; ///< Granted and not finished.
    };

    Group &findOrCreateGroup(const GroupKey &key);
    /// Whether any endpoint could take the request, now or once it has room.
    bool hasCandidate(const Submission &submission, Core::Instant now) const;
    std::optional<Granted> tryGrant(const Submission &submission, Core::Instant now);
    void refuseExpired(const GroupKey &key, Group &group, Core::Instant now, std::vector<Resolution> &resolutions);
    void refuseAll(const GroupKey &key, Group &group, std::vector<Resolution> &resolutions);
    void grantWaiting(Group &group, Core::Instant now, std::vector<Resolution> &resolutions);
    /// Time until @p ahead requests have started, at the rate of the moment.
    Core::Duration expectedWait(const Group &group, double ahead) const;
    static Core::Duration expectedCallTime(const Group &group);
    void removeIdleGroups();

    const SchedulerSettings m_settings;
    Core::Random m_random;
    EndpointTable m_table;
    RetryBudget m_retryBudget;
    std::map<GroupKey, Group> m_groups; ///< At most MaximumGroups idle ones.
    std::map<Ticket, GroupKey> m_runningGroups; ///< Of the granted requests.
};

}
