/// @file Requests that wait at this process until an engine has a place for them.
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
 * One queue for each service of engines.
 *
 * A place that is missing now is often there within the time that callers have: engines finish requests all the time, and weights arrive a few seconds
 * after a loss of power. A refusal would use up the one return that most callers have. Requests for which no place is expected in time are given up
 * at once. Used on the loop's thread.
 */
class WaitingRequests
{
public:
    /// The places of a service's engines; the rest of the forecast is filled in here.
    using Forecast = std::function<Placement::QueueForecast(const std::string &service)>;

    WaitingRequests(Http::EventLoop &loop, Forecast forecast, Placement::QueueSettings settings);

    /// Notes that a request which can be answered within its objective came in for the service.
    void recordTimelyArrival(const std::string &service, Core::Instant now);
    /// Notes whether the service has engines with weights, as a request has just found.
    void recordWeightAvailability(const std::string &service, bool hasWeights, Core::Instant now);

    /// What is expected of the service's engines, with the fresh requests that keep coming and the time until there are weights.
    Placement::QueueForecast forecast(const std::string &service, Core::Instant now) const;
    bool isEmpty(const std::string &service) const;
    std::size_t size() const
    {
        return m_requests.size();
    }
    /// Returns a ticket for leave(); empty if too much waits already. @p bytes: of the request's body.
    std::optional<std::uint64_t> enqueue(const std::string &service, Placement::QueuedRequest bounds, std::size_t bytes, std::weak_ptr<RelayedRequest> request);
    void remove(std::uint64_t ticket);
    /// Sends and gives up what can be decided now.
    void dispatch();
    /// Serves, since places may have become free, unless the queue was served a moment ago.
    void onSlotsChanged();

private:
    struct Entry
    {
        std::string m_service;
        Placement::QueuedRequest m_deadlines;
        std::size_t m_bytes = 0; ///< Of the request's body.
        std::weak_ptr<RelayedRequest> m_request;
    };

    struct ServiceState
    {
        Placement::EventRate m_timelyArrivals;
        std::optional<Core::Instant> m_withoutWeightsSince; ///< Empty while some engine has weights.
    };

    void serve(const std::string &service);
    void sendInOrder(const std::vector<std::uint64_t> &tickets);
    /// Null if the request does not wait any more.
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
    std::size_t m_bytes = 0; ///< Of the bodies of m_requests.
    std::map<std::string, ServiceState> m_services;
};

}
