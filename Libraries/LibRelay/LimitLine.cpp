/// @file Implementation of the log line about limits.

#include "LibRelay/LimitLine.h"

namespace Relay {

Telemetry::LogLine limitLine(const Fleet::Endpoint &endpoint, const Placement::RequestLimits &limits, std::string_view source)
{
    const std::optional<double> limit = limits.limit(endpoint);
    Telemetry::LogLine line("endpoint_limit");
    line.text("endpoint", endpoint.m_id).text("source", source).flag("limited", limit.has_value());
    line.number("per_second", limit.value_or(0)).number("own_per_second", limits.share(endpoint));
    return line;
}

}
