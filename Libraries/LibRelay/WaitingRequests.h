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
    /// Returns the slots of a service's engines in the places. This class fills in the rest of the forecast.
    using Forecast = std::function<Placement::QueueForecast(const std::string &service, const Placement::AllowedPlaces &places)>;

    WaitingRequests(Http::EventLoop &loop, Forecast forecast, Placement::QueueSettings settings);

    /// Records the arrival of a request for the service that can be answered within its objective. @p rank: 0 is the most urgent.
    void recordTimelyArrival(const std::string &service, const Placement::AllowedPlaces &places, std::uint32_t rank, Core::Instant now);
    /// Returns the timely arrivals per second of requests for the service that are more urgent than @p rank.
    double moreUrgentArrivalsPerSecond(const std::string &service, std::uint32_t rank, Core::Instant now) const;
    /// Records whether a request has just found engines of the service in the places that have weights.
    void recordWeightAvailability(const std::string &service, const Placement::AllowedPlaces &places, bool hasWeights, Core::Instant now);

    /// Returns the expected capacity of the service's engines in the places, with the rate of timely arrivals and the time until engines have weights.
    Placement::QueueForecast forecast(const std::string &service, const Placement::AllowedPlaces &places, Core::Instant now) const;
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

    /// State of a service's engines in some places, as seen by the requests that are restricted to them.
    struct PlaceState
    {
        Placement::EventRate m_timelyArrivals;
        std::optional<Core::Instant> m_withoutWeightsSince; ///< Empty while some engine has weights.
    };

    struct ServiceState
    {
        std::map<Placement::AllowedPlaces, PlaceState> m_places; ///< The arrivals of the unrestricted places include all others.
        std::map<std::uint32_t, Placement::EventRate> m_timelyArrivals; ///< By rank.
    };

    void dispatch(const std::string &service);
    void sendInOrder(const std::vector<std::uint64_t> &tickets);
    /// Returns the forecasts of the places that some of the requests are restricted to.
    Placement::PlaceForecasts placeForecasts(const std::string &service, const std::vector<Placement::QueuedRequest> &queued, Core::Instant now) const;
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
