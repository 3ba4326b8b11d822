/// @file Implementation of the traffic counters.

#include "LibWire/Traffic.h"

namespace Wire {

Purpose purposeOf(std::string_view method)
{
    if (method.starts_with("transfer.")) {
        return Purpose::Transfer;
    }
    if (method.starts_with("live.")) {
        return Purpose::Live;
    }
    return Purpose::Control;
}

std::string_view purposeName(Purpose purpose)
{
    switch (purpose) {
    case Purpose::Control:
        return "control";
    case Purpose::Transfer:
        return "transfer";
    case Purpose::Live:
        return "live";
    }
    return "control";
}

Traffic::Traffic(Telemetry::Metrics &metrics)
{
    for (const Purpose purpose : {Purpose::Control, Purpose::Transfer, Purpose::Live}) {
        const std::string label = "{purpose=\"" + std::string(purposeName(purpose)) + "\"}";
        Counters &counters = m_counters.at(static_cast<std::size_t>(purpose));
        counters.m_bytesSent = &metrics.counter("wire_bytes_sent_total" + label);
        counters.m_bytesReceived = &metrics.counter("wire_bytes_received_total" + label);
        counters.m_framesSent = &metrics.counter("wire_frames_sent_total" + label);
        counters.m_framesReceived = &metrics.counter("wire_frames_received_total" + label);
    }
}

void Traffic::countSent(Purpose purpose, std::size_t bytes)
{
    const Counters &counters = m_counters.at(static_cast<std::size_t>(purpose));
    counters.m_bytesSent->add(bytes);
    counters.m_framesSent->add();
}

void Traffic::countReceived(Purpose purpose, std::size_t bytes)
{
    const Counters &counters = m_counters.at(static_cast<std::size_t>(purpose));
    counters.m_bytesReceived->add(bytes);
    counters.m_framesReceived->add();
}

}
