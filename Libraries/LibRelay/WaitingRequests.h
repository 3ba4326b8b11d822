/// @file Requests that wait at this process for a free slot at an engine.
#pragma once

#include "LibHttp/EventLoop.h"
#include "LibPlacement/Choice.h"
#include "LibPlacement/RequestQueue.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Relay {

class RelayedRequest;

/**
 * Keeps one queue for each service with engines.
 *
 * A slot often becomes free within the time that callers have: engines continuously finish requests, and weights arrive a few seconds after a power loss. A
 * refusal would use up the only retry that most callers have. Requests for which no slot is expected in time are rejected at once. Used on the loop's thread.
 */
class WaitingRequests
{
public:
    /// Returns the slots of a service's engines. This class fills in the rest of the forecast.
    using Forecast = std::function<Placement::QueueForecast(const std::string &service)>;

    WaitingRequests(Http::EventLoop &loop, Forecast forecast, Placement::QueueSettings settings);

    /// Records the arrival of a request for the service that can be answered within its objective.
    void recordTimelyArrival(const std::string &service, Core::Instant now);
    /// Records whether a request has just found engines of the service that have weights.
    void recordWeightAvailability(const std::string &service, bool hasWeights, Core::Instant now);

    /// Returns the expected capacity of the service's engines, with the rate of timely arrivals and the time until engines have weights.
    Placement::QueueForecast forecast(const std::string &service, Core::Instant now) const;
    bool isEmpty(const std::string &service) const;
    std::size_t size() const
    {
        return m_requests.size();
    }
    /// Adds a request and returns its ticket for remove(); empty if the queue is full. @p bytes: size of the request's body.
    std::optional<std::uint64_t>
    enqueue(const std::string &service, Placement::QueuedRequest deadlines, std::size_t bytes, std::weak_ptr<RelayedRequest> request);
    void remove(std::uint64_t ticket);
    /// Sends the requests for which slots are free, and rejects those for which no slot is expected in time.
    void dispatch();
    /// Calls dispatch() because slots may have become free, unless the last dispatch was a moment ago.
    void onSlotsChanged();

private:
    struct Entry
    {
        std::string m_service;
        Placement::QueuedRequest m_deadlines;
        std::size_t m_bytes = 0; ///< Size of the request's body.
        std::weak_ptr<RelayedRequest> m_request;
    };

    struct ServiceState
    {
        Placement::EventRate m_timelyArrivals;
        std::optional<Core::Instant> m_withoutWeightsSince; ///< Empty while some engine has weights.
    };

    void dispatch(const std::string &service);
    void sendInOrder(const std::vector<std::uint64_t> &tickets);
    /// Returns the request; null if it no longer waits.
    std::shared_ptr<RelayedRequest> find(std::uint64_t ticket) const;
    void scheduleDispatch();

    const Forecast m_forecast;
    const Placement::QueueSettings m_settings;
    Http::Timer m_timer;
    bool m_isTimerSet = false;
    bool m_isDispatching = false;
    Core::Instant m_dispatchedAt;
    std::uint64_t m_lastTicket = 0;
    std::map<std::uint64_t, Entry> m_requests; ///< By ticket.
    std::size_t m_bytes = 0; ///< Total size of the bodies of m_requests.
    std::map<std::string, ServiceState> m_services;
};

}
