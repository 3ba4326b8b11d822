/// @file Counters of bytes and HTTP/2 frames by purpose.
#pragma once

#include "LibTelemetry/Metrics.h"

#include <array>
#include <string_view>

namespace Wire {

/// The purpose of a call, derived from the part of its method before the first dot.
enum class Purpose {
    Control, ///< Configuration, membership, reports and claims; also the frames of the connection itself.
    Transfer, ///< Weights between instances.
    Live, ///< Requests of callers and their answers.
};

inline constexpr std::size_t PurposeCount = 3;

Purpose purposeOf(std::string_view method);
std::string_view purposeName(Purpose purpose);

/// Traffic counters of one node, registered in the metrics of the process.
class Traffic
{
public:
    explicit Traffic(Telemetry::Metrics &metrics);

    void countSent(Purpose purpose, std::size_t bytes);
    void countReceived(Purpose purpose, std::size_t bytes);

private:
    struct Counters
    {
        Telemetry::Counter *m_bytesSent = nullptr;
        Telemetry::Counter *m_bytesReceived = nullptr;
        Telemetry::Counter *m_framesSent = nullptr;
        Telemetry::Counter *m_framesReceived = nullptr;
    };

    std::array<Counters, PurposeCount> m_counters; ///< By purpose; pointers into the registry, never null.
};

}
