/// @file Thread-safe access to the scheduler for the threads of an entry.
#pragma once

#include "LibCore/Error.h"
#include "LibEntry/CallerError.h"
#include "LibRouting/Scheduler.h"
#include "LibTelemetry/Metrics.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace Entry {

/// A granted endpoint and the time of the grant.
struct Grant
{
    Routing::Granted m_granted;
    Core::Instant m_started;
};

/// Thread-safe. The thread that serves a caller waits here until its request may be sent to an endpoint.
class Router
{
public:
    Router(Routing::SchedulerSettings settings, Telemetry::Metrics &metrics);

    /// Returns true if the caller has disconnected. Called periodically while its request waits.
    using DisconnectCheck = std::function<bool()>;

    /// Waits for an endpoint. A request that cannot be served is refused as soon as this is known, not only at its deadline.
    std::variant<Grant, CallerError> acquire(Routing::Submission submission, const DisconnectCheck &isDisconnected);
    /// Releases the endpoint that acquire() granted. Must be called exactly once for each grant.
    void release(const Grant &grant, Routing::CallResult result);

    /// Takes a retry from the budget. Returns false if it is exhausted.
    bool tryRetry();

    void onReport(const Protocol::AgentReport &report);
    /// Makes an instance unavailable that is no longer watched.
    void removeEndpoint(const std::string &instance);
    /// Makes the instance unavailable until its next report, after its stream of reports has ended.
    void markUnavailable(const std::string &instance);
    /// Grants or refuses waiting requests. Must be called periodically, so that endpoints whose reports have stopped are noticed.
    void poll();

    /// Calls @p read with the endpoints, under the lock.
    void readTable(const std::function<void(const Routing::EndpointTable &table)> &read) const;
    std::size_t queued() const;

private:
    struct Waiter
    {
        std::condition_variable m_changed;
        std::optional<Routing::Resolution> m_resolution;
    };

    CallerError refusal(const Routing::Refused &refused, const Routing::GroupKey &group) const;
    void notifyWaiters(const std::vector<Routing::Resolution> &resolutions);
    std::variant<Grant, CallerError>
    waitForResolution(std::unique_lock<std::mutex> &lock, const Routing::Submission &submission, const DisconnectCheck &isDisconnected);

    Telemetry::Counter &m_granted;
    Telemetry::Counter &m_waited;
    Telemetry::Counter &m_refused;
    Telemetry::Counter &m_retries;
    Telemetry::Counter &m_retriesRefused;
    Telemetry::Latency &m_waitSeconds;
    mutable std::mutex m_mutex; ///< Guards the members below.
    Routing::Scheduler m_scheduler;
    Routing::Ticket m_nextTicket = 1;
    std::unordered_map<Routing::Ticket, std::shared_ptr<Waiter>> m_waiters; ///< Waiting threads of the requests in the scheduler's queues.
};

}
