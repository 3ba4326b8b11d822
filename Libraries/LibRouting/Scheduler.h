/// @file Admission of requests: each is granted an endpoint with a free slot, queued in a fair and bounded queue, or refused.
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
    std::size_t m_queuePerAccount = 64; ///< Maximum queued requests of one account in one group.
    double m_retryShare = 0.1; ///< Retries as a share of requests.
    double m_retryBurst = 20; ///< Maximum unused retries that accumulate.
    Core::Duration m_avoidAfterFailure{2000}; ///< Time for which an endpoint gets no new calls after a call to it failed.
    Core::Duration m_minimumRetryAfter{1000};
    Core::Duration m_maximumRetryAfter{30000};

    bool operator==(const SchedulerSettings &) const = default;
};

/// A request for an endpoint.
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
    Protocol::Member m_member; ///< The endpoint's agent, as known when the request was granted.
    std::uint64_t m_reportSequence = 0; ///< Sequence number of the agent's newest report when the request was granted.

    bool operator==(const Granted &) const = default;
};

/// The request is in the queue; a later poll() grants or refuses it.
struct Queued
{
    bool operator==(const Queued &) const = default;
};

enum class RefusalReason {
    NoEndpoint, ///< No endpoint serves the version now.
    QueueFull, ///< The account's queue is full.
    TooLate, ///< It would not start and end before its deadline, or the deadline passed in the queue.
};

/// The request was not sent to any endpoint and will not be.
struct Refused
{
    Ticket m_ticket = 0;
    RefusalReason m_reason = RefusalReason::NoEndpoint;
    Core::Duration m_retryAfter{0}; ///< Time after which a retry is worthwhile.

    bool operator==(const Refused &) const = default;
};

using Admission = std::variant<Granted, Queued, Refused>;
using Resolution = std::variant<Granted, Refused>;

/// How a granted call ended, as far as it affects the endpoint.
enum class CallResult {
    Answered,
    Failed, ///< The endpoint or the connection to it failed.
    Abandoned, ///< The caller disconnected or the request was at fault; does not count against the endpoint.
};

/**
 * Decides when and to which endpoint requests are sent. Not thread-safe; time and randomness are passed in, so that a simulation can use the same code.
 *
 * A request is granted only an endpoint at which it is estimated to start at once. Other requests wait here rather than at the endpoints, because
 * shares, priorities and deadlines can still be applied here, and because a request that waits at a slow endpoint cannot be moved to a faster one.
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

    /// Submits a new request, or a retry (m_excluded is not empty).
    Admission submit(const Submission &submission, Core::Instant now);
    /// Records the end of a granted call.
    void finish(const Granted &granted, CallResult result, Core::Instant started, Core::Instant now);
    /// Removes a request that is no longer wanted from the queue. Does nothing if it is not queued.
    void cancel(Ticket ticket);
    /// Grants or refuses queued requests. Must be called after finish(), after each report, and periodically to enforce deadlines.
    std::vector<Resolution> poll(Core::Instant now);

    /// Takes a retry from the budget. Returns false if it is exhausted.
    bool tryRetry()
    {
        return m_retryBudget.tryRetry();
    }
    std::size_t queued() const;
    /// Estimates the time after which a retry of a request that is refused now is worthwhile.
    Core::Duration retryAfter(const GroupKey &key) const;

private:
    struct Group
    {
        FairQueue m_queue;
        std::map<Ticket, Submission> m_submissions; ///< Submissions of the requests in m_queue.
        double m_meanCallSeconds = 0; ///< Moving average of the duration of the group's calls; 0 before the first has ended.
        std::size_t m_running = 0; ///< Calls that were granted and have not finished.
    };

    Group &findOrCreateGroup(const GroupKey &key);
    /// True if any endpoint could take the request, now or once it has a free slot.
    bool hasCandidate(const Submission &submission, Core::Instant now) const;
    std::optional<Granted> tryGrant(const Submission &submission, Core::Instant now);
    void refuseExpired(const GroupKey &key, Group &group, Core::Instant now, std::vector<Resolution> &resolutions);
    void refuseAll(const GroupKey &key, Group &group, std::vector<Resolution> &resolutions);
    void grantQueued(Group &group, Core::Instant now, std::vector<Resolution> &resolutions);
    /// Estimates the time until @p ahead requests have started, at the current rate.
    Core::Duration expectedWait(const Group &group, double ahead) const;
    static Core::Duration expectedCallTime(const Group &group);
    void removeIdleGroups();

    const SchedulerSettings m_settings;
    Core::Random m_random;
    EndpointTable m_table;
    RetryBudget m_retryBudget;
    std::map<GroupKey, Group> m_groups; ///< Idle groups are removed when there are MaximumGroups.
    std::map<Ticket, GroupKey> m_runningGroups; ///< Groups of the calls that were granted and have not finished.
};

}
