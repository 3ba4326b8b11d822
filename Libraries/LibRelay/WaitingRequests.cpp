/// @file Implementation of the queues of waiting requests.

#include "LibRelay/WaitingRequests.h"

#include "LibRelay/RelayedRequest.h"

#include <set>

namespace Relay {

namespace {

constexpr Core::Duration DispatchInterval{25}; ///< A fraction of the interval at which a full engine finishes requests.
constexpr Core::Duration MinimumDispatchPause{10}; ///< Minimum time between dispatches caused by reports. Hundreds of engines report many times within it.

}

WaitingRequests::WaitingRequests(Http::EventLoop &loop, Forecast forecast, Placement::QueueSettings settings)
    : m_forecast(std::move(forecast))
    , m_settings(settings)
    , m_timer(loop)
{
}

void WaitingRequests::recordTimelyArrival(const std::string &service, const Placement::AllowedPlaces &places, std::uint32_t rank, Core::Instant now)
{
    ServiceState &state = m_services[service];
    state.m_timelyArrivals[rank].recordEvent(now);
    state.m_places[{}].m_timelyArrivals.recordEvent(now);
    if (places.m_hasHomes) {
        state.m_places[places].m_timelyArrivals.recordEvent(now);
    }
}

double WaitingRequests::moreUrgentArrivalsPerSecond(const std::string &service, std::uint32_t rank, Core::Instant now) const
{
    const std::map<std::string, ServiceState>::const_iterator state = m_services.find(service);
    double sum = 0;
    if (state == m_services.end()) {
        return sum;
    }
    for (const std::pair<const std::uint32_t, Placement::EventRate> &arrivals : state->second.m_timelyArrivals) {
        sum += arrivals.first < rank ? arrivals.second.value(now) : 0;
    }
    return sum;
}

void WaitingRequests::recordWeightAvailability(const std::string &service, const Placement::AllowedPlaces &places, bool hasWeights, Core::Instant now)
{
    std::map<Placement::AllowedPlaces, PlaceState> &states = m_services[service].m_places;
    std::optional<Core::Instant> &since = states[places].m_withoutWeightsSince;
    if (hasWeights) {
        since.reset();
        states[{}].m_withoutWeightsSince.reset();
    } else if (!since) {
        since = now;
    }
}

bool WaitingRequests::isEmpty(const std::string &service) const
{
    return std::none_of(
        m_requests.begin(), m_requests.end(), [&service](const std::pair<const std::uint64_t, Entry> &entry) { return entry.second.m_service == service; });
}

std::optional<std::uint64_t>
WaitingRequests::enqueue(const std::string &service, Placement::QueuedRequest deadlines, std::size_t bytes, std::weak_ptr<RelayedRequest> request)
{
    if (m_requests.size() >= m_settings.m_maximumRequests || m_bytes + bytes > m_settings.m_maximumBytes) {
        return std::nullopt;
    }
    deadlines.m_ticket = ++m_lastTicket;
    m_requests.emplace(deadlines.m_ticket, Entry{service, deadlines, bytes, std::move(request)});
    m_bytes += bytes;
    scheduleDispatch();
    return deadlines.m_ticket;
}

void WaitingRequests::remove(std::uint64_t ticket)
{
    const std::map<std::uint64_t, Entry>::iterator entry = m_requests.find(ticket);
    if (entry == m_requests.end()) {
        return;
    }
    m_bytes -= entry->second.m_bytes;
    m_requests.erase(entry);
}

void WaitingRequests::scheduleDispatch()
{
    if (m_isTimerSet || m_requests.empty()) {
        return;
    }
    m_isTimerSet = true;
    m_timer.expires_after(DispatchInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        m_isTimerSet = false;
        dispatch();
        scheduleDispatch();
    });
}

void WaitingRequests::dispatch()
{
    // Sending or rejecting a request may call this function again.
    if (m_isDispatching) {
        return;
    }
    m_isDispatching = true;
    m_dispatchedAt = Core::Clock::now();
    std::set<std::string> services;
    for (const std::pair<const std::uint64_t, Entry> &entry : m_requests) {
        services.insert(entry.second.m_service);
    }
    for (const std::string &service : services) {
        dispatch(service);
    }
    m_isDispatching = false;
}

