/// @file The scheduler as the threads of an entry share it.
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

/// A granted endpoint, with when it was granted.
struct Grant
{
    Routing::Granted m_granted;
    Core::Instant m_started;
};

/// Thread-safe. A caller's thread waits here until its request may go to an endpoint.
class Router
{
public:
    Router(Routing::SchedulerSettings settings, Telemetry::Metrics &metrics);

    /// Tells whether the caller has gone away; asked now and then while its request waits.
    using DisconnectCheck = std::function<bool()>;

    /// Waits for an endpoint. Refusals come as soon as they are certain, never at the end of a wait in vain.
    std::variant<Grant, CallerError> acquire(Routing::Submission submission, const DisconnectCheck &isGone);
    /// Gives back what acquire() granted. To be called exactly once for each grant.
    void release(const Grant &grant, Routing::CallResult result);

    /// Takes a retry out of the budget.
    bool tryRetry();

    void onReport(const Protocol::AgentReport &report);
    /// The instance is no longer watched.
    void removeEndpoint(const std::string &instance);
    /// The instance's stream of reports ended: no new work until it reports again.
    void markUnavailable(const std::string &instance);
    /// To be called now and then, so that waiting requests notice endpoints that went silent.
    void poll();

    /// Gives @p read the endpoints under the lock.
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
    waitForResolution(std::unique_lock<std::mutex> &lock, const Routing::Submission &submission, const DisconnectCheck &isGone);

    Telemetry::Counter &m_granted;
    Telemetry::Counter &m_waited;
    Telemetry::Counter &m_refused;
    Telemetry::Counter &m_retries;
    Telemetry::Counter &m_retriesRefused;
    Telemetry::Latency &m_waitSeconds;
    mutable std::mutex m_mutex; ///< Guards what follows.
    Routing::Scheduler m_scheduler;
    Routing::Ticket m_nextTicket = 1;
    std::unordered_map<Routing::Ticket, std::shared_ptr<Waiter>> m_waiters; ///< Of the requests in the scheduler's queues.
};

}
