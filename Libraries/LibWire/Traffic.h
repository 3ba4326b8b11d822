/// @file Counting of bytes and messages by what they are for.
#pragma once

#include "LibTelemetry/Metrics.h"

#include <array>
#include <string_view>

namespace Wire {

/// What a call is for; taken from the part of its method before the first dot.
enum class Purpose {
    Control, ///< Configuration, membership, reports, claims; also what the connection itself needs.
    Transfer, ///< Weights between instances.
    Live, ///< Callers' requests and answers.
};

inline constexpr std::size_t PurposeCount = 3;

Purpose purposeOf(std::string_view method);
std::string_view purposeName(Purpose purpose);

/// Counters of one node, kept in the process's metrics.
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