void WaitingRequests::onSlotsChanged()
{
    if (Core::Clock::now() - m_dispatchedAt >= MinimumDispatchPause) {
        dispatch();
    }
}

Placement::QueueForecast WaitingRequests::forecast(const std::string &service, const Placement::AllowedPlaces &places, Core::Instant now) const
{
    Placement::QueueForecast forecast = m_forecast(service, places);
    const std::map<std::string, ServiceState>::const_iterator known = m_services.find(service);
    if (known == m_services.end()) {
        return forecast;
    }
    const std::map<Placement::AllowedPlaces, PlaceState>::const_iterator state = known->second.m_places.find(places);
    if (state == known->second.m_places.end()) {
        return forecast;
    }
    forecast.m_timelyArrivalsPerSecond = state->second.m_timelyArrivals.value(now);
    if (state->second.m_withoutWeightsSince) {
        const Core::Duration lasted = std::chrono::duration_cast<Core::Duration>(now - *state->second.m_withoutWeightsSince);
        forecast.m_untilWeights = Placement::remainingOutage(lasted, m_settings);
    }
    return forecast;
}

Placement::PlaceForecasts
WaitingRequests::placeForecasts(const std::string &service, const std::vector<Placement::QueuedRequest> &queued, Core::Instant now) const
{
    Placement::PlaceForecasts forecasts;
    for (const Placement::QueuedRequest &request : queued) {
        if (request.m_places.m_hasHomes && !forecasts.contains(request.m_places)) {
            forecasts.emplace(request.m_places, forecast(service, request.m_places, now));
        }
    }
    return forecasts;
}

void WaitingRequests::dispatch(const std::string &service)
{
    const Core::Instant now = Core::Clock::now();
    std::vector<Placement::QueuedRequest> queued;
    for (const std::pair<const std::uint64_t, Entry> &entry : m_requests) {
        if (entry.second.m_service == service) {
            queued.push_back(entry.second.m_deadlines);
        }
    }
    const Placement::PlaceForecasts restricted = placeForecasts(service, queued, now);
    const Placement::QueueForecast expected = forecast(service, {}, now);
    const Placement::QueueDecision decision = Placement::decideQueue(std::move(queued), expected, now, m_settings, restricted);
    sendInOrder(decision.m_order);
    for (const std::uint64_t ticket : decision.m_rejected) {
        const std::map<std::uint64_t, Entry>::const_iterator entry = m_requests.find(ticket);
        const std::shared_ptr<RelayedRequest> request = find(ticket);
        if (request) {
            const Placement::PlaceForecasts::const_iterator there = restricted.find(entry->second.m_deadlines.m_places);
            request->rejectFromQueue(there == restricted.end() ? expected : there->second, decision.m_order.size());
        }
    }
}

void WaitingRequests::sendInOrder(const std::vector<std::uint64_t> &tickets)
{
    std::set<Placement::AllowedPlaces> full; // Places without a slot for the requests that are restricted to them.
    for (const std::uint64_t ticket : tickets) {
        const std::map<std::uint64_t, Entry>::const_iterator entry = m_requests.find(ticket);
        const std::shared_ptr<RelayedRequest> request = find(ticket);
        if (!request || full.contains(entry->second.m_deadlines.m_places)) {
            continue;
        }
        const Placement::AllowedPlaces places = entry->second.m_deadlines.m_places;
        if (request->trySendFromQueue() != QueueSendResult::NoSlot) {
            continue;
        }
        if (!places.m_hasHomes) {
            return; // The requests behind it need as many slots.
        }
        full.insert(places);
    }
}

std::shared_ptr<RelayedRequest> WaitingRequests::find(std::uint64_t ticket) const
{
    const std::map<std::uint64_t, Entry>::const_iterator entry = m_requests.find(ticket);
    return entry == m_requests.end() ? nullptr : entry->second.m_request.lock();
}

}
