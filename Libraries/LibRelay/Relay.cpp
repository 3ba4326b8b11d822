/// @file Implementation of the relay.

#include "LibRelay/Relay.h"

#include "LibRelay/RelayedRequest.h"

namespace Relay {

RelayCounters::RelayCounters(Telemetry::Metrics &metrics)
    : m_requests(metrics.counter("relay_requests_total"))
    , m_succeeded(metrics.counter("relay_requests_ended_total{outcome=\"answered\"}"))
    , m_refused(metrics.counter("relay_requests_ended_total{outcome=\"refused\"}"))
    , m_failed(metrics.counter("relay_requests_ended_total{outcome=\"failed\"}"))
    , m_abandoned(metrics.counter("relay_requests_ended_total{outcome=\"caller_left\"}"))
    , m_repeats(metrics.counter("relay_repeats_total"))
    , m_resumed(metrics.counter("relay_streams_resumed_total"))
    , m_firstByte(metrics.latency("relay_first_byte_seconds"))
    , m_whole(metrics.latency("relay_whole_answer_seconds"))
{
}

Relay::Relay(RelayParts parts, RelaySettings settings, Dialect dialect)
    : m_parts(parts)
    , m_settings(std::move(settings))
    , m_dialect(std::move(dialect))
    , m_counters(parts.m_metrics)
{
}

Relay::~Relay() = default;

void Relay::handle(const std::shared_ptr<Http::ServerConnection> &connection, Http::ServerRequest request)
{
    m_counters.m_requests.add();
    const std::shared_ptr<RelayedRequest> relayed = std::make_shared<RelayedRequest>(*this, connection, std::move(request));
    m_open.insert(relayed);
    relayed->start();
}

}
