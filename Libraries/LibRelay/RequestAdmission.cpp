/// @file Decisions of the relay on requests whose bodies have not been read yet.

#include "LibRelay/CallerAccess.h"
#include "LibRelay/Relay.h"

#include <algorithm>

namespace Relay {

namespace {

/// Fraction of a request's time that is kept for reading and running it while it waits for memory.
constexpr int KeptTimeDivisor = 4;
constexpr int KeptGoals = 2; ///< Latency objectives that are kept for the same, if that is longer.
constexpr Core::Duration MaximumRetryAfter{10000}; ///< Callers do not wait longer for another try.

}

Core::Duration usefulMemoryWait(Core::Duration timeout, Core::Duration goal)
{
    const Core::Duration kept = std::max(timeout / KeptTimeDivisor, goal * KeptGoals);
    return std::max(Core::Duration(0), timeout - kept);
}

Core::Duration Relay::maximumMemoryWait(const Http::ServerRequest &head) const
{
    if (m_endsAt) {
        return Core::Duration(0); // Another entry serves the caller sooner.
    }
    const RequestFacts facts = m_dialect.m_readRequest(head.m_fields);
    const std::shared_ptr<const Fleet::ConfigurationIndex> configuration = m_parts.m_fleetState.configuration();
    if (!configuration) {
        return usefulMemoryWait(std::min(m_settings.m_configurationWait, facts.m_timeout.value_or(m_settings.m_configurationWait)), Core::Duration(0));
    }
    const Fleet::Route *route = configuration->route(Http::hostName(Http::fieldText(head.m_fields, "Host")), Http::pathOf(head.m_target));
    if (!route || !mayUseRoute(*configuration, *route, facts)) {
        return Core::Duration(0);
    }
    return usefulMemoryWait(requestTimeout(*route, facts), Core::Duration(route->m_goalMilliseconds));
}

Core::Duration Relay::onMemoryRefused(const Http::ServerRequest &head, const Http::MemoryShortage &shortage)
{
    const RequestFacts facts = m_dialect.m_readRequest(head.m_fields);
    const Core::Duration usualRetryAfter = std::clamp(shortage.m_expectedWait.value_or(m_settings.m_retryAfter), m_settings.m_retryAfter, MaximumRetryAfter);
    const Core::Duration retryAfter = m_endsAt ? Core::Duration(0) : usualRetryAfter; // Other entries may have memory.
    m_counters.m_requests.add();
    m_counters.m_refused.add();
    m_counters.m_refusedForMemory.add();
    m_parts.m_elapsedTimeEstimator.recordRefusal(Core::Clock::now());
    Telemetry::LogLine line("request_without_memory");
    line.text("id", facts.m_attemptId).text("peer", head.m_peer).number("needed_bytes", static_cast<std::int64_t>(shortage.m_neededBytes));
    line.number("held_bytes", static_cast<std::int64_t>(shortage.m_heldBytes)).number("waited_ms", std::int64_t{shortage.m_waited.count()});
    line.number("expected_wait_ms", std::int64_t{shortage.m_expectedWait ? shortage.m_expectedWait->count() : -1});
    m_parts.m_log.write(line.number("retry_after_ms", std::int64_t{retryAfter.count()}).text("outcome", "refused"));
    return retryAfter;
}

}
