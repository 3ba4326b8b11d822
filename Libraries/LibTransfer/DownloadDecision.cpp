/// @file Implementation of the log lines about requests to the origin.

#include "LibTransfer/DownloadDecision.h"

namespace Transfer {

std::string_view downloadReasonName(DownloadReason reason)
{
    switch (reason) {
    case DownloadReason::FirstRanked:
        return "first_ranked";
    case DownloadReason::Successor:
        return "successor";
    case DownloadReason::Late:
        return "late";
    case DownloadReason::Overdue:
        return "overdue";
    case DownloadReason::OriginBudget:
        return "origin_budget";
    case DownloadReason::NoExchange:
        return "no_exchange";
    }
    return "unknown";
}

Telemetry::LogLine originRequestLine(const std::string &digest, Weights::ChunkIndex chunk, const DownloadDecision &decision)
{
    Telemetry::LogLine line("origin_request");
    line.text("digest", digest).number("chunk", std::int64_t{chunk}).text("reason", downloadReasonName(decision.m_reason));
    line.number("rank", std::int64_t{decision.m_rank}).number("replicas", std::int64_t{decision.m_replicas});
    line.number("followed", std::int64_t{decision.m_followed}).number("answered", std::int64_t{decision.m_answered});
    line.number("age_ms", std::int64_t{decision.m_age.count()}).number("overdue_ms", std::int64_t{decision.m_overdue.count()});
    return line;
}

Telemetry::LogLine originResponseLine(const std::string &digest, Weights::ChunkIndex chunk, std::string_view outcome, Core::Duration took)
{
    Telemetry::LogLine line("origin_response");
    line.text("digest", digest).number("chunk", std::int64_t{chunk}).text("outcome", outcome).number("took_ms", std::int64_t{took.count()});
    return line;
}

Telemetry::LogLine replicasLine(const std::string &digest, std::size_t before, std::size_t now, Core::Duration age)
{
    Telemetry::LogLine line("transfer_replicas");
    line.text("digest", digest).number("before", static_cast<std::int64_t>(before)).number("now", static_cast<std::int64_t>(now));
    line.number("age_ms", std::int64_t{age.count()});
    return line;
}

}
