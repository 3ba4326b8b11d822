/// @file Implementation of the description of a retry budget.

#include "LibRelay/RetryBudgetLine.h"

namespace Relay {

Telemetry::LogLine retryBudgetLine(const std::string &name, const Placement::RetryBudgetState &state)
{
    Telemetry::LogLine line(name);
    line.text("service", state.m_service).number("entries", static_cast<std::int64_t>(state.m_processes)).number("share", state.m_share);
    line.number("available", state.m_available).number("spent", static_cast<std::int64_t>(state.m_spent));
    return line;
}

}
