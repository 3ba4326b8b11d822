/// @file Implementation of the description of a retry budget.

#include "LibRelay/RetryBudgetLine.h"

namespace Relay {

Telemetry::LogLine retryBudgetLine(const std::string &name, const Placement::RetryBudgetState &state)
{
    Telemetry::LogLine line(name);
    line.text("service", state.m_service).number("entries", static_cast<std::int64_t>(state.m_entries)).flag("entries_known", state.m_areEntriesKnown);
    line.number("maximum_tokens", static_cast<std::int64_t>(state.m_share.m_maximumTokens)).number("tokens", state.m_tokens);
    line.number("slack", static_cast<std::int64_t>(state.m_share.m_slack)).flag("slack_usable", state.m_mayUseSlack);
    line.number("slack_spent", static_cast<std::int64_t>(state.m_slackSpent)).number("spent", static_cast<std::int64_t>(state.m_spent));
    return line;
}

}
