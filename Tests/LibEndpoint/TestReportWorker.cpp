/// @file Tests of the intervals and urgency of an agent's reports.

#include "LibEndpoint/ReportWorker.h"

#include <catch2/catch.hpp>

TEST_CASE("few watchers get a report each second, many share a limited rate, and the interval has a maximum")
{
    const Endpoint::ReportSettings settings;
    REQUIRE(Endpoint::reportInterval(settings, 0, 500) == Core::Duration(1000));
    REQUIRE(Endpoint::reportInterval(settings, 8, 500) == Core::Duration(1000));
    REQUIRE(Endpoint::reportInterval(settings, 12, 512) == Core::Duration(1500));
    REQUIRE(Endpoint::reportInterval(settings, 64, 1000) == Core::Duration(2000));
}

TEST_CASE("changes that routing depends on are urgent; load and progress are not")
{
    Protocol::AgentReport last;
    last.m_endpointHealthy = true;
    Protocol::AgentReport next = last;
    next.m_sequence = 9;
    next.m_load.m_running = 5;
    next.m_transfers = {Protocol::TransferProgress{"d", 1, 2}};
    REQUIRE_FALSE(Endpoint::isUrgent(last, next));
    next.m_attestations = {Protocol::Attestation{"d", 1}};
    REQUIRE(Endpoint::isUrgent(last, next));
    next = last;
    next.m_member.m_leaving = true;
    REQUIRE(Endpoint::isUrgent(last, next));
    next = last;
    next.m_endpointHealthy = false;
    REQUIRE(Endpoint::isUrgent(last, next));
}
